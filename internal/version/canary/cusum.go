package canary

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
	// New are the new version's runs of the slot. Old are the old version's of
	// the slot before, the slot and the one after, since reports of different
	// gates arrive up to a slot apart.
	New Tally
	Old [baselineSlots]Tally
	// Baseline is the old version's record before, older runs weighing less.
	Baseline Tally
	// PriorRate is the rate of bad runs to expect while little is known.
	PriorRate float64
	// RecentRuns is the number of the new version's runs of late. The more there
	// are, the more often chance alone brings a suspicion about.
	RecentRuns float64
}

// beside returns the old version's runs around the slot.
func (s Sample) oldRuns() Tally {
	var all Tally
	for _, o := range s.Old {
		all.add(o)
	}
	return all
}

// join adds another route's sample of the same slot.
func (s *Sample) merge(o Sample) {
	s.New.add(o.New)
	for i := range s.Old {
		s.Old[i].add(o.Old[i])
	}
	s.Baseline.add(o.Baseline)
	s.PriorRate = max(s.PriorRate, o.PriorRate)
	s.RecentRuns += o.RecentRuns
}

// Detector decides on one test (failures or slow runs) of one route from a row of
// samples.
type Detector interface {
	// Update takes the next sample and returns the score: 1 and above is proof
	// against the new version, above doubtScore is doubt, and below 0 tells
	// that a suspicion was dropped since the old version showed the same.
	Update(s Sample) float64
	// Preview returns the score that s would give, and leaves the rule as it is.
	Preview(s Sample) float64
}

// DetectorFactory makes the rule of one test.
type DetectorFactory func() Detector

// Scores below proof: doubtScore holds the next step, graveScore keeps a move
// from being completed.
const (
	warningScore          = 0.5
	strongWarningScore    = 0.8
	baselineDegradedScore = -1
)

// Weights in runs of what a rate is drawn towards: the prior rate for the
// base, the base for one slot.
const (
	priorWeight = 50
	slotWeight  = 20
)

// Alternatives that are tested against the old version's rate.
const (
	// plainRate is the rate of a version that is plainly bad.
	severeRate = 0.5
	// worseFactor and worseRise give the rate of one that is somewhat bad.
	moderateFactor = 4
	moderateRise   = 0.05
	// slackFactor and slackRise widen the old rate for what its estimate may lack.
	slackFactor = 1.5
	slackRise   = 0.002
	maxRate     = 0.95
)

// Weight of evidence, as a log-likelihood ratio, that the old version is as
// good as ever beside a suspicion, and that it is as bad.
const (
	healthyControlLLR  = 7
	degradedControlLLR = -3
)

// stirring is the part of the threshold from which on runs count for the
// control. Below it a sum is noise, which may go on for long before a general
// slowdown, and the old version's good runs meanwhile say nothing of that.
const controlStartFraction = 0.2

// Cusum adds up, slot by slot, the log-likelihood ratio of the new version's
// runs under a worse rate against the old version's rate of the same time,
// and starts anew at zero, so that good calls of the past do not hide a fault
// that comes late. It follows two alternatives, plainly and somewhat worse.
//
// A sum over the threshold is proof only when the old version's runs beside
// the bad ones show that it is as good as before: in a general slowdown they
// are as slow. Runs of the old version from before a slowdown must not count,
// so only the slots with more bad runs than usual, and those after them, do.
type Cusum struct {
	margin     float64
	excursions [2]excursion
}

// excursion is a sum above zero with the runs that led to it.
type excursion struct {
	sum     float64
	newRuns Tally
	// control are the old version's runs beside the bad ones.
	control Tally
	// covered tells that control holds the next slot already.
	controlHasNextSlot bool
}

// NewCusum returns a rule whose threshold, a log-likelihood ratio, is margin
// above the logarithm of the new version's recent runs, so that a wrong
// withdrawal is as unlikely on a busy route as on a quiet one.
func NewCusum(margin float64) *Cusum { return &Cusum{margin: margin} }

// minRecent is the number of recent runs that a threshold reckons with at least.
const minRecentRuns = 50

// Preview implements Detector.
func (c *Cusum) Preview(s Sample) float64 {
	trial := *c
	return trial.Update(s)
}

// Update implements Detector.
func (c *Cusum) Update(s Sample) float64 {
	base := s.Baseline.smoothed(s.PriorRate, priorWeight)
	p0 := max(base, s.oldRuns().smoothed(base, slotWeight))
	p0 = min(p0*slackFactor+slackRise, maxRate)
	worse := [2]float64{
		min(max(severeRate, 2*p0), maxRate),
		min(max(moderateFactor*p0, p0+moderateRise), maxRate),
	}
	threshold := c.margin + math.Log(max(s.RecentRuns, minRecentRuns))
	first := c.excursions[0].update(s, p0, worse[0], base, threshold)
	second := c.excursions[1].update(s, p0, worse[1], base, threshold)
	if first < 0 && second < 1 {
		return first
	}
	return max(first, second)
}

func (e *excursion) update(s Sample, p0, p1, base, threshold float64) float64 {
	e.sum += s.New.Bad*math.Log(p1/p0) + (s.New.Runs-s.New.Bad)*math.Log((1-p1)/(1-p0))
	if e.sum <= 0 || p1 <= p0 {
		*e = excursion{}
		return 0
	}
	if e.sum < threshold*controlStartFraction {
		e.newRuns, e.control, e.controlHasNextSlot = Tally{}, Tally{}, false
	} else {
		e.newRuns.add(s.New)
		e.addControl(s, p0)
	}
	score := e.sum / threshold
	if score < 1 {
		return score
	}
	return e.confirm(base)
}

// beside adds the old version's runs of a slot with more bad runs than usual
// and of the slot after it, each slot once. The slot before is left out: it
// may lie before a general slowdown.
func (e *excursion) addControl(s Sample, p0 float64) {
	first := 1
	if e.controlHasNextSlot {
		first++
	}
	e.controlHasNextSlot = s.New.Bad > p0*s.New.Runs
	if !e.controlHasNextSlot {
		return
	}
	for _, o := range s.Old[first:] {
		e.control.add(o)
	}
}

// confirm weighs a sum over the threshold against the old version's runs.
func (e *excursion) confirm(base float64) float64 {
	switch c := controlLLR(e.control, base, e.newRuns.Bad/e.newRuns.Runs); {
	case c >= healthyControlLLR:
		return 1
	case c <= degradedControlLLR:
		*e = excursion{}
		return baselineDegradedScore
	default:
		return (1 + strongWarningScore) / 2
	}
}

// control returns the log-likelihood ratio of the old version's runs under
// its rate of before against the rate that the new version shows. Few runs
// that were picked for being bad show too high a rate, hence its bound.
func controlLLR(old Tally, base, shown float64) float64 {
	base = max(base, slackRise)
	shown = min(max(shown, 2*base), max(severeRate, 2*base), maxRate)
	return old.Bad*math.Log(base/shown) + (old.Runs-old.Bad)*math.Log((1-base)/(1-shown))
}
