// Package idempotency runs a call that has an idempotency key, and is not
// idempotent in itself, at most once.
//
// A gate records each key before it runs the call. A first attempt needs no
// more than that. A repeated attempt requests a fence from every gate that may
// have run an earlier one: the gate replies with its record of the key, or
// promises to start no attempt with a lower ballot. An attempt that was granted
// all fences runs at one of those gates. If a gate has a record, the attempt is
// answered from that record. If a gate cannot be asked, the attempt is not run
// and ends as "outcome unknown".
package idempotency

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"

	"github.com/daisytide/daisytide/api"
)

// Ballot orders the attempts with one key. The first attempt has the zero
// ballot; the ballot of any fence is higher.
type Ballot struct {
	// Attempt is the attempt number that the caller sent.
	Attempt uint32 `cbor:"1,keyasint"`
	// TimestampMillis is the entry's clock in Unix milliseconds. It only orders
	// attempts with the same number, so clock skew is harmless.
	TimestampMillis uint64 `cbor:"2,keyasint"`
	// Nonce is random and makes ballots distinct.
	Nonce uint64 `cbor:"3,keyasint"`
}

// IsFirst reports whether b is the ballot of the first attempt.
func (b Ballot) IsFirst() bool { return b == Ballot{} }

// Compare orders ballots like cmp.Compare.
func (b Ballot) Compare(o Ballot) int {
	return cmp.Or(cmp.Compare(b.Attempt, o.Attempt), cmp.Compare(b.TimestampMillis, o.TimestampMillis), cmp.Compare(b.Nonce, o.Nonce))
}

// String encodes b as the fencing token that call.Call carries.
func (b Ballot) String() string {
	return fmt.Sprintf("%d-%x-%x", b.Attempt, b.TimestampMillis, b.Nonce)
}

// ParseBallot decodes the result of String. The zero ballot is an error.
func ParseBallot(s string) (Ballot, error) {
	var b Ballot
	parts := strings.Split(s, "-")
	if len(parts) != 3 {
		return b, api.Errorf(api.CallHeader, "malformed fencing token")
	}
	attempt, err1 := strconv.ParseUint(parts[0], 10, 32)
	timestamp, err2 := strconv.ParseUint(parts[1], 16, 64)
	nonce, err3 := strconv.ParseUint(parts[2], 16, 64)
	if err := cmp.Or(err1, err2, err3); err != nil {
		return b, api.Errorf(api.CallHeader, "malformed fencing token: %w", err)
	}
	b = Ballot{Attempt: uint32(attempt), TimestampMillis: timestamp, Nonce: nonce}
	if b.IsFirst() {
		return b, api.Errorf(api.CallHeader, "fencing token with the zero ballot")
	}
	return b, nil
}
