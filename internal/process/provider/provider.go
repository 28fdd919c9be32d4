// Package provider puts configurations from the platform's store and from peers
// into force and writes new documents to the store.
package provider

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"
	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/internal/conn/kvstore"
	"github.com/daisytide/daisytide/internal/ctxtime"
	"github.com/daisytide/daisytide/internal/process/loop"
	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/version/document"
	"github.com/daisytide/daisytide/internal/version/snapshot"
)

const logPrefix = "provider: "

// Timing of the provider.
const (
	// startJitter spreads the first reads of nodes that start together: a fleet
	// of 1,000 nodes stays within the store's limit of 2,000 reads a second.
	startJitter = 500 * time.Millisecond
	// readTimeout bounds one read of the store at startup.
	readTimeout = 2 * time.Second
	// watchTimeout bounds one watch. It is longer than the store's own wait and
	// detects a connection that died without an error.
	watchTimeout = 75 * time.Second
	// pollInterval is the interval at which the watcher rank and the peers are
	// checked.
	pollInterval = 250 * time.Millisecond
	// maxRetestInterval is the longest mean time between the attempts of a node that has
	// lost the store, unless many have.
	maxRetestInterval = 30 * time.Second
	// syncedPolls is the number of consecutive polls at which Synced must hold.
	// Right after the first link, the other members are not known yet.
	syncedPolls = 8
	// failuresBeforePeers is the number of failed reads after which a starting
	// node uses the configuration of its peers.
	failuresBeforePeers = 2
)

// Source is the origin of a node's first configuration.
type Source string

// Values of Source.
const (
	SourceNone  Source = "none"
	SourceStore Source = "store"
	SourcePeers Source = "peers"
)

// Provider synchronises this node's configuration with the store.
type Provider struct {
	Store  kvstore.Store
	Holder *snapshot.Holder
	// RolloutEnded reports whether a service's rollout has ended.
	RolloutEnded func(service string) bool
	// RolloutDone reports whether a service's rollout is done and not withdrawn;
	// nil means that none is.
	RolloutDone func(service string) bool
	// View returns what decides whether this node watches the store for its data centre;
	// nil means that it always does.
	View func() WatchView
	// PublishAccess tells the other nodes whether the store serves this one; nil does
	// nothing.
	PublishAccess func(membership.StoreAccess)
	// Synced reports whether every reachable peer has announced its
	// configuration; nil means that they never have.
	Synced func() bool

	// mu guards the startup state. Until the store was read or every reachable
	// peer has announced its configuration, the newest one received waits in
	// pending, so that the node does not start with an outdated configuration.
	mu      sync.Mutex
	source  Source
	pending *snapshot.Snapshot
	// storeRevision is the store revision of the last configuration read.
	storeRevision uint64

	access storeAccess
	// checks limits the reads because another node has lost the store.
	checks *rate.Limiter
	// lostElsewhere is woken when another node has lost the store.
	lostElsewhere loop.Waker
}

// Start prepares a provider whose exported fields are set; Run needs it if View is set.
func (p *Provider) Start() {
	p.lostElsewhere, p.checks = loop.NewWaker(), rate.NewLimiter(rate.Every(checkInterval), checkBurst)
	p.access = storeAccess{publish: publisherOf(p.PublishAccess), maxRetestInterval: maxRetestInterval}
}

// StoreLostElsewhere reports that another node has lost the store.
func (p *Provider) StoreLostElsewhere() { p.lostElsewhere.Wake() }

// Source returns the origin of the first configuration.
func (p *Provider) Source() Source {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.source == "" {
		return SourceNone
	}
	return p.source
}

// HighestNumber implements gossip.ConfigStore.
func (p *Provider) HighestNumber() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.pending.Number(), p.Holder.Current().Number())
}

// Offer implements gossip.ConfigStore.
func (p *Provider) Offer(s *snapshot.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.offerLocked(s)
}

// offerLocked puts a newer snapshot into force, or keeps it as pending during
// startup. The caller holds mu.
func (p *Provider) offerLocked(s *snapshot.Snapshot) {
	if p.source == "" {
		if s.Number() > p.pending.Number() {
			p.pending = s
		}
		return
	}
	if p.Holder.StoreIfNewer(s) {
		klog.Infof(logPrefix+"%s is in force", s.Accepted.Describe())
	}
}

// finishStart ends the startup and puts the pending configuration into force. Later
// calls do nothing.
func (p *Provider) finishStart(source Source) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.source != "" {
		return
	}
	p.source = source
	klog.Infof(logPrefix+"starts from the %s", source)
	if p.pending != nil {
		p.offerLocked(p.pending)
		p.pending = nil
	}
}

