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
		{"draining whatever its sequence", []Report{report("a", 5, 900, ready), report("a", 5, 3, draining)}, "a", 5, draining},
		{"draining, then ready with a far higher sequence", []Report{report("a", 5, 3, draining), report("a", 5, 900, ready)}, "a", 5, draining},
		{"deregistered before any report of its start", []Report{report("a", 5, 3, ready), {ID: "a", StartedMillis: 6, State: down}, report("a", 6, 1, ready)}, "a", 6, down},
		{"next instance deregistered before any report", []Report{report("a", 5, 3, ready), {ID: "b", StartedMillis: 6, State: down}, report("b", 6, 1, ready)}, "b", 6, down},
		{"next instance deregistered, start unknown", []Report{report("a", 5, 3, ready), {ID: "b", State: down}}, "a", 5, ready},
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

func TestReportWithTheSameSequenceChangesNothing(t *testing.T) {
	tracker := &Tracker{Service: "s", Address: "h:1"}
	_ = tracker.Apply(report("a", 5, 3, api.UpstreamReady), now)
	other := report("a", 5, 3, api.UpstreamReady)
	other.Slots, other.Version = 99, "v2"
	_ = tracker.Apply(other, now)
	if c := tracker.Current(); c.Slots != 10 || c.Version != "v1" {
		t.Errorf("%+v", c)
	}
}

// One report with a start in microseconds made all reports of the instance itself look
// old: its draining and its deregistration were acknowledged and ignored.
func TestReportOfAnImpossibleStartIsRejected(t *testing.T) {
	for _, state := range []api.UpstreamState{api.UpstreamReady, api.UpstreamDraining, api.UpstreamDown} {
		tracker := &Tracker{Service: "s", Address: "h:1"}
		started := now.UnixMilli() - 5
		_ = tracker.Apply(report("a", started, 1, api.UpstreamReady), now)
		if err := tracker.Apply(report("a", started*1000, 1, state), now); api.CodeOf(err, api.OK) != api.OperatorBody {
			t.Errorf("%s: %v", state, err)
		}
		if c := tracker.Current(); !c.Ready() || c.StartedMillis != started {
			t.Errorf("%s: %+v", state, c)
		}
		_ = tracker.Apply(report("a", started, 2, api.UpstreamDraining), now)
		if tracker.Current().Ready() {
			t.Errorf("%s: the draining instance is still ready", state)
		}
	}
	tracker := &Tracker{Service: "s", Address: "h:1"}
	if err := tracker.Apply(report("a", now.Add(MaxStartAhead/2).UnixMilli(), 1, api.UpstreamReady), now); err != nil || !tracker.Current().Ready() {
		t.Errorf("a start that a clock set back explains: %v", err)
	}
}

