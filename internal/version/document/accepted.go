package document

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/version/traffic"
)

// AcceptedConfig is the envelope stored under the configuration key: a document
// with the number that it got by compare-and-swap.
type AcceptedConfig struct {
	// Number increases by one with each accepted document, starting at 1.
	Number uint64 `json:"number"`
	// Session identifies the attempt to apply, so that a writer whose reply was
	// lost can read back whether its own write took effect.
	Session  string    `json:"session"`
	Operator string    `json:"operator"`
	At       time.Time `json:"at"`
	// Rollouts holds, for each rollout of the document, the number of the
	// configuration that first contained it. A later document that keeps the
	// rollout unchanged keeps the number, and with it the rollout's state, so
	// an unrelated change never restores a withdrawn version.
	Rollouts []RolloutRef `json:"moves,omitempty"`
	// Past lists the previously accepted documents, the latest last, up to
	// MaxPast. From it a writer whose reply was lost learns that its document
	// was accepted even if a later one has replaced it.
	Past     []PastConfig    `json:"past,omitempty"`
	Document json.RawMessage `json:"document"`
	// Traffic replaces the document if the operator keeps the configuration in
	// the store; the number is then the operator's.
	Traffic *traffic.Config `json:"traffic,omitempty"`
}

// MaxPast is the maximum length of AcceptedConfig.Past.
const MaxPast = 16

// PastConfig identifies an accepted document that a later one replaced.
type PastConfig struct {
	Number  uint64 `json:"number"`
	Session string `json:"session"`
}

// NumberOf returns the number under which a session's document was accepted.
func (a *AcceptedConfig) NumberOf(session string) (uint64, bool) {
	if a.Session == session {
		return a.Number, true
	}
	for _, p := range a.Past {
		if p.Session == session {
			return p.Number, true
		}
	}
	return 0, false
}

// RolloutRef identifies a rollout by its service and the configuration that
// started it.
type RolloutRef struct {
	Service     string `json:"service" cbor:"1,keyasint"`
	StartConfig uint64 `json:"since" cbor:"2,keyasint"`
}

// Encode encodes the envelope for the store and for peers. It escapes no HTML characters,
// which take six bytes each then and could exceed what one message holds.
func (a *AcceptedConfig) Encode() ([]byte, error) {
	var out bytes.Buffer
	e := json.NewEncoder(&out)
	e.SetEscapeHTML(false)
	if err := e.Encode(a); err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(out.Bytes(), []byte("\n")), nil
}

// DecodeEnvelope decodes an envelope and the document in it.
func DecodeEnvelope(envelope []byte) (*AcceptedConfig, *Document, error) {
	var a AcceptedConfig
	if err := json.Unmarshal(envelope, &a); err != nil {
		return nil, nil, api.Errorf(api.StoreCorrupt, "decode the accepted document: %w", err)
	}
	if a.Traffic != nil {
		if err := a.Traffic.Check(); err != nil {
			return nil, nil, api.Errorf(api.StoreCorrupt, "configuration %d: %w", a.Number, err)
		}
		return &a, &Document{}, nil
	}
	if doc, ok := decodeChecked(a.Document); ok {
		return &a, doc, nil
	}
	doc, faults := Decode(a.Document)
	if len(faults) > 0 {
		err := api.Errorf(api.StoreCorrupt, "configuration %d: %s", a.Number, faults[0])
		err.Faults = faults
		return nil, nil, err
	}
	return &a, doc, nil
}

// NextAccepted returns the envelope that follows prev, which is nil for the
// first one.
func NextAccepted(prev *AcceptedConfig, prevDoc *Document, text []byte, doc *Document, session, operator string, at time.Time) *AcceptedConfig {
	a := &AcceptedConfig{Number: 1, Session: session, Operator: operator, At: at, Document: text}
	if prev != nil {
		a.Number = prev.Number + 1
		a.Past = append(slices.Clone(prev.Past), PastConfig{Number: prev.Number, Session: prev.Session})
		a.Past = a.Past[max(0, len(a.Past)-MaxPast):]
	}
	for _, r := range doc.Rollouts {
		a.Rollouts = append(a.Rollouts, RolloutRef{Service: r.Service, StartConfig: startConfig(prev, prevDoc, r, a.Number)})
	}
	return a
}

// startConfig returns the number under which the same rollout is already
// running, or else n.
func startConfig(prev *AcceptedConfig, prevDoc *Document, r Rollout, n uint64) uint64 {
	if prev == nil || prevDoc == nil {
		return n
	}
	for i, old := range prevDoc.Rollouts {
		if old.Equal(r) && i < len(prev.Rollouts) {
			return prev.Rollouts[i].StartConfig
		}
	}
	return n
}

// Describe returns a short description for logs.
func (a *AcceptedConfig) Describe() string {
	return fmt.Sprintf("configuration %d by %s", a.Number, a.Operator)
}
