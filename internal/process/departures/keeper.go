package departures

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/kvstore"
	"github.com/daisytide/daisytide/internal/conn/rpc"
	"github.com/daisytide/daisytide/internal/conn/wire"
	"github.com/daisytide/daisytide/internal/ctxtime"
	"github.com/daisytide/daisytide/internal/logs"
)

const logPrefix = "departures: "

// RPC methods between nodes.
const (
	// MethodHold asks a peer to hold a departure.
	MethodHold = "departure-hold"
	// MethodRecall asks a peer for the departure beside the calling node.
	MethodRecall = "departure-recall"
)

// Timeouts and limits of recording a departure. The first two together are less
// than the second that an upstream waits for an acknowledgement.
const (
	// storeWriteTimeout is how long an acknowledgement waits for the store before
	// peers are asked to hold the departure. The write goes on meanwhile.
	storeWriteTimeout = 500 * time.Millisecond
	// peerHoldTimeout is how long it then waits for a peer.
	peerHoldTimeout = 300 * time.Millisecond
	// storeCallTimeout bounds one attempt to write a departure.
	storeCallTimeout = 2 * time.Second
	// maxPeersAsked is the number of peers that are asked at a time.
	maxPeersAsked = 3
	// storeRetryInterval is the mean time between two calls to a store that is away.
	storeRetryInterval = 1200 * time.Millisecond
)

// Publisher publishes an item to the other nodes; gossip.Manager implements it.
type Publisher interface {
	Publish(topic string, item []byte)
}

// Keeper records the departures beside this node and reads back those of earlier
// processes of the node.
type Keeper struct {
	// Self is this node's peer address.
	Self      string
	Store     kvstore.Store
	Set       *Set
	Publisher Publisher
	RPC       rpc.Invoker
	// Peers returns the known addresses of other nodes, in the order in which to ask
	// them.
	Peers func() []string
	// FirstStart is set when the whole fleet starts for the first time, so that nothing
	// has left before.
	FirstStart bool
	// OnConfirmable is called once, unless OnRecalled is called first: a departure may be
	// missing, but an upstream that confirms that it stays may be used by a report that
	// arrived at the given time or later.
	OnConfirmable func(receivedFrom time.Time)
	// OnRecalled is called once: with true when the departures of earlier processes are
	// known, and with false MaxReportDelay after the start, when one may be missing but
	// reports that arrive from then on were sent after the start.
	OnRecalled func(complete bool)

	startedAt time.Time
	// complete is set when this process can't have missed a departure of the fleet.
	complete atomic.Bool
	// ctx is the lifetime of the writes to the store.
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// held is the latest departure beside this node that the store or a peer is known
	// to hold.
	held Departure
	// writes holds the latest write to the store for each node, and revisions the
	// revision of its key as known here: this node's own, and those that it holds for
	// others.
	writes    map[string]*storeWrite
	revisions map[string]uint64
}

// storeWrite is the write of one departure to the store; done is closed when the
// store has it.
type storeWrite struct {
	departure Departure
	done      chan struct{}
}

// Start prepares a keeper whose exported fields are set.
func (k *Keeper) Start() {
	k.startedAt = time.Now()
	k.writes, k.revisions = map[string]*storeWrite{}, map[string]uint64{}
	k.complete.Store(k.FirstStart)
	k.ctx, k.cancel = context.WithCancel(context.Background())
}

// Run reads back the departures of earlier processes and ends with ctx.
func (k *Keeper) Run(ctx context.Context) error {
	defer k.cancel()
	k.recall(ctx)
	<-ctx.Done()
	return nil
}

// Record makes a departure outlive this process. It returns nil when the store holds
// the departure, or a peer does if the store does not answer in time; the write to
// the store goes on in that case. After an error the departure must not be
// acknowledged, since nothing but this process may know of it.
func (k *Keeper) Record(ctx context.Context, d Departure) error {
	if k.holds(d) {
		return nil
	}
	k.Set.add(d)
	k.publish(d)
	timer := time.NewTimer(storeWriteTimeout)
	defer timer.Stop()
	holder := "store"
	select {
	case <-k.startWrite(d).done:
	case <-timer.C:
		holder = "peer"
		if err := k.holdAtPeers(ctx, d); err != nil {
			return err
		}
	case <-ctx.Done():
		return api.Errorf(api.StoreNotReached, "record the departure of %q: %w", d.Instance, ctx.Err())
	}
	slog.Info(logPrefix+"departure held", logs.FieldInstance, d.Instance, logs.FieldStarted, d.StartedMillis, logs.FieldFrom, holder)
	k.mu.Lock()
	defer k.mu.Unlock()
	if d.compare(k.held) > 0 {
		k.held = d
	}
	return nil
}

