package departures

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/kvstore"
	"github.com/daisytide/daisytide/internal/conn/wire"
	"github.com/daisytide/daisytide/internal/standin/store"
)

// fleet runs the keepers of several nodes around one store. Published items reach every
// running node at once, but none that is started later: it learns by recall alone.
type fleet struct {
	t     *testing.T
	store *store.Store
	// noGossip drops published items.
	noGossip bool
	// silent makes calls between nodes hang, as to hosts without power.
	silent bool
	// firstStart is whether a process of TestRecallWithoutADepartureIsShort is started
	// as one of a new fleet.
	firstStart bool

	mu    sync.Mutex
	nodes map[string]*node
}

// node returns the running process of a node, or nil.
func (f *fleet) node(address string) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[address]
}

// addresses returns the nodes that run.
func (f *fleet) addresses() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Keys(f.nodes))
}

// node is one process.
type node struct {
	*Keeper
	// recalled is closed by OnRecalled, whose argument complete is, and usable by the
	// first of OnConfirmable and OnRecalled: an upstream that confirms is used from then
	// on, by reports that were received at receivedFrom or later.
	recalled, usable chan struct{}
	complete         bool
	receivedFrom     time.Time
	stop             context.CancelFunc
	done             chan struct{}
	// storeRefused makes every call to the store fail.
	storeRefused bool

	mu sync.Mutex
	// left holds the departures that the process learned of its own upstream.
	left []Departure
}

func (n *node) addLeft(d Departure) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.left = append(n.left, d)
}

func (n *node) learned() []Departure {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.left)
}

func newFleet(t *testing.T) *fleet {
	return &fleet{t: t, store: store.New(1), nodes: map[string]*node{}}
}

var errUnreachable = errors.New("unreachable")

// Call implements rpc.Invoker.
func (f *fleet) Call(ctx context.Context, address, method string, in, out any) error {
	n := f.node(address)
	if n == nil {
		return errUnreachable
	}
	if f.silent {
		<-ctx.Done()
		return ctx.Err()
	}
	switch method {
	case MethodHold:
		held, err := n.HandleHold(ctx, in.(Departure))
		*out.(*bool) = held
		return err
	default:
		reply, err := n.HandleRecall(ctx, in.(Query))
		*out.(*Reply) = reply
		return err
	}
}

// Publish implements Publisher.
func (f *fleet) Publish(_ string, item []byte) {
	if f.noGossip {
		return
	}
	for _, address := range f.addresses() {
		if n := f.node(address); n != nil {
			if _, err := n.Set.Merge(item); err != nil {
				f.t.Error(err)
			}
		}
	}
}

// refusableStore is a node's way to the store.
type refusableStore struct {
	kvstore.Store
	node *node
}

func (s refusableStore) err(op string) error {
	if s.node.storeRefused {
		return &kvstore.Error{Op: op, Outcome: kvstore.OutcomeNotReached, Err: errUnreachable}
	}
	return nil
}

func (s refusableStore) Get(ctx context.Context, key string) (kvstore.Entry, error) {
	if err := s.err("get"); err != nil {
		return kvstore.Entry{}, err
	}
	return s.Store.Get(ctx, key)
}

func (s refusableStore) Grant(ctx context.Context, ttl time.Duration) (kvstore.Lease, error) {
	if err := s.err("grant"); err != nil {
		return kvstore.Lease{}, err
	}
	return s.Store.Grant(ctx, ttl)
}

// start starts a process of a node; refused keeps it from the store.
func (f *fleet) start(address string, firstStart, refused bool) *node {
	n := &node{recalled: make(chan struct{}), usable: make(chan struct{}), done: make(chan struct{}), storeRefused: refused}
	usable := sync.OnceFunc(func() { close(n.usable) })
	set := NewSet(time.Now)
	set.NotifyOwn(address, n.addLeft)
	n.Keeper = &Keeper{
		Self: address, Store: refusableStore{f.store, n}, Set: set, Publisher: f, RPC: f, FirstStart: firstStart,
		Peers: f.addresses, OnConfirmable: func(from time.Time) {
			n.receivedFrom = from
			usable()
		}, OnRecalled: func(complete bool) {
			n.complete = complete
			usable()
			close(n.recalled)
		},
	}
	n.Start()
	f.mu.Lock()
	f.nodes[address] = n
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(f.t.Context())
	n.stop = cancel
	go func() {
		defer close(n.done)
		_ = n.Run(ctx)
	}()
	return n
}

