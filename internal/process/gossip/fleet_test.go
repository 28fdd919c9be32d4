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

// storeRate is the default of the store.rate setting, in calls per second.
const storeRate = 2

// testNode is one process between its start and its end.
type testNode struct {
	address  string
	members  *membership.Table
	self     *membership.Self
	holder   *snapshot.Holder
	provider *provider.Provider
	gossip   *gossip.Manager
	guard    *kvstore.RateLimitedStore
	cancel   context.CancelFunc
	// minNumber is the lowest configuration number that the node may start with.
	minNumber uint64
}

// testFleet is a set of nodes with one store, in three regions of one data
// centre each. It checks invariants while a test runs.
type testFleet struct {
	t         *testing.T
	net       *links.Network
	store     *store.Store
	nodes     map[string]*testNode
	addresses []string
	workers   sync.WaitGroup

	mu         sync.Mutex
	violations []string
	// hashes maps each number to the envelope hash in force under it.
	hashes map[uint64]document.Hash
	// firstInForce maps each number to the time it was first in force on any node.
	firstInForce map[uint64]time.Time
	starts       uint64
}

func newTestFleet(t *testing.T, seed uint64, n int) *testFleet {
	f := &testFleet{
		t: t, net: links.New(seed), store: store.New(seed), nodes: map[string]*testNode{},
		hashes: map[uint64]document.Hash{}, firstInForce: map[uint64]time.Time{},
	}
	f.net.SetFaults(links.Faults{Delay: 5 * time.Millisecond})
	for i := range n {
		f.addresses = append(f.addresses, fmt.Sprintf("10.0.%d.%d:7946", i%3, i))
	}
	for _, a := range f.addresses {
		f.start(a)
	}
	return f
}

// pausedStore blocks the calls of a paused node.
type pausedStore struct {
	kvstore.Store
	net     *links.Network
	address string
}

func (s pausedStore) waitUntilResumed(ctx context.Context) error {
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
	if err := s.waitUntilResumed(ctx); err != nil {
		return kvstore.Entry{}, err
	}
	return s.Store.CompareAndSwap(ctx, key, revision, value, lease)
}

func (s pausedStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]kvstore.Entry, uint64, error) {
	entries, revision, err := s.Store.Watch(ctx, prefix, after, wait)
	if waitErr := s.waitUntilResumed(ctx); waitErr != nil {
		return nil, 0, waitErr
	}
	return entries, revision, err
}

// start starts a process at an address. The incarnation stays the same, as with
// a clock that was set back.
func (f *testFleet) start(address string) {
	f.starts++
	n := &testNode{address: address, members: membership.NewTable(), holder: &snapshot.Holder{}, minNumber: f.minKnownNumber(address)}
	dc := strings.Split(address, ".")[2]
	n.self = membership.NewSelf(membership.Record{Address: address, Region: "region-" + dc, DataCentre: "dc-" + dc}, n.members, 1)
	n.guard = kvstore.NewRateLimitedStore(pausedStore{Store: f.store, net: f.net, address: address}, storeRate)
	n.provider = &provider.Provider{
		Store: n.guard, Holder: n.holder, RolloutEnded: func(string) bool { return false },
		View: func() provider.WatchView {
			return provider.NewWatchView(n.members.Index().Members, n.self.Record(), n.gossip.LinkCount(), provider.WatchersPerDataCentre)
		},
		PublishAccess: n.self.SetStoreAccess,
	}
	n.provider.Start()
	n.members.OnStoreLost = n.provider.StoreLostElsewhere
	n.gossip = gossip.NewManager(gossip.Config{
		Self: n.self.Record, Members: n.members, Holder: n.holder, ConfigStore: n.provider, RandomSeed: f.starts,
		Dialer:        f.net.Dialer(address),
		SeedAddresses: func() []string { return append([]string(nil), f.addresses[:3]...) },
		IndirectProbe: func(ctx context.Context, helper, target string) (bool, error) {
			return f.indirectProbe(ctx, address, helper, target)
		},
	})
	n.provider.Synced = n.gossip.Synced
	n.gossip.RegisterTopic(membership.Topic{Table: n.members})
	n.self.Publisher = n.gossip
	n.holder.OnSwap(n.gossip.ConfigChanged)
	f.checkSwaps(n)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	f.net.Listen(address, func(c link.Conn) { n.gossip.Accept(c) })
	f.mu.Lock()
	f.nodes[address] = n
	f.mu.Unlock()
	f.workers.Go(func() { _ = n.gossip.Run(ctx) })
	f.workers.Go(func() { _ = n.provider.Run(ctx) })
}

var errNoReply = errors.New("no reply")

