package localupstream

import (
	"testing"
	"time"

	"github.com/daisytide/daisytide/api"
)

var now = time.Unix(1000, 0)

func report(id string, started int64, sequence uint64, state api.UpstreamState) Report {
	return Report{ID: id, StartedMillis: started, Sequence: sequence, Service: "s", Address: "h:1", Version: "v1", Slots: 10, State: state}
}

func TestOnlyNewerReportsOfTheLatestInstanceApply(t *testing.T) {
	ready, draining, down := api.UpstreamReady, api.UpstreamDraining, api.UpstreamDown
	for _, tc := range []struct {
		name    string
		reports []Report
		id      string
		started int64
		state   api.UpstreamState
	}{
		{"first", []Report{report("a", 5, 3, ready)}, "a", 5, ready},
		{"draining", []Report{report("a", 5, 3, ready), report("a", 5, 4, draining)}, "a", 5, draining},
		{"late ready report of a draining instance", []Report{report("a", 5, 4, draining), report("a", 5, 3, ready)}, "a", 5, draining},
		{"draining instance is never ready again", []Report{report("a", 5, 4, draining), report("a", 5, 9, ready)}, "a", 5, draining},
		{"deregistered without draining", []Report{report("a", 5, 3, ready), {ID: "a", StartedMillis: 5, State: down}}, "a", 5, down},
		{"deregistered, then a duplicate report", []Report{report("a", 5, 3, ready), {ID: "a", StartedMillis: 5, State: down}, report("a", 5, 3, ready)}, "a", 5, down},
		{"deregistered, then a delayed later report", []Report{report("a", 5, 3, ready), {ID: "a", StartedMillis: 5, State: down}, report("a", 5, 4, ready)}, "a", 5, down},
		{"deregistered before any report, then a delayed report", []Report{{ID: "a", StartedMillis: 5, State: down}, report("a", 5, 4, ready)}, "a", 5, down},
		{"deregistered before any report, start unknown", []Report{{ID: "a", State: down}, report("a", 5, 20, ready)}, "a", 0, down},
		{"start unknown, then started again", []Report{{ID: "a", State: down}, report("a", now.UnixMilli()+1, 1, ready)}, "a", now.UnixMilli() + 1, ready},
		{"start unknown, then another instance", []Report{{ID: "a", State: down}, report("b", 6, 1, ready)}, "b", 6, ready},
		{"next instance", []Report{report("a", 5, 9, draining), report("b", 6, 1, ready)}, "b", 6, ready},
		{"old instance's late report", []Report{report("b", 6, 1, ready), report("a", 5, 9, ready)}, "b", 6, ready},
		{"old instance's late draining report", []Report{report("b", 6, 1, ready), report("a", 5, 9, draining)}, "b", 6, ready},
		{"old instance's late deregistration", []Report{report("b", 6, 1, ready), {ID: "a", StartedMillis: 5, State: down}}, "b", 6, ready},
		{"new start under the same id", []Report{report("a", 5, 9, ready), report("a", 6, 1, ready)}, "a", 6, ready},
		{"earlier start's deregistration under the same id", []Report{report("a", 6, 1, ready), {ID: "a", StartedMillis: 5, State: down}}, "a", 6, ready},
		{"report with the same sequence", []Report{report("a", 5, 3, ready), report("a", 5, 3, draining)}, "a", 5, ready},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tracker := &Tracker{Service: "s", Address: "h:1"}
			for _, r := range tc.reports {
				if err := tracker.Apply(r, now); err != nil {
					t.Fatal(err)
				}
			}
			if c := tracker.Current(); c.ID != tc.id || c.StartedMillis != tc.started || c.State != tc.state {
				t.Errorf("instance %s started %d %s, want %s started %d %s", c.ID, c.StartedMillis, c.State, tc.id, tc.started, tc.state)
			}
		})
	}
}

func TestReportsOfAnotherUpstreamAreRejected(t *testing.T) {
	tracker := &Tracker{Service: "s", Address: "h:1"}
	for _, r := range []Report{
		{ID: "a", Service: "other", Address: "h:1", State: api.UpstreamReady},
		{ID: "a", Service: "s", Address: "h:2", State: api.UpstreamReady},
	} {
		if err := tracker.Apply(r, now); api.CodeOf(err, api.OK) != api.OperatorBody {
			t.Errorf("%+v: %v", r, err)
		}
	}
	if tracker.Current() != nil {
		t.Error("a rejected report set an instance")
	}
}

func TestUnreachableInstanceIsNotReadyUntilItsNextReport(t *testing.T) {
	tracker := &Tracker{Service: "s", Address: "h:1"}
	_ = tracker.Apply(report("a", 5, 3, api.UpstreamReady), now)
	tracker.MarkUnreachable("other")
	if !tracker.Current().Ready() {
		t.Error("an unreachable other instance changed the state")
	}
	tracker.MarkUnreachable("a")
	if tracker.Current().Ready() {
		t.Error("the unreachable instance is still ready")
	}
	_ = tracker.Apply(report("a", 5, 4, api.UpstreamReady), now)
	if !tracker.Current().Ready() {
		t.Error("the next report did not make the instance ready")
	}
}
