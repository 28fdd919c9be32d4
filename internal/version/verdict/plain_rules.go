package verdict

import "math"

// Fixed is the rule of one threshold on the new version's rate of bad runs
// over the last runs, without regard to the old version.
type Fixed struct {
	// Limit is the rate that is proof.
	Limit float64
	// MinRuns is the fewest runs to judge by.
	MinRuns float64
	recent  Tally
}

// Step implements Rule.
func (f *Fixed) Step(s Sample) float64 {
	f.recent.add(s.New)
	if f.recent.Runs < f.MinRuns {
		return 0
	}
	rate := f.recent.Bad / f.recent.Runs
	f.recent = Tally{}
	return proven(rate >= f.Limit)
}

// Peek implements Rule.
func (f *Fixed) Peek(Sample) float64 { return 0 }

// Proportions is the rule of a difference of proportions between the versions
// over a sliding window of slots.
type Proportions struct {
	// Limit is the number of standard errors that is proof.
	Limit float64
	// Slots is the length of the window.
	Slots  int
	window []Sample
}

// Step implements Rule.
func (p *Proportions) Step(s Sample) float64 {
	p.window = append(p.window, s)
	if len(p.window) > p.Slots {
		p.window = p.window[1:]
	}
	var newer, older Tally
	for _, w := range p.window {
		newer.add(w.New)
		older.add(w.Old[oldOverlap/2])
	}
	if newer.Runs == 0 || older.Runs == 0 {
		return 0
	}
	pooled := (newer.Bad + older.Bad) / (newer.Runs + older.Runs)
	spread := math.Sqrt(pooled * (1 - pooled) * (1/newer.Runs + 1/older.Runs))
	if spread == 0 {
		return 0
	}
	return proven(newer.Bad/newer.Runs-older.Bad/older.Runs >= p.Limit*spread)
}

// Peek implements Rule.
func (p *Proportions) Peek(Sample) float64 { return 0 }

// proven is the score of a rule that knows no doubt.
func proven(bad bool) float64 {
	if bad {
		return 1
	}
	return 0
}

// Never is the rule that finds no fault: steps by the clock alone.
type Never struct{}

// Step implements Rule.
func (Never) Step(Sample) float64 { return 0 }

// Peek implements Rule.
func (Never) Peek(Sample) float64 { return 0 }
