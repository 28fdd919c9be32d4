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

// Origin says who sent an operator's request and what it is based on.
type Origin struct {
	Operator string
	// Base is the configuration number that the document is based on; with 0
	// any configuration may be in force.
	Base uint64
	// Session identifies one apply over all its attempts.
	Session string
}

// parseOrigin reads the origin from the headers of a request.
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

// isPrintable reports whether s has at most maxBytes bytes and no character that
// cannot be printed.
func isPrintable(s string, maxBytes int) bool {
	for _, c := range s {
		if !unicode.IsPrint(c) {
			return false
		}
	}
	return len(s) <= maxBytes
}

// Apply applies a document through the store and records the outcome in the
// audit trail, also if the document was refused.
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
		// The ID is the same for each attempt of a session, so that the change
		// is listed once.
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

// listChanges lists the differences between the accepted document and the one
// that was in force before.
func (s *Server) listChanges(before *snapshot.Snapshot, number uint64, text []byte) []string {
	var old *document.Document
	if before != nil {
		old = before.Document
	}
	if cur := s.Holder.Current(); cur != nil && cur.Number() == number {
		return document.Diff(old, cur.Document)
	}
	doc, faults := document.Decode(text)
	if len(faults) > 0 {
		return nil
	}
	return document.Diff(old, doc)
}

// ApplyOrder passes an operator's order to the node. It records a refused order
// in the audit trail; the rollout manager records one that was carried out.
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
