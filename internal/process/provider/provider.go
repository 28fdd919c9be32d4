// Package provider brings configurations from the platform's store into force
// and takes new documents to it.
package provider

import (
	"context"
	"crypto/rand"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/platform"
	"github.com/daisytide/daisytide/internal/version/document"
	"github.com/daisytide/daisytide/internal/version/snapshot"
	"github.com/daisytide/daisytide/internal/version/validate"
)

const logPrefix = "provider: "

// retryEvery is the wait after a failed call to the store.
const retryEvery = time.Second

// Provider is the store's side of configurations.
type Provider struct {
	Store  platform.Store
	Holder *snapshot.Holder
	// Ended tells whether the move of a service has ended.
	Ended func(service string) bool
}

// Run loads the configuration and then watches for new ones until ctx ends.
func (p *Provider) Run(ctx context.Context) error {
	var after uint64
	for ctx.Err() == nil {
		entries, revision, err := p.Store.Watch(ctx, platform.KeyConfig, after)
		if err != nil {
			klog.V(1).Infof(logPrefix+"%v", err)
			sleep(ctx, retryEvery)
			continue
		}
		for _, e := range entries {
			p.take(e)
		}
		after = max(after, revision)
	}
	return nil
}

func (p *Provider) take(e platform.Entry) {
	s, err := snapshot.Build(e.Value)
	if err != nil {
		klog.Errorf(logPrefix+"the store's configuration is not usable: %v", err)
		return
	}
	p.Offer(s)
}

// Offer puts a snapshot in force when it is newer.
func (p *Provider) Offer(s *snapshot.Snapshot) {
	if !p.Holder.Offer(s) {
		return
	}
	klog.Infof(logPrefix+"%s is in force", s.Accepted.Describe())
}

// Validate checks a document's text, alone and against the one in force.
func (p *Provider) Validate(text []byte) (*document.Document, *api.Error) {
	var inForce *document.Document
	if cur := p.Holder.Current(); cur != nil {
		inForce = cur.Document
	}
	doc, faults := validate.Text(text, inForce, p.Ended)
	if len(faults) > 0 {
		return nil, validate.Refusal(faults)
	}
	return doc, nil
}

// Apply takes a document to the store. base is the configuration number that
// the operator started from; 0 means whichever is in force.
func (p *Provider) Apply(ctx context.Context, text []byte, operator string, base uint64) api.ApplyResponse {
	doc, bad := p.Validate(text)
	if bad != nil {
		return api.ApplyResponse{Outcome: api.ApplyRefused, Number: p.Holder.Current().Number(), Error: bad}
	}
	entry, err := p.Store.Get(ctx, platform.KeyConfig)
	if err != nil {
		return p.failed(err)
	}
	var prev *document.Accepted
	var prevDoc *document.Document
	if entry.Revision != 0 {
		prev, prevDoc, err = document.DecodeAccepted(entry.Value)
		if err != nil {
			return p.failed(err)
		}
		if base != 0 && prev.Number != base {
			return conflict(prev)
		}
	}
	next := document.Next(prev, prevDoc, text, doc, rand.Text(), operator, time.Now().UTC())
	envelope, err := next.Envelope()
	if err != nil {
		return p.failed(err)
	}
	_, err = p.Store.CompareAndSwap(ctx, platform.KeyConfig, entry.Revision, envelope, "")
	if err != nil {
		return p.settle(ctx, err, next, envelope)
	}
	return p.accepted(next, envelope)
}

func (p *Provider) accepted(next *document.Accepted, envelope []byte) api.ApplyResponse {
	s, err := snapshot.Build(envelope)
	if err != nil {
		return p.failed(err)
	}
	p.Offer(s)
	return api.ApplyResponse{Outcome: api.ApplyAccepted, Number: next.Number}
}

// settle finds the truth after a failed write.
func (p *Provider) settle(ctx context.Context, err error, next *document.Accepted, envelope []byte) api.ApplyResponse {
	if platform.OutcomeOf(err) != platform.OutcomeUnknown && platform.OutcomeOf(err) != platform.OutcomeConflict {
		return p.failed(err)
	}
	entry, readErr := p.Store.Get(ctx, platform.KeyConfig)
	if readErr != nil {
		return p.failed(err)
	}
	now, _, decodeErr := document.DecodeAccepted(entry.Value)
	if decodeErr != nil {
		return p.failed(err)
	}
	if now.Session == next.Session {
		return p.accepted(next, envelope)
	}
	return conflict(now)
}

func conflict(winner *document.Accepted) api.ApplyResponse {
	return api.ApplyResponse{
		Outcome: api.ApplyConflict,
		Number:  winner.Number,
		Winner:  winner.Operator,
		Error:   api.Errorf(api.OperatorConflict, "%s was accepted first", winner.Describe()),
	}
}

func (p *Provider) failed(err error) api.ApplyResponse {
	r := api.ApplyResponse{Outcome: api.ApplyRefused, Number: p.Holder.Current().Number()}
	code := api.StoreRefused
	switch platform.OutcomeOf(err) {
	case platform.OutcomeNotReached:
		code = api.StoreNotReached
	case platform.OutcomeLimited:
		code = api.StoreLimit
	case platform.OutcomeUnknown:
		code = api.StoreUnknown
		r.Outcome = api.ApplyUnknown
	}
	var numbered *api.Error
	if !errors.As(err, &numbered) {
		numbered = api.Errorf(code, "%w", err)
	}
	r.Error = numbered
	return r
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
