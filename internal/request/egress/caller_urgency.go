package egress

import "sync"

// MostUrgentCaller is the urgency of a nested call whose caller is not known.
const MostUrgentCaller = 0

// callerUrgency ranks the runs that make nested calls, the most urgent first: by the
// priority of their route, and before runs that may be repeated those that run once
// only, whose callers cannot be served by a second run.
func callerUrgency(priority int, repeatable bool) int {
	urgency := 2 * max(0, priority)
	if repeatable {
		urgency++
	}
	return urgency
}

// runUrgencies holds the urgencies of the public runs in progress, from which the entry
// beside an upstream derives that of the upstream's nested calls. It addresses peaks at
// which a called service cannot serve all nested calls: if all are equal, requests that
// run once only fail with their calls, while less urgent ones are repeated and served.
// The zero value is ready for use.
type runUrgencies struct {
	mu     sync.Mutex
	counts map[int]int
}

// add adds n to the number of runs with an urgency.
func (u *runUrgencies) add(urgency, n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.counts == nil {
		u.counts = map[int]int{}
	}
	if u.counts[urgency] += n; u.counts[urgency] == 0 {
		delete(u.counts, urgency)
	}
}

// mostUrgent returns the urgency of the most urgent run, or MostUrgentCaller without
// runs. A call cannot be attributed to one of several runs; where the routes of a
// service differ in urgency, its calls go with the most urgent one.
func (u *runUrgencies) mostUrgent() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	first, most := true, MostUrgentCaller
	for urgency := range u.counts {
		if first || urgency < most {
			first, most = false, urgency
		}
	}
	return most
}
