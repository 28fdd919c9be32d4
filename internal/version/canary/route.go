package canary

import "time"

// routeJudge holds what is known of one route.
type routeJudge struct {
	// slots are the last ones by version; the last is the one collecting.
	oldSlots [oldOverlap + 1]Counts
	newSlots [oldOverlap + 1]Counts
	// base is the old version's record, older runs weighing less.
	base decayed
	// totals are for the operator; stepRuns counts the new version's runs at
	// this step.
	oldTotal Counts
	newTotal Counts
	stepRuns uint64
	edge     int
	series
	// recent is the new version's runs, older ones weighing less.
	recent float64
	// eased are the old version's runs since the share was lowered.
	eased Counts
	// beside are the old version's runs while gates report plain failures on
	// this route, and plainAt is the latest of these reports.
	beside  Tally
	plainAt time.Time
}

// decayed is Counts with weights.
type decayed struct {
	runs     float64
	failures float64
	buckets  [bucketCount]float64
}

func (d *decayed) take(c Counts) {
	d.runs = d.runs*baseDecay + float64(c.Runs)
	d.failures = d.failures*baseDecay + float64(c.Failures)
	for i := range d.buckets {
		d.buckets[i] = d.buckets[i]*baseDecay + float64(c.Buckets[i])
	}
}

func (d *decayed) timed() float64 {
	n := 0.0
	for _, b := range d.buckets {
		n += b
	}
	return n
}

// slowEdge returns the lowest bucket whose upper edge at most slowTail of the
// runs exceed; false while too little is known.
func (d *decayed) slowEdge() (int, bool) {
	n := d.timed()
	if n < minBase {
		return 0, false
	}
	above := 0.0
	for i := bucketCount - 1; i >= 0; i-- {
		above += d.buckets[i]
		if above > slowTail*n {
			return i, true
		}
	}
	return 0, true
}

// judgeSlot judges the slot before the collecting one, whose neighbours are
// complete, and returns the samples that it judged.
func (rj *routeJudge) judgeSlot() [testCount]Sample {
	const at = 1
	if e, ok := rj.base.slowEdge(); ok {
		rj.edge = e
	}
	var out [testCount]Sample
	for t := range testCount {
		if t == testSlow && rj.edge == 0 {
			continue
		}
		out[t] = rj.sample(t)
		out[t].New = rj.tally(t, rj.newSlots[at])
		rj.step(t, out[t])
	}
	return out
}

// close ends the collecting slot. While something is suspected the base stays
// as it was before: a general slowdown must not become the usual.
func (rj *routeJudge) close(suspect bool) {
	if !suspect {
		rj.base.take(rj.oldSlots[oldOverlap-1])
	}
	rj.recent = rj.recent*baseDecay + float64(rj.newSlots[0].Runs)
	shift(&rj.oldSlots)
	shift(&rj.newSlots)
}

// sample returns what stands beside the new version's runs of the slots that
// are not judged yet.
func (rj *routeJudge) sample(t test) Sample {
	s := Sample{Baseline: rj.baseTally(t), PriorRate: priors[t], RecentRuns: rj.recent}
	for i := range s.Old {
		s.Old[oldOverlap-1-i] = rj.tally(t, rj.oldSlots[i])
	}
	return s
}

// peekSample returns the failures of the slots still open.
func (rj *routeJudge) peekSample() Sample {
	s := rj.sample(testFailures)
	for i := range 2 {
		s.New.add(rj.tally(testFailures, rj.newSlots[i]))
	}
	return s
}

// shift moves each slot one place on; place 0 collects.
func shift(slots *[oldOverlap + 1]Counts) {
	copy(slots[1:], slots[:oldOverlap])
	slots[0] = Counts{}
}

// tally reads one test out of counts.
func (rj *routeJudge) tally(t test, c Counts) Tally {
	if t == testFailures {
		return Tally{Runs: float64(c.Runs), Bad: float64(c.Failures)}
	}
	var out Tally
	for i, n := range c.Buckets {
		out.Runs += float64(n)
		if i > rj.edge {
			out.Bad += float64(n)
		}
	}
	return out
}

// worst counts runs that failed or were slow.
func (rj *routeJudge) worst(c Counts) Tally {
	t := rj.tally(testFailures, c)
	if rj.edge > 0 {
		t.Bad = min(t.Bad+rj.tally(testSlow, c).Bad, t.Runs)
	}
	return t
}

func (rj *routeJudge) baseTally(t test) Tally {
	if t == testFailures {
		return Tally{Runs: rj.base.runs, Bad: rj.base.failures}
	}
	var out Tally
	for i, n := range rj.base.buckets {
		out.Runs += n
		if i > rj.edge {
			out.Bad += n
		}
	}
	return out
}
