// Package registry keeps this node's entry in the store and finds the others
// by theirs. The links between nodes spread news faster; the entries are how
// nodes that start, or were cut off, find each other.
package registry

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/internal/conn/kvstore"
	"github.com/daisytide/daisytide/internal/conn/wire"
	"github.com/daisytide/daisytide/internal/ctxtime"
	"github.com/daisytide/daisytide/internal/process/gossip"
	"github.com/daisytide/daisytide/internal/process/membership"
)

const logPrefix = "registry: "

// Times of the registry.
const (
	// renewPart of a lease's life is the time between renewals: two may fail.
	renewPart = 0.3
	// listFirst is how long a node of a fleet that starts for the first time
	// waits before it reads the others' entries: they start within 0.3 s of
	// each other. The readings are spread over listSpan; who has a link by
	// then hears of the others over it and reads nothing.
	listFirst = 400 * time.Millisecond
	listSpan  = 1500 * time.Millisecond
	// listSoon spreads the first readings of nodes that start later: they know
	// no upstream but their own until then.
	listSoon = 50 * time.Millisecond
	// listAlone is the time between readings of a node without links, and
	// listEvery that of any other.
	listAlone = 1500 * time.Millisecond
	listEvery = 12 * time.Second
	// retryPause is the mean wait after a failed call: entries must be back
	// within two seconds of the store's return, and the whole fleet asks.
	retryPause = 1200 * time.Millisecond
	// callTimeout bounds one exchange.
	callTimeout = 2 * time.Second
)

// Registry keeps one node's entry.
type Registry struct {
	Store   kvstore.Store
	Self    func() membership.Record
	Members *membership.Table
	// LinkCount returns the number of links that stand.
	LinkCount func() int
	// OnList is told when entries have been read; nil is told nothing.
	OnList func()
	// Publisher spreads what this node notices of the store; may be nil.
	Publisher gossip.Publisher
	// Restarting tells at a stop that the node is to be started again here, so
	// that its entry may stand meanwhile; nil is no.
	Restarting func() bool
	// FirstStart tells that the whole fleet starts for the first time.
	FirstStart bool
	TTL        time.Duration
	// SeedHosts are addresses on hosts of other nodes; with the port of this
	// node's own address they are peers.
	SeedHosts []string

	once    sync.Once
	returns *StoreRecoveries

	mu    sync.Mutex
	found []string
}

// Peers lists the addresses to start from.
func (r *Registry) Peers() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.found)
}

// Run keeps the entry and reads the others' until ctx ends; then it takes the
// entry back.
func (r *Registry) Run(ctx context.Context) error {
	r.AddSeedHosts(r.SeedHosts)
	lease, kept := kvstore.Lease{}, false
	if !r.FirstStart {
		lease, kept = r.resume(ctx)
	}
	go r.listLoop(ctx)
	for ctx.Err() == nil {
		if !kept {
			var err error
			if lease, err = r.register(ctx); err != nil {
				klog.Warningf(logPrefix+"%v", err)
				ctxtime.Sleep(ctx, retryWait())
				continue
			}
		}
		kept = false
		r.keep(ctx, lease)
		if ctx.Err() != nil && (r.Restarting == nil || !r.Restarting()) {
			r.revoke(lease)
		}
	}
	return nil
}

// resume reads the others' entries, which may be seconds old, and goes on with
// the entry of this node's last start if it still stands and says the same.
func (r *Registry) resume(ctx context.Context) (lease kvstore.Lease, kept bool) {
	ctxtime.Sleep(ctx, rand.N(listSoon))
	self := r.Self()
	for _, e := range r.list(ctx, true) {
		var old membership.Record
		if e.Key != kvstore.PrefixNodes+self.Address || e.Lease == "" || wire.Unmarshal(e.Value, &old) != nil {
			continue
		}
		if old.Gate != self.Gate || old.DataCentre != self.DataCentre || old.Region != self.Region {
			continue
		}
		lease = kvstore.Lease{ID: e.Lease, TTL: r.TTL}
		if err := r.renew(ctx, lease.ID); err != nil {
			klog.V(1).Infof(logPrefix+"the entry of the last start: %v", err)
			return kvstore.Lease{}, false
		}
		return lease, true
	}
	return kvstore.Lease{}, false
}

