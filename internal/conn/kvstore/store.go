// Package platform is the client side of the platform's key-value store: the
// interface that other parts use, its typed errors, and the HTTP client.
package kvstore

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// MaxValueBytes is the largest value that the store holds.
const MaxValueBytes = 1_000_000

// MaxWatch is the longest that the store lets one watch wait.
const MaxWatchWait = 30 * time.Second

// Entry is one key with its value.
type Entry struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Revision rises with every write to the store; 0 means absent.
	Revision uint64 `json:"revision"`
	// Lease names the lease that the entry goes with, if any.
	Lease string `json:"lease,omitempty"`
	// Deleted marks a change that a watch tells of: the key is gone.
	Deleted bool `json:"deleted,omitempty"`
}

// Lease is a time-limited right that must be kept alive.
type Lease struct {
	ID  string        `json:"id"`
	TTL time.Duration `json:"ttl"`
}

// Store is the platform's key-value store. Every method counts as one call
// against its rates. Errors are *Error.
type Store interface {
	// Get reads one key. An absent key gives an Entry with Revision 0.
	Get(ctx context.Context, key string) (Entry, error)
	// List reads all keys with a prefix, in key order, and the store's revision
	// before it. A stale read may be seconds old and costs the store less.
	List(ctx context.Context, prefix string, stale bool) ([]Entry, uint64, error)
	// CompareAndSwap writes value if the key's revision is still revision;
	// 0 creates only. A nil value deletes. lease may be empty.
	CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte, lease string) (Entry, error)
	// Watch waits until a key with the prefix has a revision above after, and
	// returns the changes and the store's revision. It returns with no entries
	// when wait, at most MaxWatch, is over. OutcomeHistoryLost means that the
	// store no longer knows all changes since after: list the keys anew.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Entry, uint64, error)
	// Grant makes a lease.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// KeepAlive renews a lease; a lapsed one gives OutcomeRefused.
	KeepAlive(ctx context.Context, id string) error
	// Revoke ends a lease and deletes its entries.
	Revoke(ctx context.Context, id string) error
}

// Outcome tells what is known of a failed call's effect.
type Outcome uint8

// The outcomes of a failed call.
const (
	// OutcomeRefused: the store answered, and nothing took effect.
	OutcomeRefused Outcome = iota + 1
	// OutcomeConflict: the revision did not match; nothing took effect.
	OutcomeConflict
	// OutcomeLimited: a rate limit, ours or the store's; nothing took effect.
	OutcomeRateLimited
	// OutcomeNotReached: the call never reached the store.
	OutcomeNotReached
	// OutcomeUnknown: the call was sent and its reply was lost, so a write may
	// have taken effect.
	OutcomeUnknown
	// OutcomeHistoryLost: a watch began at a revision that the store has
	// forgotten.
	OutcomeHistoryLost
)

// String names the outcome.
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

// Error is a failed call to the store.
type Error struct {
	Op      string
	Key     string
	Outcome Outcome
	// Current is the entry that won, on OutcomeConflict.
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

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// OutcomeOf returns the outcome of err; any error that is not an *Error is
// OutcomeUnknown.
func OutcomeOf(err error) Outcome {
	var e *Error
	if errors.As(err, &e) {
		return e.Outcome
	}
	return OutcomeUnknown
}

// Keys of the store. Each stands under one prefix per deployment.
const (
	// KeyConfig holds the accepted document.
	KeyConfig = "daisytide/config"
	// KeyAudit holds the bounded list of audit entries.
	KeyAudit = "daisytide/audit"
	// KeySeeds holds some live peers' addresses, for nodes that start.
	KeySeeds = "daisytide/seeds"
	// PrefixMoves holds one entry per ended move.
	PrefixRollouts = "daisytide/moves/"
	// PrefixNodes holds one leased entry per live node.
	PrefixNodes = "daisytide/nodes/"
	// PrefixGates holds, per service, the table of gates that may run keyed calls.
	PrefixGates = "daisytide/gates/"
)
