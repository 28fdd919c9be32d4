package soak

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Bounds of the promises, from the platform's pages.
const (
	// drainBound is drain_s: how long after an acknowledged leaving requests
	// may still arrive.
	drainGrace = 2 * time.Second
	// applyBound is config_apply_s and max_stretch_s: by then a change is in
	// force on every node that reaches the store.
	applyLimit = 7 * time.Second
	// settleBound is stable_window_s: how long after a disturbance bounds in
	// time hold for a node again.
	recoveryTime = 3 * time.Second
	// regressSlack is rollback_slack_s of a node that was slowed.
	downgradeSlack = 2 * time.Second
	// healedShare of the requests must be served when all is well again.
	minServedShare = 0.95
)

// sent is one request as its caller knows it.
type callResult struct {
	id, path string
	host     int
	// start tells the starts of the host's process apart.
	start         int
	atMostOnce bool
	sentAt        time.Time
	status        int
	err           string
	stopping      bool
}

// record is what callers and backends saw, and what breaks a promise.
type checker struct {
	mu         sync.Mutex
	runs       map[string]int
	results    []callResult
	violations []string
	// seen is the highest version whose effect a backend saw, by host and start.
	highestSeen map[[2]int]seenConfig
	// acked is when each version was acknowledged by the store.
	acked       map[int]time.Time
	undisturbed func(host int, from, to time.Time) bool
}

// version is a configuration's number and when its effect was first seen.
type seenConfig struct {
	number    int
	firstSeen time.Time
}

func newChecker(calm func(host int, from, to time.Time) bool) *checker {
	return &checker{runs: map[string]int{}, highestSeen: map[[2]int]seenConfig{}, acked: map[int]time.Time{}, undisturbed: calm}
}

// find notes a broken promise.
func (r *checker) addViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// ran notes a run at a backend.
func (r *checker) addRun(id, path string, b *backend) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
}

// late notes a request that arrived after an acknowledged leaving: allowed only
// where its node stood still or the way from it was harmed.
func (r *checker) addLateRequest(b *backend, id string, after time.Duration) {
	now := time.Now()
	if b.host.undelayed(now.Add(-after), now) {
		r.addViolation("drain: request %s reached a backend of host %d %v after its leaving was acknowledged", id, b.host.number, after)
	}
}

// done takes a caller's request with its end, and checks what shows at once.
func (r *checker) addResult(s callResult, resp *http.Response, body string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, s)
	if resp == nil {
		return
	}
	if s.status == http.StatusOK && (body != expectedBody(s.id) || resp.Header.Get(signatureHeader) == "") {
		r.violations = append(r.violations, fmt.Sprintf("mixed: request %s got %q", s.id, body))
	}
	number, marker := configOfPath(s.path)
	if !marker {
		return
	}
	key := [2]int{s.host, s.start}
	switch {
	case s.status == http.StatusOK && number > r.highestSeen[key].number:
		r.highestSeen[key] = seenConfig{number, time.Now()}
	case s.status == http.StatusNotFound && number <= r.highestSeen[key].number && s.sentAt.Sub(r.highestSeen[key].firstSeen) > downgradeSlack:
		r.violations = append(r.violations, fmt.Sprintf("config: host %d knew version %d and refused the route of %d", s.host, r.highestSeen[key].number, number))
	case s.status == http.StatusNotFound && !r.acked[number].IsZero() && s.sentAt.Sub(r.acked[number]) > applyLimit &&
		r.undisturbed(s.host, r.acked[number], s.sentAt):
		r.violations = append(r.violations, fmt.Sprintf("config: host %d refused the route of version %d %v after its acknowledgement", s.host, number, s.sentAt.Sub(r.acked[number])))
	}
}

// markerOf reads the version whose route a path belongs to.
func configOfPath(path string) (number int, ok bool) {
	n, err := fmt.Sscanf(path, "/v%d/", &number)
	return number, err == nil && n == 1
}

// close checks what shows only at the end; in healed all is well again.
func (r *checker) checkAtEnd(healed timeRange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	served, asked := 0, 0
	for _, s := range r.results {
		runs := r.runs[s.id]
		switch {
		case s.atMostOnce && runs > 1:
			r.violations = append(r.violations, fmt.Sprintf("twice: request %s ran %d times", s.id, runs))
		case s.atMostOnce && runs > 0 && (s.status == http.StatusServiceUnavailable || s.status == http.StatusTooManyRequests):
			r.violations = append(r.violations, fmt.Sprintf("refused: request %s was answered %d and ran", s.id, s.status))
		case s.status == 0 && runs > 0 && s.stopping && strings.Contains(s.err, "EOF") && r.undisturbed(s.host, s.sentAt.Add(-recoveryTime), s.sentAt.Add(callerTimeout)):
			r.violations = append(r.violations, fmt.Sprintf("lost: request %s ran and host %d cut it at a planned stop: %s", s.id, s.host, s.err))
		}
		if s.sentAt.After(healed.from) && s.sentAt.Before(healed.to) {
			asked++
			if s.status == http.StatusOK {
				served++
			}
		}
	}
	if !healed.to.IsZero() && (asked == 0 || float64(served) < minServedShare*float64(asked)) {
		r.violations = append(r.violations, fmt.Sprintf("recover: %d of %d requests were served when all was well again", served, asked))
	}
}
