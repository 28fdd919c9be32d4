package gossip_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/kvstore"
	"github.com/daisytide/daisytide/internal/conn/link"
	"github.com/daisytide/daisytide/internal/process/gossip"
	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/process/provider"
	"github.com/daisytide/daisytide/internal/standin/links"
	"github.com/daisytide/daisytide/internal/standin/quiet"
	"github.com/daisytide/daisytide/internal/standin/store"
	"github.com/daisytide/daisytide/internal/version/document"
	"github.com/daisytide/daisytide/internal/version/snapshot"
)

func TestMain(m *testing.M) {
	quiet.DiscardLogs()
	os.Exit(m.Run())
}

// storeRate is the rate of the settings' default, in calls per second.
const storeRate = 2

// testNode is one process: what stands on one host between two starts.
type testNode struct {
	address  string
	members  *membership.Table
	self     *membership.Self
	holder   *snapshot.Holder
	provider *provider.Provider
	spread   *gossip.Manager
	guard    *kvstore.RateLimitedStore
	cancel   context.CancelFunc
	// floor is the number that the node may not begin below.
	floor uint64
}

// testFleet is a set of nodes around one store, in three regions of one data
// centre each, with the checks that always hold.
type testFleet struct {
	t     *testing.T
	net   *links.Network
	store *store.Store
	nodes map[string]*testNode
	names []string
	runs  sync.WaitGroup

	mu     sync.Mutex
	broken []string
	// hashes gives the envelope hash that was in force under each number.
	hashes map[uint64]document.Hash
	// accepted gives when each number was first in force anywhere.
	accepted map[uint64]time.Time
	starts   uint64
}

func newTestFleet(t *testing.T, seed uint64, n int) *testFleet {
	f := &testFleet{
		t: t, net: links.New(seed), store: store.New(seed), nodes: map[string]*testNode{},
		hashes: map[uint64]document.Hash{}, accepted: map[uint64]time.Time{},
	}
	f.net.SetFaults(links.Faults{Delay: 5 * time.Millisecond})
	for i := range n {
		f.names = append(f.names, fmt.Sprintf("10.0.%d.%d:7946", i%3, i))
	}
	for _, a := range f.names {
		f.start(a)
	}
	return f
}

// pausedStore holds the calls of a paused node.
type pausedStore struct {
	kvstore.Store
	net     *links.Network
	address string
}

func (s pausedStore) await(ctx context.Context) error {
	for !s.net.Connected(s.address, s.address) {
		select {
		case <-ctx.Done():
			return &kvstore.Error{Outcome: kvstore.OutcomeUnknown, Err: ctx.Err()}
		case <-time.After(50 * time.Millisecond):
		}
	}
	return nil
}

func (s pausedStore) CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte, lease string) (kvstore.Entry, error) {
	if err := s.await(ctx); err != nil {
		return kvstore.Entry{}, err
	}
	return s.Store.CompareAndSwap(ctx, key, revision, value, lease)
}

func (s pausedStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]kvstore.Entry, uint64, error) {
	entries, revision, err := s.Store.Watch(ctx, prefix, after, wait)
	if waitErr := s.await(ctx); waitErr != nil {
		return nil, 0, waitErr
	}
	return entries, revision, err
}

// start begins a process at an address; its incarnation need not rise, since
// clocks are not trusted.
func (f *testFleet) start(address string) {
	f.starts++
	n := &testNode{address: address, members: membership.NewTable(), holder: &snapshot.Holder{}, floor: f.floor(address)}
	dc := strings.Split(address, ".")[2]
	n.self = membership.NewSelf(membership.Record{Address: address, Region: "region-" + dc, DataCentre: "dc-" + dc}, n.members, 1)
	n.guard = kvstore.NewRateLimitedStore(pausedStore{Store: f.store, net: f.net, address: address}, storeRate)
	n.provider = &provider.Provider{
		Store: n.guard, Holder: n.holder, RolloutEnded: func(string) bool { return false },
		IsWatcher: func() bool {
			return provider.WatcherRank(n.members.Index().Members, n.self.Record()) < provider.WatchersPerDataCentre
		},
	}
	n.spread = gossip.NewManager(gossip.Config{
		Self: n.self.Record, Members: n.members, Holder: n.holder, ConfigStore: n.provider, RandomSeed: f.starts,
		Dialer:        f.net.Dialer(address),
		SeedAddresses: func() []string { return append([]string(nil), f.names[:3]...) },
		IndirectProbe: func(ctx context.Context, helper, to string) (bool, error) { return f.reach(ctx, address, helper, to) },
	})
	n.provider.Synced = n.spread.Synced
	n.spread.RegisterTopic(membership.Topic{Table: n.members})
	n.self.Publisher = n.spread
	n.holder.OnSwap(n.spread.ConfigChanged)
	f.checkSwaps(n)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	f.net.Listen(address, func(c link.Conn) { n.spread.Accept(c) })
	f.mu.Lock()
	f.nodes[address] = n
	f.mu.Unlock()
	f.runs.Go(func() { _ = n.spread.Run(ctx) })
	f.runs.Go(func() { _ = n.provider.Run(ctx) })
}

