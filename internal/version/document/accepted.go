package document

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/version/traffic"
)

// AcceptedConfig is the envelope stored under the configuration key: one document
// with the number that the compare-and-swap gave it.
type AcceptedConfig struct {
	// Number rises by one with each accepted document, from 1.
	Number uint64 `json:"number"`
	// Session identifies the attempt to apply, so that a writer whose reply
	// was lost can tell by reading back whether its own write took effect.
	Session  string    `json:"session"`
	Operator string    `json:"operator"`
	At       time.Time `json:"at"`
	// Rollouts gives, for each rollout of the document, the number of the
	// configuration that first held it. A later document that keeps the
	// rollout unchanged keeps the number, and with it the move's state, so an
	// unrelated change never revives a withdrawn version.
	Rollouts []RolloutRef `json:"moves,omitempty"`
	// Past names the accepted documents before this one, the latest last and
	// at most MaxPast, so that a writer whose reply was lost learns that
	// its document was accepted even when a later one has replaced it.
	Past     []PastConfig    `json:"past,omitempty"`
	Document json.RawMessage `json:"document"`
	// Traffic stands in place of the document where the operator keeps the
	// configuration in the store himself; the number is then the operator's.
	Traffic *traffic.Config `json:"traffic,omitempty"`
}

// MaxPast bounds AcceptedConfig.Past.
const MaxPast = 16

// PastConfig is an accepted document that a later one replaced.
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

// RolloutRef names a move: its service and the configuration it began under.
type RolloutRef struct {
	Service     string `json:"service" cbor:"1,keyasint"`
	StartConfig uint64 `json:"since" cbor:"2,keyasint"`
}

// Encode encodes an accepted document for the store and the peers.
func (a *AcceptedConfig) Encode() ([]byte, error) {
	return json.Marshal(a)
}

// DecodeEnvelope reads an envelope and the document inside it.
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

// NextAccepted builds the envelope that follows prev, which is nil for the first.
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

// since returns the number under which the same rollout already runs, else n.
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

// Describe names the envelope in logs.
func (a *AcceptedConfig) Describe() string {
	return fmt.Sprintf("configuration %d by %s", a.Number, a.Operator)
}
