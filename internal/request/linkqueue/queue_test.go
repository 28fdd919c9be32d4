package linkqueue

import (
	"context"
	"testing"
	"time"
)

// testRate makes a byte take a microsecond, so that 1,000 bytes take a millisecond.
const testRate = 1_000_000

var epoch = time.Unix(1000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// transferOf returns a transfer that takes a number of milliseconds.
func transferOf(ms, objective, deadline int) *Transfer {
	return &Transfer{Size: int64(ms) * 1000, Objective: at(objective), Deadline: at(deadline)}
}

func (t *Transfer) promised() *Transfer {
	t.Promised = true
	return t
}

// play starts and ends transfers at the link's rate and returns those that started, in
// order.
func play(q *Queue, now int, transfers ...*Transfer) []*Transfer {
	var startedOrder []*Transfer
	for ; now < 10_000; now++ {
		q.Start(at(now))
		for _, t := range transfers {
			if t.state == started && len(t.decided) > 0 {
				<-t.decided
				startedOrder = append(startedOrder, t)
			}
			if t.state == started && !at(now).Before(q.free) {
				q.End(at(now), t)
			}
		}
	}
	return startedOrder
}

// Small transfers must not wait for large ones, late ones must not delay those that
// can meet their objectives, and holding one back must not make it miss its deadline.
func TestOrderOfTransfers(t *testing.T) {
	first := func() *Transfer { return transferOf(100, 5000, 5000) }
	for _, tc := range []struct {
		name      string
		transfers []*Transfer
		want      []int
	}{
		{"smallest first", []*Transfer{first(), transferOf(80, 900, 2000), transferOf(20, 900, 2000), transferOf(50, 900, 2000)}, []int{0, 2, 3, 1}},
		{"late ones last", []*Transfer{first(), transferOf(20, 110, 2000).promised(), transferOf(50, 900, 2000)}, []int{0, 2, 1}},
		{"a response that would miss its deadline before", []*Transfer{first(), transferOf(20, 900, 2000), {Size: 80_000, Deadline: at(190), kept: true}}, []int{0, 2, 1}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			q := &Queue{Rate: testRate}
			for i, x := range tc.transfers {
				if x.kept {
					q.Ready(x, x.Size)
					continue
				}
				if d := q.Add(at(0), x); !d.OK {
					t.Fatalf("transfer %d is refused", i)
				}
				q.Start(at(0))
			}
			order := play(q, 0, tc.transfers...)
			if len(order) != len(tc.want) {
				t.Fatalf("%d of %d transfers started", len(order), len(tc.want))
			}
			for i, x := range order {
				if x != tc.transfers[tc.want[i]] {
					t.Errorf("place %d: %d bytes", i, x.Size)
				}
			}
		})
	}
}

// A transfer must be refused as soon as it cannot be in time, with a delay after which
// the link has room, and never after it started.
func TestTransfersThatCannotBeInTimeAreRefused(t *testing.T) {
	q := &Queue{Rate: testRate}
	running := transferOf(300, 900, 900)
	q.Add(at(0), running)
	q.Start(at(0))
	if d := q.Add(at(0), transferOf(200, 450, 2000)); d.OK || d.RetryAfter != 300*time.Millisecond {
		t.Errorf("behind 300 ms: %+v", d)
	}
	if d := q.Add(at(0), transferOf(200, 450, 2000).promised()); !d.OK {
		t.Errorf("promised: %+v", d)
	}
	if d := q.Add(at(0), transferOf(200, 450, 600).promised()); d.OK {
		t.Error("promised, but too late for its deadline")
	}

	q = &Queue{Rate: testRate}
	q.Add(at(0), running)
	q.Start(at(0))
	large, small := transferOf(200, 510, 2000), transferOf(50, 900, 2000)
	if !q.Add(at(0), large).OK || !q.Add(at(0), small).OK {
		t.Fatal("refused on arrival")
	}
	if len(large.decided) == 0 || <-large.decided || large.retryAfter < minRetryAfter {
		t.Error("the large transfer that the small one makes late is not refused")
	}
	kept := transferOf(200, 10, 600).promised()
	if !q.Add(at(0), kept).OK || q.Add(at(0), transferOf(60, 900, 2000)).OK || len(kept.decided) > 0 {
		t.Error("a promised transfer was given up for another")
	}
}

// One transfer at a time, and the next one shortly before its end; transfers that take
// longer than the link explains are no reason to start without bound.
func TestFewTransfersAreInProgress(t *testing.T) {
	q := &Queue{Rate: testRate}
	var all []*Transfer
	for range 8 {
		x := transferOf(60, 5000, 5000)
		all = append(all, x)
		q.Add(at(0), x)
	}
	inProgress := func(now int) (n int) {
		q.Start(at(now))
		for _, x := range all {
			if x.state == started {
				n++
			}
		}
		return n
	}
	for _, step := range []struct{ now, want int }{{0, 1}, {54, 1}, {55, 2}, {114, 2}, {115, 3}, {200, 4}} {
		if n := inProgress(step.now); n != step.want {
			t.Errorf("%d in progress at %d ms, want %d", n, step.now, step.want)
		}
	}
	if n := inProgress(219); n != 4 {
		t.Errorf("%d in progress, want 4: 240 ms of the link", n)
	}
	// The first one has stalled: it takes over twice its time and 100 ms.
	if n := inProgress(256); n != 4 || all[0].state == started {
		t.Errorf("%d in progress, the stalled one among them: %v", n, all[0].state == started)
	}
}

