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
	drainBound = 2 * time.Second
	// applyBound is config_apply_s and max_stretch_s: by then a change is in
	// force on every node that reaches the store.
	applyBound = 7 * time.Second
	// settleBound is stable_window_s: how long after a disturbance bounds in
	// time hold for a node again.
	settleBound = 3 * time.Second
	// regressSlack is rollback_slack_s of a node that was slowed.
	regressSlack = 2 * time.Second
	// healedShare of the requests must be served when all is well again.
	healedShare = 0.95
)

// sent is one request as its caller knows it.
type sent struct {
	id, path string
	host     int
	// start tells the starts of the host's process apart.
	start    int
	once     bool
	at       time.Time
	status   int
	err      string
	stopping bool
}

// record is what callers and backends saw, and what breaks a promise.
type record struct {
	mu    sync.Mutex
	runs  map[string]int
	sent  []sent
	found []string
	// seen is the highest version whose effect a backend saw, by host and start.
	seen map[[2]int]version
	// acked is when each version was acknowledged by the store.
	acked map[int]time.Time
	calm  func(host int, from, to time.Time) bool
}

// version is a configuration's number and when its effect was first seen.
type version struct {
	number int
	at     time.Time
}

func newRecord(calm func(host int, from, to time.Time) bool) *record {
	return &record{runs: map[string]int{}, seen: map[[2]int]version{}, acked: map[int]time.Time{}, calm: calm}
}

// find notes a broken promise.
func (r *record) find(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.found = append(r.found, fmt.Sprintf(format, args...))
}

// ran notes a run at a backend.
func (r *record) ran(id, path string, b *backend) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
}

// late notes a request that arrived after an acknowledged leaving: allowed only
// where its node stood still or the way from it was harmed.
func (r *record) late(b *backend, id string, after time.Duration) {
	now := time.Now()
	if b.host.flowing(now.Add(-after), now) {
		r.find("drain: request %s reached a backend of host %d %v after its leaving was acknowledged", id, b.host.number, after)
	}
}

// done takes a caller's request with its end, and checks what shows at once.
func (r *record) done(s sent, resp *http.Response, body string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent = append(r.sent, s)
	if resp == nil {
		return
	}
	if s.status == http.StatusOK && (body != wholeBody(s.id) || resp.Header.Get(signature) == "") {
		r.found = append(r.found, fmt.Sprintf("mixed: request %s got %q", s.id, body))
	}
	number, marker := markerOf(s.path)
	if !marker {
		return
	}
	key := [2]int{s.host, s.start}
	switch {
	case s.status == http.StatusOK && number > r.seen[key].number:
		r.seen[key] = version{number, time.Now()}
	case s.status == http.StatusNotFound && number <= r.seen[key].number && s.at.Sub(r.seen[key].at) > regressSlack:
		r.found = append(r.found, fmt.Sprintf("config: host %d knew version %d and refused the route of %d", s.host, r.seen[key].number, number))
	case s.status == http.StatusNotFound && !r.acked[number].IsZero() && s.at.Sub(r.acked[number]) > applyBound &&
		r.calm(s.host, r.acked[number], s.at):
		r.found = append(r.found, fmt.Sprintf("config: host %d refused the route of version %d %v after its acknowledgement", s.host, number, s.at.Sub(r.acked[number])))
	}
}

// markerOf reads the version whose route a path belongs to.
func markerOf(path string) (number int, ok bool) {
	n, err := fmt.Sscanf(path, "/v%d/", &number)
	return number, err == nil && n == 1
}

// close checks what shows only at the end; in healed all is well again.
func (r *record) close(healed span) {
	r.mu.Lock()
	defer r.mu.Unlock()
	served, asked := 0, 0
	for _, s := range r.sent {
		runs := r.runs[s.id]
		switch {
		case s.once && runs > 1:
			r.found = append(r.found, fmt.Sprintf("twice: request %s ran %d times", s.id, runs))
		case s.once && runs > 0 && (s.status == http.StatusServiceUnavailable || s.status == http.StatusTooManyRequests):
			r.found = append(r.found, fmt.Sprintf("refused: request %s was answered %d and ran", s.id, s.status))
		case s.status == 0 && runs > 0 && s.stopping && strings.Contains(s.err, "EOF") && r.calm(s.host, s.at.Add(-settleBound), s.at.Add(callerLimit)):
			r.found = append(r.found, fmt.Sprintf("lost: request %s ran and host %d cut it at a planned stop: %s", s.id, s.host, s.err))
		}
		if s.at.After(healed.from) && s.at.Before(healed.to) {
			asked++
			if s.status == http.StatusOK {
				served++
			}
		}
	}
	if !healed.to.IsZero() && (asked == 0 || float64(served) < healedShare*float64(asked)) {
		r.found = append(r.found, fmt.Sprintf("recover: %d of %d requests were served when all was well again", served, asked))
	}
}
