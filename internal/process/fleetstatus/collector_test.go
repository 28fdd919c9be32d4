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

// fleet is every host's survey, connected in memory.
type fleet struct {
	members []membership.Record
	surveys map[string]*Collector

	mu    sync.Mutex
	calls map[string]int
	down  map[string]bool
}

func newFleet(centres, each int) *fleet {
	f := &fleet{surveys: map[string]*Collector{}, calls: map[string]int{}, down: map[string]bool{}}
	for i := range centres * each {
		f.members = append(f.members, membership.Record{Address: fmt.Sprint("host-", i), DataCentre: fmt.Sprint("dc-", i%centres)})
	}
	for i, r := range f.members {
		f.surveys[r.Address] = &Collector{
			Self:         func() membership.Record { return r },
			Members:      func() []membership.Record { return f.members },
			ConfigNumber: func() uint64 { return uint64(100 + i) },
			Peers:        wire{f, r.Address},
		}
	}
	return f
}

// wire carries the questions of one host and counts them.
type wire struct {
	fleet *fleet
	from  string
}

func (w wire) Call(ctx context.Context, address, method string, _, out any) error {
	w.fleet.mu.Lock()
	w.fleet.calls[w.from]++
	down := w.fleet.down[address]
	w.fleet.mu.Unlock()
	if down {
		return errors.New("not reached")
	}
	time.Sleep(time.Millisecond)
	var err error
	switch out := out.(type) {
	case *NumberResponse:
		*out, err = w.fleet.surveys[address].HandleConfigNumber(ctx, struct{}{})
	case *DataCentreResponse:
		*out, err = w.fleet.surveys[address].HandleDataCentre(ctx, struct{}{})
	default:
		err = fmt.Errorf("no method %s", method)
	}
	return err
}

func TestSurveyOfAThousandHostsCostsNoNodeMoreThanItsDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const centres, each = 9, 111
		f := newFleet(centres, each)
		found := f.surveys["host-0"].Collect(context.Background())
		for i, r := range f.members {
			if got := found[r.Address]; got.ConfigNumber != uint64(100+i) || got.Error != "" {
				t.Fatalf("%s: %+v", r.Address, got)
			}
		}
		if len(f.calls) != centres {
			t.Errorf("%d nodes asked, want %d", len(f.calls), centres)
		}
		for from, n := range f.calls {
			if n > each-1+centres-1 {
				t.Errorf("%s asked %d times", from, n)
			}
		}
	})
}

func TestQuestionsAtOnceShareASurveyAndLaterOnesAskAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, 4)
		s := f.surveys["host-0"]
		var wg sync.WaitGroup
		for range 20 {
			wg.Go(func() { s.Collect(context.Background()) })
		}
		wg.Wait()
		once := f.calls["host-0"]
		s.Collect(context.Background())
		if once != 3+2 || f.calls["host-0"] != 2*once {
			t.Errorf("%d calls, then %d", once, f.calls["host-0"])
		}
	})
}

func TestHostsThatDoNotAnswerAreNamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, 4)
		// One host of dc-1, one of the own, and all of dc-2.
		for _, a := range []string{"host-1", "host-3", "host-2", "host-5", "host-8", "host-11"} {
			f.down[a] = true
		}
		found := f.surveys["host-0"].Collect(context.Background())
		for _, r := range f.members {
			if got := found[r.Address]; (got.Error != "") != f.down[r.Address] {
				t.Errorf("%s: %+v", r.Address, got)
			}
		}
	})
}
