package canary

import "math"

// Tally counts runs and the bad ones among them.
type Tally struct {
	Runs float64
	Bad  float64
}

func (t *Tally) add(o Tally) {
	t.Runs += o.Runs
	t.Bad += o.Bad
}

// smoothed returns the rate of bad runs, shrunk towards prior with the weight
// of that many runs.
func (t Tally) smoothed(prior, weight float64) float64 {
	return (t.Bad + prior*weight) / (t.Runs + weight)
}

// Sample holds the data of one slot for one metric of one route.
type Sample struct {
	// New counts the new version's runs in the slot. Old counts the old
	// version's runs in the slot before, the same slot and the slot after,
	// since reports of different gates arrive up to a slot apart.
	New Tally
	Old [baselineSlots]Tally
	// Baseline counts the old version's earlier runs, older runs weighing less.
	Baseline Tally
	// PriorRate is the rate of bad runs assumed while there is little data.
	PriorRate float64
	// RecentRuns is the number of the new version's recent runs. The more there
	// are, the more often a detector raises a false alarm by chance.
	RecentRuns float64
}

// oldRuns returns the old version's runs around the slot.
func (s Sample) oldRuns() Tally {
	var all Tally
	for _, o := range s.Old {
		all.add(o)
	}
	return all
}

// merge adds the sample of another route for the same slot.
func (s *Sample) merge(o Sample) {
	s.New.add(o.New)
	for i := range s.Old {
		s.Old[i].add(o.Old[i])
	}
	s.Baseline.add(o.Baseline)
	s.PriorRate = max(s.PriorRate, o.PriorRate)
	s.RecentRuns += o.RecentRuns
}

// Detector is a sequential test for a regression in one metric of one route.
type Detector interface {
	// Update takes the next sample and returns the score: 1 and above is proof
	// of a regression, warningScore and above is a warning, and below 0 means
	// that an alarm was dropped because the old version degraded, too.
	Update(s Sample) float64
	// Preview returns the score that s would give, without changing the
	// detector.
	Preview(s Sample) float64
}

// DetectorFactory creates the detector of one metric.
type DetectorFactory func() Detector

// Scores below proof: warningScore holds the next step, strongWarningScore
// keeps a rollout from being completed.
const (
	warningScore          = 0.5
	strongWarningScore    = 0.8
	baselineDegradedScore = -1
)

// Weights, in runs, of the rate that an estimate is shrunk towards: the prior
// rate for the baseline, the baseline for one slot.
const (
	priorWeight = 50
	slotWeight  = 20
)

// Alternative hypotheses tested against the old version's rate.
const (
	// severeRate is the failure rate of a severely bad version.
	severeRate = 0.5
	// moderateFactor and moderateRise give the rate of a moderately bad
	// version.
	moderateFactor = 4
	moderateRise   = 0.05
	// slackFactor and slackRise raise the old version's rate to allow for the
	// error of its estimate.
	slackFactor = 1.5
	slackRise   = 0.002
	maxRate     = 0.95
)

// Log-likelihood ratios at which the old version's runs during an alarm count
// as healthy, and as degraded like the new version's.
const (
	healthyControlLLR  = 7
	degradedControlLLR = -3
)

// controlStartFraction is the fraction of the threshold from which runs count
// for the control. Below it a sum is noise, which may persist for long before a
// general slowdown; the old version's good runs during that time prove nothing
// about the slowdown.
const controlStartFraction = 0.2

// Cusum is a CUSUM detector. Slot by slot it adds up the log-likelihood ratio
// of the new version's runs under a worse rate against the old version's rate
// at the same time. A sum restarts at zero, so past good calls don't hide a
// fault that shows late. Two alternatives are tested, a severe and a moderate
// regression.
//
// A sum over the threshold is proof only if the old version's runs at the time
// of the bad ones (the control) show that it is as good as before: in a general
// slowdown they are as slow. Runs of the old version from before a slowdown
// must not count, so the control takes only the slots with more bad runs than
// usual and the slots after them.
type Cusum struct {
	margin     float64
	excursions [2]excursion
}

// excursion is a sum above zero with the runs that led to it.
type excursion struct {
	sum     float64
	newRuns Tally
	// control counts the old version's runs at the time of the bad ones.
	control Tally
	// controlHasNextSlot reports whether control already includes the next
	// slot.
	controlHasNextSlot bool
}

// NewCusum returns a detector whose threshold, a log-likelihood ratio, is
// margin plus the logarithm of the new version's recent runs, so that a false
// withdrawal is as unlikely on a busy route as on a quiet one.
func NewCusum(margin float64) *Cusum { return &Cusum{margin: margin} }

// minRecentRuns is the smallest number of recent runs used for a threshold.
const minRecentRuns = 50

// Preview implements Detector.
func (c *Cusum) Preview(s Sample) float64 {
	copied := *c
	return copied.Update(s)
}

// Update implements Detector.
func (c *Cusum) Update(s Sample) float64 {
	base := s.Baseline.smoothed(s.PriorRate, priorWeight)
	p0 := max(base, s.oldRuns().smoothed(base, slotWeight))
	p0 = min(p0*slackFactor+slackRise, maxRate)
	alternatives := [2]float64{
		min(max(severeRate, 2*p0), maxRate),
		min(max(moderateFactor*p0, p0+moderateRise), maxRate),
	}
	threshold := c.margin + math.Log(max(s.RecentRuns, minRecentRuns))
	first := c.excursions[0].update(s, p0, alternatives[0], base, threshold)
	second := c.excursions[1].update(s, p0, alternatives[1], base, threshold)
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

// addControl adds the old version's runs of a slot with more bad runs than
// usual and of the slot after it, each slot once. The slot before is left out
// because it may precede a general slowdown.
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

// confirm checks a sum over the threshold against the control.
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

// controlLLR returns the log-likelihood ratio of the old version's runs under
// its baseline rate against the rate that the new version shows. The shown rate
// is capped, because it is biased upwards when estimated from few runs that
// were selected for being bad.
func controlLLR(old Tally, base, shown float64) float64 {
	base = max(base, slackRise)
	shown = min(max(shown, 2*base), max(severeRate, 2*base), maxRate)
	return old.Bad*math.Log(base/shown) + (old.Runs-old.Bad)*math.Log((1-base)/(1-shown))
}
