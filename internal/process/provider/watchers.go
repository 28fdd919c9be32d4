package provider

import (
	"errors"
	"math/rand/v2"
	"net"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/daisytide/daisytide/internal/conn/kvstore"
	"github.com/daisytide/daisytide/internal/process/membership"
)

// WatchersPerDataCentre is the number of nodes per data centre that watch the store.
const WatchersPerDataCentre = 2

const (
	// watcherSalt makes the order of the watchers independent of other rendezvous
	// hashes, such as that of the links.
	watcherSalt = "watcher/"
	// lossAfterFailures is the number of consecutive failures after which a node has lost
	// the store. A timeout alone is enough, as it has taken long already.
	lossAfterFailures = 2
	// retestInterval is the mean time until a node that has lost the store first tries it
	// again. It doubles with each failure, up to the limit of the storeAccess.
	retestInterval = time.Second
	// checkersPerWatcher is how many nodes read the store for each watcher, the watchers
	// included, when another node has lost it.
	checkersPerWatcher = 2
)

func watcherHash(address string) uint64 { return xxhash.Sum64String(watcherSalt + address) }

// WatcherRank returns a node's rank, from 0, among the live members of its data centre
// that have not lost the store, by rendezvous hashing. Nodes with different views of the
// members may get the same rank; the only cost is an additional watch.
func WatcherRank(members []membership.Record, self membership.Record) int {
	return NewWatchView(members, self, 0, 0).Before
}

// WatchView is what a node knows when it decides whether to watch the store.
type WatchView struct {
	// Links is the number of established peer links.
	Links int
	// Lost is set if this node has lost the store.
	Lost bool
	// Watchers is the number of watchers wanted in the data centre.
	Watchers int
	// Before counts the members of the data centre that have not lost the store and come
	// before this node in the order of the watchers. Served counts those of them that
	// watch it and had a reply.
	Before, Served int
	// LostNearby counts the other members of the data centre that have lost the store.
	LostNearby int
}

// NewWatchView returns the view of a node with the record self.
func NewWatchView(members []membership.Record, self membership.Record, links, watchers int) WatchView {
	v := WatchView{Links: links, Lost: self.Store == membership.StoreLost, Watchers: watchers}
	own := watcherHash(self.Address)
	for _, r := range members {
		if r.State != membership.Alive || r.DataCentre != self.DataCentre || r.Address == self.Address {
			continue
		}
		if r.Store == membership.StoreLost {
			v.LostNearby++
			continue
		}
		if watcherHash(r.Address) >= own {
			continue
		}
		v.Before++
		if r.Store == membership.StoreServes {
			v.Served++
		}
	}
	return v
}

// Watches reports whether the node watches the store. A node without links must, since
// it receives nothing from peers. Members that have lost the store are replaced by the
// next ones, of which up to twice as many try at once until it serves enough of them.
func (v WatchView) Watches() bool {
	switch {
	case v.Links == 0:
		return true
	case v.Lost:
		return false
	case v.Before < v.Watchers:
		return true
	}
	return v.Served < v.Watchers && v.Before < v.Watchers+min(v.LostNearby, v.Watchers)
}

// checks reports whether the node reads the store once when another one has lost it: the
// watchers may have lost it as well without knowing yet.
func (v WatchView) checks() bool {
	return !v.Lost && v.Before < checkersPerWatcher*v.Watchers
}

// retestDelay returns the mean time until a node that has lost the store tries it again,
// of which interval is the least. If more nodes of the data centre than it has watchers
// have lost the store, each tries less often, so that an outage costs the same number of
// calls in a fleet of any size.
func (v WatchView) retestDelay(interval time.Duration) time.Duration {
	return max(interval, interval*time.Duration(v.LostNearby+1)/time.Duration(max(1, v.Watchers)))
}

// storeAccess tracks whether the store serves this node, for one goroutine.
type storeAccess struct {
	// publish tells the other nodes.
	publish func(membership.StoreAccess)
	// maxRetestInterval bounds the mean time between attempts, but for retestDelay.
	maxRetestInterval time.Duration
	failures          int
	// retestAt is the earliest next call of a node that has lost the store.
	retestAt time.Time
}

// publisherOf returns publish, or a function that does nothing if it is nil.
func publisherOf(publish func(membership.StoreAccess)) func(membership.StoreAccess) {
	if publish != nil {
		return publish
	}
	return func(membership.StoreAccess) {}
}

// served records a reply of the store and reports whether the node goes on watching it.
func (a *storeAccess) served(v WatchView) (watches bool) {
	a.failures = 0
	v.Lost = false
	if watches = v.Watches(); watches {
		a.publish(membership.StoreServes)
	} else {
		a.publish(membership.StoreUnknown)
	}
	return watches
}

// failed records a failed call. A rejection by a rate limit shows that the store is
// there.
func (a *storeAccess) failed(err error, v WatchView, now time.Time) {
	if kvstore.OutcomeOf(err) == kvstore.OutcomeRateLimited {
		return
	}
	a.failures++
	var timeout net.Error
	if a.failures < lossAfterFailures && !(errors.As(err, &timeout) && timeout.Timeout()) {
		return
	}
	a.publish(membership.StoreLost)
	doublings := max(0, a.failures-lossAfterFailures)
	mean := v.retestDelay(min(a.maxRetestInterval, retestInterval<<min(doublings, 16)))
	a.retestAt = now.Add(mean/2 + rand.N(mean))
}

// due reports whether the node calls the store now: as a watcher, or to try whether the
// store serves it again.
func (a *storeAccess) due(v WatchView, now time.Time) bool {
	return v.Watches() || v.Lost && !now.Before(a.retestAt)
}
