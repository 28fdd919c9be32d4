package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Limits of the guarantees, as the platform documents them.
const (
	// drainGrace is drain_s: how long after an acknowledged drain requests may
	// still arrive.
	drainGrace = 2 * time.Second
	// applyLimit is config_apply_s: a change is in force this long after its
	// acknowledgement on every node that is in touch.
	applyLimit = 2 * time.Second
	// stretchedApplyLimit is config_apply_s and max_stretch_s: the bound while the
	// store is disturbed, but neither down nor slow.
	stretchedApplyLimit = applyLimit + 5*time.Second
	// recoveryTime is stable_window_s: time limits hold for a node again this
	// long after a disturbance.
	recoveryTime = 3 * time.Second
	// downgradeSlack is rollback_slack_s: how long a node may still route requests by
	// an older configuration; a disturbed one eight times that.
	downgradeSlack          = 250 * time.Millisecond
	disturbedDowngradeSlack = 8 * downgradeSlack
	// evacuationLimit is how long after the acknowledgement of an order requests may
	// still reach the data centre that it evacuates.
	evacuationLimit = 5 * time.Second
	// minServedShare is the share of requests that must be served after recovery.
	minServedShare = 0.95
)

// call is one request and its result as its caller saw them.
type call struct {
	id, path string
	host     int
	// start numbers the starts of the host's process; 0 if it was started anew before
	// the end of the request.
	start      int
	atMostOnce bool
	// endedAt is when the response was complete or the caller gave up.
	sentAt, endedAt time.Time
	// status is 0 if no complete response arrived; err is the reason then.
	status int
	err    string
	// stopping means that the host was stopping when the request was sent.
	stopping bool
}

// checker collects what callers and backends observe, and the violations of the
// guarantees.
type checker struct {
	mu         sync.Mutex
	runs       map[string][]run
	calls      []call
	violations []string
	// configs are the configurations that were sent, oldest first.
	configs []*configuration
	// evacuatedSince is when the store acknowledged the order for each data centre that
	// is evacuated. An order is dropped before the store is asked to remove it.
	evacuatedSince map[string]time.Time
	// undisturbed reports whether time limits held on a host between two times, and calm
	// whether host and store had been calm for recoveryTime at all times between them.
	undisturbed, calm func(host int, from, to time.Time) bool
}

// run is one run of a request at a backend.
type run struct {
	service string
	at      time.Time
}

func newChecker(undisturbed, calm func(host int, from, to time.Time) bool) *checker {
	return &checker{runs: map[string][]run{}, evacuatedSince: map[string]time.Time{}, undisturbed: undisturbed, calm: calm}
}

// addViolation records a violated guarantee.
func (c *checker) addViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// addRun counts a run at a backend. A run in a data centre that has been evacuated for
// more than evacuationLimit is a violation unless the host was disturbed or delayed
// within that time.
func (c *checker) addRun(id, path string, b *backend) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.runs[id] = append(c.runs[id], run{b.service, now})
	since, evacuated := c.evacuatedSince[b.host.dataCentre]
	if from := now.Add(-evacuationLimit); evacuated && since.Before(from) && b.host.undisturbed(from, now) && b.host.undelayed(from, now) {
		c.violations = append(c.violations, fmt.Sprintf("evacuated: request %s of %s reached host %d in %s, evacuated %v before", id, path, b.host.number, b.host.dataCentre, now.Sub(since)))
	}
}

// beginEvacuation records that the store has acknowledged an order, and endEvacuation
// that it will be asked to remove it.
func (c *checker) beginEvacuation(dataCentre string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evacuatedSince[dataCentre] = time.Now()
}

func (c *checker) endEvacuation(dataCentre string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.evacuatedSince, dataCentre)
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

// addCall records a call and checks the guarantees that a single call can violate.
func (c *checker) addCall(observed call, resp *http.Response, body string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, observed)
	if resp == nil {
		return
	}
	ranAt := func(r run) bool { return body == expectedBody(observed.id, r.service) }
	if observed.status == http.StatusOK && (!slices.ContainsFunc(c.runs[observed.id], ranAt) || resp.Header.Get(signatureHeader) == "") {
		c.violations = append(c.violations, fmt.Sprintf("mixed: request %s received the response %q", observed.id, body))
	}
}

// checkAtEnd checks the guarantees that depend on the whole run. Requests sent in
// the time range recovered must be served; an empty range skips that check.
func (c *checker) checkAtEnd(recovered timeRange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkConfigs()
	served, sent := 0, 0
	for _, observed := range c.calls {
		runs := len(c.runs[observed.id])
		switch {
		case observed.atMostOnce && runs > 1:
			c.violations = append(c.violations, fmt.Sprintf("twice: request %s ran %d times", observed.id, runs))
		case observed.atMostOnce && runs > 0 && (observed.status == http.StatusServiceUnavailable || observed.status == http.StatusTooManyRequests):
			c.violations = append(c.violations, fmt.Sprintf("refused: request %s was answered %d and ran", observed.id, observed.status))
		case observed.status == 0 && runs > 0 && observed.stopping && strings.Contains(observed.err, "EOF") && c.undisturbed(observed.host, observed.sentAt.Add(-recoveryTime), observed.sentAt.Add(callerTimeout)):
			c.violations = append(c.violations, fmt.Sprintf("lost: request %s ran, and host %d closed its connection at a planned stop: %s", observed.id, observed.host, observed.err))
		}
		if observed.sentAt.After(recovered.from) && observed.sentAt.Before(recovered.to) {
			sent++
			if observed.status == http.StatusOK || observed.status == http.StatusNotFound && c.lacksRoute(observed.path) {
				served++
			}
		}
	}
	if !recovered.to.IsZero() && (sent == 0 || float64(served) < minServedShare*float64(sent)) {
		c.violations = append(c.violations, fmt.Sprintf("recover: %d of %d requests were served after recovery", served, sent))
	}
}
