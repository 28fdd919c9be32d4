package gossip_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/link"
	"github.com/daisytide/daisytide/internal/process/gossip"
	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/standin/links"
	"github.com/daisytide/daisytide/internal/version/snapshot"
)

const borderDataCentres = 5

// borderFleet is a fleet of managers that counts the messages between data centres.
type borderFleet struct {
	members []*membership.Table
	selves  []*membership.Self
	all     []*gossip.Manager

	mu sync.Mutex
	// outside counts the messages, and outsideBytes the bytes, to other data
	// centres by kind.
	outside, outsideBytes map[string]int
}

func (f *borderFleet) reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outside, f.outsideBytes = map[string]int{}, map[string]int{}
}

func (f *borderFleet) sent(kind string) (messages, bytes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.outside[kind], f.outsideBytes[kind]
}

// noConfigs is a ConfigStore without configurations.
type noConfigs struct{}

func (noConfigs) HighestNumber() uint64    { return 0 }
func (noConfigs) Offer(*snapshot.Snapshot) {}

func (f *borderFleet) start(net *links.Network, i int, addresses []string) {
	dc := fmt.Sprint("dc-", i%borderDataCentres)
	table := membership.NewTable()
	self := membership.NewSelf(membership.Record{Address: addresses[i], Region: "r", DataCentre: dc}, table, 1)
	m := gossip.NewManager(gossip.Config{
		Self: self.Record, Members: table, Holder: &snapshot.Holder{}, ConfigStore: noConfigs{}, RandomSeed: uint64(i + 1),
		Dialer:        net.Dialer(addresses[i]),
		SeedAddresses: func() []string { return []string{addresses[i%borderDataCentres], addresses[(i+7)%len(addresses)]} },
		IndirectProbe: func(context.Context, string, string) (bool, error) { return true, nil },
		OnSent: func(kind, to string, bytes int) {
			if to == dc {
				return
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			f.outside[kind]++
			f.outsideBytes[kind] += bytes
		},
	})
	m.RegisterTopic(membership.Topic{Table: table})
	self.Publisher = m
	net.Listen(addresses[i], func(c link.Conn) { m.Accept(c) })
	f.members, f.selves, f.all = append(f.members, table), append(f.selves, self), append(f.all, m)
	go func() { _ = m.Run(context.Background()) }()
}

// runWithBorderFleet runs a test on n linked nodes in borderDataCentres data centres.
func runWithBorderFleet(t *testing.T, n int, test func(f *borderFleet)) {
	synctest.Test(t, func(t *testing.T) {
		net := links.New(1)
		net.SetFaults(links.Faults{Delay: 2 * time.Millisecond})
		var addresses []string
		for i := range n {
			addresses = append(addresses, fmt.Sprintf("10.%d.%d.%d:7600", i%borderDataCentres, i/200, i%200))
		}
		f := &borderFleet{}
		f.reset()
		for i := range addresses {
			f.start(net, i, addresses)
		}
		time.Sleep(30 * time.Second)
		for i, table := range f.members {
			if got := len(table.Index().Members); got != n {
				t.Errorf("node %d knows %d of %d members", i, got, n)
			}
		}
		test(f)
		for _, m := range f.all {
			m.Abort()
		}
	})
}

// A change of one member must cross each border between data centres a bounded number
// of times, whatever the number of nodes, and reach all nodes well within a second.
func TestChangeCrossesBordersABoundedNumberOfTimes(t *testing.T) {
	sizes := []int{30, 195}
	if testing.Short() {
		sizes = sizes[:1]
	}
	for _, n := range sizes {
		runWithBorderFleet(t, n, func(f *borderFleet) {
			const changes = 10
			f.reset()
			for k := range changes {
				f.selves[k].SetUpstream(api.Announcement{Service: "s", Version: "v1", State: api.UpstreamDraining, Slots: 8})
				time.Sleep(500 * time.Millisecond)
				for i, table := range f.members {
					if r, _ := table.Get(f.selves[k].Record().Address); r.Upstream != api.UpstreamDraining {
						t.Errorf("%d nodes: node %d has not learned of change %d", n, i, k)
					}
				}
			}
			messages, _ := f.sent(membership.TopicName)
			// Four bridge rings over five data centres have 20 links; each carries
			// an item at most both ways.
			if limit := changes * 2 * 4 * borderDataCentres; messages > limit {
				t.Errorf("%d nodes: %d messages between data centres for %d changes, want at most %d", n, messages, changes, limit)
			}
		})
	}
}

// The digests between data centres must not grow with the number of nodes either.
func TestDigestsBetweenDataCentresDoNotGrowWithTheFleet(t *testing.T) {
	if testing.Short() {
		t.Skip("takes the fleet of full size")
	}
	runWithBorderFleet(t, 195, func(f *borderFleet) {
		f.reset()
		const seconds = 10
		time.Sleep(seconds * time.Second)
		digests, _ := f.sent("digest")
		if limit := seconds * 2 * 4 * borderDataCentres * 11 / 10; digests > limit {
			t.Errorf("%d digests between data centres in %d s, want at most %d", digests, seconds, limit)
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		for kind := range f.outside {
			if strings.Contains(kind, "checksums") {
				t.Errorf("%d messages of %s in a calm fleet", f.outside[kind], kind)
			}
		}
	})
}
