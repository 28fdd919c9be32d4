package provider

import (
	"context"
	"crypto/rand"
	"errors"
	mathrand "math/rand/v2"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/kvstore"
	"github.com/daisytide/daisytide/internal/ctxtime"
	"github.com/daisytide/daisytide/internal/version/document"
	"github.com/daisytide/daisytide/internal/version/snapshot"
	"github.com/daisytide/daisytide/internal/version/validate"
)

// Timing of an apply.
const (
	// applyTimeout bounds an apply with all its retries.
	applyTimeout = 10 * time.Second
	// retryJitter is the maximum random delay before a call whose reply was lost is
	// retried.
	retryJitter = 500 * time.Millisecond
)

// Validate checks a document's text by itself and against the document in force.
func (p *Provider) Validate(text []byte) (*document.Document, *api.Error) {
	var inForce *document.Document
	if cur := p.Holder.Current(); cur != nil {
		inForce = cur.Document
	}
	doc, faults := validate.Text(text, inForce, p.rolloutStatus())
	if len(faults) > 0 {
		return nil, validate.NewError(faults)
	}
	return doc, nil
}

// rolloutStatus returns the status of the rollouts of the configuration in force.
func (p *Provider) rolloutStatus() validate.RolloutStatus {
	return validate.RolloutStatus{Ended: p.RolloutEnded, Done: p.RolloutDone, Now: time.Now()}
}

// applyAttempt is a document being written to the store.
type applyAttempt struct {
	next     *document.AcceptedConfig
	envelope []byte
	// revision is the store revision of the value to replace.
	revision uint64
	// replyLost is set once the outcome of a write is unknown because its reply
	// was lost.
	replyLost bool
}

// Apply writes a document to the store. base is the configuration number that the
// operator started from: 0 means the one in force, and api.BaseNone means that
// there is none. The document is never rebased: if another one was accepted
// first, the response names its operator.
func (p *Provider) Apply(ctx context.Context, text []byte, operator string, base uint64) api.ApplyResponse {
	return p.ApplySession(ctx, text, operator, base, rand.Text())
}

// ApplySession is Apply with a session ID from the operator, by which a document
// that an earlier attempt already wrote to the store is recognised.
func (p *Provider) ApplySession(ctx context.Context, text []byte, operator string, base uint64, session string) api.ApplyResponse {
	doc, validationErr := p.Validate(text)
	if validationErr != nil {
		return p.refusedResponse(validationErr)
	}
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	entry, err := p.Store.Get(ctx, kvstore.KeyConfig)
	if err != nil {
		return p.notWrittenResponse(err)
	}
	prev, prevDoc, err := decodePrevious(entry)
	if err != nil {
		return p.notWrittenResponse(err)
	}
	if cur := p.Holder.Current(); cur.Number() > numberOf(prev) {
		// The store has lost its value. Continue numbering from the configuration
		// in force, since nodes do not accept a lower number.
		prev, prevDoc = cur.Accepted, cur.Document
	}
	if prev != nil {
		if number, ok := prev.NumberOf(session); ok {
			return p.acceptedResponse(number, entry)
		}
	}
	if !baseMatches(prev, base) {
		return p.conflictResponse(prev)
	}
	if prevDoc != nil {
		if faults := validate.Change(prevDoc, doc, p.rolloutStatus()); len(faults) > 0 {
			document.SetLines(text, faults)
			return p.refusedResponse(validate.NewError(faults))
		}
	}
	a := applyAttempt{revision: entry.Revision}
	a.next = document.NextAccepted(prev, prevDoc, text, doc, session, operator, time.Now().UTC())
	if a.envelope, err = a.next.Encode(); err != nil {
		return p.notWrittenResponse(err)
	}
	return p.write(ctx, &a)
}

func numberOf(a *document.AcceptedConfig) uint64 {
	if a == nil {
		return 0
	}
	return a.Number
}

// baseMatches reports whether a document written against base may follow prev,
// which is nil if no document was accepted yet.
func baseMatches(prev *document.AcceptedConfig, base uint64) bool {
	switch {
	case base == 0:
		return true
	case prev == nil:
		return base == api.BaseNone
	}
	return prev.Number == base
}

func decodePrevious(e kvstore.Entry) (*document.AcceptedConfig, *document.Document, error) {
	if e.Revision == 0 {
		return nil, nil, nil
	}
	return document.DecodeEnvelope(e.Value)
}

