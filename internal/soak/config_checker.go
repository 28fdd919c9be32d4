package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"
)

func (c *checker) newestConfig() *configuration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.configs) == 0 {
		return nil
	}
	return c.configs[len(c.configs)-1]
}

// addConfig records a configuration that is about to be sent.
func (c *checker) addConfig(added *configuration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	added.sentAt = time.Now()
	c.configs = append(c.configs, added)
}

func (c *checker) acknowledge(acked *configuration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	acked.ackedAt = time.Now()
}

// recentPrefix returns the prefix of a route that one of the latest configurations
// changed or removed.
func (c *checker) recentPrefix(rng *rand.Rand) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	recent := c.configs[max(0, len(c.configs)-recentConfigs):]
	if changed := recent[rng.IntN(len(recent))].changed; len(changed) > 0 {
		return changed[rng.IntN(len(changed))]
	}
	return prefixRead
}

// lacksRoute reports whether the newest configuration lacks the route of a path; the
// caller holds mu.
func (c *checker) lacksRoute(path string) bool {
	return len(c.configs) > 0 && c.configs[len(c.configs)-1].allows(prefixOf(path), noService)
}

// outcome is what shows which configurations a node may have had in force: a run by a
// service, or an answer 404.
type outcome struct {
	*call
	service string
	// ranAt is zero for an answer 404.
	ranAt time.Time
	// oldest and newest are the indices of the first and last configuration sent before
	// its end that allow it; -1 if none does.
	oldest, newest int
}

// outcomes returns the outcomes of all calls in the order of their ends; the caller holds
// mu.
func (c *checker) outcomes() []outcome {
	var out []outcome
	add := func(o outcome) {
		o.oldest, o.newest = -1, -1
		for i, config := range c.configs {
			if config.sentAt.After(o.endedAt) || !config.allows(prefixOf(o.path), o.service) {
				continue
			}
			if o.oldest < 0 {
				o.oldest = i
			}
			o.newest = i
		}
		out = append(out, o)
	}
	for i := range c.calls {
		observed := &c.calls[i]
		for _, r := range c.runs[observed.id] {
			add(outcome{call: observed, service: r.service, ranAt: r.at})
		}
		if observed.status == http.StatusNotFound {
			add(outcome{call: observed})
		}
	}
	return out
}

// processKey is a host and a start of its process.
type processKey struct{ host, start int }

// shownConfig is the index of a configuration and when a backend saw its effect.
type shownConfig struct {
	index int
	at    time.Time
}

// configFault counts the requests that show the same violation at one start of a
// process. worst describes the one that is furthest over its bound.
type configFault struct {
	requests    int
	first, last time.Time
	worst       string
	over        time.Duration
}

// checkConfigs checks all outcomes against the configurations that were sent; the caller
// holds mu. It runs at the end, when all stalls of the machine are known.
func (c *checker) checkConfigs() {
	if len(c.configs) == 0 {
		return
	}
	outcomes := c.outcomes()
	shown := map[processKey][]shownConfig{}
	for _, o := range outcomes {
		if o.start > 0 && !o.ranAt.IsZero() && o.oldest > 0 {
			key := processKey{o.host, o.start}
			shown[key] = append(shown[key], shownConfig{o.oldest, o.ranAt})
		}
	}
	for _, list := range shown {
		slices.SortFunc(list, func(a, b shownConfig) int { return a.at.Compare(b.at) })
	}
	faults := map[string]*configFault{}
	for _, o := range outcomes {
		rule, detail, over := c.brokenConfigRule(o, shown[processKey{o.host, o.start}])
		if rule == "" {
			continue
		}
		key := fmt.Sprintf("host %d in start %d %s", o.host, o.start, rule)
		n := faults[key]
		if n == nil {
			n = &configFault{first: o.sentAt}
			faults[key] = n
		}
		n.requests, n.last = n.requests+1, o.sentAt
		if over >= n.over {
			n.over, n.worst = over, detail
		}
	}
	for key, n := range faults {
		c.violations = append(c.violations, fmt.Sprintf("config: %s: %d requests sent from %s to %s; %s",
			key, n.requests, n.first.Format(clockFormat), n.last.Format(clockFormat), n.worst))
	}
}

// clockFormat is the format of times in violations. Nodes log UTC.
const clockFormat = "15:04:05.000"

// brokenConfigRule returns the rule that an outcome violates and by how much; rule is
// empty if there is none.
func (c *checker) brokenConfigRule(o outcome, shown []shownConfig) (rule, detail string, over time.Duration) {
	if o.newest < 0 {
		return "handled a request as no configuration allows", o.describe(), 0
	}
	newest := c.configs[o.newest]
	isCalm := c.calm(o.host, o.sentAt, o.endedAt)
	slack := disturbedDowngradeSlack
	if isCalm {
		slack = downgradeSlack
	}
	for _, seen := range shown {
		if after := o.sentAt.Sub(seen.at); seen.index > o.newest && after > slack {
			return "went back to an older configuration", fmt.Sprintf("%s as configuration %d allowed last, %v after it had used %d, bound %v",
				o.describe(), newest.number, after, c.configs[seen.index].number, slack), after - slack
		}
	}
	if o.newest+1 == len(c.configs) || c.configs[o.newest+1].ackedAt.IsZero() {
		return "", "", 0
	}
	next := c.configs[o.newest+1]
	after := o.sentAt.Sub(next.ackedAt)
	limit := stretchedApplyLimit
	switch {
	case isCalm && !o.stopping:
		limit = applyLimit
	case !c.undisturbed(o.host, next.ackedAt, o.sentAt):
		return "", "", 0
	}
	if after <= limit {
		return "", "", 0
	}
	rule = "had a change not in force: a service that only older configurations allow ran requests"
	switch {
	case o.service == noService:
		rule = "had a change not in force: it refused a route that is there"
	case next.allows(prefixOf(o.path), noService):
		rule = "had a change not in force: it served a route that was removed"
	}
	return rule, fmt.Sprintf("%s as configuration %d allowed last, %v after the acknowledgement of %d, bound %v",
		o.describe(), newest.number, after, next.number, limit), after - limit
}

func (o outcome) describe() string {
	if o.service == noService {
		return fmt.Sprintf("request %s of %s was answered 404", o.id, o.path)
	}
	return fmt.Sprintf("request %s of %s ran at %s", o.id, o.path, o.service)
}
