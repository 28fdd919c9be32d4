package canary

import "math"

// FixedThreshold detects a rate of bad runs above a fixed limit, without regard
// to the old version.
type FixedThreshold struct {
	// MaxRate is the rate at which a regression is reported.
	MaxRate float64
	// MinRuns is the smallest number of runs that a rate is computed from.
	MinRuns float64
	recent  Tally
}

// Update implements Detector.
func (f *FixedThreshold) Update(s Sample) float64 {
	f.recent.add(s.New)
	if f.recent.Runs < f.MinRuns {
		return 0
	}
	rate := f.recent.Bad / f.recent.Runs
	f.recent = Tally{}
	return binaryScore(rate >= f.MaxRate)
}

// Preview implements Detector.
func (f *FixedThreshold) Preview(Sample) float64 { return 0 }

// ProportionTest tests the difference of proportions between the versions over
// a sliding window of slots.
type ProportionTest struct {
	// MaxStdErrors is the difference, in standard errors, at which a regression
	// is reported.
	MaxStdErrors float64
	// WindowSlots is the length of the window.
	WindowSlots int
	window      []Sample
}

// Update implements Detector.
func (p *ProportionTest) Update(s Sample) float64 {
	p.window = append(p.window, s)
	if len(p.window) > p.WindowSlots {
		p.window = p.window[1:]
	}
	var newer, older Tally
	for _, w := range p.window {
		newer.add(w.New)
		older.add(w.Old[baselineSlots/2])
	}
	if newer.Runs == 0 || older.Runs == 0 {
		return 0
	}
	pooled := (newer.Bad + older.Bad) / (newer.Runs + older.Runs)
	stdError := math.Sqrt(pooled * (1 - pooled) * (1/newer.Runs + 1/older.Runs))
	if stdError == 0 {
		return 0
	}
	return binaryScore(newer.Bad/newer.Runs-older.Bad/older.Runs >= p.MaxStdErrors*stdError)
}

// Preview implements Detector.
func (p *ProportionTest) Preview(Sample) float64 { return 0 }

// binaryScore is the score of a detector that gives no warnings.
func binaryScore(bad bool) float64 {
	if bad {
		return 1
	}
	return 0
}

// NeverDetect never reports a regression, so steps depend on time alone.
type NeverDetect struct{}

// Update implements Detector.
func (NeverDetect) Update(Sample) float64 { return 0 }

// Preview implements Detector.
func (NeverDetect) Preview(Sample) float64 { return 0 }
