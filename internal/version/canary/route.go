package canary

import "time"

// routeAnalyzer holds the data of one route.
type routeAnalyzer struct {
	// oldSlots and newSlots hold the latest slots of each version; index 0 is
	// the open slot.
	oldSlots [baselineSlots + 1]Counts
	newSlots [baselineSlots + 1]Counts
	// baseline counts the old version's earlier runs, older runs weighing less.
	baseline decayedCounts
	// The totals are shown to operators; stepRuns counts the new version's runs
	// at this step.
	oldTotal Counts
	newTotal Counts
	stepRuns uint64
	// slowBucket is the highest bucket whose runs are not slow; 0 while it is
	// unknown.
	slowBucket int
	series
	// recentRuns counts the new version's runs, older ones weighing less.
	recentRuns float64
	// oldSinceReduction counts the old version's runs since the share was
	// reduced.
	oldSinceReduction Counts
	// oldDuringHardFailure counts the old version's runs while gates report
	// hard failures on this route; lastHardFailure is the time of the latest
	// such report.
	oldDuringHardFailure Tally
	lastHardFailure      time.Time
}

// decayedCounts is Counts with exponentially decaying weights.
type decayedCounts struct {
	runs     float64
	failures float64
	buckets  [bucketCount]float64
}

func (d *decayedCounts) add(c Counts) {
	d.runs = d.runs*decayPerSlot + float64(c.Runs)
	d.failures = d.failures*decayPerSlot + float64(c.Failures)
	for i := range d.buckets {
		d.buckets[i] = d.buckets[i]*decayPerSlot + float64(c.Buckets[i])
	}
}

func (d *decayedCounts) timedRuns() float64 {
	n := 0.0
	for _, b := range d.buckets {
		n += b
	}
	return n
}

// slowBucket returns the lowest bucket whose upper bound is exceeded by at most
// slowFraction of the runs; false while there is too little data.
func (d *decayedCounts) slowBucket() (int, bool) {
	n := d.timedRuns()
	if n < minTimedRuns {
		return 0, false
	}
	above := 0.0
	for i := bucketCount - 1; i >= 0; i-- {
		above += d.buckets[i]
		if above > slowFraction*n {
			return i, true
		}
	}
	return 0, true
}

// analyzeSlot returns the samples of the slot before the one that just ended and
// passes them to the detectors. The slots on either side of it are complete.
func (ra *routeAnalyzer) analyzeSlot() [metricCount]Sample {
	const at = 1
	if bucket, ok := ra.baseline.slowBucket(); ok {
		ra.slowBucket = bucket
	}
	var out [metricCount]Sample
	for m := range metricCount {
		if m == metricSlow && ra.slowBucket == 0 {
			continue
		}
		out[m] = ra.sample(m)
		out[m].New = ra.tally(m, ra.newSlots[at])
		ra.update(m, out[m])
	}
	return out
}

// endSlot closes the open slot. The baseline is frozen while there is a
// warning, so that a general slowdown doesn't become part of it.
func (ra *routeAnalyzer) endSlot(hasWarning bool) {
	if !hasWarning {
		ra.baseline.add(ra.oldSlots[baselineSlots-1])
	}
	ra.recentRuns = ra.recentRuns*decayPerSlot + float64(ra.newSlots[0].Runs)
	shiftSlots(&ra.oldSlots)
	shiftSlots(&ra.newSlots)
}

// sample returns a sample with the old version's latest slots and without runs
// of the new version.
func (ra *routeAnalyzer) sample(m metric) Sample {
	s := Sample{Baseline: ra.baselineTally(m), PriorRate: priorRates[m], RecentRuns: ra.recentRuns}
	for i := range s.Old {
		s.Old[baselineSlots-1-i] = ra.tally(m, ra.oldSlots[i])
	}
	return s
}

// pendingSample returns the failures of the slots that are not analyzed yet.
func (ra *routeAnalyzer) pendingSample() Sample {
	s := ra.sample(metricFailures)
	for i := range 2 {
		s.New.add(ra.tally(metricFailures, ra.newSlots[i]))
	}
	return s
}

// shiftSlots moves each slot one index up and clears the open slot.
func shiftSlots(slots *[baselineSlots + 1]Counts) {
	copy(slots[1:], slots[:baselineSlots])
	slots[0] = Counts{}
}

// tally extracts one metric from counts.
func (ra *routeAnalyzer) tally(m metric, c Counts) Tally {
	if m == metricFailures {
		return Tally{Runs: float64(c.Runs), Bad: float64(c.Failures)}
	}
	var out Tally
	for i, n := range c.Buckets {
		out.Runs += float64(n)
		if i > ra.slowBucket {
			out.Bad += float64(n)
		}
	}
	return out
}

// failedOrSlow counts the runs that failed or were slow as bad.
func (ra *routeAnalyzer) failedOrSlow(c Counts) Tally {
	t := ra.tally(metricFailures, c)
	if ra.slowBucket > 0 {
		t.Bad = min(t.Bad+ra.tally(metricSlow, c).Bad, t.Runs)
	}
	return t
}

func (ra *routeAnalyzer) baselineTally(m metric) Tally {
	if m == metricFailures {
		return Tally{Runs: ra.baseline.runs, Bad: ra.baseline.failures}
	}
	var out Tally
	for i, n := range ra.baseline.buckets {
		out.Runs += n
		if i > ra.slowBucket {
			out.Bad += n
		}
	}
	return out
}
