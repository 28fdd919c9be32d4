package gate

import (
	"github.com/daisytide/daisytide/internal/request/call"
	"github.com/daisytide/daisytide/internal/version/document"
)

// Rank orders calls by who is shed first.
type Rank uint8

// The ranks, the first to be shed first: uploads, look-ups, and what must run
// once (credits and print orders).
const (
	RankUpload Rank = iota
	RankLookup
	RankOnce
	ranks = 3
)

// uploadBytes is the body size from which a call counts as an upload.
const uploadBytes = 256 << 10

// RankOf ranks a call with a body of size bytes; -1 where that is not known.
func RankOf(c *call.Call, size int64) Rank {
	switch {
	case size < 0 || size >= uploadBytes:
		return RankUpload
	case c.Idempotent || c.Caller == document.Buyer:
		return RankLookup
	case c.Caller == document.Driver:
		return RankUpload
	default:
		return RankOnce
	}
}
