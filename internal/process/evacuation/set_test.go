package evacuation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/wire"
)

// Guards against nodes that end with different sets because items arrived in another
// order or twice.
func TestMergeIsCommutativeAndIdempotent(t *testing.T) {
	orders := []Order{
		{"a", 3, true}, {"a", 5, false}, {"a", 5, true}, {"a", 4, true},
		{"b", 2, false}, {"b", 7, true}, {"c", 6, true}, {"c", 9, false},
	}
	want := uint64(0)
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		s := &Set{}
		for _, i := range append(rng.Perm(len(orders)), rng.Perm(len(orders))...) {
			if _, err := s.receive(orders[i]); err != nil {
				t.Fatal(err)
			}
		}
		if seed == 0 {
			want = s.Checksum()
		}
		if got := s.View().Names(); !slices.Equal(got, []string{"b"}) || s.Checksum() != want || len(s.Items()) != 3 {
			t.Fatalf("seed %d: %v evacuated, %+v", seed, got, s.all())
		}
	}
}

// Guards against an order that is ended by a list that began before it was written, and
// against one that a list of the store has shown to be over but that a peer, which does
// not know this yet, brings back.
func TestListEndsOnlyOrdersUpToItsRevision(t *testing.T) {
	var published []Order
	s := &Set{Publish: func(item []byte) {
		var o Order
		if err := wire.Unmarshal(item, &o); err != nil {
			t.Error(err)
		}
		published = append(published, o)
	}}
	for _, o := range []Order{{"a", 3, true}, {"b", 4, true}, {"c", 12, true}} {
		if _, err := s.receive(o); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.ApplyList([]Order{{"b", 4, true}, {"d", 11, true}}, 10); err != nil {
		t.Fatal(err)
	}
	if got := s.View().Names(); !slices.Equal(got, []string{"b", "c", "d"}) {
		t.Errorf("%v evacuated after the list", got)
	}
	for _, o := range []Order{{"a", 3, true}, {"e", 8, true}} {
		if changed, err := s.receive(o); changed || err != nil {
			t.Errorf("%+v is forwarded: %v", o, err)
		}
	}
	if s.View().Contains("a") || s.View().Contains("e") {
		t.Error("an order that is over is in force")
	}
	if !slices.Contains(published, Order{"a", 10, false}) || !slices.Contains(published, Order{"e", 10, false}) {
		t.Errorf("published %+v", published)
	}
	if _, err := s.receive(Order{"a", 11, true}); err != nil || !s.View().Contains("a") {
		t.Errorf("a later order is not in force: %v", err)
	}
}

// Guards against a set that grows without bound by orders that are over, and against the
// loss of an order in force because of them.
func TestOrdersThatAreOverAreBounded(t *testing.T) {
	s := &Set{}
	if err := s.Apply(Order{"kept", 1, true}); err != nil {
		t.Fatal(err)
	}
	for i := range 2 * maxRemoved {
		name := fmt.Sprint(i)
		for n, inForce := range []bool{true, false} {
			if err := s.Apply(Order{name, uint64(2 + 2*i + n), inForce}); err != nil {
				t.Fatal(err)
			}
		}
	}
	if n := len(s.all()); n != maxRemoved+1 || !slices.Equal(s.View().Names(), []string{"kept"}) {
		t.Errorf("%d orders, %v in force", n, s.View().Names())
	}
}

func TestInvalidItemsAreRejected(t *testing.T) {
	s := &Set{}
	for _, o := range []Order{{"", 1, true}, {strings.Repeat("x", 300), 1, true}, {"a", 0, true}, {"a", 1 << 63, true}, {"\xff", 1, true}} {
		item, err := wire.Marshal(o)
		if err != nil {
			continue
		}
		if _, err := s.Merge(item); err == nil {
			t.Errorf("%+v is merged", o)
		}
		if err := s.Apply(o); api.CodeOf(err, 0) != api.PeerFrame {
			t.Errorf("%+v from the store: %v", o, err)
		}
	}
	if s.View() != nil {
		t.Errorf("%v evacuated", s.View().Names())
	}
}

// Guards against work on the request path while nothing is evacuated.
func TestViewDoesNotAllocate(t *testing.T) {
	s := &Set{}
	if n := testing.AllocsPerRun(100, func() { _ = s.View().Contains("a") }); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

// modelStore is a store with the keys of some data centres and their history.
type modelStore struct {
	revision uint64
	keys     map[string]uint64
	history  []Order
}

func (m *modelStore) set(dataCentre string, inForce bool) {
	if _, exists := m.keys[dataCentre]; !exists && !inForce {
		return
	}
	m.revision++
	if inForce {
		m.keys[dataCentre] = m.revision
	} else {
		delete(m.keys, dataCentre)
	}
	m.history = append(m.history, Order{dataCentre, m.revision, inForce})
}

// page returns the orders of one page of a list.
func (m *modelStore) page(dataCentres []string) []Order {
	var out []Order
	for _, d := range dataCentres {
		if revision, ok := m.keys[d]; ok {
			out = append(out, Order{d, revision, true})
		}
	}
	return out
}

// modelNode is a node of the walk. Items for it wait in inbox.
type modelNode struct {
	set   *Set
	inbox [][]byte
	// watched is the revision up to which a watcher has read; 0 before its list.
	watched uint64
	// listed are the first page and the revision of a list in progress.
	listing  bool
	listed   []Order
	listedAt uint64
}

// Walks a fleet, of which some nodes reach the store, through orders for several data
// centres while gossip items are lost, late, doubled and crossing, lists are read page
// by page amid writes, watches lose history and nodes restart. At no step may a node
// hold an order that is not the store's for a revision that it has read, or forget a
// later one. After a repair all must have the store's set.
func TestSetsFollowTheStoreThroughFaultyGossip(t *testing.T) {
	dataCentres := []string{"a", "b", "c", "d"}
	for seed := range uint64(1500) {
		rng := rand.New(rand.NewPCG(seed, 7))
		store := &modelStore{revision: 1, keys: map[string]uint64{}}
		nodes := make([]*modelNode, 5)
		const watchers = 2
		start := func(i int) {
			n := &modelNode{set: &Set{}}
			n.set.Publish = func(item []byte) {
				for _, peer := range nodes {
					if peer != nil && peer != n && rng.IntN(3) > 0 {
						for range 1 + rng.IntN(2) {
							peer.inbox = append(peer.inbox, item)
						}
					}
				}
			}
			nodes[i] = n
		}
		for i := range nodes {
			start(i)
		}
		for step := range 120 {
			i := rng.IntN(len(nodes))
			n := nodes[i]
			before := n.set.all()
			switch action := rng.IntN(12); {
			case action < 2:
				store.set(dataCentres[rng.IntN(len(dataCentres))], rng.IntN(2) == 0)
			case action < 6 && len(n.inbox) > 0:
				k := rng.IntN(len(n.inbox))
				item := n.inbox[k]
				if rng.IntN(4) > 0 {
					n.inbox = slices.Delete(n.inbox, k, k+1)
				}
				changed, err := n.set.Merge(item)
				if err != nil {
					t.Fatal(err)
				}
				if changed {
					n.set.Publish(item)
				}
			case action < 9 && i < watchers:
				n.followStep(rng, store, dataCentres)
			case action == 11 && rng.IntN(6) == 0:
				start(i)
				before = nil
			}
			for _, old := range before {
				if now := nodes[i].set.orders[old.DataCentre]; old.supersedes(now) {
					t.Fatalf("seed %d, step %d: went from %+v to %+v", seed, step, old, now)
				}
			}
			for _, o := range nodes[i].set.all() {
				if o.InForce && !slices.Contains(store.history, o) {
					t.Fatalf("seed %d, step %d: %+v was never written", seed, step, o)
				}
			}
		}
		repair(t, seed, rng, store, nodes, watchers, dataCentres)
	}
}

// followStep makes one call of a watcher to the store.
func (n *modelNode) followStep(rng *rand.Rand, store *modelStore, dataCentres []string) {
	half := len(dataCentres) / 2
	switch {
	case n.listing:
		n.listing = false
		_ = n.set.ApplyList(append(n.listed, store.page(dataCentres[half:])...), n.listedAt)
		n.watched = n.listedAt
	case n.watched == 0 || rng.IntN(6) == 0:
		n.listing, n.listedAt, n.listed = true, store.revision, store.page(dataCentres[:half])
	default:
		for _, o := range store.history {
			if o.Revision > n.watched {
				_ = n.set.Apply(o)
			}
		}
		n.watched = store.revision
	}
}

// repair lets the watchers read the store and the nodes exchange their items until
// nothing changes, and compares all sets with the store.
func repair(t *testing.T, seed uint64, rng *rand.Rand, store *modelStore, nodes []*modelNode, watchers int, dataCentres []string) {
	t.Helper()
	for _, n := range nodes[:watchers] {
		n.watched, n.listing = 0, false
		for range 2 {
			n.followStep(rng, store, dataCentres)
		}
	}
	for changed := true; changed; {
		changed = false
		for _, from := range nodes {
			for _, to := range nodes {
				for _, item := range from.set.Items() {
					sum := to.set.Checksum()
					if _, err := to.set.Merge(item); err != nil {
						t.Fatal(err)
					}
					changed = changed || to.set.Checksum() != sum
				}
			}
		}
	}
	for i, n := range nodes {
		got := n.set.View()
		for _, d := range dataCentres {
			if _, want := store.keys[d]; got.Contains(d) != want {
				t.Fatalf("seed %d: node %d has %v evacuated, the store has %v", seed, i, got.Names(), store.keys)
			}
		}
		if n.set.Checksum() != nodes[0].set.Checksum() {
			t.Fatalf("seed %d: node %d holds %+v, node 0 %+v", seed, i, n.set.all(), nodes[0].set.all())
		}
	}
}
