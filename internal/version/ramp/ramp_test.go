package ramp

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestShareRisesAndRolloutCompletesInTime(t *testing.T) {
	o := Order{Duration: 12 * time.Second}
	last := 0.0
	for at := time.Duration(0); at <= o.Duration; at += 10 * time.Millisecond {
		share := o.Share(at)
		if share < last || share > 1 {
			t.Fatalf("share %v after %v", share, last)
		}
		last = share
		if o.Complete(at) && share < 1 {
			t.Fatalf("complete at %v with a share of %v", at, share)
		}
	}
	if !o.Complete(o.Duration - time.Second) {
		t.Error("not complete a second before the end of its duration")
	}
}

func TestLatencyBucketIsMonotonic(t *testing.T) {
	last := -1
	for _, ms := range []int{0, 1, 2, 3, 4, 6, 8, 12, 100, 1000, 60_000, 10_000_000} {
		b := LatencyBucket(time.Duration(ms) * time.Millisecond)
		if b < last || b >= LatencyBuckets {
			t.Errorf("%d ms: bucket %d after %d", ms, b, last)
		}
		last = b
	}
}

// versionModel draws the runs of one version at random. Run times are around
// mean, in milliseconds; a run is factor times as long at the rate slow, and
// fails at the rate fails.
type versionModel struct {
	mean, fails, slow, factor float64
}

func (v versionModel) runs(n int, rng *rand.Rand) Tally {
	var t Tally
	for range n {
		ms := v.mean * (0.5 + rng.Float64())
		if rng.Float64() < v.slow {
			ms *= v.factor
		}
		if rng.Float64() < v.fails {
			t.Failed++
		}
		t.Latencies[LatencyBucket(time.Duration(ms)*time.Millisecond)]++
	}
	return t
}

func TestRegressedDetectsOnlyBadVersions(t *testing.T) {
	old := versionModel{mean: 220, fails: 0.01}
	for _, tc := range []struct {
		name  string
		older versionModel
		newer versionModel
		bad   bool
	}{
		{"like the old one", old, old, false},
		{"on slower upstreams", old, versionModel{mean: 400, fails: 0.01}, false},
		{"both fail for another reason", versionModel{mean: 220, fails: 0.3}, versionModel{mean: 220, fails: 0.3}, false},
		{"half of its runs fail", old, versionModel{mean: 220, fails: 0.5}, true},
		{"half of its runs take eight times as long", old, versionModel{mean: 220, slow: 0.5, factor: 8}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			wrong := 0
			for seed := range uint64(50) {
				rng := rand.New(rand.NewPCG(seed, 1))
				older := map[string]Tally{"r": tc.older.runs(500, rng)}
				newer := map[string]Tally{"r": tc.newer.runs(40, rng)}
				if Regressed(older, newer) != tc.bad {
					wrong++
				}
			}
			if wrong > 0 {
				t.Errorf("%d of 50 results are wrong after 40 runs", wrong)
			}
		})
	}
}

func TestRegressedDetectsFaultOfOneRoute(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	good := versionModel{mean: 220}
	older := map[string]Tally{"a": good.runs(2000, rng), "b": good.runs(200, rng)}
	newer := map[string]Tally{"a": good.runs(400, rng), "b": versionModel{mean: 220, fails: 0.6}.runs(20, rng)}
	if !Regressed(older, newer) {
		t.Error("regression not detected")
	}
}
