package provider

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/kvstore"
	"github.com/daisytide/daisytide/internal/ctxtime"
	"github.com/daisytide/daisytide/internal/logs"
	"github.com/daisytide/daisytide/internal/process/evacuation"
	"github.com/daisytide/daisytide/internal/process/loop"
	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/version/document"
	"github.com/daisytide/daisytide/internal/version/snapshot"
	"github.com/daisytide/daisytide/internal/version/traffic"
)

// Timing of the follower.
const (
	// The store may drop a change from its history before a pending watch sees it,
	// and report the loss only to the next watch. Watches are therefore short
	// enough that a new one starts about twice a second across the fleet; the
	// watcher's peers receive the change from it. The mean duration of a watch is
	// watchPerWatcher for each watcher in the fleet, bounded by minWatch and
	// maxWatch; for a node without links it is watchWithoutLinks.
	watchPerWatcher   = 350 * time.Millisecond
	minWatch          = 3 * time.Second
	maxWatch          = 25 * time.Second
	watchWithoutLinks = 2 * time.Second
	// minFirstWatch is the shortest watch after a change.
	minFirstWatch = 100 * time.Millisecond
	// minCheckInterval is the minimum time between the start of a watch and a read because
	// another node has lost the store.
	minCheckInterval = 500 * time.Millisecond
	// followRetryJitter is the maximum random delay after a failed call, in
	// addition to the backoff of the store's guard.
	followRetryJitter = 200 * time.Millisecond
	// joinJitter spreads the first reads of a fleet that starts for the first
	// time. Nodes find each other within that time, and those that are not
	// watchers need no read of their own. joinTimeout bounds the wait for a
	// configuration from peers.
	joinJitter  = 1500 * time.Millisecond
	joinTimeout = 3 * time.Second
	// restartWait is how long a node that starts in a running fleet waits for a
	// configuration from its peers, which is as new as what they have in force and
	// costs the store no call.
	restartWait = 250 * time.Millisecond
	// restartPoll is the time between two checks during restartWait.
	restartPoll = 10 * time.Millisecond
	// listTimeout bounds one list of all keys.
	listTimeout = 3 * time.Second
)

// Follower puts the configuration and the orders that an operator keeps in the
// store into force. It implements gossip.ConfigStore, through which peers supply the
// configuration as well.
type Follower struct {
	Store  kvstore.Store
	Holder *snapshot.Holder
	Keys   traffic.OperatorKeys
	// OnOrder handles the value of a key under Keys.Orders. listed is set if the
	// value comes from a list of all keys and may be old. It returns an error for a
	// value that is not usable.
	OnOrder func(e kvstore.Entry, listed bool) error
	// Evacuations receives the keys under Keys.Evacuations; nil ignores them.
	Evacuations *evacuation.Set
	// WatcherCount returns the number of watchers in the fleet, on which the duration of a
	// watch depends.
	WatcherCount func() int
	// View returns what decides whether this node watches the store for its data centre.
	// The other nodes receive changes from their peers.
	View func() WatchView
	// PublishAccess tells the other nodes whether the store serves this one; nil does
	// nothing.
	PublishAccess func(membership.StoreAccess)
	// FirstStart is set if the whole fleet starts for the first time.
	FirstStart bool
	// Progress records how configurations arrive; nil records nothing.
	Progress *Progress

	access storeAccess
	// after is the store's revision up to which changes are known; 0 if a list is due.
	after uint64
	// checks limits the reads because another node has lost the store.
	checks *rate.Limiter
	// lostElsewhere is woken when another node has lost the store.
	lostElsewhere loop.Waker
	// invalidEntries counts the entries that were not usable.
	invalidEntries atomic.Int64
}

// Start prepares a follower whose exported fields are set.
func (f *Follower) Start() {
	f.lostElsewhere, f.checks = loop.NewWaker(), rate.NewLimiter(rate.Every(checkInterval), checkBurst)
	f.access = storeAccess{publish: publisherOf(f.PublishAccess), maxRetestInterval: retestInterval}
}

// StoreLostElsewhere reports that another node has lost the store.
func (f *Follower) StoreLostElsewhere() { f.lostElsewhere.Wake() }

// watchDuration returns how long the next watch waits for changes. A change ends all
// watches of the fleet at once; the next ones, for which afterChange is set, are spread
// over the whole duration, so that one ends every watchPerWatcher again.
func (f *Follower) watchDuration(afterChange bool) time.Duration {
	if f.View().Links == 0 {
		return watchWithoutLinks
	}
	w := min(max(time.Duration(f.WatcherCount())*watchPerWatcher, minWatch), maxWatch)
	if afterChange {
		return minFirstWatch + rand.N(w)
	}
	return w/2 + rand.N(w)
}

