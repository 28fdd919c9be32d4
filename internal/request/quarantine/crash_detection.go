package quarantine

import "time"

// CrashEvidence is what a gate has seen around a connection that broke.
type CrashEvidence struct {
	// Reachable tells whether the upstream takes connections just after.
	Reachable bool
	// Reannounced tells that the upstream has announced itself anew since.
	Reannounced bool
	// RequestsRunning is how many requests ran when the first connection broke, ConnectionsLost
	// how many of them have lost theirs.
	RequestsRunning, ConnectionsLost int
}

// IsCrash tells whether the upstream died. A single broken connection of an
// upstream that is still there is its way to refuse a request, no crash.
func IsCrash(e CrashEvidence) bool {
	if !e.Reachable || e.Reannounced {
		return true
	}
	return e.RequestsRunning > 1 && e.ConnectionsLost == e.RequestsRunning
}

// settle is how long the gate waits for the other connections of a crash.
const settleTime = 20 * time.Millisecond
