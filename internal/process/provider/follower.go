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

	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/kvstore"
	"github.com/daisytide/daisytide/internal/ctxtime"
	"github.com/daisytide/daisytide/internal/logs"
	"github.com/daisytide/daisytide/internal/process/evacuation"
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
	// LinkCount returns the number of established peer links, and WatcherCount that
	// of watchers in the fleet, on which the duration of a watch depends.
	LinkCount, WatcherCount func() int
	// IsWatcher reports whether this node watches the store for its data centre.
	// The other nodes receive changes from their peers.
	IsWatcher func() bool
	// FirstStart is set if the whole fleet starts for the first time.
	FirstStart bool
	// Progress records how configurations arrive; nil records nothing.
	Progress *Progress

	// invalidEntries counts the entries that were not usable.
	invalidEntries atomic.Int64
}

// shouldWatch reports whether this node should watch the store now. A node without
// links must, since it receives nothing from peers.
func (f *Follower) shouldWatch() bool { return f.LinkCount() == 0 || f.IsWatcher() }

// watchDuration returns how long the next watch waits for changes.
func (f *Follower) watchDuration() time.Duration {
	if f.LinkCount() == 0 {
		return watchWithoutLinks
	}
	w := min(max(time.Duration(f.WatcherCount())*watchPerWatcher, minWatch), maxWatch)
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
	if f.FirstStart && f.waitForPeers(ctx) || !f.FirstStart && f.suppliedAtRestart(ctx) {
		f.waitUntilWatcher(ctx)
	}
	for ctx.Err() == nil {
		if err := f.follow(ctx); err != nil {
			klog.V(1).Infof(logPrefix+"follow the operator's keys: %v", err)
			ctxtime.Sleep(ctx, rand.N(followRetryJitter))
			continue
		}
		f.waitUntilWatcher(ctx)
	}
	return nil
}

// follow lists all keys and then watches them while this node should watch.
func (f *Follower) follow(ctx context.Context) error {
	after, err := f.list(ctx)
	for err == nil && ctx.Err() == nil && f.shouldWatch() {
		after, err = f.watch(ctx, after)
	}
	return err
}

// waitUntilWatcher waits until this node should watch the store.
func (f *Follower) waitUntilWatcher(ctx context.Context) {
	for ctx.Err() == nil && !f.shouldWatch() {
		ctxtime.Sleep(ctx, pollInterval)
	}
}

// waitForPeers waits for the configuration from peers when a fleet starts for the
// first time. It returns true if peers supplied it and other nodes watch the
// store.
func (f *Follower) waitForPeers(ctx context.Context) bool {
	ctxtime.Sleep(ctx, rand.N(joinJitter))
	for end := time.Now().Add(joinTimeout); time.Now().Before(end) && ctx.Err() == nil && !f.shouldWatch(); {
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
		if f.HighestNumber() > 0 && !f.shouldWatch() {
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

// watch waits for changes once. After an error it continues from the same revision
// unless the store has dropped the history.
func (f *Follower) watch(ctx context.Context, after uint64) (uint64, error) {
	entries, revision, err := f.Store.Watch(ctx, f.Keys.Prefix, after, min(f.watchDuration(), kvstore.MaxWatchWait))
	f.Progress.StoreReplied(err, time.Now())
	if err != nil {
		if kvstore.OutcomeOf(err) == kvstore.OutcomeHistoryLost {
			return 0, err
		}
		klog.V(1).Infof(logPrefix+"watch the operator's keys: %v", err)
		ctxtime.Sleep(ctx, rand.N(followRetryJitter))
		return after, nil
	}
	f.applyChangedEvacuations(entries)
	f.applyNewestConfig(entries)
	for _, e := range entries {
		f.applyOrder(e, false)
	}
	return revision, nil
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
