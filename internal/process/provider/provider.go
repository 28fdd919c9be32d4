// Package provider brings configurations from the platform's store and the
// peers into force and takes new documents to the store.
package provider

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/internal/conn/platform"
	"github.com/daisytide/daisytide/internal/pause"
	"github.com/daisytide/daisytide/internal/version/document"
	"github.com/daisytide/daisytide/internal/version/snapshot"
)

const logPrefix = "provider: "

// Times of the provider.
const (
	// startSpread spreads the first reads of nodes that start together: a
	// fleet of 1,000 stays within the 2,000 reads a second of the store.
	startJitter = 500 * time.Millisecond
	// startTimeout bounds one read of the store at the start.
	readTimeout = 2 * time.Second
	// watchLimit bounds one watch, above the wait of the store itself: a
	// connection that died in silence must not hold the watcher for ever.
	watchTimeout = 75 * time.Second
	// lookEvery is how often rank and peers are looked at.
	pollInterval = 250 * time.Millisecond
	// settledLooks is the number of looks in a row at which the peers must
	// be settled: right after the first link the other members are still on
	// their way.
	settledPolls = 8
	// failuresBeforePeers is the number of failed reads after which a node
	// that starts goes by its peers.
	failuresBeforePeers = 2
)

// Source says where a node's first configuration came from.
type Source string

// The sources of a first configuration.
const (
	SourceNone  Source = "none"
	SourceStore Source = "store"
	SourcePeers Source = "peers"
)

// Provider is the store's side of configurations.
type Provider struct {
	Store  platform.Store
	Holder *snapshot.Holder
	// RolloutEnded tells whether the move of a service has ended.
	RolloutEnded func(service string) bool
	// RolloutDone tells whether it is done, and not taken back; nil means never.
	RolloutDone func(service string) bool
	// IsWatcher tells whether this node watches the store for its data centre;
	// nil means always.
	IsWatcher func() bool
	// Synced tells whether every peer in reach was heard of its
	// configuration; nil means never.
	Synced func() bool

	// mu guards how the node began. Until the store was read, or every peer
	// in reach was heard, configurations wait in pending: the node must not
	// serve an older one than it can know of.
	mu      sync.Mutex
	source  Source
	pending *snapshot.Snapshot
	// revision is the store's revision of the configuration that was read.
	storeRevision uint64
}

// Source says where the first configuration came from.
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

// offerLocked puts a snapshot in force when it is newer, or keeps it until the
// start has ended; the caller holds mu.
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

// begin ends the start: what waited comes into force. It does nothing later.
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

// Run starts the node's configuration and then watches the store, while this
// node is to, until ctx ends.
func (p *Provider) Run(ctx context.Context) error {
	pause.For(ctx, rand.N(startJitter))
	p.start(ctx)
	for ctx.Err() == nil {
		if p.shouldWatch() {
			p.watch(ctx)
		}
		pause.For(ctx, pollInterval)
	}
	return nil
}

// start reads the store. While it fails, the highest number among the peers
// in reach ends the start too.
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
	for polls := 0; ctx.Err() == nil; pause.For(ctx, pollInterval) {
		polls++
		if p.Synced == nil || !p.Synced() || p.HighestNumber() == 0 {
			polls = 0
		}
		if polls >= settledPolls {
			p.finishStart(SourcePeers)
			return
		}
	}
}

// readFirst reads the store until it answers; it closes failed after a few
// failures.
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
		pause.For(ctx, pollInterval)
	}
}

// read takes the store's configuration; an absent one is an answer too.
func (p *Provider) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	e, err := p.Store.Get(ctx, platform.KeyConfig)
	if err != nil {
		klog.V(1).Infof(logPrefix+"%v", err)
		return err
	}
	p.applyEntry(e)
	return nil
}

// takeEntry takes the store's value of the configuration key.
func (p *Provider) applyEntry(e platform.Entry) {
	if e.Revision == 0 || len(e.Value) == 0 {
		return
	}
	if cur := p.Holder.Current(); cur != nil && cur.Hash == document.HashOf(e.Value) {
		// The peers were faster than the watch.
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

func (p *Provider) shouldWatch() bool { return p.IsWatcher == nil || p.IsWatcher() }

// watch follows the configuration key until this node is not to any more.
func (p *Provider) watch(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		for ctx.Err() == nil && p.shouldWatch() {
			pause.For(ctx, pollInterval)
		}
	}()
	p.mu.Lock()
	after := p.storeRevision
	p.mu.Unlock()
	for ctx.Err() == nil {
		entries, revision, err := p.watchOnce(ctx, after)
		if err != nil {
			klog.V(1).Infof(logPrefix+"%v", err)
			pause.For(ctx, rand.N(pollInterval))
			continue
		}
		for _, e := range entries {
			p.applyEntry(e)
		}
		after = max(after, revision)
	}
}

func (p *Provider) watchOnce(ctx context.Context, after uint64) ([]platform.Entry, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	return p.Store.Watch(ctx, platform.KeyConfig, after, platform.MaxWatch)
}
