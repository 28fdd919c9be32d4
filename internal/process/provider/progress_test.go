package provider

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/daisytide/daisytide/internal/standin/store"
)

var progressStart = time.Unix(1000, 0)

func afterMillis(ms int) time.Time {
	return progressStart.Add(time.Duration(ms) * time.Millisecond)
}

// captureLog returns what is logged until the test ends.
func captureLog(t *testing.T) *bytes.Buffer {
	t.Helper()
	previous, out := slog.Default(), &bytes.Buffer{}
	slog.SetDefault(slog.New(slog.NewTextHandler(out, nil)))
	t.Cleanup(func() { slog.SetDefault(previous) })
	return out
}

func TestDelayCountsFromFirstOfNumbersThatWereReplaced(t *testing.T) {
	var p Progress
	p.HeardFromPeer("a", 88, afterMillis(0))
	p.HeardFromStore(89, afterMillis(400))
	p.HeardFromStore(90, afterMillis(900))
	if got := p.InForce(89, afterMillis(1000)); got != time.Second {
		t.Errorf("delay %v, want 1s", got)
	}
	if got := p.Status(afterMillis(1100)).Waiting; got != 200*time.Millisecond {
		t.Errorf("90 has waited %v, want 200ms", got)
	}
}

func TestLateWarningIsWrittenOnceASecondAndEndsWithTheDelay(t *testing.T) {
	var p Progress
	out := captureLog(t)
	p.HeardFromStore(88, afterMillis(0))
	for ms := 0; ms < 3900; ms += 100 {
		p.WarnIfLate(afterMillis(ms))
	}
	p.InForce(88, afterMillis(3900))
	p.WarnIfLate(afterMillis(6000))
	if n := strings.Count(out.String(), "configuration is late"); n != 3 {
		t.Errorf("%d warnings in 3.9 s, want 3:\n%s", n, out)
	}
}

// A number that was damaged on the way must not count as heard for ever.
func TestDamagedNumberOfPeerIsForgotten(t *testing.T) {
	for name, next := range map[string]struct {
		peer string
		ms   int
	}{"the peer repeats its number": {"a", 1000}, "the peer is gone": {"b", 11000}} {
		t.Run(name, func(t *testing.T) {
			var p Progress
			p.InForce(87, afterMillis(0))
			p.HeardFromPeer("a", 1<<60, afterMillis(0))
			p.HeardFromPeer(next.peer, 87, afterMillis(next.ms))
			if s := p.Status(afterMillis(next.ms)); s.Peers != 87 || s.Waiting != 0 {
				t.Errorf("%d heard from peers, waiting %v", s.Peers, s.Waiting)
			}
		})
	}
}

func TestMemoryAndLinesStayBoundedWhenPeersReportManyNumbers(t *testing.T) {
	var p Progress
	out := captureLog(t)
	for i := range 1000 {
		p.HeardFromPeer("a", uint64(i+1), afterMillis(0))
		p.RefusedFromPeer("a", uint64(i+1), errors.New("hash mismatch"), afterMillis(0))
	}
	if n := strings.Count(out.String(), "\n"); n != maxLinesPerSecond {
		t.Errorf("%d lines, want %d", n, maxLinesPerSecond)
	}
	if s := p.Status(afterMillis(10)); len(p.waiting) > maxWaiting || s.RefusedByPeer != 1000 || s.Peers != 1000 {
		t.Errorf("%d numbers kept, status %+v", len(p.waiting), s)
	}
}

func TestFailedCallsDoNotCountAsSoundWordOfTheStore(t *testing.T) {
	var p Progress
	if s := p.Status(afterMillis(0)); s.StoreAge >= 0 {
		t.Errorf("age %v before any reply", s.StoreAge)
	}
	p.StoreReplied(nil, afterMillis(0))
	p.StoreReplied(errors.New("refused"), afterMillis(500))
	p.StoreReplied(context.Canceled, afterMillis(600))
	if s := p.Status(afterMillis(700)); s.StoreAge != 700*time.Millisecond || s.StoreFailures != 1 {
		t.Errorf("age %v, %d failures", s.StoreAge, s.StoreFailures)
	}
}

// The incident's logs could not tell a refused document from a store that nobody hears.
func TestFollowerReportsRefusedDocumentAndNumberInForce(t *testing.T) {
	s := store.New(1)
	r := newFollower(s)
	r.Progress = &Progress{}
	startFollower(t, r)
	putValue(t, s, opConfig, "7")
	r.waitFor(t, "the first configuration", func() bool { return r.Progress.Status(time.Now()).InForce == 7 })
	putValue(t, s, opConfig, "not a number")
	r.waitFor(t, "the refusal", func() bool { return r.Progress.Status(time.Now()).RefusedByStore > 0 })
	got := r.Progress.Status(time.Now())
	if got.Store != 7 || got.StoreAge < 0 || got.LastRefusal.Revision == 0 || !strings.Contains(got.LastRefusal.Reason, "not a number") {
		t.Errorf("%+v", got)
	}
}
