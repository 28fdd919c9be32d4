package canary

import "time"

// routeJudge holds what is known of one route.
type routeAnalyzer struct {
	// slots are the last ones by version; the last is the one collecting.
	oldSlots [baselineSlots + 1]Counts
	newSlots [baselineSlots + 1]Counts
	// base is the old version's record, older runs weighing less.
	baseline decayedCounts
	// totals are for the operator; stepRuns counts the new version's runs at
	// this step.
	oldTotal   Counts
	newTotal   Counts
	stepRuns   uint64
	slowBucket int
	series
	// recent is the new version's runs, older ones weighing less.
	recentRuns float64
	// eased are the old version's runs since the share was lowered.
	oldSinceReduction Counts
	// beside are the old version's runs while gates report plain failures on
	// this route, and plainAt is the latest of these reports.
	oldDuringHardFailure Tally
	lastHardFailure      time.Time
}

// decayed is Counts with weights.
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

// slowEdge returns the lowest bucket whose upper edge at most slowTail of the
// runs exceed; false while too little is known.
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

// judgeSlot judges the slot before the collecting one, whose neighbours are
// complete, and returns the samples that it judged.
func (ra *routeAnalyzer) analyzeSlot() [metricCount]Sample {
	const at = 1
	if e, ok := ra.baseline.slowBucket(); ok {
		ra.slowBucket = e
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

// close ends the collecting slot. While something is suspected the base stays
// as it was before: a general slowdown must not become the usual.
func (ra *routeAnalyzer) endSlot(suspect bool) {
	if !suspect {
		ra.baseline.add(ra.oldSlots[baselineSlots-1])
	}
	ra.recentRuns = ra.recentRuns*decayPerSlot + float64(ra.newSlots[0].Runs)
	shiftSlots(&ra.oldSlots)
	shiftSlots(&ra.newSlots)
}

// sample returns what stands beside the new version's runs of the slots that
// are not judged yet.
func (ra *routeAnalyzer) sample(m metric) Sample {
	s := Sample{Baseline: ra.baselineTally(m), PriorRate: priorRates[m], RecentRuns: ra.recentRuns}
	for i := range s.Old {
		s.Old[baselineSlots-1-i] = ra.tally(m, ra.oldSlots[i])
	}
	return s
}

// peekSample returns the failures of the slots still open.
func (ra *routeAnalyzer) openSlotsSample() Sample {
	s := ra.sample(metricFailures)
	for i := range 2 {
		s.New.add(ra.tally(metricFailures, ra.newSlots[i]))
	}
	return s
}

// shift moves each slot one place on; place 0 collects.
func shiftSlots(slots *[baselineSlots + 1]Counts) {
	copy(slots[1:], slots[:baselineSlots])
	slots[0] = Counts{}
}

// tally reads one test out of counts.
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

// worst counts runs that failed or were slow.
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
