// Package kvstore defines the interface to the platform's key-value store, its
// typed errors and keys, and RateLimitedStore, which limits a node's calls. The
// HTTP client that implements the interface is in package platform.
package kvstore

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// MaxValueBytes is the size of the largest value that the store accepts.
const MaxValueBytes = 1 << 20

// MaxWatchWait is the longest wait that the store allows for one watch.
const MaxWatchWait = 30 * time.Second

// Entry is one key with its value.
type Entry struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Revision is the store's revision of the key's last write. It increases with
	// every write to the store; 0 means that the key is absent.
	Revision uint64 `json:"revision"`
	// Lease is the ID of the lease that the entry is attached to, if any.
	Lease string `json:"lease,omitempty"`
	// Deleted marks a watch event for a key that was deleted.
	Deleted bool `json:"deleted,omitempty"`
}

// Lease expires after its TTL unless KeepAlive renews it; its entries are
// deleted with it.
type Lease struct {
	ID  string        `json:"id"`
	TTL time.Duration `json:"ttl"`
}

// Store is the platform's key-value store. Every method counts as one call
// against its rate limits. All errors are *Error.
type Store interface {
	// Get reads one key. For an absent key it returns an Entry with Revision 0.
	Get(ctx context.Context, key string) (Entry, error)
	// List reads all keys with a prefix, in key order, and returns the store's
	// revision from before the read. A stale read may be seconds old and costs the
	// store less.
	List(ctx context.Context, prefix string, stale bool) ([]Entry, uint64, error)
	// CompareAndSwap writes value if the key's revision is still revision; with
	// revision 0 the key must not exist. A nil value deletes the key. lease may be
	// empty.
	CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte, lease string) (Entry, error)
	// Watch waits until a key with the prefix has a revision above after, and
	// returns the changes and the store's revision. It returns no entries when wait,
	// which is at most MaxWatchWait, expires. OutcomeHistoryLost means that the
	// store no longer has all changes since after: the keys must be listed again.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Entry, uint64, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// KeepAlive renews a lease; for an expired one it fails with OutcomeRefused.
	KeepAlive(ctx context.Context, id string) error
	// Revoke ends a lease and deletes its entries.
	Revoke(ctx context.Context, id string) error
}

// Outcome says whether a failed call may have taken effect in the store.
type Outcome uint8

// The outcomes of a failed call.
const (
	// OutcomeRefused: the store rejected the call; nothing took effect.
	OutcomeRefused Outcome = iota + 1
	// OutcomeConflict: the revision did not match; nothing took effect.
	OutcomeConflict
	// OutcomeRateLimited: the rate limit of the node or of the store was exceeded;
	// nothing took effect.
	OutcomeRateLimited
	// OutcomeNotReached: the call was not sent, or the store replied that it is
	// unavailable.
	OutcomeNotReached
	// OutcomeUnknown: the call was sent but no reply arrived, so a write may have
	// taken effect.
	OutcomeUnknown
	// OutcomeHistoryLost: a watch started at a revision whose changes the store has
	// discarded.
	OutcomeHistoryLost
)

// String returns the outcome's name.
func (o Outcome) String() string {
	switch o {
	case OutcomeRefused:
		return "refused"
	case OutcomeConflict:
		return "conflict"
	case OutcomeRateLimited:
		return "limited"
	case OutcomeNotReached:
		return "not reached"
	case OutcomeHistoryLost:
		return "history lost"
	default:
		return "unknown"
	}
}

// Error describes a failed call to the store.
type Error struct {
	Op      string
	Key     string
	Outcome Outcome
	// Current is the entry that the store holds, on OutcomeConflict.
	Current Entry
	Err     error
}

// Error implements the error interface.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("store: %s %s: %s", e.Op, e.Key, e.Outcome)
	}
	return fmt.Sprintf("store: %s %s: %s: %v", e.Op, e.Key, e.Outcome, e.Err)
}

// Unwrap returns the wrapped error.
func (e *Error) Unwrap() error { return e.Err }

// OutcomeOf returns the outcome of err, or OutcomeUnknown if err is not an
// *Error.
func OutcomeOf(err error) Outcome {
	var e *Error
	if errors.As(err, &e) {
		return e.Outcome
	}
	return OutcomeUnknown
}

// Keys and key prefixes in the store. Each deployment has its own prefix before
// them.
const (
	// KeyConfig holds the accepted document.
	KeyConfig = "daisytide/config"
	// KeyAudit holds the bounded list of audit entries.
	KeyAudit = "daisytide/audit"
	// KeySeeds holds the addresses of some live peers, which starting nodes dial.
	KeySeeds = "daisytide/seeds"
	// PrefixRollouts holds one entry per finished rollout.
	PrefixRollouts = "daisytide/moves/"
	// PrefixNodes holds one leased entry per live node.
	PrefixNodes = "daisytide/nodes/"
	// PrefixDepartures holds, per node, one leased entry with the latest departure of
	// the upstream beside it.
	PrefixDepartures = "daisytide/departures/"
	// PrefixGates holds, per service, the roster of gates that may run calls with
	// an idempotency key.
	PrefixGates = "daisytide/gates/"
)
