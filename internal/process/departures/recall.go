package departures

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/ctxtime"
)

// Timeouts of reading back the departures of earlier processes.
const (
	// storeReadTimeout and peerRecallTimeout bound one read by a node that starts.
	// The second covers a read of the store that the peer makes.
	storeReadTimeout  = 500 * time.Millisecond
	peerRecallTimeout = 700 * time.Millisecond
	// peerSearchTime is how long a node that has read the store waits for a peer. A
	// node finds others sooner; after a loss of power they may not be back yet, and
	// each upstream is missed meanwhile. Gossip brings what a later peer holds.
	peerSearchTime = 150 * time.Millisecond
	// furtherReplyTime is how long the other peers are waited for after the first
	// reply.
	furtherReplyTime = 50 * time.Millisecond
	// maxHold is how long an upstream is not used because departures may be unknown.
	maxHold = 5 * time.Second
	// recallInterval is the mean time between two rounds.
	recallInterval = 50 * time.Millisecond
)

// Query asks a peer for the departure beside a node.
type Query struct {
	Node string `cbor:"1,keyasint"`
	// Checksum is that of the departures that the node holds.
	Checksum uint64 `cbor:"2,keyasint,omitempty"`
	// ReadStore is set by a node that does not reach the store: a peer that may have
	// missed departures reads the node's there.
	ReadStore bool `cbor:"3,keyasint,omitempty"`
}

// Reply answers a Query.
type Reply struct {
	// Departures are the one beside the node, if any, and all others as well if the
	// peer is complete and the node holds different ones.
	Departures []Departure `cbor:"1,keyasint,omitempty"`
	// Certain is set if the peer can't have missed the departure beside the node, and
	// Complete if it can't have missed any.
	Certain  bool `cbor:"2,keyasint,omitempty"`
	Complete bool `cbor:"3,keyasint,omitempty"`
}

// evidence is what the peers that were asked in one round have said.
type evidence uint8

const (
	// noPeer: no peer has answered.
	noPeer evidence = iota
	// peerUncertain: peers have answered that may have missed the departure.
	peerUncertain
	// peerCertain: a peer has answered that can't have missed it.
	peerCertain
)

// isRecalled reports whether every departure of earlier processes is known, from what
// has been read within the given time. A departure was acknowledged when the store
// had it, or when a peer had it while the store was away, so both are asked. A node
// that the store does not serve relies on a peer that is certain.
//
// Both waits have an end, since an upstream that has not left is missed meanwhile. After
// the store has answered, only a departure from while it was away can be unknown; peers
// are waited for until peerSearchTime. A node with neither the store nor a certain peer
// uses its upstream after maxHold; reports seldom arrive so late. Gossip still brings
// what a peer holds, and ends the instance then.
func isRecalled(storeRead bool, peers evidence, elapsed time.Duration) bool {
	if storeRead {
		return peers != noPeer || elapsed >= peerSearchTime
	}
	return peers == peerCertain || elapsed >= maxHold
}

// recall reads back the departures of earlier processes of this node, calls
// OnRecalled, and goes on until the store was read as well.
func (k *Keeper) recall(ctx context.Context) {
	began, storeRead, recalled := time.Now(), false, false
	if k.FirstStart {
		// Nothing has left before, and a read by each node of a new fleet would cost
		// the store as many calls as there are nodes.
		k.OnRecalled()
		return
	}
	for ctx.Err() == nil {
		if !storeRead {
			storeRead = k.readStore(ctx, k.Self) == nil
		}
		if !recalled {
			recalled = isRecalled(storeRead, k.askPeersUntil(ctx, storeRead, began.Add(peerSearchTime)), time.Since(began))
			if recalled {
				klog.V(1).Infof(logPrefix+"read back after %v, from the store: %v", time.Since(began), storeRead)
				k.OnRecalled()
			}
		}
		switch {
		case recalled && (storeRead || time.Since(began) > TTL):
			return
		case recalled:
			ctxtime.Sleep(ctx, jittered(storeRetryInterval))
		default:
			ctxtime.Sleep(ctx, jittered(recallInterval))
		}
	}
}