// kill ends processes at once.
func (f *fleet) kill(addresses ...string) {
	for _, address := range addresses {
		n := f.node(address)
		f.mu.Lock()
		delete(f.nodes, address)
		f.mu.Unlock()
		n.stop()
		<-n.done
	}
}

func (n *node) isRecalled() bool {
	synctest.Wait()
	select {
	case <-n.recalled:
		return true
	default:
		return false
	}
}

// A node that acknowledged a departure must know it in its next process, whichever of
// the store and the peers were there in between.
func TestDepartureOutlivesTheProcessThatAcknowledgedIt(t *testing.T) {
	down := store.Faults{Down: true}
	for name, play := range map[string]func(f *fleet) *node{
		"killed": func(f *fleet) *node {
			f.kill("a")
			return f.start("a", false, false)
		},
		"killed before the peers heard": func(f *fleet) *node {
			f.kill("a", "b", "c")
			f.start("b", false, false)
			return f.start("a", false, false)
		},
		"all killed, and the store refuses the node": func(f *fleet) *node {
			f.kill("a", "b", "c")
			f.start("b", false, false)
			return f.start("a", false, true)
		},
		"the store is away after the kill": func(f *fleet) *node {
			f.kill("a")
			f.store.SetFaults(down)
			return f.start("a", false, false)
		},
		"the store is away after the kill of most nodes": func(f *fleet) *node {
			f.kill("a", "b")
			f.store.SetFaults(down)
			f.start("b", false, false)
			time.Sleep(time.Second)
			f.kill("c")
			return f.start("a", false, false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t)
				for _, address := range []string{"a", "b", "c"} {
					f.start(address, true, false)
				}
				d := New("a", "i-1", 5, time.Now())
				if err := f.node("a").Record(t.Context(), d); err != nil {
					t.Fatal(err)
				}
				checkRecalled(t, play(f), d)
				f.stopAll()
			})
		})
	}
}

// With the store away a departure is acknowledged when a peer holds it, and the store
// gets it later.
func TestDepartureIsHeldByAPeerWhileTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.noGossip = true
		for _, address := range []string{"a", "b"} {
			f.start(address, true, false)
		}
		f.store.SetFaults(store.Faults{Down: true})
		d := New("a", "i-1", 5, time.Now())
		began := time.Now()
		if err := f.node("a").Record(t.Context(), d); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(began); took >= time.Second {
			t.Errorf("acknowledged after %v, when the upstream no longer waits", took)
		}
		f.kill("a")
		f.store.SetFaults(store.Faults{})
		checkRecalled(t, f.start("a", false, false), d)

		f.store.SetFaults(store.Faults{Down: true})
		d = New("a", "i-2", 6, time.Now())
		if err := f.node("a").Record(t.Context(), d); err != nil {
			t.Fatal(err)
		}
		f.store.SetFaults(store.Faults{})
		time.Sleep(2 * storeRetryInterval)
		f.kill("a", "b")
		checkRecalled(t, f.start("a", false, false), d)
		f.stopAll()
	})
}

// The nodes of a new fleet read nothing: the calls to the store would grow with it.
func TestFirstStartCostsNoCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		a := f.start("a", true, false)
		<-a.recalled
		time.Sleep(time.Minute)
		if n := f.store.Counts().Total(); n != 0 {
			t.Errorf("%d calls to the store", n)
		}
		f.stopAll()
	})
}

// What nobody else knows is not acknowledged, and is once the store is back.
func TestDepartureThatNobodyHoldsIsNotAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		a := f.start("a", true, false)
		f.store.SetFaults(store.Faults{Down: true})
		d := New("a", "i-1", 5, time.Now())
		if err := a.Record(t.Context(), d); api.CodeOf(err, api.OK) != api.StoreNotReached {
			t.Errorf("with neither store nor peer: %v", err)
		}
		f.store.SetFaults(store.Faults{})
		time.Sleep(2 * storeRetryInterval)
		if err := a.Record(t.Context(), d); err != nil {
			t.Error(err)
		}
		f.stopAll()
	})
}

