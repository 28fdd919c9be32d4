package soak

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Limits of the guarantees, as the platform documents them.
const (
	// drainGrace is drain_s: how long after an acknowledged drain requests may
	// still arrive.
	drainGrace = 2 * time.Second
	// applyLimit is config_apply_s and max_stretch_s: a change is in force on
	// every node that reaches the store within this time.
	applyLimit = 7 * time.Second
	// recoveryTime is stable_window_s: time limits hold for a node again this
	// long after a disturbance.
	recoveryTime = 3 * time.Second
	// downgradeSlack is rollback_slack_s: how long a slowed node may still answer
	// from an older configuration.
	downgradeSlack = 2 * time.Second
	// minServedShare is the share of requests that must be served after recovery.
	minServedShare = 0.95
)

// call is one request and its result as its caller saw them.
type call struct {
	id, path string
	host     int
	// start numbers the starts of the host's process.
	start      int
	atMostOnce bool
	sentAt     time.Time
	status     int
	err        string
	stopping   bool
}

// checker collects what callers and backends observe, and the violations of the
// guarantees.
type checker struct {
	mu         sync.Mutex
	runs       map[string]int
	calls      []call
	violations []string
	// highestSeen is the highest configuration whose route a node served, by host
	// and start of its process.
	highestSeen map[[2]int]seenConfig
	// acked is when the store acknowledged each configuration.
	acked       map[int]time.Time
	undisturbed func(host int, from, to time.Time) bool
}

// seenConfig is a configuration's number and when its route was first served.
type seenConfig struct {
	number    int
	firstSeen time.Time
}

func newChecker(calm func(host int, from, to time.Time) bool) *checker {
	return &checker{runs: map[string]int{}, highestSeen: map[[2]int]seenConfig{}, acked: map[int]time.Time{}, undisturbed: calm}
}

// addViolation records a violated guarantee.
func (c *checker) addViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// addRun counts a run at a backend.
func (c *checker) addRun(id, path string, b *backend) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id]++
}

// addLateRequest records a request that arrived more than drainGrace after an
// acknowledged drain. That is a violation unless the node was paused or its
// connection to the backend was delayed.
func (c *checker) addLateRequest(b *backend, id string, after time.Duration) {
	now := time.Now()
	if b.host.undelayed(now.Add(-after), now) {
		c.addViolation("drain: request %s reached a backend of host %d %v after its leaving was acknowledged", id, b.host.number, after)
	}
}

// addCall records a call and checks what it shows by itself.
func (c *checker) addCall(s call, resp *http.Response, body string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, s)
	if resp == nil {
		return
	}
	if s.status == http.StatusOK && (body != expectedBody(s.id) || resp.Header.Get(signatureHeader) == "") {
		c.violations = append(c.violations, fmt.Sprintf("mixed: request %s received the response %q", s.id, body))
	}
	number, found := configOfPath(s.path)
	if !found {
		return
	}
	key := [2]int{s.host, s.start}
	switch {
	case s.status == http.StatusOK && number > c.highestSeen[key].number:
		c.highestSeen[key] = seenConfig{number, time.Now()}
	case s.status == http.StatusNotFound && number <= c.highestSeen[key].number && s.sentAt.Sub(c.highestSeen[key].firstSeen) > downgradeSlack:
		c.violations = append(c.violations, fmt.Sprintf("config: host %d served configuration %d and then refused the route of configuration %d", s.host, c.highestSeen[key].number, number))
	case s.status == http.StatusNotFound && !c.acked[number].IsZero() && s.sentAt.Sub(c.acked[number]) > applyLimit &&
		c.undisturbed(s.host, c.acked[number], s.sentAt):
		c.violations = append(c.violations, fmt.Sprintf("config: host %d refused the route of configuration %d %v after its acknowledgement", s.host, number, s.sentAt.Sub(c.acked[number])))
	}
}

// configOfPath returns the configuration whose route a path belongs to.
func configOfPath(path string) (number int, ok bool) {
	n, err := fmt.Sscanf(path, "/v%d/", &number)
	return number, err == nil && n == 1
}

// checkAtEnd checks what only the whole run shows. The fleet has recovered in the
// time range recovered.
func (c *checker) checkAtEnd(recovered timeRange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	served, sent := 0, 0
	for _, s := range c.calls {
		runs := c.runs[s.id]
		switch {
		case s.atMostOnce && runs > 1:
			c.violations = append(c.violations, fmt.Sprintf("twice: request %s ran %d times", s.id, runs))
		case s.atMostOnce && runs > 0 && (s.status == http.StatusServiceUnavailable || s.status == http.StatusTooManyRequests):
			c.violations = append(c.violations, fmt.Sprintf("refused: request %s was answered %d and ran", s.id, s.status))
		case s.status == 0 && runs > 0 && s.stopping && strings.Contains(s.err, "EOF") && c.undisturbed(s.host, s.sentAt.Add(-recoveryTime), s.sentAt.Add(callerTimeout)):
			c.violations = append(c.violations, fmt.Sprintf("lost: request %s ran, and host %d closed its connection at a planned stop: %s", s.id, s.host, s.err))
		}
		if s.sentAt.After(recovered.from) && s.sentAt.Before(recovered.to) {
			sent++
			if s.status == http.StatusOK {
				served++
			}
		}
	}
	if !recovered.to.IsZero() && (sent == 0 || float64(served) < minServedShare*float64(sent)) {
		c.violations = append(c.violations, fmt.Sprintf("recover: %d of %d requests were served after recovery", served, sent))
	}
}
