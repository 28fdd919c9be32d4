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
	id   string
	born int64
}

// Reports of several starts come late, doubled and out of order, between faults
// that the gate sees. Once the leaving of a start was acknowledged it is never
// ready again, a start that is over does not come back, and only the latest
// start's own report makes it ready.
func TestAcknowledgedLeavingHoldsOverRandomReports(t *testing.T) {
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 1))
		l := &Tracker{Service: "s", Address: "h:1"}
		var told egress.Instance
		l.OnChange = func(i egress.Instance) { told = i }
		left := map[instanceStart]bool{}
		newest := int64(0)
		clock := now
		for step := range 60 {
			clock = clock.Add(time.Duration(rng.IntN(500)) * time.Millisecond)
			born := int64(1 + rng.IntN(1+step/12))
			id := []string{"a", "b"}[born%2]
			switch rng.IntN(6) {
			case 0:
				l.MarkUnreachable(id)
			case 1:
				l.MarkReplaced(id)
			default:
				state := []api.UpstreamState{api.UpstreamReady, api.UpstreamReady, api.UpstreamDraining, api.UpstreamDown}[rng.IntN(4)]
				known := l.Current()
				if err := l.Apply(report(id, born, uint64(rng.IntN(20)), state), clock); err != nil {
					t.Fatalf("seed %d: %v", seed, err)
				}
				c := l.Current()
				if c == nil {
					t.Fatalf("seed %d, step %d: a report was taken and is not known", seed, step)
				}
				current := known != nil && known.ID == id && known.StartedMillis == born
				if state != api.UpstreamReady && (c.State == state && c.StartedMillis == born || current && state == api.UpstreamDown) {
					left[instanceStart{id, born}] = true
				}
			}
			c := l.Current()
			if c == nil {
				continue
			}
			if c.StartedMillis < newest {
				t.Fatalf("seed %d, step %d: back from start %d to %d", seed, step, newest, c.StartedMillis)
			}
			newest = c.StartedMillis
			if c.Ready() && left[instanceStart{c.ID, c.StartedMillis}] {
				t.Fatalf("seed %d, step %d: start %d of %q is ready after its leaving was acknowledged", seed, step, c.StartedMillis, c.ID)
			}
			if told.State != c.State || told.StartedMillis != c.StartedMillis || told.ID != c.ID {
				t.Fatalf("seed %d, step %d: the gate was told %+v, it is %+v", seed, step, told, *c)
			}
		}
	}
}
