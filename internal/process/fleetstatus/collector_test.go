package fleetstatus

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisytide/daisytide/internal/process/membership"
)

// fleet connects the collectors of all hosts in memory.
type fleet struct {
	members    []membership.Record
	collectors map[string]*Collector

	mu    sync.Mutex
	calls map[string]int
	down  map[string]bool
}

func newFleet(dataCentres, hostsEach int) *fleet {
	f := &fleet{collectors: map[string]*Collector{}, calls: map[string]int{}, down: map[string]bool{}}
	for i := range dataCentres * hostsEach {
		f.members = append(f.members, membership.Record{Address: fmt.Sprint("host-", i), DataCentre: fmt.Sprint("dc-", i%dataCentres)})
	}
	for i, r := range f.members {
		f.collectors[r.Address] = &Collector{
			Self:         func() membership.Record { return r },
			Members:      func() []membership.Record { return f.members },
			ConfigNumber: func() uint64 { return uint64(100 + i) },
			Peers:        countingCaller{f, r.Address},
		}
	}
	return f
}

// countingCaller makes the calls of one host and counts them.
type countingCaller struct {
	fleet *fleet
	from  string
}

func (c countingCaller) Call(ctx context.Context, address, method string, _, out any) error {
	c.fleet.mu.Lock()
	c.fleet.calls[c.from]++
	down := c.fleet.down[address]
	c.fleet.mu.Unlock()
	if down {
		return errors.New("host is down")
	}
	time.Sleep(time.Millisecond)
	var err error
	switch out := out.(type) {
	case *NumberResponse:
		*out, err = c.fleet.collectors[address].HandleConfigNumber(ctx, struct{}{})
	case *DataCentreResponse:
		*out, err = c.fleet.collectors[address].HandleDataCentre(ctx, struct{}{})
	default:
		err = fmt.Errorf("no method %s", method)
	}
	return err
}

func TestCollectCallsPerNodeAreBoundedByDataCentreSize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const dataCentres, hostsEach = 9, 111
		f := newFleet(dataCentres, hostsEach)
		statuses := f.collectors["host-0"].Collect(context.Background())
		for i, r := range f.members {
			if got := statuses[r.Address]; got.ConfigNumber != uint64(100+i) || got.Error != "" {
				t.Fatalf("%s: %+v", r.Address, got)
			}
		}
		if len(f.calls) != dataCentres {
			t.Errorf("%d nodes made calls, want %d", len(f.calls), dataCentres)
		}
		for from, n := range f.calls {
			if n > hostsEach-1+dataCentres-1 {
				t.Errorf("%s made %d calls", from, n)
			}
		}
	})
}

func TestConcurrentCallersShareOneCollection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, 4)
		c := f.collectors["host-0"]
		var wg sync.WaitGroup
		for range 20 {
			wg.Go(func() { c.Collect(context.Background()) })
		}
		wg.Wait()
		concurrent := f.calls["host-0"]
		c.Collect(context.Background())
		if concurrent != 3+2 || f.calls["host-0"] != 2*concurrent {
			t.Errorf("%d calls by concurrent callers, then %d in total", concurrent, f.calls["host-0"])
		}
	})
}

func TestUnreachableHostsAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, 4)
		// One host of dc-1, one of the caller's data centre, and all of dc-2.
		for _, a := range []string{"host-1", "host-3", "host-2", "host-5", "host-8", "host-11"} {
			f.down[a] = true
		}
		statuses := f.collectors["host-0"].Collect(context.Background())
		for _, r := range f.members {
			if got := statuses[r.Address]; (got.Error != "") != f.down[r.Address] {
				t.Errorf("%s: %+v", r.Address, got)
			}
		}
	})
}
