package departures

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/internal/ctxtime"
	"github.com/daisytide/daisytide/internal/logs"
)

// Timeouts of reading back the departures of earlier processes.
const (
	// storeReadTimeout and peerRecallTimeout bound one read by a node that starts.
	// The second covers a read of the store that the peer makes.
	storeReadTimeout  = 500 * time.Millisecond
	peerRecallTimeout = 700 * time.Millisecond
	// promptReadTime bounds a read of a store that is not slow: the two calls that
	// write a departure are then done before peers are asked to hold it.
	promptReadTime = storeWriteTimeout / 2
	// peerSearchTime is how long a node that has read the store waits for a peer that
	// remembers before it has its upstream confirm that it is there. A node finds others
	// sooner; after a loss of power they may not be back yet, and each upstream is missed
	// meanwhile.
	peerSearchTime = 150 * time.Millisecond
	// furtherReplyTime is how long the other peers are waited for after the first
	// reply.
	furtherReplyTime = 50 * time.Millisecond
	// recallInterval is the mean time between two rounds. After peerSearchTime it is
	// lateRecallInterval: peers that started at the same time learn nothing soon.
	recallInterval     = 50 * time.Millisecond
	lateRecallInterval = 500 * time.Millisecond
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
	// Certain is set if the peer can't have missed the departure beside the node, or
	// has read the node's entry in the store, and Complete if it can't have missed any.
	Certain  bool `cbor:"2,keyasint,omitempty"`
	Complete bool `cbor:"3,keyasint,omitempty"`
	// RunningMillis is for how long the peer has received departures, in milliseconds.
	RunningMillis int64 `cbor:"4,keyasint,omitempty"`
}

// remembers reports whether the peer knows every departure that matters for the reports
// that this node has received since its start, the given time ago. The peer may have
// missed departures from before its own start. If it has run for MaxReportDelay longer
// than this node, reports from before those have arrived before this node started. A
// peer that started with this node knows no more than it.
func (r Reply) remembers(sinceStart time.Duration) bool {
	return time.Duration(r.RunningMillis)*time.Millisecond-sinceStart >= MaxReportDelay
}

// evidence is what a node that starts has found out about the departures that earlier
// processes of it acknowledged.
type evidence struct {
	// storeRead is set when the node's entry was read, by the node or by a peer, and
	// storePrompt if the store has not been away or slow since the start.
	storeRead, storePrompt bool
	// peerRemembers is set when a peer has replied that remembers, and peerComplete when
	// one that can't have missed a departure.
	peerRemembers, peerComplete bool
}

// knowledge is how much a node knows of the departures that earlier processes of it
// acknowledged.
type knowledge uint8

const (
	// unknown: a departure may be missing.
	unknown knowledge = iota
	// storedOnly: those that the store has are known. One that peers alone held, as the
	// store was away when it was acknowledged, may be missing, if all of them have ended.
	storedOnly
	// complete: none is missing.
	complete
)

// String returns the names of the sources that have answered.
func (e evidence) String() string {
	var sources []string
	if e.storeRead {
		sources = append(sources, "store")
	}
	if e.storeRead && e.storePrompt {
		sources = append(sources, "at once")
	}
	if e.peerRemembers {
		sources = append(sources, "peer")
	}
	if e.peerComplete {
		sources = append(sources, "complete peer")
	}
	return strings.Join(sources, ", ")
}

// String returns the name that log lines use.
func (k knowledge) String() string { return [...]string{"unknown", "stored only", "complete"}[k] }

// assess returns what the evidence amounts to after the given time since the start. A
// departure was acknowledged when the store had it, or when a peer had it while the
// store was away. The second kind is lost when all processes end before the store is
// back, and nothing in a report tells whether it was sent before.
//
// A node that is not complete believes a ready report of an earlier start when it can't
// be late any more, MaxReportDelay after the node's own start, or when the upstream
// confirms it. While the store shows trouble, that second way is open to reports only
// that arrive confirmedReportDelay after the start. Without trouble, a lost departure
// needs an outage that ended while the node was down.
func (e evidence) assess(elapsed time.Duration) knowledge {
	switch {
	case e.peerComplete, e.peerRemembers && e.storeRead:
		return complete
	case e.storeRead && e.storePrompt && elapsed >= peerSearchTime:
		return storedOnly
	default:
		return unknown
	}
}