// indirectProbe asks a helper to probe an address on behalf of from.
func (f *testFleet) indirectProbe(ctx context.Context, from, helper, to string) (bool, error) {
	n := f.node(helper)
	if n == nil || !f.net.Connected(from, helper) {
		<-ctx.Done()
		return false, errNoReply
	}
	return n.gossip.Probe(to), nil
}

func (f *testFleet) node(address string) *testNode {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[address]
}

// checkSwaps checks the invariants for each configuration that comes into force
// on a node.
func (f *testFleet) checkSwaps(n *testNode) {
	last := uint64(0)
	n.holder.OnSwap(func(s *snapshot.Snapshot) {
		f.mu.Lock()
		defer f.mu.Unlock()
		number := s.Number()
		if number <= last {
			f.violationLocked("%s went from configuration %d to %d, want a higher number", n.address, last, number)
		}
		if last == 0 && number < n.minNumber {
			f.violationLocked("%s started with configuration %d, want at least %d", n.address, number, n.minNumber)
		}
		last = number
		if old, ok := f.hashes[number]; ok && old != s.Hash {
			f.violationLocked("configuration %d has another hash at %s", number, n.address)
		}
		f.hashes[number] = s.Hash
		if f.firstInForce[number].IsZero() {
			f.firstInForce[number] = time.Now()
		}
		for _, r := range s.Document.Routes {
			if s.Service(r.Service) == nil {
				f.violationLocked("%s: route %s refers to unknown service %s in configuration %d", n.address, r.Name, r.Service, number)
			}
		}
	})
}

// violationLocked records a violated invariant; the caller holds mu.
func (f *testFleet) violationLocked(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

// visibleAfter is how long after a number first came into force it must be found by
// a starting node that reaches a node with that number in force.
const visibleAfter = 10 * time.Second

// minKnownNumber returns the lowest number that a node starting at address may
// have: the highest one in force on a node that it reaches, of those that first
// came into force more than visibleAfter ago.
func (f *testFleet) minKnownNumber(address string) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	var minimum uint64
	for a, n := range f.nodes {
		number := n.holder.Current().Number()
		if a != address && f.net.Connected(address, a) && time.Since(f.firstInForce[number]) > visibleAfter {
			minimum = max(minimum, number)
		}
	}
	return minimum
}

// crash ends a process without a shutdown.
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
	n.gossip.Abort()
	n.cancel()
}

// leave ends a process with a graceful shutdown.
func (f *testFleet) leave(address string) {
	n := f.node(address)
	n.self.SetState(membership.Leaving)
	n.gossip.CloseLinks()
	f.crash(address)
}

func (f *testFleet) shutdown() {
	for _, a := range f.addresses {
		f.crash(a)
	}
	f.workers.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, violation := range f.violations {
		f.t.Error(violation)
	}
}

// documentText returns a document whose route name identifies the attempt.
func documentText(attempt int) []byte {
	return fmt.Appendf(nil, `{"services":[{"name":"roster","versions":["v1"],"current":"v1"}],
"routes":[{"name":"attempt-%d","match":{"prefix":"/"},"service":"roster","time_limit":"1s","caller":"buyer"}]}`, attempt)
}

// apply submits a document through one node.
func (f *testFleet) apply(address string, attempt int) api.ApplyResponse {
	n := f.node(address)
	if n == nil {
		return api.ApplyResponse{Outcome: api.ApplyRefused}
	}
	return n.provider.Apply(context.Background(), documentText(attempt), fmt.Sprint("operator-", attempt), 0)
}

// storedNumber returns the number of the configuration in the store.
func (f *testFleet) storedNumber() uint64 {
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

// wantNumber checks that every live node has the given number in force.
func (f *testFleet) wantNumber(number uint64, when string) {
	f.t.Helper()
	for _, a := range f.addresses {
		n := f.node(a)
		if n == nil {
			continue
		}
		if got := n.holder.Current().Number(); got != number {
			f.t.Errorf("%s: %s has %d in force, want %d (source %s, held %d, links %d)",
				when, a, got, number, n.provider.Source(), n.provider.HighestNumber(), n.gossip.LinkCount())
		}
	}
}

// wantMembers checks that every live node sees exactly the live nodes as alive.
func (f *testFleet) wantMembers(when string) {
	f.t.Helper()
	for _, a := range f.addresses {
		n := f.node(a)
		if n == nil {
			continue
		}
		for _, b := range f.addresses {
			r, ok := n.members.Get(b)
			alive := ok && r.State == membership.Alive
			if alive != (f.node(b) != nil) {
				f.t.Errorf("%s: %s sees %s as %v with incarnation %d", when, a, b, r.State, r.Incarnation)
			}
		}
	}
}