// HighestNumber implements gossip.ConfigStore.
func (f *Follower) HighestNumber() uint64 { return f.Holder.Current().Number() }

// Offer implements gossip.ConfigStore.
func (f *Follower) Offer(s *snapshot.Snapshot) { f.offerFrom(s, fromPeer) }

func (f *Follower) offerFrom(s *snapshot.Snapshot, source string) {
	if f.Holder.StoreIfNewer(s) {
		slog.Info(logPrefix+"configuration in force", logs.FieldConfig, s.Number(), logs.FieldFrom, source,
			logs.FieldDelay, f.Progress.InForce(s.Number(), time.Now()).Milliseconds())
	}
}

// Run follows the operator's keys until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	supplied := f.FirstStart && f.waitForPeers(ctx) || !f.FirstStart && f.suppliedAtRestart(ctx)
	for ctx.Err() == nil && !supplied {
		supplied = f.follow(ctx)
	}
	for ctx.Err() == nil {
		switch lostElsewhere := f.waitForDuty(ctx); {
		case ctx.Err() != nil:
		case f.access.due(f.View(), time.Now()):
			f.follow(ctx)
		case lostElsewhere && f.View().checks() && f.checks.Allow():
			f.follow(ctx)
		}
	}
	return nil
}

// waitForDuty waits until this node is due to call the store, or another node has lost
// it, which it reports.
func (f *Follower) waitForDuty(ctx context.Context) (lostElsewhere bool) {
	for ctx.Err() == nil && !f.access.due(f.View(), time.Now()) {
		select {
		case <-ctx.Done():
		case <-f.lostElsewhere:
			return true
		case <-time.After(pollInterval):
		}
	}
	return false
}

// follow lists all keys and then watches them while this node should watch. It reports
// whether it had a reply. After a timeout it goes on from the known revision instead: a
// store that is slow answers a watch, which waits for longer than a list.
func (f *Follower) follow(ctx context.Context) (replied bool) {
	var err error
	resume := f.access.timedOut && f.after != 0
	if !resume {
		var revision uint64
		if revision, err = f.list(ctx); err == nil {
			f.after, replied = revision, true
		}
	}
	for afterChange := true; err == nil && (resume || f.access.served(f.View())); resume = false {
		afterChange, err = f.watch(ctx, f.watchDuration(afterChange))
		replied = replied || err == nil
	}
	if err == nil || ctx.Err() != nil || errors.Is(err, errDoubted) {
		return replied
	}
	klog.V(1).Infof(logPrefix+"follow the operator's keys: %v", err)
	if kvstore.OutcomeOf(err) == kvstore.OutcomeHistoryLost {
		f.after = 0
	} else {
		f.access.failed(err, f.View(), time.Now())
	}
	ctxtime.Sleep(ctx, rand.N(followRetryJitter))
	return replied
}

// waitForPeers waits for the configuration from peers when a fleet starts for the
// first time. It returns true if peers supplied it and other nodes watch the
// store.
func (f *Follower) waitForPeers(ctx context.Context) bool {
	ctxtime.Sleep(ctx, rand.N(joinJitter))
	for end := time.Now().Add(joinTimeout); time.Now().Before(end) && ctx.Err() == nil && !f.View().Watches(); {
		if f.HighestNumber() > 0 {
			return true
		}
		ctxtime.Sleep(ctx, pollInterval)
	}
	return false
}

// suppliedAtRestart waits up to restartWait for peers to supply the configuration, and
// reports whether they did and other nodes watch the store.
func (f *Follower) suppliedAtRestart(ctx context.Context) bool {
	for end := time.Now().Add(restartWait); time.Now().Before(end) && ctx.Err() == nil; {
		if f.HighestNumber() > 0 && !f.View().Watches() {
			return true
		}
		ctxtime.Sleep(ctx, restartPoll)
	}
	return false
}

// list reads all keys, since a watch may have missed a change.
func (f *Follower) list(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	entries, revision, err := f.Store.List(ctx, f.Keys.Prefix, false)
	f.Progress.StoreReplied(err, time.Now())
	if err != nil {
		return 0, err
	}
	// Evacuations come before the configuration, without which an entry sends
	// nothing.
	f.applyListedEvacuations(entries, revision)
	f.applyNewestConfig(entries)
	for _, e := range entries {
		f.applyOrder(e, true)
	}
	return revision, nil
}

// errDoubted ends a watch because another node has lost the store.
var errDoubted = errors.New("another node has lost the store")