// Run loads the first configuration and then watches the store whenever this node
// is a watcher, until ctx ends.
func (p *Provider) Run(ctx context.Context) error {
	if p.View == nil {
		p.View = func() WatchView { return WatchView{} }
	}
	if p.lostElsewhere == nil {
		p.Start()
	}
	ctxtime.Sleep(ctx, rand.N(startJitter))
	p.start(ctx)
	for verify := false; ctx.Err() == nil; {
		v := p.View()
		switch {
		case p.access.due(v, time.Now()):
			p.watch(ctx, verify || p.access.failures > 0)
		case verify && v.checks():
			_ = p.verifyAccess(ctx)
		}
		verify = p.wait(ctx)
	}
	return nil
}

// wait waits for pollInterval, or until another node has lost the store, which it
// reports.
func (p *Provider) wait(ctx context.Context) (lostElsewhere bool) {
	ctxtime.Sleep(ctx, pollInterval)
	select {
	case <-p.lostElsewhere:
		return p.checks.Allow()
	default:
		return false
	}
}

// isInDoubt reports whether another node has lost the store and this one may check.
func (p *Provider) isInDoubt() bool { return len(p.lostElsewhere) > 0 && p.checks.Tokens() >= 1 }

// verifyAccess reads the store, as the reply of a watch that hears nothing any more is
// long in coming.
func (p *Provider) verifyAccess(ctx context.Context) error {
	err := p.read(ctx)
	if err == nil {
		p.access.served(p.View())
	} else if ctx.Err() == nil {
		p.access.failed(err, p.View(), time.Now())
	}
	return err
}

// start reads the store. If that fails repeatedly, the peers' highest
// configuration ends the startup instead.
func (p *Provider) start(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failed := make(chan struct{})
	go func() {
		defer cancel()
		p.readUntilSuccess(ctx, failed)
	}()
	select {
	case <-ctx.Done():
		return
	case <-failed:
	}
	for polls := 0; ctx.Err() == nil; ctxtime.Sleep(ctx, pollInterval) {
		polls++
		if p.Synced == nil || !p.Synced() || p.HighestNumber() == 0 {
			polls = 0
		}
		if polls >= syncedPolls {
			p.finishStart(SourcePeers)
			return
		}
	}
}

// readUntilSuccess reads the store until a read succeeds. It closes failed after
// failuresBeforePeers failures.
func (p *Provider) readUntilSuccess(ctx context.Context, failed chan struct{}) {
	for failures := 0; ctx.Err() == nil; {
		if err := p.read(ctx); err == nil {
			p.finishStart(SourceStore)
			return
		}
		failures++
		if failures == failuresBeforePeers {
			close(failed)
		}
		ctxtime.Sleep(ctx, pollInterval)
	}
}

// read applies the store's configuration. An absent configuration counts as success.
func (p *Provider) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	e, err := p.Store.Get(ctx, kvstore.KeyConfig)
	if err != nil {
		klog.V(1).Infof(logPrefix+"read the configuration: %v", err)
		return err
	}
	p.applyEntry(e)
	return nil
}

// applyEntry applies the store's value of the configuration key.
func (p *Provider) applyEntry(e kvstore.Entry) {
	if e.Revision == 0 || len(e.Value) == 0 {
		return
	}
	if cur := p.Holder.Current(); cur != nil && cur.Hash == document.HashOf(e.Value) {
		// A peer sent this configuration before the watch returned it.
		p.noteRevision(e.Revision)
		return
	}
	s, err := snapshot.BuildFrom(p.Holder.Current(), e.Value)
	if err != nil {
		klog.Errorf(logPrefix+"the store's configuration is not usable: %v", err)
		return
	}
	p.noteRevision(e.Revision)
	p.Offer(s)
}

// noteRevision keeps the store's revision for the next watch.
func (p *Provider) noteRevision(revision uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.storeRevision = max(p.storeRevision, revision)
}

// watch follows the configuration key until this node is no longer a watcher or another
// node has lost the store. With verify set it reads the key first.
func (p *Provider) watch(ctx context.Context, verify bool) {
	if verify && (p.verifyAccess(ctx) != nil || !p.View().Watches()) {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		for p.View().Watches() && !p.isInDoubt() && ctxtime.Sleep(ctx, pollInterval) {
		}
	}()
	p.mu.Lock()
	after := p.storeRevision
	p.mu.Unlock()
	for ctx.Err() == nil {
		entries, revision, err := p.watchOnce(ctx, after)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			klog.V(1).Infof(logPrefix+"watch the configuration: %v", err)
			p.access.failed(err, p.View(), time.Now())
			if !p.View().Watches() {
				return
			}
			ctxtime.Sleep(ctx, rand.N(pollInterval))
			continue
		}
		p.access.served(p.View())
		for _, e := range entries {
			p.applyEntry(e)
		}
		after = max(after, revision)
	}
}

func (p *Provider) watchOnce(ctx context.Context, after uint64) ([]kvstore.Entry, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	return p.Store.Watch(ctx, kvstore.KeyConfig, after, kvstore.MaxWatchWait)
}
