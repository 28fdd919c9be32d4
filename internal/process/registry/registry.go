// Package registry maintains this node's entry in the store and discovers the
// other nodes through their entries. Gossip over links is faster; the entries
// let nodes find each other after a start or a partition.
package registry

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/kvstore"
	"github.com/daisytide/daisytide/internal/conn/wire"
	"github.com/daisytide/daisytide/internal/ctxtime"
	"github.com/daisytide/daisytide/internal/process/gossip"
	"github.com/daisytide/daisytide/internal/process/membership"
)

const logPrefix = "registry: "

// Intervals and timeouts of the registry.
const (
	// renewFraction is the fraction of a lease's TTL between renewals, so that
	// two renewals may fail before it lapses.
	renewFraction = 0.3
	// firstListDelay is the wait before the first list when the whole fleet
	// starts for the first time, since the nodes start within 0.3 s of each
	// other. firstListJitter spreads the lists; a node that has a link by then
	// learns of the others over it and skips the list.
	firstListDelay  = 400 * time.Millisecond
	firstListJitter = 1500 * time.Millisecond
	// startListJitter spreads the first lists of nodes at any later start; it is
	// short because they know no upstream but their own until then.
	startListJitter = 50 * time.Millisecond
	// isolatedListInterval is the mean time between lists of a node without
	// links, and listInterval that of any other node.
	isolatedListInterval = 1500 * time.Millisecond
	listInterval         = 12 * time.Second
	// retryDelay is the mean wait after a failed call: entries must be back
	// within two seconds of the store's recovery, but the whole fleet retries.
	retryDelay = 1200 * time.Millisecond
	// callTimeout bounds one registration, renewal or list.
	callTimeout = 2 * time.Second
	// invalidEntryLogInterval is the minimum time between two log lines on
	// invalid entries.
	invalidEntryLogInterval = 10 * time.Second
)

// maxEntryBytes bounds the value of a node's entry; a record with all fields at
// their limits has about half of it.
const maxEntryBytes = 4 << 10

// Registry maintains the entry of one node.
type Registry struct {
	Store   kvstore.Store
	Self    func() membership.Record
	Members *membership.Table
	// LinkCount returns the number of established links.
	LinkCount func() int
	// OnList is called after each successful list, if set.
	OnList func()
	// Publisher publishes the store's recoveries that this node detects; it
	// may be nil.
	Publisher gossip.Publisher
	// Restarting reports at a stop whether the node will be started again on
	// this host, in which case its entry is kept; nil means no.
	Restarting func() bool
	// FirstStart is set when the whole fleet starts for the first time.
	FirstStart bool
	TTL        time.Duration
	// SeedHosts are addresses on other hosts. Their ports are replaced by
	// the port of this node's own address to get peer addresses.
	SeedHosts []string

	recoveriesOnce sync.Once
	recoveries     *StoreRecoveries

	// invalidEntries is the number of entries that the last list left out.
	invalidEntries atomic.Int64

	mu    sync.Mutex
	peers []string
	// invalidEntryLogged is when an invalid entry was last logged.
	invalidEntryLogged time.Time
}

// Peers returns the peer addresses found so far, for bootstrapping.
func (r *Registry) Peers() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.peers)
}

// Run maintains the entry and lists the other entries until ctx ends; then it
// removes the entry, unless the node is restarting.
func (r *Registry) Run(ctx context.Context) error {
	r.AddSeedHosts(r.SeedHosts)
	lease, resumed := kvstore.Lease{}, false
	if !r.FirstStart {
		lease, resumed = r.resumeEntry(ctx)
	}
	go r.listLoop(ctx)
	for ctx.Err() == nil {
		if !resumed {
			var err error
			if lease, err = r.register(ctx); err != nil {
				klog.Warningf(logPrefix+"register: %v", err)
				ctxtime.Sleep(ctx, jitteredRetryDelay())
				continue
			}
		}
		resumed = false
		r.keepLease(ctx, lease)
		if ctx.Err() != nil && (r.Restarting == nil || !r.Restarting()) {
			r.revoke(lease)
		}
	}
	return nil
}

// resumeEntry lists all entries, possibly with stale data, and renews the lease
// of this node's previous entry if it still exists with the same gate, data
// centre and region.
func (r *Registry) resumeEntry(ctx context.Context) (lease kvstore.Lease, ok bool) {
	ctxtime.Sleep(ctx, rand.N(startListJitter))
	self := r.Self()
	for _, e := range r.listEntries(ctx, true) {
		var old membership.Record
		if e.Key != kvstore.PrefixNodes+self.Address || e.Lease == "" || wire.Unmarshal(e.Value, &old) != nil {
			continue
		}
		if old.Gate != self.Gate || old.DataCentre != self.DataCentre || old.Region != self.Region {
			continue
		}
		lease = kvstore.Lease{ID: e.Lease, TTL: r.TTL}
		if err := r.renew(ctx, lease.ID); err != nil {
			klog.V(1).Infof(logPrefix+"renew the entry of the previous start: %v", err)
			return kvstore.Lease{}, false
		}
		return lease, true
	}
	return kvstore.Lease{}, false
}

// AddSeedHosts adds peers on the hosts of other nodes.
func (r *Registry) AddSeedHosts(hosts []string) {
	_, port, err := net.SplitHostPort(r.Self().Address)
	if err != nil {
		klog.Errorf(logPrefix+"own peer address: %v", err)
		return
	}
	for _, h := range hosts {
		if host, _, err := net.SplitHostPort(h); err == nil {
			r.addPeer(net.JoinHostPort(host, port))
		}
	}
}