// readStore reads the departure beside a node from the store into the set.
func (k *Keeper) readStore(ctx context.Context, node string) error {
	ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	e, err := k.Store.Get(ctx, k.key(node))
	if err != nil {
		return err
	}
	if node == k.Self {
		k.mu.Lock()
		k.revision = max(k.revision, e.Revision)
		k.mu.Unlock()
	}
	if e.Revision == 0 {
		return nil
	}
	d, err := decodeEntry(e, node)
	if err != nil {
		// Another writer's entry says nothing; the next departure replaces it.
		klog.Warningf(logPrefix+"left out the entry %.200q: %.200v", e.Key, err)
		return nil
	}
	_, err = k.Set.receive(d)
	return err
}

// askPeersUntil asks some peers for the departure beside this node, and stops waiting at
// the given time if the store was read.
func (k *Keeper) askPeersUntil(ctx context.Context, storeRead bool, end time.Time) evidence {
	if storeRead {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, end)
		defer cancel()
	}
	return k.askPeers(ctx, !storeRead)
}

// askPeers asks some peers for the departure beside this node.
func (k *Keeper) askPeers(ctx context.Context, readStore bool) evidence {
	replies := callPeers[Reply](ctx, k, MethodRecall, Query{Node: k.Self, Checksum: k.Set.Checksum(), ReadStore: readStore}, peerRecallTimeout)
	best := noPeer
	var enough <-chan time.Time
	for {
		select {
		case <-enough:
			return best
		case reply, more := <-replies:
			if !more {
				return best
			}
			if err := k.receive(reply); err != nil {
				klog.Warningf(logPrefix+"%v", err)
				continue
			}
			switch {
			case reply.Certain:
				best = peerCertain
			case best == noPeer:
				best = peerUncertain
			}
			if enough == nil {
				enough = time.After(furtherReplyTime)
			}
		}
	}
}

// receive adds the departures of a reply. A node that has those of a complete peer is
// complete as well.
func (k *Keeper) receive(reply Reply) error {
	for _, d := range reply.Departures {
		if _, err := k.Set.receive(d); err != nil {
			return err
		}
	}
	if reply.Complete {
		k.complete.Store(true)
	}
	return nil
}

// isComplete reports whether this process can't have missed a departure: it has run
// for longer than one is kept, or has what such a process has.
func (k *Keeper) isComplete() bool {
	return k.complete.Load() || time.Since(k.startedAt) > TTL
}

// HandleRecall answers the query of a node that has started.
func (k *Keeper) HandleRecall(ctx context.Context, q Query) (Reply, error) {
	complete := k.isComplete()
	reply := Reply{Certain: complete, Complete: complete}
	if q.ReadStore && !complete {
		reply.Certain = k.readStore(ctx, q.Node) == nil
	}
	if complete && q.Checksum != k.Set.Checksum() {
		reply.Departures = k.Set.all()
	} else if d, ok := k.Set.Get(q.Node); ok {
		reply.Departures = []Departure{d}
	}
	return reply, nil
}

// HandleHold holds a departure for another node.
func (k *Keeper) HandleHold(_ context.Context, d Departure) (bool, error) {
	changed, err := k.Set.receive(d)
	if err != nil {
		return false, err
	}
	if changed {
		k.publish(d)
	}
	held, ok := k.Set.Get(d.Node)
	return ok && d.compare(held) <= 0, nil
}

// holdAtPeers returns nil when a peer holds a departure.
func (k *Keeper) holdAtPeers(ctx context.Context, d Departure) error {
	for held := range callPeers[bool](ctx, k, MethodHold, d, peerHoldTimeout) {
		if held {
			return nil
		}
	}
	return api.Errorf(api.StoreNotReached, "neither the store nor a peer has taken the departure of %q", d.Instance)
}

// callPeers calls a method of the first maxPeersAsked peers and returns the replies as
// they arrive.
func callPeers[Out any](ctx context.Context, k *Keeper, method string, in any, timeout time.Duration) <-chan Out {
	peers := slices.DeleteFunc(k.Peers(), func(address string) bool { return address == k.Self })
	peers = peers[:min(len(peers), maxPeersAsked)]
	replies := make(chan Out, len(peers))
	ctx, cancel := context.WithTimeout(ctx, timeout)
	var calls sync.WaitGroup
	for _, address := range peers {
		calls.Go(func() {
			var out Out
			if err := k.RPC.Call(ctx, address, method, in, &out); err != nil {
				klog.V(1).Infof(logPrefix+"%s of %s: %v", method, address, err)
				return
			}
			replies <- out
		})
	}
	go func() {
		calls.Wait()
		cancel()
		close(replies)
	}()
	return replies
}
