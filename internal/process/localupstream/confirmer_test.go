package localupstream

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisytide/daisytide/api"
)

// Only a health response of the reported instance itself makes a doubted report
// effective; anything else leaves the upstream out of use.
func TestOnlyTheReportedInstanceConfirmsItsReport(t *testing.T) {
	for name, tc := range map[string]struct {
		health Health
		ready  bool
	}{
		"the instance":     {Health{Instance: "a"}, true},
		"another instance": {Health{Instance: "b"}, false},
		"no response":      {Health{}, false},
		"no health path":   {Health{NoPath: true}, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tracker := &Tracker{Service: "s", Address: "h:1"}
				tracker.DoubtReady(time.Now())
				var asked atomic.Int64
				c := &Confirmer{Tracker: tracker, Ask: func(context.Context, Report) Health {
					asked.Add(1)
					return tc.health
				}}
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				go c.Run(ctx, time.Now())
				synctest.Wait()
				if asked.Load() != 0 {
					t.Error("asked without a report")
				}
				if err := tracker.Apply(report("a", time.Now().UnixMilli()-1, 1, api.UpstreamReady), time.Now()); err != nil {
					t.Fatal(err)
				}
				c.Wake()
				synctest.Wait()
				if tc.ready != tracker.Current().Ready() {
					t.Errorf("after the first response: %+v", tracker.Current())
				}
				time.Sleep(10 * time.Second)
				// Each request costs a slot of the upstream: 5 s hold 10 of them.
				if n := asked.Load(); tc.ready && n != 1 || n > 10 {
					t.Errorf("%d health requests", n)
				}
				if tc.ready != tracker.Current().Ready() {
					t.Errorf("after 10 s: %+v", tracker.Current())
				}
			})
		})
	}
}

// An upstream without a free slot answers late or refuses the health request; it must
// not stay out of use once it has answered.
func TestHealthRequestIsRepeatedUntilAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := &Tracker{Service: "s", Address: "h:1"}
		tracker.DoubtReady(time.Now())
		_ = tracker.Apply(report("a", time.Now().UnixMilli()-1, 1, api.UpstreamReady), time.Now())
		asked := 0
		c := &Confirmer{Tracker: tracker, Ask: func(ctx context.Context, _ Report) Health {
			switch asked++; asked {
			case 1:
				<-ctx.Done()
				return Health{}
			case 2:
				return Health{}
			}
			return Health{Instance: "a"}
		}}
		began := time.Now()
		c.Run(t.Context(), began)
		if took := time.Since(began); !tracker.Current().Ready() || took > healthTimeout+3*firstHealthPause {
			t.Errorf("after %v: %+v", took, tracker.Current())
		}
	})
}

// A health response may be wrong: while the store is in trouble it must not confirm a
// report that may be seconds late, nor a copy of it.
func TestEarlyReportIsNotConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := &Tracker{Service: "s", Address: "h:1"}
		tracker.DoubtReady(time.Now())
		started := time.Now().UnixMilli() - 1
		c := &Confirmer{Tracker: tracker, Ask: func(context.Context, Report) Health { return Health{Instance: "a"} }}
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		apply := func(sequence uint64) {
			if err := tracker.Apply(report("a", started, sequence, api.UpstreamReady), time.Now()); err != nil {
				t.Fatal(err)
			}
			c.Wake()
			synctest.Wait()
		}
		apply(7)
		time.Sleep(time.Second)
		go c.Run(ctx, time.Now())
		apply(7)
		apply(6)
		if tracker.Current() != nil {
			t.Errorf("confirmed by an early report: %+v", tracker.Current())
		}
		apply(8)
		if !tracker.Current().Ready() {
			t.Error("the report that was received later is not confirmed")
		}
	})
}