// holds reports whether the store or a peer is known to hold d or a later departure.
func (k *Keeper) holds(d Departure) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	// Each report of an instance of unknown start would be a later departure.
	repeated := d.StartedMillis == 0 && k.held.StartedMillis == 0 && d.Instance == k.held.Instance
	return repeated || d.compare(k.held) <= 0
}

func (k *Keeper) publish(d Departure) {
	item, err := wire.Marshal(d)
	if err != nil {
		klog.Errorf(logPrefix+"encode the departure of %q: %v", d.Instance, err)
		return
	}
	k.Publisher.Publish(TopicName, item)
}

// startWrite starts writing a departure to the store, unless a write of it or of a
// later one beside the same node was started.
func (k *Keeper) startWrite(d Departure) *storeWrite {
	k.mu.Lock()
	defer k.mu.Unlock()
	w := k.writes[d.Node]
	if w == nil || d.compare(w.departure) > 0 {
		w = &storeWrite{departure: d, done: make(chan struct{})}
		k.writes[d.Node] = w
		go k.writeUntilStored(w)
	}
	return w
}

// writeUntilStored tries to write a departure until the store has it, a later one
// takes its place, it expires or the node stops.
func (k *Keeper) writeUntilStored(w *storeWrite) {
	defer k.forgetWriteFor(w)
	lease := kvstore.Lease{}
	for k.ctx.Err() == nil && k.isLatest(w) && time.Now().Unix() < w.departure.ExpiresUnix {
		var err error
		if lease, err = k.write(w.departure, lease); err == nil {
			close(w.done)
			return
		}
		if kvstore.OutcomeOf(err) == kvstore.OutcomeConflict {
			continue
		}
		klog.V(1).Infof(logPrefix+"write the departure of %q: %v", w.departure.Instance, err)
		ctxtime.Sleep(k.ctx, jittered(storeRetryInterval))
	}
}

// forgetWriteFor drops a write for another node that has ended, so that the maps stay as
// small as the number of writes in progress.
func (k *Keeper) forgetWriteFor(w *storeWrite) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if node := w.departure.Node; node != k.Self && k.writes[node] == w {
		delete(k.writes, node)
		delete(k.revisions, node)
	}
}

func (k *Keeper) isLatest(w *storeWrite) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.writes[w.departure.Node] == w
}

// write makes one attempt to write a departure under a lease, which is granted unless
// an earlier attempt left one. After a conflict the next attempt uses the revision
// that the store holds; an entry that is as late, such as one whose reply was lost,
// counts as written.
func (k *Keeper) write(d Departure, lease kvstore.Lease) (kvstore.Lease, error) {
	ctx, cancel := context.WithTimeout(k.ctx, storeCallTimeout)
	defer cancel()
	if lease.ID == "" {
		var err error
		if lease, err = k.Store.Grant(ctx, TTL); err != nil {
			return kvstore.Lease{}, err
		}
	}
	value, err := wire.Marshal(d)
	if err != nil {
		return lease, err
	}
	k.mu.Lock()
	revision := k.revisions[d.Node]
	k.mu.Unlock()
	e, err := k.Store.CompareAndSwap(ctx, k.key(d.Node), revision, value, lease.ID)
	switch kvstore.OutcomeOf(err) {
	case kvstore.OutcomeConflict:
		var conflict *kvstore.Error
		errors.As(err, &conflict)
		e = conflict.Current
		if current, decodeErr := decodeEntry(e, d.Node); decodeErr == nil && d.compare(current) <= 0 {
			err = nil
		}
	case kvstore.OutcomeRefused:
		// The lease has ended.
		return kvstore.Lease{}, err
	default:
		if err != nil {
			return lease, err
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.revisions[d.Node] = e.Revision
	return lease, err
}

func (k *Keeper) key(node string) string { return kvstore.PrefixDepartures + node }

// decodeEntry decodes the entry of a node. An absent entry gives an error.
func decodeEntry(e kvstore.Entry, node string) (Departure, error) {
	var d Departure
	if err := wire.Unmarshal(e.Value, &d); err != nil {
		return d, err
	}
	if err := d.validate(time.Now()); err != nil {
		return d, err
	}
	if d.Node != node {
		return d, api.Errorf(api.StoreCorrupt, "the entry of %s names the node %.40q", node, d.Node)
	}
	return d, nil
}

// jittered returns a random duration that differs from d by at most a quarter.
func jittered(d time.Duration) time.Duration { return d*3/4 + rand.N(d/2) }