// recollection is the progress of a node that reads back departures.
type recollection struct {
	evidence
	began time.Time
	// ownRead is set when this node has read its entry itself.
	ownRead bool
	known   knowledge
	// confirmable is set when OnConfirmable was called, and ended when OnRecalled was.
	confirmable, ended bool
}

// pause returns the mean time until the next round.
func (r *recollection) pause() time.Duration {
	switch {
	case r.ended:
		return storeRetryInterval
	case r.storeRead && time.Since(r.began) >= peerSearchTime:
		return lateRecallInterval
	default:
		return recallInterval
	}
}

// recall reads back the departures of earlier processes of this node, calls
// OnConfirmable and OnRecalled, and goes on until the store was read as well.
func (k *Keeper) recall(ctx context.Context) {
	if k.FirstStart {
		// Nothing has left before, and a read by each node of a new fleet would cost
		// the store as many calls as there are nodes.
		k.OnRecalled(true)
		return
	}
	r := &recollection{began: time.Now(), evidence: evidence{storePrompt: true}}
	for ctx.Err() == nil && !(r.ended && (r.ownRead || time.Since(r.began) > TTL)) {
		if !r.ownRead {
			k.readOwnEntry(ctx, r)
		}
		if !r.ended {
			k.advance(ctx, r)
		}
		ctxtime.Sleep(ctx, jittered(r.pause()))
	}
}

// readOwnEntry reads this node's entry in the store.
func (k *Keeper) readOwnEntry(ctx context.Context, r *recollection) {
	began := time.Now()
	r.ownRead = k.readStore(ctx, k.Self) == nil
	r.storeRead = r.storeRead || r.ownRead
	r.storePrompt = r.storePrompt && r.ownRead && time.Since(began) <= promptReadTime
}

// advance asks peers, and calls OnConfirmable and OnRecalled when their time has come.
func (k *Keeper) advance(ctx context.Context, r *recollection) {
	if r.known == unknown {
		// After that, gossip brings what a later peer holds.
		k.askPeersUntil(ctx, r, r.began.Add(peerSearchTime))
	}
	elapsed, before := time.Since(r.began), r.known
	r.known = r.assess(elapsed)
	r.ended = r.known == complete || elapsed >= MaxReportDelay
	if r.known != before || r.ended {
		slog.Info(logPrefix+"recalled", logs.FieldState, r.known.String(), logs.FieldFrom, r.evidence.String(), logs.FieldTook, elapsed.Milliseconds())
	}
	switch {
	case ctx.Err() != nil:
	case r.ended:
		k.OnRecalled(r.known == complete)
	case r.confirmable:
	case r.known == storedOnly:
		r.confirmable = true
		k.OnConfirmable(k.startedAt)
	case elapsed >= confirmedReportDelay:
		r.confirmable = true
		k.OnConfirmable(time.Now())
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
		k.revisions[node] = max(k.revisions[node], e.Revision)
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

// askPeersUntil asks some peers for the departure beside this node, and adds what they
// reply to the evidence. It stops waiting at the given time if the store was read.
func (k *Keeper) askPeersUntil(ctx context.Context, r *recollection, end time.Time) {
	if r.storeRead && time.Now().Before(end) {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, end)
		defer cancel()
	}
	k.askPeers(ctx, r)
}

// askPeers asks some peers for the departure beside this node.
func (k *Keeper) askPeers(ctx context.Context, r *recollection) {
	query := Query{Node: k.Self, Checksum: k.Set.Checksum(), ReadStore: !r.storeRead}
	replies := callPeers[Reply](ctx, k, MethodRecall, query, peerRecallTimeout)
	var enough <-chan time.Time
	for {
		select {
		case <-enough:
			return
		case reply, more := <-replies:
			if !more {
				return
			}
			if err := k.receive(reply); err != nil {
				klog.Warningf(logPrefix+"%v", err)
				continue
			}
			r.peerRemembers = r.peerRemembers || reply.remembers(time.Since(r.began))
			r.peerComplete = r.peerComplete || reply.Complete
			r.storeRead = r.storeRead || reply.Certain
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
	reply := Reply{Certain: complete, Complete: complete, RunningMillis: time.Since(k.startedAt).Milliseconds()}
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