// write repeats the write until its outcome is known. Every attempt replaces the
// same revision, so at most one takes effect, and an attempt still in flight
// cannot take effect once another value is stored.
func (p *Provider) write(ctx context.Context, a *applyAttempt) api.ApplyResponse {
	for {
		entry, err := p.Store.CompareAndSwap(ctx, kvstore.KeyConfig, a.revision, a.envelope, "")
		if err == nil {
			return p.acceptedResponse(a.next.Number, kvstore.Entry{Value: a.envelope, Revision: entry.Revision})
		}
		switch kvstore.OutcomeOf(err) {
		case kvstore.OutcomeConflict:
			return p.resolveConflict(ctx, a, err)
		case kvstore.OutcomeUnknown:
			a.replyLost = true
		default:
			if !a.replyLost {
				return p.notWrittenResponse(err)
			}
		}
		ctxtime.Sleep(ctx, mathrand.N(retryJitter))
		if ctx.Err() != nil {
			return p.unknownResponse(err)
		}
	}
}

// resolveConflict determines which document was accepted after a write conflict:
// this one, possibly replaced since, or another one.
func (p *Provider) resolveConflict(ctx context.Context, a *applyAttempt, err error) api.ApplyResponse {
	current, entry, readErr := p.currentValue(ctx, err)
	if readErr != nil && a.replyLost {
		return p.unknownResponse(readErr)
	}
	if readErr != nil {
		return p.notWrittenResponse(err)
	}
	if number, ok := current.NumberOf(a.next.Session); ok {
		return p.acceptedResponse(number, entry)
	}
	if a.replyLost && current.Number > a.next.Number+document.MaxPast {
		return p.unknownResponse(errHistoryExceeded)
	}
	return p.conflictResponse(current)
}

var errHistoryExceeded = errors.New("too many documents were accepted since the write; the history no longer shows whether it took effect")

// currentValue returns the stored value. It takes it from the conflict error if
// that has one, and otherwise reads the store until a read succeeds.
func (p *Provider) currentValue(ctx context.Context, err error) (*document.AcceptedConfig, kvstore.Entry, error) {
	var e *kvstore.Error
	if errors.As(err, &e) && e.Current.Revision != 0 {
		current, _, decodeErr := document.DecodeEnvelope(e.Current.Value)
		return current, e.Current, decodeErr
	}
	for {
		entry, err := p.Store.Get(ctx, kvstore.KeyConfig)
		if err == nil {
			current, _, decodeErr := document.DecodeEnvelope(entry.Value)
			return current, entry, decodeErr
		}
		ctxtime.Sleep(ctx, mathrand.N(retryJitter))
		if ctx.Err() != nil {
			return nil, kvstore.Entry{}, err
		}
	}
}

// acceptedResponse puts the stored value into force and returns the number that
// the operator's document got.
func (p *Provider) acceptedResponse(number uint64, e kvstore.Entry) api.ApplyResponse {
	if s, err := snapshot.BuildFrom(p.Holder.Current(), e.Value); err == nil {
		p.finishStart(SourceStore)
		p.Offer(s)
	}
	return api.ApplyResponse{Outcome: api.ApplyAccepted, Number: number}
}

func (p *Provider) refusedResponse(apiErr *api.Error) api.ApplyResponse {
	return api.ApplyResponse{Outcome: api.ApplyRefused, Number: p.Holder.Current().Number(), Error: apiErr}
}

func (p *Provider) conflictResponse(winner *document.AcceptedConfig) api.ApplyResponse {
	if winner == nil {
		apiErr := api.Errorf(api.OperatorConflict, "no document was accepted yet")
		return api.ApplyResponse{Outcome: api.ApplyConflict, Error: apiErr}
	}
	return api.ApplyResponse{
		Outcome: api.ApplyConflict,
		Number:  winner.Number,
		Winner:  winner.Operator,
		Error:   api.Errorf(api.OperatorConflict, "%s was accepted first", winner.Describe()),
	}
}

func (p *Provider) unknownResponse(err error) api.ApplyResponse {
	return api.ApplyResponse{
		Outcome: api.ApplyUnknown,
		Number:  p.Holder.Current().Number(),
		Error:   api.Errorf(api.StoreUnknown, "%w", err),
	}
}

// notWrittenResponse is the response when no write can have taken effect.
func (p *Provider) notWrittenResponse(err error) api.ApplyResponse {
	var apiErr *api.Error
	if errors.As(err, &apiErr) {
		return p.refusedResponse(apiErr)
	}
	code := api.StoreRefused
	switch kvstore.OutcomeOf(err) {
	case kvstore.OutcomeNotReached, kvstore.OutcomeUnknown:
		code = api.StoreNotReached
	case kvstore.OutcomeRateLimited:
		code = api.StoreLimit
	}
	return p.refusedResponse(api.Errorf(code, "%w", err))
}