// After a report with a sequence that is too large, an instance that the gate had found
// unreachable was never used again: its own reports looked old.
func TestReportOfAnImpossibleSequenceIsRejected(t *testing.T) {
	tracker := &Tracker{Service: "s", Address: "h:1"}
	started := now.Add(-time.Hour).UnixMilli()
	_ = tracker.Apply(report("a", started, 2400, api.UpstreamReady), now)
	for _, sequence := range []uint64{1 << 20, 1 << 62} {
		if err := tracker.Apply(report("a", started, sequence, api.UpstreamReady), now); api.CodeOf(err, api.OK) != api.OperatorBody {
			t.Errorf("sequence %d: %v", sequence, err)
		}
	}
	tracker.MarkUnreachable("a")
	if err := tracker.Apply(report("a", started, 2401, api.UpstreamReady), now); err != nil || !tracker.Current().Ready() {
		t.Errorf("the instance's own report: %v, %+v", err, tracker.Current())
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

// A node that has just started may not know that the instance has left: no report
// makes it ready before Release, while a draining one takes effect at once.
func TestReadyReportsTakeEffectOnRelease(t *testing.T) {
	tracker := &Tracker{Service: "s", Address: "h:1"}
	tracker.HoldReady()
	for _, r := range []Report{report("a", 5, 3, api.UpstreamReady), report("a", 5, 5, api.UpstreamReady), report("a", 5, 4, api.UpstreamReady), report("b", 4, 9, api.UpstreamReady)} {
		if err := tracker.Apply(r, now); err != nil || tracker.Current() != nil {
			t.Fatalf("%+v: %v, instance %+v", r, err, tracker.Current())
		}
	}
	tracker.Release()
	if c := tracker.Current(); !c.Ready() || c.ID != "a" || c.Sequence != 5 || !c.ReportedAt.Equal(now) {
		t.Errorf("after the release: %+v", c)
	}
	tracker.HoldReady()
	if err := tracker.Apply(report("a", 5, 6, api.UpstreamDraining), now); err != nil || tracker.Current().Ready() {
		t.Errorf("a draining report was held back: %v", err)
	}
	tracker.Release()
	if tracker.Current().Ready() {
		t.Error("the release made a draining instance ready")
	}
}

func TestRestoredDepartureEndsItsStartAndEarlierOnes(t *testing.T) {
	ready, draining, down := api.UpstreamReady, api.UpstreamDraining, api.UpstreamDown
	left := now.UnixMilli()
	for _, tc := range []struct {
		name string
		// before and after are the reports before and after the departure, of
		// instance "a" started at started.
		before  []Report
		started int64
		after   []Report
		id      string
		start   int64
		state   api.UpstreamState
	}{
		{"nothing else known", nil, 5, nil, "a", 5, down},
		{"late report", nil, 5, []Report{report("a", 5, 9, ready)}, "a", 5, down},
		{"report of an earlier instance", nil, 5, []Report{report("b", 4, 9, ready)}, "a", 5, down},
		{"new start under the same id", nil, 5, []Report{report("a", 6, 1, ready)}, "a", 6, ready},
		{"next instance", nil, 5, []Report{report("b", 6, 1, ready)}, "b", 6, ready},
		{"start unknown, late report", nil, 0, []Report{report("a", left-1, 9, ready)}, "a", 0, down},
		{"start unknown, new start", nil, 0, []Report{report("a", left+1, 1, ready)}, "a", left + 1, ready},
		{"heard late, same start ready", []Report{report("a", 5, 3, ready)}, 5, nil, "a", 5, down},
		{"heard late, same start draining", []Report{report("a", 5, 3, draining)}, 5, nil, "a", 5, draining},
		{"heard late, start unknown", []Report{report("a", 5, 3, ready)}, 0, nil, "a", 5, down},
		{"heard late, later start ready", []Report{report("a", 6, 1, ready)}, 5, nil, "a", 6, ready},
		{"heard late, later start in spite of an unknown one", []Report{report("a", left+1, 1, ready)}, 0, nil, "a", left + 1, ready},
		{"heard late, next instance ready", []Report{report("b", 6, 1, ready)}, 5, nil, "b", 6, ready},
		{"heard late, earlier start draining", []Report{report("a", 4, 3, draining)}, 5, []Report{report("a", 5, 9, ready)}, "a", 5, down},
		{"heard late, earlier instance ready", []Report{report("b", 4, 3, ready)}, 5, []Report{report("a", 5, 9, ready)}, "a", 5, down},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tracker := &Tracker{Service: "s", Address: "h:1"}
			for _, r := range tc.before {
				_ = tracker.Apply(r, now)
			}
			tracker.RestoreDeparture("a", tc.started, now)
			for _, r := range tc.after {
				_ = tracker.Apply(r, now)
			}
			if c := tracker.Current(); c.ID != tc.id || c.StartedMillis != tc.start || c.State != tc.state {
				t.Errorf("instance %s started %d %s, want %s started %d %s", c.ID, c.StartedMillis, c.State, tc.id, tc.start, tc.state)
			}
		})
	}
}

// A heartbeat that was sent before the upstream became cold again must not end the
// warm-up that a later health response gave. A new start has only its own.
func TestLaterEndOfWarmupOfReportAndHealthResponseApplies(t *testing.T) {
	tracker := &Tracker{Service: "s", Address: "h:1"}
	apply := func(started int64, sequence uint64, left time.Duration) time.Time {
		r := report("a", started, sequence, api.UpstreamReady)
		r.WarmupLeft = left
		if err := tracker.Apply(r, now); err != nil {
			t.Fatal(err)
		}
		return tracker.Current().WarmupEnd
	}
	cold := now.Add(3 * time.Second)
	apply(5, 1, 0)
	tracker.MarkCold("b", cold)
	if end := tracker.Current().WarmupEnd; end.After(now) {
		t.Errorf("the response of another instance applied: %v", end)
	}
	tracker.MarkCold("a", cold)
	if end := tracker.Current().WarmupEnd; !end.Equal(cold) {
		t.Errorf("after the health response: %v", end)
	}
	if end := apply(5, 2, 0); !end.Equal(cold) {
		t.Errorf("after a warm report: %v", end)
	}
	if end := apply(5, 3, 4*time.Second); !end.Equal(now.Add(4 * time.Second)) {
		t.Errorf("after a colder report: %v", end)
	}
	if end := apply(6, 1, 0); end.After(now) {
		t.Errorf("after a new start: %v", end)
	}
}

