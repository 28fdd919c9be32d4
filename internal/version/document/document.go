// Package document defines the configuration document that operators write,
// its strict decoding, and the envelope in which an accepted one is stored.
package document

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"
)

// MaxBytes bounds a document's text; the platform's store holds values up to
// a megabyte, and the envelope needs some of it.
const MaxBytes = 1_000_000 - 16_384

// Document is one whole configuration: services, routes and rollouts.
type Document struct {
	Services []Service `json:"services,omitempty"`
	Routes   []Route   `json:"routes,omitempty"`
	Rollouts []Rollout `json:"rollouts,omitempty"`
}

// Service is a named set of upstreams, of one or more versions.
type Service struct {
	Name string `json:"name"`
	// Versions lists the versions whose upstreams may receive calls.
	Versions []string `json:"versions,omitempty"`
	// Current is the version that receives all calls while no rollout moves them.
	Current string `json:"current"`
	Limits  Limits `json:"limits,omitzero"`
}

// Limits bounds what one node sends to its upstream. Zero fields take
// defaults or what the upstream announced.
type Limits struct {
	// Slots caps requests in progress in one upstream.
	Slots int `json:"slots,omitempty"`
	// Connections caps connections to one upstream.
	Connections int `json:"connections,omitempty"`
	// Queue caps requests waiting at one gate.
	Queue int `json:"queue,omitempty"`
	// RetryShare is the percentage of calls that may be retries.
	RetryShare float64 `json:"retry_share,omitempty"`
}

// Caller is the class of a route's callers.
type Caller string

// The caller classes.
const (
	Buyer     Caller = "buyer"
	Clerk     Caller = "clerk"
	Driver    Caller = "driver"
	Organiser Caller = "organiser"
)

// Route sends the requests that match it to one service.
type Route struct {
	Name       string   `json:"name"`
	Match      Match    `json:"match"`
	Service    string   `json:"service"`
	Idempotent bool     `json:"idempotent,omitempty"`
	TimeLimit  Duration `json:"time_limit"`
	Caller     Caller   `json:"caller"`
	// BodyLimit caps a request body; zero takes the default.
	BodyLimit Size `json:"body_limit,omitzero"`
}

// Match selects requests. The longest prefix wins; a method beats none.
type Match struct {
	Prefix string `json:"prefix"`
	Method string `json:"method,omitempty"`
	Host   string `json:"host,omitempty"`
}

// Caution weighs early completion against early withdrawal of a version.
type Caution string

// The levels of caution; empty means CautionNormal.
const (
	CautionSwift  Caution = "swift"
	CautionNormal Caution = "normal"
	CautionHigh   Caution = "high"
)

// Rollout moves a service's calls from one version to another.
type Rollout struct {
	Service  string    `json:"service"`
	From     string    `json:"from"`
	To       string    `json:"to"`
	Start    time.Time `json:"start"`
	Deadline time.Time `json:"deadline"`
	// FirstShare is the percentage of calls sent to the new version at first.
	FirstShare float64 `json:"first_share"`
	// Steps are the shares after the first, rising to 100. None means that
	// daisytide chooses them.
	Steps   []float64 `json:"steps,omitempty"`
	Caution Caution   `json:"caution,omitempty"`
}

// Equal tells whether two rollouts describe the same move.
func (r Rollout) Equal(o Rollout) bool {
	a, errA := json.Marshal(r)
	b, errB := json.Marshal(o)
	return errA == nil && errB == nil && bytes.Equal(a, b)
}

// Hash is the SHA-256 of a stored envelope's bytes.
type Hash [sha256.Size]byte

// HashOf returns the hash of an envelope's bytes.
func HashOf(envelope []byte) Hash { return sha256.Sum256(envelope) }

// String gives the first eight bytes in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:8]) }
