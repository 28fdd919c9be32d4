package provider

import (
	"context"
	"crypto/rand"
	"errors"
	mathrand "math/rand/v2"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/platform"
	"github.com/daisytide/daisytide/internal/pause"
	"github.com/daisytide/daisytide/internal/version/document"
	"github.com/daisytide/daisytide/internal/version/snapshot"
	"github.com/daisytide/daisytide/internal/version/validate"
)

// Times of an apply.
const (
	// applyTimeout bounds an apply with all its repeats.
	applyTimeout = 10 * time.Second
	// repeatSpan spreads the repeats of a call whose reply was lost.
	repeatSpan = 500 * time.Millisecond
)

// Validate checks a document's text, alone and against the one in force.
func (p *Provider) Validate(text []byte) (*document.Document, *api.Error) {
	var inForce *document.Document
	if cur := p.Holder.Current(); cur != nil {
		inForce = cur.Document
	}
	doc, faults := validate.Text(text, inForce, p.moves())
	if len(faults) > 0 {
		return nil, validate.NewError(faults)
	}
	return doc, nil
}

// moves tells how the moves under the configuration in force stand.
func (p *Provider) moves() validate.RolloutStatus {
	return validate.RolloutStatus{Ended: p.RolloutEnded, Done: p.RolloutDone, Now: time.Now()}
}

// attempt is one document on its way to the store.
type attempt struct {
	next     *document.AcceptedConfig
	envelope []byte
	// revision is that of the value which the document replaces.
	revision uint64
	// sent tells whether a write was sent whose reply was lost.
	sent bool
}

// Apply takes a document to the store. base is the configuration number that
// the operator started from; 0 means whichever is in force, and api.BaseNone
// that none is. The document is
// never moved onto another base: who lost a race is told the winner.
func (p *Provider) Apply(ctx context.Context, text []byte, operator string, base uint64) api.ApplyResponse {
	return p.ApplySession(ctx, text, operator, base, rand.Text())
}

// ApplySession is Apply under a session of the operator's, so that a document
// which an earlier try brought into the store is recognised.
func (p *Provider) ApplySession(ctx context.Context, text []byte, operator string, base uint64, session string) api.ApplyResponse {
	doc, bad := p.Validate(text)
	if bad != nil {
		return p.refused(bad)
	}
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	entry, err := p.Store.Get(ctx, platform.KeyConfig)
	if err != nil {
		return p.notWritten(err)
	}
	prev, prevDoc, err := previous(entry)
	if err != nil {
		return p.notWritten(err)
	}
	if cur := p.Holder.Current(); cur.Number() > numberOf(prev) {
		// The store has lost its value. Numbers go on from the one in force,
		// since no node takes a lower one.
		prev, prevDoc = cur.Accepted, cur.Document
	}
	if prev != nil {
		if number, ok := prev.NumberOf(session); ok {
			return p.accepted(number, entry)
		}
	}
	if !follows(prev, base) {
		return p.conflict(prev)
	}
	if prevDoc != nil {
		if faults := validate.Change(prevDoc, doc, p.moves()); len(faults) > 0 {
			document.SetLines(text, faults)
			return p.refused(validate.NewError(faults))
		}
	}
	a := attempt{revision: entry.Revision}
	a.next = document.NextAccepted(prev, prevDoc, text, doc, session, operator, time.Now().UTC())
	if a.envelope, err = a.next.Encode(); err != nil {
		return p.notWritten(err)
	}
	return p.write(ctx, &a)
}

func numberOf(a *document.AcceptedConfig) uint64 {
	if a == nil {
		return 0
	}
	return a.Number
}

// follows tells whether a document that was written against base may follow
// prev, which is nil where nothing was accepted yet.
func follows(prev *document.AcceptedConfig, base uint64) bool {
	switch {
	case base == 0:
		return true
	case prev == nil:
		return base == api.BaseNone
	}
	return prev.Number == base
}

func previous(e platform.Entry) (*document.AcceptedConfig, *document.Document, error) {
	if e.Revision == 0 {
		return nil, nil, nil
	}
	return document.DecodeEnvelope(e.Value)
}