var errNoAnswer = errors.New("no answer")

func (f *testFleet) reach(ctx context.Context, from, helper, to string) (bool, error) {
	n := f.node(helper)
	if n == nil || !f.net.Connected(from, helper) {
		<-ctx.Done()
		return false, errNoAnswer
	}
	return n.spread.Probe(to), nil
}

func (f *testFleet) node(address string) *testNode {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[address]
}

// checkSwaps checks each configuration that comes into force at a node.
func (f *testFleet) checkSwaps(n *testNode) {
	last := uint64(0)
	n.holder.OnSwap(func(s *snapshot.Snapshot) {
		f.mu.Lock()
		defer f.mu.Unlock()
		number := s.Number()
		if number <= last {
			f.fail("%s went from %d to %d", n.address, last, number)
		}
		if last == 0 && number < n.floor {
			f.fail("%s began with %d although %d was to be known", n.address, number, n.floor)
		}
		last = number
		if old, ok := f.hashes[number]; ok && old != s.Hash {
			f.fail("configuration %d differs at %s", number, n.address)
		}
		f.hashes[number] = s.Hash
		if f.accepted[number].IsZero() {
			f.accepted[number] = time.Now()
		}
		for _, r := range s.Document.Routes {
			if s.Service(r.Service) == nil {
				f.fail("%s: route %s lacks service %s in %d", n.address, r.Name, r.Service, number)
			}
		}
	})
}

// fail notes a broken rule; the caller holds mu.
func (f *testFleet) fail(format string, args ...any) {
	f.broken = append(f.broken, fmt.Sprintf(format, args...))
}

// knownAfter is how long after its acceptance a number must be known to who
// starts beside a node that has it in force.
const knownAfter = 10 * time.Second

// floor is the highest settled number at the nodes that address reaches.
func (f *testFleet) floor(address string) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	var floor uint64
	for a, n := range f.nodes {
		number := n.holder.Current().Number()
		if a != address && f.net.Connected(address, a) && time.Since(f.accepted[number]) > knownAfter {
			floor = max(floor, number)
		}
	}
	return floor
}

// crash ends a process at once.
func (f *testFleet) crash(address string) {
	f.mu.Lock()
	n := f.nodes[address]
	delete(f.nodes, address)
	f.mu.Unlock()
	if n == nil {
		return
	}
	f.net.Listen(address, nil)
	f.net.Resume(address)
	n.spread.Abort()
	n.cancel()
}

// leave ends a process as a planned stop does.
func (f *testFleet) leave(address string) {
	n := f.node(address)
	n.self.SetState(membership.Leaving)
	n.spread.CloseLinks()
	f.crash(address)
}

func (f *testFleet) end() {
	for _, a := range f.names {
		f.crash(a)
	}
	f.runs.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, b := range f.broken {
		f.t.Error(b)
	}
}

// text is a document whose route names the attempt that wrote it.
func text(attempt int) []byte {
	return fmt.Appendf(nil, `{"services":[{"name":"roster","versions":["v1"],"current":"v1"}],
"routes":[{"name":"attempt-%d","match":{"prefix":"/"},"service":"roster","time_limit":"1s","caller":"buyer"}]}`, attempt)
}

// apply takes a document to the store by one node.
func (f *testFleet) apply(address string, attempt int) api.ApplyResponse {
	n := f.node(address)
	if n == nil {
		return api.ApplyResponse{Outcome: api.ApplyRefused}
	}
	return n.provider.Apply(context.Background(), text(attempt), fmt.Sprint("operator-", attempt), 0)
}

// stored is the number that the store holds.
func (f *testFleet) stored() uint64 {
	e, err := f.store.Get(context.Background(), kvstore.KeyConfig)
	if err != nil || e.Revision == 0 {
		return 0
	}
	a, _, err := document.DecodeEnvelope(e.Value)
	if err != nil {
		return 0
	}
	return a.Number
}

// wantNumber checks that every live node has a number in force.
func (f *testFleet) wantNumber(number uint64, when string) {
	f.t.Helper()
	for _, a := range f.names {
		n := f.node(a)
		if n == nil {
			continue
		}
		if got := n.holder.Current().Number(); got != number {
			f.t.Errorf("%s: %s has %d in force, want %d (source %s, held %d, links %d)",
				when, a, got, number, n.provider.Source(), n.provider.HighestNumber(), n.spread.LinkCount())
		}
	}
}

// wantMembers checks that every live node knows just the live ones.
func (f *testFleet) wantMembers(when string) {
	f.t.Helper()
	for _, a := range f.names {
		n := f.node(a)
		if n == nil {
			continue
		}
		for _, b := range f.names {
			r, ok := n.members.Get(b)
			alive := ok && r.State == membership.Alive
			if alive != (f.node(b) != nil) {
				f.t.Errorf("%s: %s holds %s for %v %d", when, a, b, r.State, r.Incarnation)
			}
		}
	}
}