func (r *Registry) addPeer(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if address != r.Self().Address && !slices.Contains(r.peers, address) {
		r.peers = append(r.peers, address)
	}
}

// register writes the entry under a new lease and replaces an entry of an
// earlier start.
func (r *Registry) register(ctx context.Context) (kvstore.Lease, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lease, err := r.Store.Grant(ctx, r.TTL)
	if err != nil {
		return lease, err
	}
	self := r.Self()
	value, err := wire.Marshal(self)
	if err != nil {
		return lease, err
	}
	key := kvstore.PrefixNodes + self.Address
	_, err = r.Store.CompareAndSwap(ctx, key, 0, value, lease.ID)
	if kvstore.OutcomeOf(err) == kvstore.OutcomeConflict {
		e, getErr := r.Store.Get(ctx, key)
		if getErr != nil {
			return lease, getErr
		}
		_, err = r.Store.CompareAndSwap(ctx, key, e.Revision, value, lease.ID)
	}
	if err == nil {
		klog.V(1).Infof(logPrefix+"registered under lease %s with TTL %v", lease.ID, lease.TTL)
	}
	return lease, err
}

// keepLease renews a lease until it has lapsed or ctx ends.
func (r *Registry) keepLease(ctx context.Context, lease kvstore.Lease) {
	ttl := lease.TTL
	if ttl <= 0 {
		ttl = r.TTL
	}
	wait := time.Duration(renewFraction * float64(ttl))
	for {
		r.waitOrRecovery(ctx, wait)
		if ctx.Err() != nil {
			return
		}
		err := r.renew(ctx, lease.ID)
		switch {
		case err == nil:
			wait = time.Duration(renewFraction * float64(ttl))
		case kvstore.OutcomeOf(err) == kvstore.OutcomeRefused:
			klog.Warningf(logPrefix+"the lease has lapsed: %v", err)
			return
		default:
			wait = jitteredRetryDelay()
		}
	}
}

// jitteredRetryDelay returns a random wait that differs from retryDelay by at
// most a quarter.
func jitteredRetryDelay() time.Duration {
	return retryDelay*3/4 + rand.N(retryDelay/2)
}

// waitOrRecovery waits for d, or until the store has recovered from an outage.
func (r *Registry) waitOrRecovery(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-r.StoreRecoveries().increased:
		ctxtime.Sleep(ctx, rand.N(renewJitter))
	}
}

func (r *Registry) renew(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.Store.KeepAlive(ctx, id)
}

// revoke removes the entry when the node stops.
func (r *Registry) revoke(lease kvstore.Lease) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout/4)
	defer cancel()
	if err := r.Store.Revoke(ctx, lease.ID); err != nil {
		klog.V(1).Infof(logPrefix+"revoke the lease: %v", err)
	}
}

func (r *Registry) listLoop(ctx context.Context) {
	if r.FirstStart {
		ctxtime.Sleep(ctx, firstListDelay+rand.N(firstListJitter))
		if r.LinkCount() == 0 {
			r.listEntries(ctx, false)
		}
	}
	for ctx.Err() == nil {
		wait := listInterval/2 + rand.N(listInterval)
		if r.LinkCount() == 0 {
			wait = isolatedListInterval/2 + rand.N(isolatedListInterval)
		}
		ctxtime.Sleep(ctx, wait)
		if ctx.Err() == nil {
			r.listEntries(ctx, r.LinkCount() > 0)
		}
	}
}

// decodeEntry decodes and checks the entry of one node. Its key must name the
// record's address.
func decodeEntry(e kvstore.Entry) (membership.Record, error) {
	var rec membership.Record
	if len(e.Value) > maxEntryBytes {
		return rec, api.Errorf(api.StoreCorrupt, "the value has %d bytes", len(e.Value))
	}
	if err := wire.Unmarshal(e.Value, &rec); err != nil {
		return rec, err
	}
	if err := rec.Validate(); err != nil {
		return rec, err
	}
	if e.Key != kvstore.PrefixNodes+rec.Address {
		return rec, api.Errorf(api.StoreCorrupt, "the value names the address %q", rec.Address)
	}
	return rec, nil
}

// warnInvalidEntry logs an entry that is left out, at most one per
// invalidEntryLogInterval.
func (r *Registry) warnInvalidEntry(key string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now(); now.Sub(r.invalidEntryLogged) >= invalidEntryLogInterval {
		r.invalidEntryLogged = now
		klog.Warningf(logPrefix+"left out the entry %.200q: %.200v", key, err)
	}
}

// InvalidEntries returns the number of entries that the last list left out.
func (r *Registry) InvalidEntries() int64 { return r.invalidEntries.Load() }

// listEntries merges the entries of all nodes into the member table and returns
// them. A stale list may be seconds old and costs a tenth of a fresh one.
func (r *Registry) listEntries(ctx context.Context, stale bool) []kvstore.Entry {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entries, _, err := r.Store.List(ctx, kvstore.PrefixNodes, stale)
	if err != nil {
		klog.V(1).Infof(logPrefix+"list the entries: %v", err)
		return nil
	}
	invalid := 0
	for _, e := range entries {
		rec, err := decodeEntry(e)
		if err != nil {
			invalid++
			r.warnInvalidEntry(e.Key, err)
			continue
		}
		r.Members.Merge(rec)
		r.addPeer(rec.Address)
	}
	r.invalidEntries.Store(int64(invalid))
	if r.OnList != nil {
		r.OnList()
	}
	return entries
}
