package canary

import (
	"fmt"
	"time"

	"github.com/daisytide/daisytide/api"
)

// wholeAccount puts the numbers of all routes into words.
func (j *Analyzer) wholeAccount(t test) string {
	var newer, older Tally
	for _, rj := range j.routes {
		newer.add(rj.tally(t, rj.newTotal))
		older.add(rj.tally(t, rj.oldTotal))
	}
	what := "failures"
	if t == testSlow {
		what = "slow runs"
	}
	return fmt.Sprintf("%s on all routes: new %.0f of %.0f, old %.0f of %.0f", what, newer.Bad, newer.Runs, older.Bad, older.Runs)
}

// account puts the numbers behind a finding into words.
func (rj *routeJudge) account(t test, route string) string {
	newer, older := rj.tally(t, rj.newTotal), rj.tally(t, rj.oldTotal)
	if t == testFailures {
		return fmt.Sprintf("failures on %s: new %.0f of %.0f, old %.0f of %.0f",
			route, newer.Bad, newer.Runs, older.Bad, older.Runs)
	}
	return fmt.Sprintf("runs on %s over %s: new %.0f of %.0f, old %.0f of %.0f",
		route, bucketEdge(rj.edge).Round(10*time.Microsecond), newer.Bad, newer.Runs, older.Bad, older.Runs)
}

// evidence sums up all routes; the caller holds mu.
func (j *Analyzer) evidence() string {
	var newer, older Counts
	for _, rj := range j.routes {
		newer.add(rj.newTotal)
		older.add(rj.oldTotal)
	}
	return fmt.Sprintf("new %d of %d calls failed, old %d of %d", newer.Failures, newer.Runs, older.Failures, older.Runs)
}

// Evidence returns the evidence for operators.
func (j *Analyzer) Evidence() []api.Evidence {
	j.mu.Lock()
	defer j.mu.Unlock()
	var out []api.Evidence
	for _, name := range j.names {
		rj := j.routes[name]
		out = append(out, rj.row(name, j.from, rj.oldTotal), rj.row(name, j.to, rj.newTotal))
	}
	return out
}

func (rj *routeJudge) row(route, version string, c Counts) api.Evidence {
	slow := uint64(0)
	if rj.edge > 0 {
		slow = uint64(rj.tally(testSlow, c).Bad)
	}
	return api.Evidence{Route: route, Version: version, Runs: c.Runs, Failures: c.Failures, Slow: slow}
}

// SlowThresholds returns the slow edges that gates need to see calls that hang.
func (j *Analyzer) SlowThresholds() []SlowThreshold {
	j.mu.Lock()
	defer j.mu.Unlock()
	var out []SlowThreshold
	for _, name := range j.names {
		if e := j.routes[name].edge; e > 0 {
			out = append(out, SlowThreshold{Route: name, Duration: bucketEdge(e)})
		}
	}
	return out
}
