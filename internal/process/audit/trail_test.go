package audit

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/kvstore"
	"github.com/daisytide/daisytide/internal/standin/store"
)

// withTrails runs trails on one store in virtual time and stops them at the end.
func withTrails(t *testing.T, nodes int, run func(s *store.Store, trails []*Trail)) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(1)
		ctx, cancel := context.WithCancel(context.Background())
		var trails []*Trail
		for i := range nodes {
			trail := NewTrail(s, fmt.Sprint("node-", i))
			trails = append(trails, trail)
			go func() { _ = trail.Run(ctx) }()
		}
		run(s, trails)
		cancel()
		synctest.Wait()
	})
}

// storedList reads the list from the store and checks that each entry has a unique
// ID.
func storedList(t *testing.T, s *store.Store) trailList {
	t.Helper()
	e, err := s.Get(context.Background(), kvstore.KeyAudit)
	if err != nil {
		t.Fatal(err)
	}
	l, err := decodeList(e.Value)
	if err != nil {
		t.Fatal(err)
	}
	seen := map[string]bool{}
	for _, e := range l.Entries {
		if e.ID == "" || seen[e.ID] {
			t.Fatalf("entry %q has no ID or is stored twice", e.ID)
		}
		seen[e.ID] = true
	}
	return l
}

func TestEntriesOfAllNodesAreStoredOnceDespiteConflictsAndLostReplies(t *testing.T) {
	const nodes, each = 5, 8
	withTrails(t, nodes, func(s *store.Store, trails []*Trail) {
		s.SetFaults(store.Faults{LostReplies: 0.4, Delay: 3 * time.Millisecond})
		for i := range each {
			for _, trail := range trails {
				trail.Record(api.AuditEntry{Operator: trail.Node, Action: "apply", From: uint64(i)})
			}
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
		}
		time.Sleep(5 * time.Minute)
		if l := storedList(t, s); len(l.Entries) != nodes*each {
			t.Errorf("%d entries, want %d", len(l.Entries), nodes*each)
		}
	})
}

func TestEntryRecordedByTwoNodesUnderOneIDIsStoredOnce(t *testing.T) {
	withTrails(t, 2, func(s *store.Store, trails []*Trail) {
		for _, trail := range trails {
			trail.Record(api.AuditEntry{ID: "move/status-desk/7/end", Action: "rollout-end"})
		}
		time.Sleep(time.Minute)
		if l := storedList(t, s); len(l.Entries) != 1 {
			t.Errorf("%d entries", len(l.Entries))
		}
	})
}

func TestOutageDelaysEntriesAndReportsDrops(t *testing.T) {
	withTrails(t, 1, func(s *store.Store, trails []*Trail) {
		s.SetFaults(store.Faults{Down: true})
		const over = 7
		for i := range maxQueued + over {
			trails[0].Record(api.AuditEntry{Action: "apply", To: uint64(i)})
		}
		time.Sleep(time.Hour)
		if out, err := trails[0].List(context.Background()); err == nil || err.Code != api.StoreNotReached || out.Pending != maxQueued+1 {
			t.Errorf("while the store is down: %d entries pending, %v", out.Pending, err)
		}
		s.SetFaults(store.Faults{})
		time.Sleep(time.Minute)
		l := storedList(t, s)
		last := l.Entries[len(l.Entries)-1]
		if last.Action != "audit-gap" || !strings.HasPrefix(last.Outcome, "7 entries") || trails[0].Dropped.Value() != over {
			t.Errorf("%d dropped, the last entry is %+v", trails[0].Dropped.Value(), last)
		}
		if total := len(l.Entries) + int(l.Trimmed); total != maxQueued+1 {
			t.Errorf("%d entries stored or trimmed, want %d", total, maxQueued+1)
		}
	})
}

func TestStopWritesQueuedEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New(1)
		trail := NewTrail(s, "node")
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		trail.Record(api.AuditEntry{Action: "apply"})
		if err := trail.Run(ctx); err != nil {
			t.Fatal(err)
		}
		if l := storedList(t, s); len(l.Entries) != 1 {
			t.Errorf("%d entries", len(l.Entries))
		}
	})
}

func TestIdleNodesDoNotCallStore(t *testing.T) {
	withTrails(t, 50, func(s *store.Store, trails []*Trail) {
		for range 3 {
			trails[0].Record(api.AuditEntry{Action: "apply"})
		}
		time.Sleep(time.Hour)
		if c := s.Counts(); c.Reads != 1 || c.Writes != 1 || c.Total() != 2 {
			t.Errorf("store calls: %+v, want one read and one write", c)
		}
	})
}

func TestEntryTextCannotForgeLogLines(t *testing.T) {
	e := sanitize(api.AuditEntry{Operator: "ann\nE0101 forged", Outcome: "a\x1b[2Jb", Changes: []string{"reason: x\r\ny"}})
	if e.Operator != "ann E0101 forged" || e.Outcome != "a [2Jb" || e.Changes[0] != "reason: x  y" {
		t.Errorf("%+v", e)
	}
}

func TestListStaysWithinLimits(t *testing.T) {
	long := strings.Repeat("é", maxTextBytes)
	var l trailList
	const count = 50
	for i := range count {
		e := api.AuditEntry{ID: fmt.Sprint(i), At: time.Unix(int64(i), 0), Outcome: long, Changes: make([]string, 3*maxChanges)}
		for j := range e.Changes {
			e.Changes[j] = long
		}
		l = l.merge([]api.AuditEntry{sanitize(e)})
	}
	bytes := 0
	for _, e := range l.Entries {
		bytes += encodedSize(e)
	}
	if bytes > maxListBytes || len(l.Entries) == 0 || len(l.Entries)+int(l.Trimmed) != count {
		t.Errorf("%d bytes, %d entries, %d trimmed", bytes, len(l.Entries), l.Trimmed)
	}
	last := l.Entries[len(l.Entries)-1]
	if last.ID != fmt.Sprint(count-1) || len(last.Changes) != maxChanges+1 || last.Changes[maxChanges] != "and 100 more" {
		t.Errorf("the newest entry is %s with %d changes", last.ID, len(last.Changes))
	}
	var many []api.AuditEntry
	for i := range 2 * maxEntries {
		many = append(many, api.AuditEntry{ID: fmt.Sprint(i)})
	}
	if small := (trailList{}).merge(many); len(small.Entries) != maxEntries {
		t.Errorf("%d entries, want %d", len(small.Entries), maxEntries)
	}
}
