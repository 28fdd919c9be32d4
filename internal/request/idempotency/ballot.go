// Package idempotency makes a keyed call that is not idempotent run at most once.
//
// A gate notes each key before it runs it. A first attempt needs no more than
// that. Any later attempt collects a fence from every gate that could have run
// an earlier one: a gate answers with its record of the key, or promises not
// to run an attempt with a lower ballot any more. An attempt that holds all
// fences runs at one of those gates; one that hears of a record is answered
// from it; one that misses a gate is told that the outcome is unknown, and
// nothing runs.
package idempotency

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"

	"github.com/daisytide/daisytide/api"
)

// Ballot orders the attempts with one key. The zero ballot is the first
// attempt's; any fence is above it.
type Ballot struct {
	// Attempt is the caller's number.
	Attempt uint32 `cbor:"1,keyasint"`
	// TimestampMillis is the entry's clock in milliseconds. It only decides which of two
	// equal attempts wins, so clocks that disagree do no harm.
	TimestampMillis uint64 `cbor:"2,keyasint"`
	// Nonce is random and makes ballots differ.
	Nonce uint64 `cbor:"3,keyasint"`
}

// IsFirst tells whether b is the first attempt's.
func (b Ballot) IsFirst() bool { return b == Ballot{} }

// Compare orders ballots as cmp.Compare does.
func (b Ballot) Compare(o Ballot) int {
	return cmp.Or(cmp.Compare(b.Attempt, o.Attempt), cmp.Compare(b.TimestampMillis, o.TimestampMillis), cmp.Compare(b.Nonce, o.Nonce))
}

// String encodes b for call.Call.FencingToken.
func (b Ballot) String() string {
	return fmt.Sprintf("%d-%x-%x", b.Attempt, b.TimestampMillis, b.Nonce)
}

// ParseBallot decodes what String made; it refuses the zero ballot.
func ParseBallot(s string) (Ballot, error) {
	var b Ballot
	parts := strings.Split(s, "-")
	if len(parts) != 3 {
		return b, api.Errorf(api.CallHeader, "malformed fence")
	}
	attempt, err1 := strconv.ParseUint(parts[0], 10, 32)
	timestamp, err2 := strconv.ParseUint(parts[1], 16, 64)
	nonce, err3 := strconv.ParseUint(parts[2], 16, 64)
	if err := cmp.Or(err1, err2, err3); err != nil {
		return b, api.Errorf(api.CallHeader, "malformed fence: %w", err)
	}
	b = Ballot{Attempt: uint32(attempt), TimestampMillis: timestamp, Nonce: nonce}
	if b.IsFirst() {
		return b, api.Errorf(api.CallHeader, "empty fence")
	}
	return b, nil
}
