package gate

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/request/call"
	"github.com/daisytide/daisytide/internal/version/document"
)

var epoch = time.Unix(1000, 0)

func newAdmission(slots int) *Admission {
	a := &Admission{}
	a.Limit.SetCeiling(slots, false)
	return a
}

func request(criticality Criticality, timeLeft time.Duration) RequestInfo {
	return RequestInfo{Route: "r", Criticality: criticality, Deadline: epoch.Add(timeLeft)}
}

func TestUploadsAreLeastAndRunOnceCallsMostCritical(t *testing.T) {
	for _, tc := range []struct {
		name string
		call call.Call
		size int64
		want Criticality
	}{
		{"a buyer's look-up", call.Call{Caller: document.Buyer, Idempotent: true}, 0, CriticalityLookup},
		{"an organiser's look-up", call.Call{Caller: document.Organiser, Idempotent: true}, 0, CriticalityLookup},
		{"a credit", call.Call{Caller: document.Clerk}, 300, CriticalityOnce},
		{"a print order", call.Call{Caller: document.Organiser}, 4000, CriticalityOnce},
		{"a photo", call.Call{Caller: document.Driver}, 5 << 20, CriticalityUpload},
		{"a bundle of unknown size", call.Call{Caller: document.Organiser}, -1, CriticalityUpload},
	} {
		if got := CriticalityOf(&tc.call, tc.size); got != tc.want {
			t.Errorf("%s: criticality %d, want %d", tc.name, got, tc.want)
		}
	}
}

func TestFullQueueShedsTheLeastCriticalFirst(t *testing.T) {
	a := newAdmission(2)
	for range 2 {
		a.Arrive(epoch, request(CriticalityUpload, time.Minute))
	}
	upload, _ := a.Arrive(epoch, request(CriticalityUpload, time.Minute))
	lookup, _ := a.Arrive(epoch, request(CriticalityLookup, time.Minute))
	credit, code := a.Arrive(epoch, request(CriticalityOnce, time.Minute))
	if code != api.OK || <-upload.Decision != api.CallShed {
		t.Errorf("the credit got %v, and the upload should have been evicted", code)
	}
	if _, code := a.Arrive(epoch, request(CriticalityUpload, time.Minute)); code != api.CallShed {
		t.Errorf("another upload got %v", code)
	}
	a.Complete(epoch, "r", time.Millisecond, time.Millisecond, Answered)
	if <-credit.Decision != api.OK || len(lookup.Decision) != 0 {
		t.Error("the credit should run before the look-up that came first")
	}
}

func TestCallsThatCannotFinishAreNotAdmitted(t *testing.T) {
	a := newAdmission(1)
	a.Arrive(epoch, request(CriticalityLookup, time.Minute))
	a.Complete(epoch, "r", 100*time.Millisecond, 100*time.Millisecond, Answered)
	if _, code := a.Arrive(epoch, request(CriticalityOnce, 20*time.Millisecond)); code != api.CallNoTime {
		t.Errorf("20 ms left for a run of 100 ms: %v", code)
	}
	a.Arrive(epoch, request(CriticalityLookup, time.Minute))
	if _, code := a.Arrive(epoch, request(CriticalityLookup, 300*time.Millisecond)); code != api.CallShed {
		t.Errorf("a wait of 100 ms with 300 ms left: %v", code)
	}
	late, _ := a.Arrive(epoch, request(CriticalityLookup, time.Second))
	a.Complete(epoch.Add(2*time.Second), "r", time.Millisecond, time.Millisecond, Answered)
	if <-late.Decision != api.CallNoTime || a.Running() != 0 {
		t.Errorf("a call past its deadline was admitted from the queue; %d running", a.Running())
	}
}

