package api

import (
	"math"
	"time"
)

// Paths of the operator listener.
const (
	PathConfig   = "/v1/config"
	PathValidate = "/v1/validate"
	PathHosts    = "/v1/hosts"
	PathRollouts = "/v1/rollouts"
	PathAudit    = "/v1/audit"
	PathStatus   = "/v1/status"
	PathAnnounce = "/v1/announce"
)

// Headers of the operator listener.
const (
	HeaderToken    = "Daisytide-Token"
	HeaderOperator = "Daisytide-Operator"
	// HeaderBase carries the configuration number that the operator's document
	// is based on. Without the header any configuration may be in force, with
	// BaseNone none may be.
	HeaderBase = "Daisytide-Base"
	// HeaderSession identifies one apply over all its attempts, so that a node
	// recognises a repeated attempt for a document that it has accepted.
	HeaderSession = "Daisytide-Session"
)

// BaseNone is the base of a document that is accepted only as the first one.
const BaseNone = math.MaxUint64

// Limits of the headers of the operator listener, in bytes.
const (
	MaxOperatorBytes = 64
	MaxSessionBytes  = 64
)

// ApplyOutcome is the outcome of an attempt to apply a document.
type ApplyOutcome string

// The outcomes of an apply.
const (
	ApplyAccepted ApplyOutcome = "accepted"
	ApplyRefused  ApplyOutcome = "refused"
	ApplyConflict ApplyOutcome = "conflict"
	ApplyUnknown  ApplyOutcome = "unknown"
)

// ApplyResponse is the response to POST PathConfig.
type ApplyResponse struct {
	Outcome ApplyOutcome `json:"outcome"`
	// Number is the configuration number of the accepted document, or, if it
	// was not accepted, the number in force.
	Number uint64 `json:"number"`
	// Winner is, on a conflict, the operator whose document was accepted first.
	Winner string `json:"winner,omitempty"`
	// Changes lists what the accepted document changes, one line each.
	Changes []string `json:"changes,omitempty"`
	Error   *Error   `json:"error,omitempty"`
}

// ConfigResponse is the response to GET PathConfig.
type ConfigResponse struct {
	Number   uint64    `json:"number"`
	Hash     string    `json:"hash"`
	Operator string    `json:"operator"`
	At       time.Time `json:"at"`
	// Session is the session of the apply that was accepted.
	Session string `json:"session"`
	// Document is the text of the document in force.
	Document string `json:"document"`
}

// Host is one row of GET PathHosts.
type Host struct {
	Address     string `json:"address"`
	Region      string `json:"region"`
	DataCentre  string `json:"data_centre"`
	State       string `json:"state"`
	Incarnation uint64 `json:"incarnation"`
	Service     string `json:"service,omitempty"`
	Version     string `json:"version,omitempty"`
	Upstream    string `json:"upstream,omitempty"`
	Slots       int    `json:"slots,omitempty"`
	// Number is the configuration in force on the host; 0 with Error set if the
	// host did not answer.
	Number uint64 `json:"number"`
	Error  string `json:"error,omitempty"`
}

// HostsResponse is the response to GET PathHosts.
type HostsResponse struct {
	Number uint64 `json:"number"`
	Hosts  []Host `json:"hosts"`
	// Evacuated lists the data centres that are evacuated.
	Evacuated []string `json:"evacuated,omitempty"`
}

// Rollout is one row of GET PathRollouts.
type Rollout struct {
	Service string `json:"service"`
	From    string `json:"from"`
	To      string `json:"to"`
	// StartConfig is the configuration number under which the rollout started.
	StartConfig uint64 `json:"since"`
	// State is waiting, moving, watching, paused, done or taken-back.
	State string `json:"state"`
	// Share is the percentage of the service's calls sent to the new version.
	Share    float64   `json:"share"`
	Step     int       `json:"step"`
	Steps    int       `json:"steps"`
	Start    time.Time `json:"start"`
	Deadline time.Time `json:"deadline"`
	// ExpectedEnd is when the rollout will be done if no evidence speaks against
	// the new version.
	ExpectedEnd time.Time `json:"expected_end"`
	// Reason says in one sentence why the rollout is in this state.
	Reason   string     `json:"why"`
	Evidence []Evidence `json:"evidence,omitempty"`
}

