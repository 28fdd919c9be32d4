package canary

import (
	"fmt"
	"time"

	"github.com/daisytide/daisytide/api"
)

// allRoutesSummary describes a metric over all routes.
func (a *Analyzer) allRoutesSummary(m metric) string {
	var newer, older Tally
	for _, ra := range a.routes {
		newer.add(ra.tally(m, ra.newTotal))
		older.add(ra.tally(m, ra.oldTotal))
	}
	what := "failures"
	if m == metricSlow {
		what = "slow runs"
	}
	return fmt.Sprintf("%s on all routes: new %.0f of %.0f, old %.0f of %.0f", what, newer.Bad, newer.Runs, older.Bad, older.Runs)
}

// summary describes a metric of one route.
func (ra *routeAnalyzer) summary(m metric, route string) string {
	newer, older := ra.tally(m, ra.newTotal), ra.tally(m, ra.oldTotal)
	if m == metricFailures {
		return fmt.Sprintf("failures on %s: new %.0f of %.0f, old %.0f of %.0f",
			route, newer.Bad, newer.Runs, older.Bad, older.Runs)
	}
	return fmt.Sprintf("runs on %s over %s: new %.0f of %.0f, old %.0f of %.0f",
		route, bucketUpperBound(ra.slowBucket).Round(10*time.Microsecond), newer.Bad, newer.Runs, older.Bad, older.Runs)
}

// callSummary counts the calls and failures of all routes. The caller holds mu.
func (a *Analyzer) callSummary() string {
	var newer, older Counts
	for _, ra := range a.routes {
		newer.add(ra.newTotal)
		older.add(ra.oldTotal)
	}
	return fmt.Sprintf("new %d of %d calls failed, old %d of %d", newer.Failures, newer.Runs, older.Failures, older.Runs)
}

// Evidence returns the counts of each route and version for operators.
func (a *Analyzer) Evidence() []api.Evidence {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []api.Evidence
	for _, name := range a.routeNames {
		ra := a.routes[name]
		out = append(out, ra.evidenceRow(name, a.from, ra.oldTotal), ra.evidenceRow(name, a.to, ra.newTotal))
	}
	return out
}

func (ra *routeAnalyzer) evidenceRow(route, version string, c Counts) api.Evidence {
	slow := uint64(0)
	if ra.slowBucket > 0 {
		slow = uint64(ra.tally(metricSlow, c).Bad)
	}
	return api.Evidence{Route: route, Version: version, Runs: c.Runs, Failures: c.Failures, Slow: slow}
}

// SlowThresholds returns the slow thresholds, from which gates detect calls
// that hang.
func (a *Analyzer) SlowThresholds() []SlowThreshold {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []SlowThreshold
	for _, name := range a.routeNames {
		if bucket := a.routes[name].slowBucket; bucket > 0 {
			out = append(out, SlowThreshold{Route: name, Duration: bucketUpperBound(bucket)})
		}
	}
	return out
}
