package operator

import (
	"context"
	"crypto/rand"
	"net/http"
	"strconv"
	"time"
	"unicode"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/version/document"
	"github.com/daisytide/daisytide/internal/version/snapshot"
)

// Origin tells where an order of an operator comes from.
type Origin struct {
	Operator string
	// Base is the configuration number that the operator started from; 0
	// means whichever is in force.
	Base uint64
	// Session identifies one apply over all tries to send it.
	Session string
}

// parseOrigin reads the headers of an operator.
func parseOrigin(h http.Header) (Origin, *api.Error) {
	o := Origin{Operator: h.Get(api.HeaderOperator), Session: h.Get(api.HeaderSession)}
	if !isPrintable(o.Operator, api.MaxOperatorBytes) {
		return o, api.Errorf(api.OperatorHeader, "%s must be at most %d printable bytes", api.HeaderOperator, api.MaxOperatorBytes)
	}
	if !isPrintable(o.Session, api.MaxSessionBytes) {
		return o, api.Errorf(api.OperatorHeader, "%s must be at most %d printable bytes", api.HeaderSession, api.MaxSessionBytes)
	}
	if base := h.Get(api.HeaderBase); base != "" {
		n, err := strconv.ParseUint(base, 10, 64)
		if err != nil {
			return o, api.Errorf(api.OperatorHeader, "%s must be a configuration number", api.HeaderBase)
		}
		o.Base = n
	}
	return o, nil
}

func isPrintable(s string, most int) bool {
	for _, c := range s {
		if !unicode.IsPrint(c) {
			return false
		}
	}
	return len(s) <= most
}

// Apply takes a document to the store and enters the outcome, whichever it is,
// in the audit trail.
func (s *Server) Apply(ctx context.Context, text []byte, from Origin) api.ApplyResponse {
	if from.Session == "" {
		from.Session = rand.Text()
	}
	before := s.Holder.Current()
	out := s.Documents.ApplySession(ctx, text, from.Operator, from.Base, from.Session)
	s.Metrics.Add("apply_"+string(out.Outcome), 1)
	entry := api.AuditEntry{
		At:       time.Now().UTC(),
		Operator: from.Operator,
		Action:   "apply",
		From:     before.Number(),
		Outcome:  string(out.Outcome),
	}
	if out.Outcome == api.ApplyAccepted {
		// A repeated try of the session is the same change.
		entry.ID = "apply/" + from.Session
		entry.To = out.Number
		out.Changes = s.listChanges(before, out.Number, text)
		entry.Changes = out.Changes
	}
	if out.Error != nil {
		entry.Outcome += ": " + out.Error.Error()
	}
	s.Audit.Record(entry)
	return out
}

// listChanges lists what the accepted document differs in from the one that was in
// force before.
func (s *Server) listChanges(before *snapshot.Snapshot, number uint64, text []byte) []string {
	var old *document.Document
	if before != nil {
		old = before.Document
	}
	if now := s.Holder.Current(); now != nil && now.Number() == number {
		return document.Diff(old, now.Document)
	}
	doc, faults := document.Decode(text)
	if len(faults) > 0 {
		return nil
	}
	return document.Diff(old, doc)
}

// ApplyOrder gives an operator's order to a move. A refused one is entered in the
// audit trail here; the move enters one that it has carried out.
func (s *Server) ApplyOrder(o api.RolloutOrder, operator string) *api.Error {
	err := s.Node.ApplyOrder(o, operator)
	if err == nil {
		return nil
	}
	number := s.Holder.Current().Number()
	entry := api.AuditEntry{
		At:       time.Now().UTC(),
		Operator: operator,
		Action:   "rollout-order",
		From:     number,
		To:       number,
		Outcome:  "refused: " + err.Error(),
		Changes:  []string{string(o.Action) + " " + o.Service},
	}
	if o.Reason != "" {
		entry.Changes = append(entry.Changes, "reason: "+o.Reason)
	}
	s.Audit.Record(entry)
	return err
}
