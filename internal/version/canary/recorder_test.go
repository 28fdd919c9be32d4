package canary

import (
	"testing"
	"time"
)

var t0 = time.Unix(1_000_000_000, 0)

// newWarmRecorder returns a recorder of an upstream that is no longer cold at
// t0.
func newWarmRecorder() *Recorder { return NewRecorder(t0.Add(-time.Hour)) }

func onlyRouteCounts(t *testing.T, r *Recorder) Counts {
	t.Helper()
	all := r.Counts()
	if len(all) != 1 {
		t.Fatalf("%d routes", len(all))
	}
	return unpack(all[0])
}

func timedRunCount(c Counts) (n uint64) {
	for _, b := range c.Buckets {
		n += b
	}
	return n
}

func TestSimultaneousConnectionLossesCountAsOneFailure(t *testing.T) {
	r := newWarmRecorder()
	var running []*InFlight
	for range 10 {
		running = append(running, r.Begin("status", t0))
	}
	for _, c := range running {
		c.End(ConnectionLost, t0.Add(10*time.Millisecond))
	}
	if c := onlyRouteCounts(t, r); c.Failures != 1 || c.Runs != 1 {
		t.Errorf("%d failures of %d runs", c.Failures, c.Runs)
	}
	if reason, _ := r.DetectHardFailure(t0.Add(20 * time.Millisecond)); reason != "" {
		t.Errorf("lost connections are a hard failure: %s", reason)
	}
	r.Begin("status", t0.Add(2*connectionLossWindow)).End(ConnectionLost, t0.Add(2*connectionLossWindow))
	if c := onlyRouteCounts(t, r); c.Failures != 2 {
		t.Errorf("%d failures after another lost connection, want 2", c.Failures)
	}
}

func TestCallsNotExecutedAreNotCounted(t *testing.T) {
	r := newWarmRecorder()
	r.Begin("status", t0).End(NotExecuted, t0.Add(time.Second))
	if c := onlyRouteCounts(t, r); c.Runs != 0 {
		t.Errorf("%d runs", c.Runs)
	}
}

func TestColdUpstreamCountsFailuresButNoRunTimes(t *testing.T) {
	r := NewRecorder(t0)
	r.Begin("status", t0.Add(time.Second)).End(Succeeded, t0.Add(3*time.Second))
	r.Begin("status", t0.Add(time.Second)).End(Failed, t0.Add(3*time.Second))
	if c := onlyRouteCounts(t, r); timedRunCount(c) != 0 || c.Failures != 1 || c.Runs != 2 {
		t.Errorf("%+v", c)
	}
	late := t0.Add(coldDuration)
	r.Begin("status", late).End(Succeeded, late.Add(time.Millisecond))
	if c := onlyRouteCounts(t, r); timedRunCount(c) != 1 {
		t.Errorf("%d timed runs of a warm upstream", timedRunCount(c))
	}
}

func TestHangingCallIsCountedOnce(t *testing.T) {
	r := newWarmRecorder()
	r.SetSlowThresholds([]SlowThreshold{{Route: "status", Duration: 20 * time.Millisecond}})
	c := r.Begin("status", t0)
	r.DetectHardFailure(t0.Add(59 * time.Millisecond))
	if n := timedRunCount(onlyRouteCounts(t, r)); n != 0 {
		t.Errorf("%d slow runs before three times the slow threshold", n)
	}
	r.DetectHardFailure(t0.Add(100 * time.Millisecond))
	r.DetectHardFailure(t0.Add(200 * time.Millisecond))
	if n := timedRunCount(onlyRouteCounts(t, r)); n != 1 {
		t.Errorf("%d slow runs while the call hangs, want 1", n)
	}
	c.End(Succeeded, t0.Add(time.Second))
	if got := onlyRouteCounts(t, r); timedRunCount(got) != 1 || got.Runs != 1 {
		t.Errorf("hanging call counted twice: %+v", got)
	}
}

func TestFailureStreakIsHardFailureUntilItExpires(t *testing.T) {
	r := newWarmRecorder()
	for range hardFailureStreak {
		r.Begin("status", t0).End(Failed, t0)
	}
	if reason, route := r.DetectHardFailure(t0); reason == "" || route != "status" || !r.HasHardFailure("status", t0) {
		t.Errorf("no hard failure: %q on %q", reason, route)
	}
	if r.HasHardFailure("credit", t0) || r.HasHardFailure("status", t0.Add(hardFailureTTL)) {
		t.Error("hard failure on another route, or after it expired")
	}
	r.Begin("status", t0).End(Succeeded, t0)
	if r.HasHardFailure("status", t0) {
		t.Error("hard failure after a success")
	}
}

func TestShedCallsAreFailuresButNoHardFailure(t *testing.T) {
	r := newWarmRecorder()
	for range 2 * hardFailureStreak {
		r.Begin("status", t0).End(Shed, t0)
	}
	if c := onlyRouteCounts(t, r); c.Failures != 2*hardFailureStreak || r.HasHardFailure("status", t0) {
		t.Errorf("%d failures, hard failure %v", c.Failures, r.HasHardFailure("status", t0))
	}
}
