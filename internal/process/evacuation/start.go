package evacuation

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/internal/conn/kvstore"
	"github.com/daisytide/daisytide/internal/conn/rpc"
	"github.com/daisytide/daisytide/internal/ctxtime"
)

// MethodRecall is the RPC method that asks a peer for its set.
const MethodRecall = "evacuation-recall"

// Timeouts of a node that starts.
const (
	// storeReadTimeout and peerTimeout bound one read of the store and one round of
	// calls to peers.
	storeReadTimeout = 500 * time.Millisecond
	peerTimeout      = 500 * time.Millisecond
	// maxPeersAsked is the number of peers that are asked in a round.
	maxPeersAsked = 3
	// maxHold is how long a node keeps its upstream out of use because it reaches
	// neither the store nor a peer that knows the orders. It is the time that an order
	// may take to be in force everywhere.
	maxHold = 5 * time.Second
	// roundInterval is the mean time between two rounds.
	roundInterval = 100 * time.Millisecond
)

// Reply answers a recall.
type Reply struct {
	Orders []Order `cbor:"1,keyasint,omitempty"`
	// Known is set if the node has had time to learn every order for the caller's data
	// centre that was written before the caller started.
	Known bool `cbor:"2,keyasint,omitempty"`
}

// Starter learns, before the upstream beside a node that starts is used, whether its
// data centre is evacuated.
type Starter struct {
	DataCentre string
	// Key is the key of the order for DataCentre.
	Key   string
	Store kvstore.Store
	Set   *Set
	RPC   rpc.Invoker
	// Peers returns the addresses of other nodes, in the order in which to ask them.
	Peers func() []string
	// FirstStart is set if the whole fleet starts for the first time. The nodes then
	// learn the orders before the configuration, from the same list of the store or
	// the same peers, and a read by each would cost a call for each node.
	FirstStart bool
	// OnKnown is called once.
	OnKnown func()

	known   atomic.Bool
	started atomic.Int64
}

// Run asks the store and, if that does not answer, the peers, and calls OnKnown when
// one has answered, or after maxHold. It ends with ctx.
func (s *Starter) Run(ctx context.Context) error {
	began := time.Now()
	s.started.Store(began.UnixNano())
	for !s.FirstStart && ctx.Err() == nil {
		if s.readStore(ctx) || s.askPeers(ctx) {
			s.known.Store(true)
			break
		}
		if time.Since(began) >= maxHold {
			klog.Warningf(logPrefix+"neither the store nor a peer says whether %s is evacuated; the upstream is used", s.DataCentre)
			break
		}
		ctxtime.Sleep(ctx, roundInterval/2+rand.N(roundInterval))
	}
	if ctx.Err() == nil {
		s.OnKnown()
	}
	<-ctx.Done()
	return nil
}

// readStore reads the order for the own data centre.
func (s *Starter) readStore(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	e, err := s.Store.Get(ctx, s.Key)
	if err == nil && e.Revision != 0 {
		err = s.Set.Apply(Order{DataCentre: s.DataCentre, Revision: e.Revision, InForce: true})
	}
	if err != nil {
		klog.V(1).Infof(logPrefix+"read the order for %s: %v", s.DataCentre, err)
	}
	return err == nil
}

// askPeers merges the sets of some peers and reports whether one of them is known.
func (s *Starter) askPeers(ctx context.Context) bool {
	peers := s.Peers()
	peers = peers[:min(len(peers), maxPeersAsked)]
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var known atomic.Bool
	var calls sync.WaitGroup
	for _, address := range peers {
		calls.Go(func() {
			var reply Reply
			if err := s.RPC.Call(ctx, address, MethodRecall, s.DataCentre, &reply); err != nil {
				klog.V(1).Infof(logPrefix+"ask %s: %v", address, err)
				return
			}
			for _, o := range reply.Orders {
				if _, err := s.Set.receive(o); err != nil {
					klog.Warningf(logPrefix+"the reply of %s: %v", address, err)
					return
				}
			}
			if reply.Known {
				known.Store(true)
			}
		})
	}
	calls.Wait()
	return known.Load()
}

// isKnown reports whether the set is complete enough for a peer to rely on.
func (s *Starter) isKnown(now time.Time) bool {
	started := s.started.Load()
	return s.known.Load() || s.Set.hasList() || s.FirstStart && started != 0 && now.Sub(time.Unix(0, started)) > maxHold
}

// HandleRecall answers a node of the given data centre that starts.
func (s *Starter) HandleRecall(_ context.Context, dataCentre string) (Reply, error) {
	known := s.isKnown(time.Now()) && (dataCentre == s.DataCentre || s.Set.hasList())
	return Reply{Orders: s.Set.all(), Known: known}, nil
}