// Runs random sequences of arrivals, ends and cancellations.
func TestEveryCallIsDecidedOnceAndSlotsAreNeverExceeded(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 7))
		a := newAdmission(1 + rng.IntN(5))
		now := epoch
		running := 0
		var waiting []*Ticket
		for range 300 {
			now = now.Add(time.Duration(rng.IntN(10)) * time.Millisecond)
			switch rng.IntN(4) {
			case 0, 1:
				r := RequestInfo{Route: "r", Criticality: Criticality(rng.IntN(criticalityCount)), Deadline: now.Add(time.Duration(rng.IntN(400)) * time.Millisecond)}
				if ticket, code := a.Arrive(now, r); ticket != nil {
					waiting = append(waiting, ticket)
				} else if code == api.OK {
					running++
				}
			case 2:
				if running > 0 {
					running--
					a.Complete(now, "r", time.Duration(rng.IntN(50))*time.Millisecond, time.Millisecond, RunOutcome(rng.IntN(3)))
				}
			case 3:
				if len(waiting) > 0 && a.Cancel(waiting[0]) {
					waiting = waiting[1:]
				}
			}
			var still []*Ticket
			for _, w := range waiting {
				select {
				case code := <-w.Decision:
					if code == api.OK {
						running++
					}
				default:
					still = append(still, w)
				}
			}
			waiting = still
			if running != a.Running() || len(waiting) != a.Waiting() || running > a.Limit.ceiling {
				t.Fatalf("seed %d: %d running, %d waiting, Admission reports %d and %d", seed, running, len(waiting), a.Running(), a.Waiting())
			}
		}
	}
}

func TestLimitOfAColdUpstreamGrowsWithEachGoodWindow(t *testing.T) {
	var l ConcurrencyLimit
	l.SetCeiling(16, true)
	if l.Slots() != 4 {
		t.Fatalf("a cold start with %d slots, want 4", l.Slots())
	}
	for _, running := range []int{16, 1} {
		l.SetCeiling(16, true)
		runs := 0
		for l.Slots() < 16 && runs < 1000 {
			l.RecordRun("r", 10*time.Millisecond, Answered, running)
			runs++
		}
		if l.Slots() != 16 || runs > 40 {
			t.Errorf("%d slots after %d runs with %d in progress", l.Slots(), runs, running)
		}
	}
}

func constant(ms int) func(int) time.Duration {
	return func(int) time.Duration { return time.Duration(ms) * time.Millisecond }
}

func TestLimitFallsWithSlownessAndRefusals(t *testing.T) {
	for _, tc := range []struct {
		name    string
		slow    func(slots int) time.Duration
		outcome RunOutcome
		low     int
		high    int
	}{
		{"steady", constant(10), Answered, 16, 16},
		{"five times slower, whatever the limit", constant(50), Answered, 13, 16},
		{"slower with each call in progress above 4", func(slots int) time.Duration {
			return time.Duration(max(10, 10*slots/4)) * time.Millisecond
		}, Answered, 4, 11},
		{"refusing", constant(10), Overloaded, 1, 1},
		{"uploads that take their caller's time", constant(1000), Untimed, 16, 16},
	} {
		var l ConcurrencyLimit
		l.SetCeiling(16, false)
		for range 200 {
			l.RecordRun("r", 10*time.Millisecond, Answered, 8)
		}
		for range 640 {
			l.RecordRun("r", tc.slow(l.Slots()), tc.outcome, l.Slots())
		}
		if l.Slots() < tc.low || l.Slots() > tc.high {
			t.Errorf("%s: %d slots, want %d to %d", tc.name, l.Slots(), tc.low, tc.high)
		}
		for range 2000 {
			l.RecordRun("r", 10*time.Millisecond, Answered, l.Slots())
		}
		if l.Slots() != 16 {
			t.Errorf("%s: %d slots after recovery, want 16", tc.name, l.Slots())
		}
	}
}

func TestLoadRoundTripsThroughItsHeader(t *testing.T) {
	for _, in := range []Load{
		{Busy: 7, Slots: 10, ServiceTime: 3200 * time.Microsecond},
		{Busy: 7, Slots: 10, ServiceTime: 3200 * time.Microsecond, LinkBacklog: 250 * time.Millisecond},
		{Busy: 7, Slots: 10, ServiceTime: 3200 * time.Microsecond, ResponseBacklog: 90 * time.Millisecond},
	} {
		if out, err := ParseLoad(in.String()); err != nil || out != in {
			t.Errorf("%v %v", out, err)
		}
	}
	for _, bad := range []string{"", "7", "7 10", "-1 2 3", "7 10 x", "7 10 99999999999", "7 10 3 x", "7 10 3 4 x", "7 10 3 4 5 6"} {
		if _, err := ParseLoad(bad); err == nil {
			t.Errorf("%q was parsed as a load", bad)
		}
	}
}
