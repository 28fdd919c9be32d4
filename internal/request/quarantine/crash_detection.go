package quarantine

import "time"

// CrashEvidence is what a gate has observed around a lost connection.
type CrashEvidence struct {
	// Reachable reports whether the upstream accepts connections right afterwards.
	Reachable bool
	// Reannounced reports whether the upstream has announced itself again since.
	Reannounced bool
	// RequestsRunning is the number of requests that ran when the first connection
	// was lost, ConnectionsLost the number of those that lost theirs.
	RequestsRunning, ConnectionsLost int
}

// IsCrash reports whether the upstream has crashed. A single lost connection of
// an upstream that still accepts connections is a refusal and not a crash.
func IsCrash(e CrashEvidence) bool {
	if !e.Reachable || e.Reannounced {
		return true
	}
	return e.RequestsRunning > 1 && e.ConnectionsLost == e.RequestsRunning
}

// settleTime is how long a gate waits for other connections to break in a crash.
const settleTime = 20 * time.Millisecond