// write repeats the write until its outcome is known. Each repeat replaces
// the same revision, so at most one of them takes effect, and once another
// value stands none that is still under way can.
func (p *Provider) write(ctx context.Context, a *attempt) api.ApplyResponse {
	for {
		entry, err := p.Store.CompareAndSwap(ctx, platform.KeyConfig, a.revision, a.envelope, "")
		if err == nil {
			return p.accepted(a.next.Number, platform.Entry{Value: a.envelope, Revision: entry.Revision})
		}
		switch platform.OutcomeOf(err) {
		case platform.OutcomeConflict:
			return p.judge(ctx, a, err)
		case platform.OutcomeUnknown:
			a.sent = true
		default:
			if !a.sent {
				return p.notWritten(err)
			}
		}
		pause.For(ctx, mathrand.N(repeatSpan))
		if ctx.Err() != nil {
			return p.unknown(err)
		}
	}
}

// judge finds the truth when another value stands: ours was accepted, perhaps
// replaced since, or another's was instead of it.
func (p *Provider) judge(ctx context.Context, a *attempt, err error) api.ApplyResponse {
	now, entry, readErr := p.standing(ctx, err)
	if readErr != nil && a.sent {
		return p.unknown(readErr)
	}
	if readErr != nil {
		return p.notWritten(err)
	}
	if number, ok := now.NumberOf(a.next.Session); ok {
		return p.accepted(number, entry)
	}
	if a.sent && now.Number > a.next.Number+document.MaxPast {
		return p.unknown(errForgotten)
	}
	return p.conflict(now)
}

var errForgotten = errors.New("too many documents were accepted since")

// standing returns the value that stands: the conflict names it, else it is
// read until the store answers.
func (p *Provider) standing(ctx context.Context, err error) (*document.AcceptedConfig, platform.Entry, error) {
	var e *platform.Error
	if errors.As(err, &e) && e.Current.Revision != 0 {
		now, _, decodeErr := document.DecodeEnvelope(e.Current.Value)
		return now, e.Current, decodeErr
	}
	for {
		entry, err := p.Store.Get(ctx, platform.KeyConfig)
		if err == nil {
			now, _, decodeErr := document.DecodeEnvelope(entry.Value)
			return now, entry, decodeErr
		}
		pause.For(ctx, mathrand.N(repeatSpan))
		if ctx.Err() != nil {
			return nil, platform.Entry{}, err
		}
	}
}

// accepted brings the value that stands into force and answers with the
// number that the operator's document got.
func (p *Provider) accepted(number uint64, e platform.Entry) api.ApplyResponse {
	if s, err := snapshot.BuildFrom(p.Holder.Current(), e.Value); err == nil {
		p.begin(SourceStore)
		p.Offer(s)
	}
	return api.ApplyResponse{Outcome: api.ApplyAccepted, Number: number}
}

func (p *Provider) refused(bad *api.Error) api.ApplyResponse {
	return api.ApplyResponse{Outcome: api.ApplyRefused, Number: p.Holder.Current().Number(), Error: bad}
}

func (p *Provider) conflict(winner *document.AcceptedConfig) api.ApplyResponse {
	if winner == nil {
		bad := api.Errorf(api.OperatorConflict, "nothing was accepted yet")
		return api.ApplyResponse{Outcome: api.ApplyConflict, Error: bad}
	}
	return api.ApplyResponse{
		Outcome: api.ApplyConflict,
		Number:  winner.Number,
		Winner:  winner.Operator,
		Error:   api.Errorf(api.OperatorConflict, "%s was accepted first", winner.Describe()),
	}
}

func (p *Provider) unknown(err error) api.ApplyResponse {
	return api.ApplyResponse{
		Outcome: api.ApplyUnknown,
		Number:  p.Holder.Current().Number(),
		Error:   api.Errorf(api.StoreUnknown, "%w", err),
	}
}

// notWritten answers when nothing can have taken effect.
func (p *Provider) notWritten(err error) api.ApplyResponse {
	var numbered *api.Error
	if errors.As(err, &numbered) {
		return p.refused(numbered)
	}
	code := api.StoreRefused
	switch platform.OutcomeOf(err) {
	case platform.OutcomeNotReached, platform.OutcomeUnknown:
		code = api.StoreNotReached
	case platform.OutcomeLimited:
		code = api.StoreLimit
	}
	return p.refused(api.Errorf(code, "%w", err))
}