// A process that may have forgotten a departure must not take a report of that start for
// news; a start since then, and what takes an upstream out of use, apply at once.
func TestDoubtedReportsTakeEffectOnlyWhenTrusted(t *testing.T) {
	started := now.UnixMilli()
	doubting := func() *Tracker {
		tracker := &Tracker{Service: "s", Address: "h:1"}
		tracker.DoubtReady(now)
		_ = tracker.Apply(report("a", started-1, 3, api.UpstreamReady), now)
		return tracker
	}
	for name, tc := range map[string]struct {
		play    func(*Tracker)
		ready   bool
		doubted bool
	}{
		"doubted":            {func(*Tracker) {}, false, true},
		"unknown start":      {func(tr *Tracker) { _ = tr.Apply(report("a", 0, 9, api.UpstreamReady), now) }, false, true},
		"trusted":            {(*Tracker).Trust, true, false},
		"only later reports": {(*Tracker).TrustLaterReports, false, false},
		"a later report": {func(tr *Tracker) {
			tr.TrustLaterReports()
			_ = tr.Apply(report("a", started-1, 4, api.UpstreamReady), now)
		}, true, false},
		"a copy of the dropped report": {func(tr *Tracker) {
			tr.TrustLaterReports()
			_ = tr.Apply(report("a", started-1, 3, api.UpstreamReady), now)
		}, false, false},
		"a later start":         {func(tr *Tracker) { _ = tr.Apply(report("a", started, 1, api.UpstreamReady), now) }, true, true},
		"draining, then trust":  {func(tr *Tracker) { _ = tr.Apply(report("a", started-1, 2, api.UpstreamDraining), now); tr.Trust() }, false, false},
		"departure, then trust": {func(tr *Tracker) { tr.RestoreDeparture("a", started-1, now); tr.Trust() }, false, false},
		"trusted while held": {func(tr *Tracker) {
			tr.HoldReady()
			_ = tr.Apply(report("a", started-1, 4, api.UpstreamReady), now)
			tr.Trust()
		}, false, false},
		"released while doubted": {func(tr *Tracker) { tr.HoldReady(); tr.Release() }, false, true},
		"later start held, only later reports": {func(tr *Tracker) {
			tr.HoldReady()
			_ = tr.Apply(report("a", started, 1, api.UpstreamReady), now)
			tr.TrustLaterReports()
			tr.Release()
		}, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := doubting()
			tc.play(tracker)
			if c := tracker.Current(); (c != nil && c.Ready()) != tc.ready {
				t.Errorf("instance %+v, want ready %v", c, tc.ready)
			}
			if _, doubted := tracker.Doubted(now); doubted != tc.doubted {
				t.Errorf("doubted %v, want %v", doubted, tc.doubted)
			}
		})
	}
}

// Instances that do not tell their start differ by their ID alone: after one whose report
// was dropped, the first report of the next one counts.
func TestDroppedReportDoesNotHideAnotherInstanceOfUnknownStart(t *testing.T) {
	tracker := &Tracker{Service: "s", Address: "h:1"}
	tracker.DoubtReady(now)
	_ = tracker.Apply(report("a", 0, 9, api.UpstreamReady), now)
	tracker.TrustLaterReports()
	_ = tracker.Apply(report("a", 0, 9, api.UpstreamReady), now)
	if tracker.Current() != nil {
		t.Errorf("a copy of the dropped report applied: %+v", tracker.Current())
	}
	_ = tracker.Apply(report("b", 0, 1, api.UpstreamReady), now)
	if c := tracker.Current(); c == nil || !c.Ready() {
		t.Errorf("the next instance: %+v", c)
	}
}
