package provider

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/platform"
	"github.com/daisytide/daisytide/internal/logs"
	"github.com/daisytide/daisytide/internal/pause"
	"github.com/daisytide/daisytide/internal/version/document"
	"github.com/daisytide/daisytide/internal/version/snapshot"
	"github.com/daisytide/daisytide/internal/version/traffic"
)

// Times of an operated provider.
const (
	// A store may forget a change before a waiting watch has heard of it, and
	// say so only to the next watch. So watches are short enough that somewhere
	// in the fleet one begins about twice a second; the peers hear of what it
	// finds at once. A node without peers watches for waitAlone.
	watchPerMember    = 350 * time.Millisecond
	minWatch          = 3 * time.Second
	maxWatch          = 25 * time.Second
	watchWithoutLinks = 2 * time.Second
	// operatedPause bounds the wait after a failed call, which the guard of the
	// store lengthens.
	followRetryJitter = 200 * time.Millisecond
	// joinSpan spreads what nodes of a fleet that starts for the first time do:
	// they find each other within that time, and who is not to watch needs no
	// reading of its own. joinMost is how long it waits for its peers' news.
	joinJitter  = 1500 * time.Millisecond
	joinTimeout = 3 * time.Second
	// listTimeout bounds one reading of all keys.
	listTimeout = 3 * time.Second
)

// Follower brings the configuration and the orders that an operator keeps in
// the store into force. It implements gossip.ConfigStore, by which peers bring
// the configuration too.
type Follower struct {
	Store  platform.Store
	Holder *snapshot.Holder
	Keys   traffic.OperatorKeys
	// OnOrder takes the value of a key under Keys.Orders; listed tells that it
	// was read with all others and may be old.
	OnOrder func(e platform.Entry, listed bool)
	// LinkCount and MemberCount return the number of links to peers that stand, and of
	// members of the fleet.
	LinkCount, MemberCount func() int
	// IsWatcher tells whether this node watches the store for its data centre;
	// others hear of changes from their peers.
	IsWatcher func() bool
	// FirstStart tells that the whole fleet starts for the first time.
	FirstStart bool
}

// watches tells whether this node is to watch the store now. One without
// links hears nothing from its peers.
func (p *Follower) shouldWatch() bool { return p.LinkCount() == 0 || p.IsWatcher() }

// wait is how long the next watch waits.
func (p *Follower) watchDuration() time.Duration {
	if p.LinkCount() == 0 {
		return watchWithoutLinks
	}
	w := min(max(time.Duration(p.MemberCount())*watchPerMember, minWatch), maxWatch)
	return w/2 + rand.N(w)
}

// HighestNumber implements gossip.ConfigStore.
func (p *Follower) HighestNumber() uint64 { return p.Holder.Current().Number() }

// Offer implements gossip.ConfigStore.
func (p *Follower) Offer(s *snapshot.Snapshot) { p.offerFrom(s, "a peer") }

func (p *Follower) offerFrom(s *snapshot.Snapshot, source string) {
	if p.Holder.StoreIfNewer(s) {
		slog.Info(logPrefix+"configuration in force", logs.FieldConfig, s.Number(), logs.FieldFrom, source)
	}
}

// Run follows the operator's keys until ctx ends.
func (p *Follower) Run(ctx context.Context) error {
	if p.FirstStart && p.waitForPeers(ctx) {
		p.waitUntilWatcher(ctx)
	}
	for ctx.Err() == nil {
		if err := p.follow(ctx); err != nil {
			klog.V(1).Infof(logPrefix+"%v", err)
			pause.For(ctx, rand.N(followRetryJitter))
			continue
		}
		p.waitUntilWatcher(ctx)
	}
	return nil
}

// follow reads all keys and watches them while this node is to.
func (p *Follower) follow(ctx context.Context) error {
	after, err := p.list(ctx)
	for err == nil && ctx.Err() == nil && p.shouldWatch() {
		after, err = p.watch(ctx, after)
	}
	return err
}

// rest waits until this node is to watch the store.
func (p *Follower) waitUntilWatcher(ctx context.Context) {
	for ctx.Err() == nil && !p.shouldWatch() {
		pause.For(ctx, pollInterval)
	}
}

// join waits at the first start of a fleet until the node has links; true when
// its peers have brought the configuration and others watch the store.
func (p *Follower) waitForPeers(ctx context.Context) bool {
	pause.For(ctx, rand.N(joinJitter))
	for end := time.Now().Add(joinTimeout); time.Now().Before(end) && ctx.Err() == nil && !p.shouldWatch(); {
		if p.HighestNumber() > 0 {
			return true
		}
		pause.For(ctx, pollInterval)
	}
	return false
}

// list reads all keys anew: a change may hide in what a watch has missed.
func (p *Follower) list(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	entries, revision, err := p.Store.List(ctx, p.Keys.Prefix, false)
	if err != nil {
		return 0, err
	}
	for _, e := range entries {
		p.applyEntry(e, true)
	}
	return revision, nil
}

// watch waits for changes once. A failure that lost no history goes on where
// it was.
func (p *Follower) watch(ctx context.Context, after uint64) (uint64, error) {
	entries, revision, err := p.Store.Watch(ctx, p.Keys.Prefix, after, min(p.watchDuration(), platform.MaxWatch))
	if err != nil {
		if platform.OutcomeOf(err) == platform.OutcomeHistoryLost {
			return 0, err
		}
		klog.V(1).Infof(logPrefix+"%v", err)
		pause.For(ctx, rand.N(followRetryJitter))
		return after, nil
	}
	// Of several configurations in one answer only the newest counts.
	newest := -1
	for i, e := range entries {
		if e.Key == p.Keys.Config {
			newest = i
		}
	}
	for i, e := range entries {
		if e.Key != p.Keys.Config || i == newest {
			p.applyEntry(e, false)
		}
	}
	return revision, nil
}

func (p *Follower) applyEntry(e platform.Entry, listed bool) {
	switch {
	case e.Deleted:
	case e.Key == p.Keys.Config:
		if err := p.applyConfig(e.Value); err != nil {
			klog.Errorf(logPrefix+"the store's configuration at revision %d is not usable: %v", e.Revision, err)
		}
	case strings.HasPrefix(e.Key, p.Keys.Orders):
		p.OnOrder(e, listed)
	}
}

// config takes a configuration whole, or not at all.
func (p *Follower) applyConfig(value []byte) error {
	number, c, err := p.Keys.Decode(value)
	if err != nil {
		return err
	}
	if number <= p.HighestNumber() {
		return nil
	}
	a := document.AcceptedConfig{Number: number, Operator: "the operator", Traffic: &c}
	envelope, err := a.Encode()
	if err != nil {
		return api.Errorf(api.StoreCorrupt, "encode configuration %d: %w", number, err)
	}
	s, err := snapshot.BuildFrom(p.Holder.Current(), envelope)
	if err != nil {
		return errors.Join(errors.New("build a snapshot"), err)
	}

	p.offerFrom(s, "the store")
	return nil
}
