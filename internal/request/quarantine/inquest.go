package quarantine

import "time"

// Evidence is what a gate has seen around a connection that broke.
type Evidence struct {
	// Reachable tells whether the upstream takes connections just after.
	Reachable bool
	// Announced tells that the upstream has announced itself anew since.
	Announced bool
	// Running is how many requests ran when the first connection broke, Cut
	// how many of them have lost theirs.
	Running, Cut int
}

// Crashed tells whether the upstream died. A single broken connection of an
// upstream that is still there is its way to refuse a request, no crash.
func Crashed(e Evidence) bool {
	if !e.Reachable || e.Announced {
		return true
	}
	return e.Running > 1 && e.Cut == e.Running
}

// settle is how long the gate waits for the other connections of a crash.
const settle = 20 * time.Millisecond
