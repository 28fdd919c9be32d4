package verdict

import "math"

// Tally is a number of runs and how many of them were bad.
type Tally struct {
	Runs float64
	Bad  float64
}

func (t *Tally) add(o Tally) {
	t.Runs += o.Runs
	t.Bad += o.Bad
}

// smoothed returns the rate of bad runs, drawn towards prior by weight runs.
func (t Tally) smoothed(prior, weight float64) float64 {
	return (t.Bad + prior*weight) / (t.Runs + weight)
}

// Sample is what one slot of time has shown for one test of one route.
type Sample struct {
	// New and Old are the runs of the slot; Old takes in its neighbours too,
	// since reports of different gates arrive up to a slot apart.
	New Tally
	Old Tally
	// Base is the old version's record before, older runs weighing less.
	Base Tally
}

// Rule decides on one test (failures or slow runs) of one route from a row of
// samples.
type Rule interface {
	// Step takes the next sample and returns the score: 1 and above is proof
	// against the new version, above doubtScore is doubt.
	Step(s Sample) float64
}

// NewRule makes the rule of one test.
type NewRule func() Rule

// doubtScore is the score that holds the next step.
const doubtScore = 0.5

// Prior of a route's rate of bad runs while little is known, and its weight
// in runs.
const (
	priorRate   = 0.005
	priorWeight = 50
	slotWeight  = 20
	burstWeight = 3
)

// Alternatives that are tested against the old version's rate.
const (
	// plainRate is the rate of a version that is plainly bad.
	plainRate = 0.5
	// worseFactor and worseRise give the rate of one that is somewhat bad.
	worseFactor = 4
	worseRise   = 0.05
	// slackFactor and slackRise widen the old rate for what its estimate may lack.
	slackFactor = 1.5
	slackRise   = 0.002
	maxRate     = 0.95
)

// minControl is the number of runs of the old version that must stand beside
// a suspicion before it is proof.
const minControl = 3

// Cusum adds up, slot by slot, the log-likelihood ratio of the new version's
// runs under a worse rate against the old version's rate of the same time,
// and starts anew at zero, so that good calls of the past do not hide a fault
// that comes late. It follows two alternatives, plainly and somewhat worse.
//
// A sum over the threshold is proof only when the old version's runs since the
// sum left zero do not explain it: in a general slowdown they are as slow.
type Cusum struct {
	threshold float64
	sums      [2]excursion
}

// excursion is a sum above zero with the runs that led to it.
type excursion struct {
	sum float64
	new Tally
	old Tally
}

// NewCusum returns a rule that asks for a log-likelihood ratio of threshold.
func NewCusum(threshold float64) *Cusum { return &Cusum{threshold: threshold} }

// Step implements Rule.
func (c *Cusum) Step(s Sample) float64 {
	base := s.Base.smoothed(priorRate, priorWeight)
	p0 := max(base, s.Old.smoothed(base, slotWeight))
	p0 = min(p0*slackFactor+slackRise, maxRate)
	worse := [2]float64{
		min(max(plainRate, 2*p0), maxRate),
		min(max(worseFactor*p0, p0+worseRise), maxRate),
	}
	score := 0.0
	for i := range c.sums {
		score = max(score, c.sums[i].step(s, p0, worse[i], base, c.threshold))
	}
	return score
}

func (e *excursion) step(s Sample, p0, p1, base, threshold float64) float64 {
	e.sum += s.New.Bad*math.Log(p1/p0) + (s.New.Runs-s.New.Bad)*math.Log((1-p1)/(1-p0))
	if e.sum <= 0 || p1 <= p0 {
		*e = excursion{}
		return 0
	}
	e.new.add(s.New)
	e.old.add(s.Old)
	score := e.sum / threshold
	if score < 1 {
		return score
	}
	return e.confirm(base, threshold)
}

// confirm weighs the whole excursion against the old version's runs in it.
// Old counts each run up to three times, as slots overlap; that is undone.
func (e *excursion) confirm(base, threshold float64) float64 {
	old := Tally{Runs: e.old.Runs / oldOverlap, Bad: e.old.Bad / oldOverlap}
	if old.Runs < minControl {
		return (1 + doubtScore) / 2
	}
	p0 := min(max(base, old.smoothed(base, burstWeight))*slackFactor+slackRise, maxRate)
	p := min(e.new.Bad/e.new.Runs, maxRate)
	ratio := 0.0
	if p > p0 {
		ratio = e.new.Bad*math.Log(p/p0) + (e.new.Runs-e.new.Bad)*math.Log((1-p)/(1-p0))
	}
	switch score := ratio / threshold; {
	case score >= 1:
		return score
	case score < doubtScore/2:
		*e = excursion{}
		return 0
	default:
		return min(score+doubtScore/2, (1+doubtScore)/2)
	}
}

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
	score := f.recent.Bad / f.recent.Runs / f.Limit
	f.recent = Tally{}
	return score
}

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
		older.add(Tally{Runs: w.Old.Runs / oldOverlap, Bad: w.Old.Bad / oldOverlap})
	}
	if newer.Runs == 0 || older.Runs == 0 {
		return 0
	}
	pooled := (newer.Bad + older.Bad) / (newer.Runs + older.Runs)
	spread := math.Sqrt(pooled * (1 - pooled) * (1/newer.Runs + 1/older.Runs))
	if spread == 0 {
		return 0
	}
	return max((newer.Bad/newer.Runs-older.Bad/older.Runs)/spread/p.Limit, 0)
}

// Never is the rule that finds no fault: steps by the clock alone.
type Never struct{}

// Step implements Rule.
func (Never) Step(Sample) float64 { return 0 }
