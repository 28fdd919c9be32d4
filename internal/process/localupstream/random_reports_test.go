package localupstream

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/request/egress"
)

// instanceStart identifies one start of an upstream instance.
type instanceStart struct {
	id      string
	started int64
}

// Reports of several starts arrive late, duplicated and out of order, mixed with
// faults detected by the gate. Once a start has been reported as draining or
// down it must never be ready again, an earlier start must not come back, and
// only a report of the latest start makes it ready.
func TestStoppedStartStaysStoppedUnderRandomReports(t *testing.T) {
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 1))
		tracker := &Tracker{Service: "s", Address: "h:1"}
		var notified egress.Instance
		tracker.OnChange = func(i egress.Instance) { notified = i }
		stopped := map[instanceStart]bool{}
		newest := int64(0)
		clock := now
		for step := range 60 {
			clock = clock.Add(time.Duration(rng.IntN(500)) * time.Millisecond)
			started := int64(1 + rng.IntN(1+step/12))
			id := []string{"a", "b"}[started%2]
			switch rng.IntN(6) {
			case 0:
				tracker.MarkUnreachable(id)
			case 1:
				tracker.MarkReplaced(id)
			default:
				state := []api.UpstreamState{api.UpstreamReady, api.UpstreamReady, api.UpstreamDraining, api.UpstreamDown}[rng.IntN(4)]
				known := tracker.Current()
				if err := tracker.Apply(report(id, started, uint64(rng.IntN(20)), state), clock); err != nil {
					t.Fatalf("seed %d: %v", seed, err)
				}
				c := tracker.Current()
				if c == nil {
					t.Fatalf("seed %d, step %d: no instance after an accepted report", seed, step)
				}
				current := known != nil && known.ID == id && known.StartedMillis == started
				if state != api.UpstreamReady && (c.State == state && c.StartedMillis == started || current && state == api.UpstreamDown) {
					stopped[instanceStart{id, started}] = true
				}
			}
			c := tracker.Current()
			if c == nil {
				continue
			}
			if c.StartedMillis < newest {
				t.Fatalf("seed %d, step %d: went back from start %d to %d", seed, step, newest, c.StartedMillis)
			}
			newest = c.StartedMillis
			if c.Ready() && stopped[instanceStart{c.ID, c.StartedMillis}] {
				t.Fatalf("seed %d, step %d: start %d of %q is ready after it was reported draining or down", seed, step, c.StartedMillis, c.ID)
			}
			if notified.State != c.State || notified.StartedMillis != c.StartedMillis || notified.ID != c.ID {
				t.Fatalf("seed %d, step %d: OnChange got %+v, the current instance is %+v", seed, step, notified, *c)
			}
		}
	}
}