// Evidence counts the runs of one version on one route.
type Evidence struct {
	Route    string `json:"route"`
	Version  string `json:"version"`
	Runs     uint64 `json:"runs"`
	Failures uint64 `json:"failures"`
	Slow     uint64 `json:"slow"`
}

// RolloutsResponse is the response to GET PathRollouts.
type RolloutsResponse struct {
	Number   uint64    `json:"number"`
	Rollouts []Rollout `json:"rollouts"`
}

// RolloutAction is the action that an operator orders for a rollout.
type RolloutAction string

// The actions of an operator's order.
const (
	RolloutTakeBack RolloutAction = "take-back"
	RolloutPause    RolloutAction = "pause"
	RolloutResume   RolloutAction = "resume"
)

// RolloutOrder is the body of POST PathRollouts.
type RolloutOrder struct {
	Service string        `json:"service"`
	Action  RolloutAction `json:"action"`
	Reason  string        `json:"reason,omitempty"`
}

// AuditEntry is one line of the audit trail.
type AuditEntry struct {
	// ID identifies the entry: entries with the same ID are listed once, also
	// when two nodes wrote them. The trail assigns an ID if it is empty.
	ID       string    `json:"id,omitempty"`
	At       time.Time `json:"at"`
	Operator string    `json:"operator"`
	// Action is apply, rollout-step, rollout-end, rollout-order or audit-gap.
	Action string `json:"action"`
	// From and To are configuration numbers.
	From    uint64 `json:"from"`
	To      uint64 `json:"to"`
	Outcome string `json:"outcome"`
	// Changes lists the changes of the configuration, one line each.
	Changes []string `json:"changes,omitempty"`
}

// AuditResponse is the response to GET PathAudit, the newest entry last.
type AuditResponse struct {
	Entries []AuditEntry `json:"entries"`
	// Trimmed counts older entries that were removed from the store's bounded
	// list.
	Trimmed uint64 `json:"trimmed,omitempty"`
	// Pending counts entries that this node has not yet written to the store.
	Pending int `json:"pending,omitempty"`
}

// StatusResponse is the response to GET PathStatus.
type StatusResponse struct {
	Address    string `json:"address"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	Number     uint64 `json:"number"`
	// Source says where the first configuration came from: store, peers or none.
	Source  string `json:"source"`
	Ready   bool   `json:"ready"`
	Links   int    `json:"links"`
	Members int    `json:"members"`
	// Watcher is true if this node watches the store for its data centre.
	Watcher bool `json:"watcher"`
	// StoreReached is true if the last call to the store was answered.
	StoreReached bool `json:"store_reached"`
	// Evacuated lists the data centres that are evacuated.
	Evacuated []string `json:"evacuated,omitempty"`
}

// UpstreamState is the state that an upstream reports.
type UpstreamState string

// The states of an upstream.
const (
	UpstreamNone     UpstreamState = ""
	UpstreamStarting UpstreamState = "starting"
	UpstreamReady    UpstreamState = "ready"
	UpstreamDraining UpstreamState = "draining"
	UpstreamDown     UpstreamState = "down"
)

// Announcement is the body of POST PathAnnounce, sent by the local upstream.
type Announcement struct {
	Service string        `json:"service"`
	Version string        `json:"version"`
	Address string        `json:"address"`
	State   UpstreamState `json:"state"`
	// Slots is how many requests the upstream runs at once.
	Slots int `json:"slots"`
	// Connections is how many connections the upstream accepts.
	Connections int `json:"connections"`
}
