package egress

import "time"

// Weights and limits of the run times that a queue has measured.
const (
	// serviceTimeWeight is the weight of one run in the moving average of the
	// service time.
	serviceTimeWeight = 1.0 / 32
	// runTimeWeight is the weight of one run in the moving average of a route's
	// run time.
	runTimeWeight = 1.0 / 16
	// probeInterval is how often an idle slot is used to probe a route whose
	// mean run time exceeds its requests' time limit. The cause of the long
	// runs may be over, but without runs the mean would never change. A truly
	// slow upstream gets at most four probes per second.
	probeInterval = 250 * time.Millisecond
	// initialServiceTime is the assumed service time before the first run has
	// ended.
	initialServiceTime = 100 * time.Millisecond
	// shortRunFraction times the longest mean run time among a service's routes
	// is the longest mean run time that counts as short. Calls that running
	// upstreams make to others are short: refusing them frees little and wastes
	// the runs that made them.
	shortRunFraction = 0.3
	// minRouteShare is the share of all runs that a route needs to be
	// considered for the longest mean run time. The counts decay by
	// runCountWeight per run, so that they follow the load.
	minRouteShare  = 0.1
	runCountWeight = 1.0 / 256
	// minRunCount is the decayed run count below which a route is forgotten,
	// about 1,200 runs of other routes after its last one.
	minRunCount = 0.01
)

// MeanServiceTime returns the mean time that a run holds its slot.
func (q *Queue) MeanServiceTime() time.Duration {
	if q.serviceTime == 0 {
		return initialServiceTime
	}
	return time.Duration(q.serviceTime * float64(time.Second))
}

// MeanRunTime returns the moving average of a route's run time; 0 if unknown.
func (q *Queue) MeanRunTime(route string) time.Duration {
	return time.Duration(q.runTimes[route] * float64(time.Second))
}

// startProbe reports whether a request runs as a probe although its route's
// mean run time exceeds the time left, because no run of that route has started
// for probeInterval. If so, it marks the route as being probed.
func (q *Queue) startProbe(now time.Time, request RequestInfo) bool {
	if !q.probeDue(now, request) {
		return false
	}
	if q.probing == nil {
		q.probing = map[string]bool{}
	}
	q.probing[request.Route] = true
	return true
}

func (q *Queue) probeDue(now time.Time, request RequestInfo) bool {
	return !now.After(request.Deadline) && now.Sub(q.lastStart[request.Route]) >= probeInterval
}

// longestRunTime returns the longest mean run time, in seconds, among the
// routes with at least minRouteShare of the runs.
func (q *Queue) longestRunTime() float64 {
	longest := 0.0
	for route, runTime := range q.runTimes {
		if q.runCounts[route] >= minRouteShare*q.totalRuns {
			longest = max(longest, runTime)
		}
	}
	return longest
}

// IsShort reports whether a route's runs are short compared with others here.
func (q *Queue) IsShort(route string) bool {
	return q.runTimes[route] > 0 && q.runTimes[route] <= shortRunFraction*q.longestRunTime()
}

// goesFirst reports whether a request goes before the others: calls of running
// upstreams, known by their origin or by their short runs.
func (q *Queue) goesFirst(request RequestInfo) bool {
	return request.Nested || q.IsShort(request.Route)
}

// countRun counts a run of a route and forgets routes without recent runs.
func (q *Queue) countRun(route string) {
	if q.runCounts == nil {
		q.runCounts = map[string]float64{}
	}
	for r := range q.runCounts {
		q.runCounts[r] *= 1 - runCountWeight
		if q.runCounts[r] < minRunCount {
			delete(q.runCounts, r)
			delete(q.runTimes, r)
			delete(q.lastStart, r)
			delete(q.probing, r)
		}
	}
	q.totalRuns = q.totalRuns*(1-runCountWeight) + 1
	q.runCounts[route]++
}

// updateMean adds a run time to a moving average in seconds.
func updateMean(mean *float64, took time.Duration, weight float64) {
	if *mean == 0 {
		*mean = took.Seconds()
		return
	}
	*mean += weight * (took.Seconds() - *mean)
}
