package gate

import (
	"github.com/daisytide/daisytide/internal/request/call"
	"github.com/daisytide/daisytide/internal/version/document"
)

// Criticality orders calls by who is shed first.
type Criticality uint8

// The ranks, the first to be shed first: uploads, look-ups, and what must run
// once (credits and print orders).
const (
	CriticalityUpload Criticality = iota
	CriticalityLookup
	CriticalityOnce
	criticalityCount = 3
)

// uploadBytes is the body size from which a call counts as an upload.
const minUploadBytes = 256 << 10

// CriticalityOf ranks a call with a body of size bytes; -1 where that is not known.
func CriticalityOf(c *call.Call, size int64) Criticality {
	switch {
	case size < 0 || size >= minUploadBytes:
		return CriticalityUpload
	case c.Idempotent || c.Caller == document.Buyer:
		return CriticalityLookup
	case c.Caller == document.Driver:
		return CriticalityUpload
	default:
		return CriticalityOnce
	}
}
