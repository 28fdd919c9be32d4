package localupstream

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/request/egress"
)

// instanceStart is one start of an upstream.
type instanceStart struct {
	id      string
	started int64
}

// Reports of several starts come late, doubled and out of order, between faults
// that the gate sees. Once the leaving of a start was acknowledged it is never
// ready again, a start that is over does not come back, and only the latest
// start's own report makes it ready.
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
					t.Fatalf("seed %d, step %d: a report was taken and is not known", seed, step)
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
				t.Fatalf("seed %d, step %d: back from start %d to %d", seed, step, newest, c.StartedMillis)
			}
			newest = c.StartedMillis
			if c.Ready() && stopped[instanceStart{c.ID, c.StartedMillis}] {
				t.Fatalf("seed %d, step %d: start %d of %q is ready after its leaving was acknowledged", seed, step, c.StartedMillis, c.ID)
			}
			if notified.State != c.State || notified.StartedMillis != c.StartedMillis || notified.ID != c.ID {
				t.Fatalf("seed %d, step %d: the gate was told %+v, it is %+v", seed, step, notified, *c)
			}
		}
	}
}