// watch waits for changes once and reports whether there were any.
func (f *Follower) watch(ctx context.Context, wait time.Duration) (changed bool, err error) {
	watchCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go f.cancelInDoubt(watchCtx, cancel)
	entries, revision, err := f.Store.Watch(watchCtx, f.Keys.Prefix, f.after, min(wait, kvstore.MaxWatchWait))
	f.Progress.StoreReplied(err, time.Now())
	if err != nil {
		if cause := context.Cause(watchCtx); errors.Is(cause, errDoubted) {
			return false, cause
		}
		return false, err
	}
	f.applyChangedEvacuations(entries)
	f.applyNewestConfig(entries)
	for _, e := range entries {
		f.applyOrder(e, false)
	}
	f.after = revision
	return len(entries) > 0, nil
}

// cancelInDoubt cancels a watch when another node has lost the store, since the reply of
// one that hears nothing any more is long in coming.
func (f *Follower) cancelInDoubt(ctx context.Context, cancel context.CancelCauseFunc) {
	if !ctxtime.Sleep(ctx, minCheckInterval) {
		return
	}
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-f.lostElsewhere:
			if f.checks.Allow() {
				cancel(errDoubted)
			}
		}
	}
}

// applyNewestConfig puts the newest configuration among the entries into force. One
// that is not usable does not keep an earlier one of the same watch out.
func (f *Follower) applyNewestConfig(entries []kvstore.Entry) {
	for _, e := range slices.Backward(entries) {
		if e.Deleted || e.Key != f.Keys.Config {
			continue
		}
		err := f.applyConfig(e.Value)
		if err == nil {
			return
		}
		f.invalidEntries.Add(1)
		number, _, _ := f.Keys.Decode(e.Value)
		f.Progress.RefusedFromStore(number, e.Revision, err, time.Now())
	}
}

// applyOrder passes an order on.
func (f *Follower) applyOrder(e kvstore.Entry, listed bool) {
	if e.Deleted || !strings.HasPrefix(e.Key, f.Keys.Orders) {
		return
	}
	if err := f.OnOrder(e, listed); err != nil {
		f.invalidEntries.Add(1)
		klog.Errorf(logPrefix+"the order %.200q at revision %d is not usable: %.500v", e.Key, e.Revision, err)
	}
}

// evacuationOf returns the evacuation that an entry orders, or ends if it was deleted.
// ok is false for all other entries.
func (f *Follower) evacuationOf(e kvstore.Entry) (o evacuation.Order, ok bool) {
	if f.Evacuations == nil || f.Keys.Evacuations == "" {
		return evacuation.Order{}, false
	}
	name, ok := strings.CutPrefix(e.Key, f.Keys.Evacuations)
	return evacuation.Order{DataCentre: name, Revision: e.Revision, InForce: !e.Deleted}, ok
}

// applyChangedEvacuations applies the evacuations among changes, in order.
func (f *Follower) applyChangedEvacuations(entries []kvstore.Entry) {
	for _, e := range entries {
		if o, ok := f.evacuationOf(e); ok {
			f.countInvalidEvacuation(f.Evacuations.Apply(o))
		}
	}
}

// applyListedEvacuations applies the evacuations of a list of all keys, which ends all
// others up to its revision.
func (f *Follower) applyListedEvacuations(entries []kvstore.Entry, revision uint64) {
	if f.Evacuations == nil {
		return
	}
	var listed []evacuation.Order
	for _, e := range entries {
		if o, ok := f.evacuationOf(e); ok {
			listed = append(listed, o)
		}
	}
	f.countInvalidEvacuation(f.Evacuations.ApplyList(listed, revision))
}

func (f *Follower) countInvalidEvacuation(err error) {
	if err != nil {
		f.invalidEntries.Add(1)
		klog.Errorf(logPrefix+"an evacuation in the store is not usable: %.500v", err)
	}
}

// InvalidEntries returns the number of entries that were not usable.
func (f *Follower) InvalidEntries() int64 { return f.invalidEntries.Load() }

// applyConfig decodes a configuration and puts it into force if its number is
// higher than the current one.
func (f *Follower) applyConfig(value []byte) error {
	number, c, err := f.Keys.Decode(value)
	f.Progress.HeardFromStore(number, time.Now())
	if err != nil {
		return err
	}
	if number <= f.HighestNumber() {
		return nil
	}
	a := document.AcceptedConfig{Number: number, Operator: "the operator", Traffic: &c}
	envelope, err := a.Encode()
	if err != nil {
		return api.Errorf(api.StoreCorrupt, "encode configuration %d: %w", number, err)
	}
	s, err := snapshot.BuildFrom(f.Holder.Current(), envelope)
	if err != nil {
		return errors.Join(errors.New("build the snapshot of a configuration"), err)
	}

	f.offerFrom(s, fromStore)
	return nil
}