// AddSeedHosts adds addresses on hosts of other nodes.
func (r *Registry) AddSeedHosts(hosts []string) {
	_, port, err := net.SplitHostPort(r.Self().Address)
	if err != nil {
		klog.Errorf(logPrefix+"own address: %v", err)
		return
	}
	for _, h := range hosts {
		if host, _, err := net.SplitHostPort(h); err == nil {
			r.add(net.JoinHostPort(host, port))
		}
	}
}

func (r *Registry) add(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if address != r.Self().Address && !slices.Contains(r.found, address) {
		r.found = append(r.found, address)
	}
}

// register writes the entry under a new lease. One of an earlier start is
// replaced.
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
		klog.V(1).Infof(logPrefix+"entered under lease %s for %v", lease.ID, lease.TTL)
	}
	return lease, err
}

// keep renews a lease until it has lapsed or ctx ends.
func (r *Registry) keep(ctx context.Context, lease kvstore.Lease) {
	ttl := lease.TTL
	if ttl <= 0 {
		ttl = r.TTL
	}
	wait := time.Duration(renewPart * float64(ttl))
	for {
		r.await(ctx, wait)
		if ctx.Err() != nil {
			return
		}
		err := r.renew(ctx, lease.ID)
		switch {
		case err == nil:
			wait = time.Duration(renewPart * float64(ttl))
		case kvstore.OutcomeOf(err) == kvstore.OutcomeRefused:
			klog.Warningf(logPrefix+"the lease has lapsed: %v", err)
			return
		default:
			wait = retryWait()
		}
	}
}

// retryWait is a random wait of retryPause in the mean, within a quarter of it.
func retryWait() time.Duration {
	return retryPause*3/4 + rand.N(retryPause/2)
}

// await waits for d, or until the store is back from an absence.
func (r *Registry) await(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-r.StoreRecoveries().risen:
		ctxtime.Sleep(ctx, rand.N(returnSpan))
	}
}

func (r *Registry) renew(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.Store.KeepAlive(ctx, id)
}

// revoke takes the entry back when the node stops.
func (r *Registry) revoke(lease kvstore.Lease) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout/4)
	defer cancel()
	if err := r.Store.Revoke(ctx, lease.ID); err != nil {
		klog.V(1).Infof(logPrefix+"%v", err)
	}
}

func (r *Registry) listLoop(ctx context.Context) {
	if r.FirstStart {
		ctxtime.Sleep(ctx, listFirst+rand.N(listSpan))
		if r.LinkCount() == 0 {
			r.list(ctx, false)
		}
	}
	for ctx.Err() == nil {
		wait := listEvery/2 + rand.N(listEvery)
		if r.LinkCount() == 0 {
			wait = listAlone/2 + rand.N(listAlone)
		}
		ctxtime.Sleep(ctx, wait)
		if ctx.Err() == nil {
			r.list(ctx, r.LinkCount() > 0)
		}
	}
}

// list takes the entries of all nodes as news of them, and returns them. What
// may be seconds old costs a tenth.
func (r *Registry) list(ctx context.Context, stale bool) []kvstore.Entry {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entries, _, err := r.Store.List(ctx, kvstore.PrefixNodes, stale)
	if err != nil {
		klog.V(1).Infof(logPrefix+"%v", err)
		return nil
	}
	for _, e := range entries {
		var rec membership.Record
		if err := wire.Unmarshal(e.Value, &rec); err != nil || rec.Address == "" {
			klog.Warningf(logPrefix+"the entry %q is not usable: %v", e.Key, err)
			continue
		}
		r.Members.Merge(rec)
		r.add(rec.Address)
	}
	if r.OnList != nil {
		r.OnList()
	}
	return entries
}
