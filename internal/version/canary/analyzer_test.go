package canary

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// callPattern describes one version's calls per slot on one route.
type callPattern struct {
	perSlot int
	// fail is the failure rate and slow the rate of runs that take a second;
	// other runs take 1 to 20 ms.
	fail float64
	slow float64
}

// analyze simulates the calls of two versions over a number of slots, after a
// minute of good calls to both. It returns the first result that proves a
// regression, or else the last one.
func analyze(t *testing.T, slots int, older, newer callPattern, newDetector DetectorFactory) Verdict {
	t.Helper()
	rng := rand.New(rand.NewPCG(3, 3))
	a := NewAnalyzer("v1", "v2", newDetector)
	recorders := map[string]*Recorder{"v1": newWarmRecorder(), "v2": newWarmRecorder()}
	now := t0
	tick := func(patterns map[string]callPattern) {
		for _, version := range []string{"v1", "v2"} {
			p, r := patterns[version], recorders[version]
			for range p.perSlot {
				took, outcome := time.Duration(1+rng.IntN(20))*time.Millisecond, Succeeded
				if rng.Float64() < p.slow {
					took = time.Second
				}
				if rng.Float64() < p.fail {
					outcome = Failed
				}
				r.Begin("status", now).End(outcome, now.Add(took))
			}
			a.Add(Report{Reporter: version, Incarnation: 1, Version: version, Routes: r.Counts()}, now)
		}
		now = now.Add(slotDuration)
	}
	healthy := map[string]callPattern{"v1": {perSlot: 50}, "v2": {perSlot: 5}}
	for range 120 {
		tick(healthy)
	}
	var v Verdict
	for range slots {
		tick(map[string]callPattern{"v1": older, "v2": newer})
		if v = a.Analyze(1, false, now); v.Regression != "" {
			break
		}
	}
	return v
}

func cusum() Detector { return NewCusum(8) }

func TestCusumDetectsOnlyRegressions(t *testing.T) {
	for _, c := range []struct {
		name         string
		older, newer callPattern
		bad          bool
	}{
		{"both good", callPattern{perSlot: 50}, callPattern{perSlot: 20}, false},
		{"new fails", callPattern{perSlot: 50}, callPattern{perSlot: 5, fail: 0.6}, true},
		{"new fails now and then", callPattern{perSlot: 50}, callPattern{perSlot: 20, fail: 0.15}, true},
		{"new slow", callPattern{perSlot: 50}, callPattern{perSlot: 5, slow: 0.6}, true},
		{"both fail", callPattern{perSlot: 50, fail: 0.6}, callPattern{perSlot: 5, fail: 0.6}, false},
		{"both slow", callPattern{perSlot: 50, slow: 0.6}, callPattern{perSlot: 5, slow: 0.6}, false},
		{"both slow, few calls of the old version", callPattern{perSlot: 1, slow: 0.6}, callPattern{perSlot: 50, slow: 0.6}, false},
		{"old fails", callPattern{perSlot: 50, fail: 0.6}, callPattern{perSlot: 20}, false},
		{"no calls of the old version to compare", callPattern{}, callPattern{perSlot: 5, fail: 0.6}, false},
	} {
		v := analyze(t, 40, c.older, c.newer, cusum)
		if (v.Regression != "") != c.bad {
			t.Errorf("%s: %+v", c.name, v)
		}
	}
}

func TestAlarmWithoutControlRunsIsStrongWarning(t *testing.T) {
	v := analyze(t, 20, callPattern{}, callPattern{perSlot: 5, fail: 0.6}, cusum)
	if v.Regression != "" || v.Warning == "" || !v.StrongWarning {
		t.Errorf("%+v", v)
	}
}

func TestDuplicateAndReorderedReportsAreIgnored(t *testing.T) {
	r := newWarmRecorder()
	a := NewAnalyzer("v1", "v2", cusum)
	var reports []Report
	for range 5 {
		r.Begin("status", t0).End(Failed, t0)
		reports = append(reports, Report{Reporter: "a", Incarnation: 1, Version: "v2", Routes: r.Counts()})
	}
	for _, i := range []int{0, 2, 1, 4, 3, 4, 0} {
		a.Add(reports[i], t0)
	}
	if rows := fmt.Sprint(a.Evidence()); rows != fmt.Sprint(func() any {
		once := NewAnalyzer("v1", "v2", cusum)
		for _, one := range reports {
			once.Add(one, t0)
		}
		return once.Evidence()
	}()) {
		t.Errorf("evidence after duplicate and reordered reports: %s", rows)
	}
}
