// Package document defines the configuration document that operators write, its
// strict decoder, and the envelope in which an accepted document is stored.
package document

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"
)

// MaxBytes is the size limit of a document's text. The platform's store holds
// values of up to a megabyte, and the envelope needs part of it.
const MaxBytes = 1_000_000 - 16_384

// Document is a complete configuration: services, routes and rollouts.
type Document struct {
	Services []Service `json:"services,omitempty"`
	Routes   []Route   `json:"routes,omitempty"`
	Rollouts []Rollout `json:"rollouts,omitempty"`
}

// Service is a named set of upstreams of one or more versions.
type Service struct {
	Name string `json:"name"`
	// Versions lists the versions whose upstreams may receive calls.
	Versions []string `json:"versions,omitempty"`
	// Current is the version that receives all calls while there is no rollout.
	Current string `json:"current"`
	Limits  Limits `json:"limits,omitzero"`
}

// Limits limits what one node sends to its upstream. Zero fields take the
// default or the value that the upstream announced.
type Limits struct {
	// Slots is the maximum number of requests in progress on one upstream.
	Slots int `json:"slots,omitempty"`
	// Connections is the maximum number of connections to one upstream.
	Connections int `json:"connections,omitempty"`
	// Queue is the maximum number of requests that wait at one gate.
	Queue int `json:"queue,omitempty"`
	// RetryShare is the maximum percentage of calls that are retries.
	RetryShare float64 `json:"retry_share,omitempty"`
}

// Caller is the class of a route's callers.
type Caller string

const (
	Buyer     Caller = "buyer"
	Clerk     Caller = "clerk"
	Driver    Caller = "driver"
	Organiser Caller = "organiser"
)

// Route sends matching requests to a service.
type Route struct {
	Name       string   `json:"name"`
	Match      Match    `json:"match"`
	Service    string   `json:"service"`
	Idempotent bool     `json:"idempotent,omitempty"`
	TimeLimit  Duration `json:"time_limit"`
	Caller     Caller   `json:"caller"`
	// BodyLimit is the maximum size of a request body; zero takes the default.
	BodyLimit Size `json:"body_limit,omitzero"`
}

// Match selects requests. The longest prefix wins; a match with a method takes
// precedence over one without.
type Match struct {
	Prefix string `json:"prefix"`
	Method string `json:"method,omitempty"`
	Host   string `json:"host,omitempty"`
}

// Caution is the trade-off between early completion of a rollout and early
// withdrawal of a version.
type Caution string

// Caution levels; empty means CautionNormal.
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
	// FirstShare is the percentage of calls that the new version gets first.
	FirstShare float64 `json:"first_share"`
	// Steps lists the shares after the first one, rising to 100. If it is
	// empty, daisytide chooses them.
	Steps   []float64 `json:"steps,omitempty"`
	Caution Caution   `json:"caution,omitempty"`
}

// Equal reports whether two rollouts are equal.
func (r Rollout) Equal(o Rollout) bool {
	a, errA := json.Marshal(r)
	b, errB := json.Marshal(o)
	return errA == nil && errB == nil && bytes.Equal(a, b)
}

// Hash is the SHA-256 hash of an encoded envelope.
type Hash [sha256.Size]byte

// HashOf returns the hash of an encoded envelope.
func HashOf(envelope []byte) Hash { return sha256.Sum256(envelope) }

// String returns the first eight bytes in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:8]) }
