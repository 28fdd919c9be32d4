package gate

import (
	"github.com/daisytide/daisytide/internal/request/call"
	"github.com/daisytide/daisytide/internal/version/document"
)

// Criticality orders calls for load shedding; lower values are shed first.
type Criticality uint8

// Criticalities: uploads, look-ups, and calls that must run at most once
// (credits and print orders).
const (
	CriticalityUpload Criticality = iota
	CriticalityLookup
	CriticalityOnce
	criticalityCount = 3
)

// minUploadBytes is the body size from which a call counts as an upload.
const minUploadBytes = 256 << 10

// CriticalityOf classifies a call with a body of size bytes; -1 if unknown.
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