// A reply of the store that was lost, and another process's entry, do not keep a
// departure from being recorded. A repeated report writes nothing.
func TestDepartureIsRecordedDespiteConflictsAndOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		a := f.start("a", true, false)
		synctest.Wait()
		earlier, err := wire.Marshal(New("a", "i-0", 4, time.Now()))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := f.store.CompareAndSwap(t.Context(), kvstore.PrefixDepartures+"a", 0, earlier, ""); err != nil {
			t.Fatal(err)
		}
		f.store.SetFaults(store.Faults{LostReplies: 1})
		d := New("a", "i-1", 5, time.Now())
		_ = a.Record(t.Context(), d)
		f.store.SetFaults(store.Faults{})
		time.Sleep(2 * storeRetryInterval)
		if err := a.Record(t.Context(), d); err != nil {
			t.Fatal(err)
		}
		e, err := f.store.Get(t.Context(), kvstore.PrefixDepartures+"a")
		if err != nil {
			t.Fatal(err)
		}
		if got, err := decodeEntry(e, "a"); err != nil || got.Instance != "i-1" || e.Lease == "" {
			t.Errorf("the store holds %+v under the lease %q: %v", got, e.Lease, err)
		}
		writes := f.store.Counts()
		for range 3 {
			if err := a.Record(t.Context(), d); err != nil {
				t.Error(err)
			}
		}
		if got := f.store.Counts(); got != writes {
			t.Errorf("repeated reports took calls: %+v after %+v", got, writes)
		}
		f.stopAll()
	})
}

// A node whose upstream never left must not wait: a healthy upstream is missed for as
// long as the recall takes.
func TestRecallWithoutADepartureIsShort(t *testing.T) {
	for name, tc := range map[string]struct {
		play  func(f *fleet)
		limit time.Duration
	}{
		"first start":                 {func(f *fleet) { f.kill("b", "c"); f.store.SetFaults(store.Faults{Down: true}); f.firstStart = true }, 0},
		"peers and store":             {func(*fleet) {}, recallInterval},
		"peers that do not answer":    {func(f *fleet) { f.silent = true }, peerSearchTime + 2*recallInterval},
		"no peers":                    {func(f *fleet) { f.kill("b", "c") }, peerSearchTime + 2*recallInterval},
		"store away, a complete peer": {func(f *fleet) { f.store.SetFaults(store.Faults{Down: true}) }, 2 * recallInterval},
		"store away, only peers that may have missed departures": {func(f *fleet) {
			f.kill("b", "c")
			f.store.SetFaults(store.Faults{Down: true})
			f.start("b", false, false)
		}, confirmedReportDelay + 2*recallInterval},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t)
				for _, address := range []string{"a", "b", "c"} {
					f.start(address, true, false)
				}
				f.kill("a")
				tc.play(f)
				began := time.Now()
				a := f.start("a", f.firstStart, false)
				<-a.usable
				if took := time.Since(began); took > tc.limit {
					t.Errorf("recalled after %v, want at most %v", took, tc.limit)
				}
				if len(a.learned()) != 0 {
					t.Errorf("learned of %+v", a.learned())
				}
				f.stopAll()
			})
		})
	}
}

// An entry of another writer under the node's key says nothing, and is replaced.
func TestOddEntryIsLeftOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, value := range [][]byte{nil, {0xff}, {0xa0}, []byte("text")} {
			f := newFleet(t)
			if _, err := f.store.CompareAndSwap(t.Context(), kvstore.PrefixDepartures+"a", 0, append([]byte{}, value...), ""); err != nil {
				t.Fatal(err)
			}
			a := f.start("a", false, false)
			<-a.recalled
			if err := a.Record(t.Context(), New("a", "i-1", 5, time.Now())); err != nil || len(a.learned()) != 0 {
				t.Errorf("%x: %v, learned of %+v", value, err, a.learned())
			}
			f.stopAll()
		}
	})
}

// checkRecalled checks that a process has learned of a departure before its upstream
// is used.
func checkRecalled(t *testing.T, n *node, d Departure) {
	t.Helper()
	<-n.recalled
	if left := n.learned(); !n.isRecalled() || len(left) == 0 || left[len(left)-1].compare(d) != 0 {
		t.Errorf("recalled %+v, want %+v", left, d)
	}
}

func (f *fleet) stopAll() {
	f.kill(f.addresses()...)
	synctest.Wait()
}
