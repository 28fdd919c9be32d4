package canary

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// stream is one version's calls on one route, per slot.
type stream struct {
	perSlot int
	// fail is the rate of failures, slow that of runs of a second; the others
	// take 1 to 20 ms.
	fail float64
	slow float64
}

// judgeOf plays slots of two versions after a minute of good calls of both,
// and returns the first verdict with proof, or else the last one.
func judgeOf(t *testing.T, slots int, older, newer stream, rule DetectorFactory) Verdict {
	t.Helper()
	rng := rand.New(rand.NewPCG(3, 3))
	j := NewAnalyzer("v1", "v2", rule)
	recorders := map[string]*Recorder{"v1": warm(), "v2": warm()}
	now := t0
	tick := func(streams map[string]stream) {
		for _, version := range []string{"v1", "v2"} {
			s, r := streams[version], recorders[version]
			for range s.perSlot {
				took, outcome := time.Duration(1+rng.IntN(20))*time.Millisecond, Succeeded
				if rng.Float64() < s.slow {
					took = time.Second
				}
				if rng.Float64() < s.fail {
					outcome = Failed
				}
				r.Begin("status", now).End(outcome, now.Add(took))
			}
			j.Add(Report{Reporter: version, Incarnation: 1, Version: version, Routes: r.Counts()}, now)
		}
		now = now.Add(slotSpan)
	}
	usual := map[string]stream{"v1": {perSlot: 50}, "v2": {perSlot: 5}}
	for range 120 {
		tick(usual)
	}
	var v Verdict
	for range slots {
		tick(map[string]stream{"v1": older, "v2": newer})
		if v = j.Analyze(1, false, now); v.Regression != "" {
			break
		}
	}
	return v
}

func cusum() Detector { return NewCusum(8) }

func TestVerdictsOfCusum(t *testing.T) {
	for _, c := range []struct {
		name         string
		older, newer stream
		bad          bool
	}{
		{"both good", stream{perSlot: 50}, stream{perSlot: 20}, false},
		{"new fails", stream{perSlot: 50}, stream{perSlot: 5, fail: 0.6}, true},
		{"new fails now and then", stream{perSlot: 50}, stream{perSlot: 20, fail: 0.15}, true},
		{"new slow", stream{perSlot: 50}, stream{perSlot: 5, slow: 0.6}, true},
		{"both fail", stream{perSlot: 50, fail: 0.6}, stream{perSlot: 5, fail: 0.6}, false},
		{"both slow", stream{perSlot: 50, slow: 0.6}, stream{perSlot: 5, slow: 0.6}, false},
		{"both slow, few calls of the old version", stream{perSlot: 1, slow: 0.6}, stream{perSlot: 50, slow: 0.6}, false},
		{"old fails", stream{perSlot: 50, fail: 0.6}, stream{perSlot: 20}, false},
		{"no calls of the old version to compare", stream{}, stream{perSlot: 5, fail: 0.6}, false},
	} {
		v := judgeOf(t, 40, c.older, c.newer, cusum)
		if (v.Regression != "") != c.bad {
			t.Errorf("%s: %+v", c.name, v)
		}
	}
}

func TestASuspicionWithoutControlIsGraveDoubt(t *testing.T) {
	v := judgeOf(t, 20, stream{}, stream{perSlot: 5, fail: 0.6}, cusum)
	if v.Regression != "" || v.Warning == "" || !v.StrongWarning {
		t.Errorf("%+v", v)
	}
}

func TestReportsThatComeTwiceOrLateChangeNothing(t *testing.T) {
	r := warm()
	j := NewAnalyzer("v1", "v2", cusum)
	var reports []Report
	for range 5 {
		r.Begin("status", t0).End(Failed, t0)
		reports = append(reports, Report{Reporter: "a", Incarnation: 1, Version: "v2", Routes: r.Counts()})
	}
	for _, i := range []int{0, 2, 1, 4, 3, 4, 0} {
		j.Add(reports[i], t0)
	}
	if rows := fmt.Sprint(j.Evidence()); rows != fmt.Sprint(func() any {
		k := NewAnalyzer("v1", "v2", cusum)
		for _, one := range reports {
			k.Add(one, t0)
		}
		return k.Evidence()
	}()) {
		t.Errorf("rows %s", rows)
	}
}