func TestBacklogCountsAllTransfers(t *testing.T) {
	q := &Queue{Rate: testRate, Arrives: true}
	running, queued, expected := transferOf(100, 9000, 9000), transferOf(200, 9000, 9000), transferOf(400, 9000, 9000)
	q.Add(at(0), running)
	q.Start(at(0))
	q.Add(at(0), queued)
	q.Reserve(at(0), expected, 0)
	if b := q.Backlog(at(40)); b != 660*time.Millisecond {
		t.Errorf("backlog %v", b)
	}
	q.End(at(50), running)
	if b := q.Backlog(at(50)); b != 600*time.Millisecond {
		t.Errorf("backlog %v after a transfer that ended early", b)
	}
	q.Remove(queued)
	q.Ready(expected, 10_000)
	if b := q.Backlog(at(50)); b != 10*time.Millisecond {
		t.Errorf("backlog %v with a response that is smaller than expected", b)
	}
}

// Transfers that take longer than the link explains must count as backlog, or what is
// accepted behind them comes too late.
func TestOverdueTransfersCountAsBacklog(t *testing.T) {
	q := &Queue{Rate: testRate}
	slow := transferOf(100, 9000, 9000)
	q.Add(at(0), slow)
	q.Start(at(0))
	if b := q.Backlog(at(110)); b != 0 {
		t.Errorf("backlog %v just after the expected end", b)
	}
	if b := q.Backlog(at(130)); b != 50*time.Millisecond {
		t.Errorf("backlog %v with an overdue transfer", b)
	}
	if q.Add(at(130), transferOf(100, 270, 270)).OK || !q.Add(at(130), transferOf(100, 290, 290)).OK {
		t.Error("the overdue transfer does not delay the next one")
	}
}

// A transfer that is never ended must not keep the link from others.
func TestDirectionGoesOnAfterATransferThatNeverEnds(t *testing.T) {
	d := NewLink(testRate).Out
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for i := range 6 {
		x := &Transfer{Size: 100_000, Objective: time.Now().Add(time.Minute), Deadline: time.Now().Add(time.Minute)}
		if decision, err := d.Acquire(ctx, time.Now(), x); err != nil || !decision.OK {
			t.Fatalf("transfer %d: %+v %v", i, decision, err)
		}
	}
}

// A transfer whose request ends while it waits leaves the queue.
func TestWaitEndsWithTheRequest(t *testing.T) {
	d := NewLink(testRate).In
	busy := &Transfer{Size: 200_000, Objective: time.Now().Add(time.Minute), Deadline: time.Now().Add(time.Minute)}
	if _, err := d.Acquire(context.Background(), time.Now(), busy); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	x := &Transfer{Size: 100_000, Objective: time.Now().Add(time.Minute), Deadline: time.Now().Add(time.Minute)}
	if _, err := d.Acquire(ctx, time.Now(), x); err == nil || d.Refused(Expired) != 1 || d.PendingBytes() != 200_000 {
		t.Errorf("%v, %d expired, %d bytes pending", err, d.Refused(Expired), d.PendingBytes())
	}
	d.End(time.Now(), busy)
	if d.PendingBytes() != 0 || d.Backlog(time.Now()) != 0 {
		t.Errorf("%d bytes pending, backlog %v", d.PendingBytes(), d.Backlog(time.Now()))
	}
}

// One huge response must not shut its route out, and a route whose responses have
// grown must be recognised.
func TestMeanSizesFollowButIgnoreOutliers(t *testing.T) {
	var s Sizes
	for range 50 {
		s.Observe("r", 90_000)
	}
	s.Observe("r", 32<<20)
	if n := s.Mean("r"); n < 90_000 || n > 120_000 {
		t.Errorf("mean %d after an outlier", n)
	}
	s.Observe("grows", 0)
	for range 100 {
		s.Observe("grows", 1<<20)
	}
	if n := s.Mean("grows"); n < 900_000 {
		t.Errorf("mean %d of responses of 1 MiB", n)
	}
	if n := s.Mean("unknown"); n != 0 {
		t.Errorf("mean %d of an unknown route", n)
	}
}

// Without a known rate, and for what a fast link carries in a few milliseconds,
// nothing is queued.
func TestFastLinksQueueNothing(t *testing.T) {
	if l := NewLink(0); l.In.Large(1<<40) || l.Out.Large(1<<40) || l.In.Backlog(epoch) != 0 {
		t.Error("a link of unknown rate bounds transfers")
	}
	if NewLink(125_000_000).In.Large(360_000) {
		t.Error("360 kB are large for 1,000 Mbit/s")
	}
}
