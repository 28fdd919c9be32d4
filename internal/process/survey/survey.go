// Package survey asks every host for the configuration in force there, at a
// cost to each node that does not grow with the fleet: one host of each other
// data centre is asked to ask those beside it.
package survey

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/singleflight"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/rpc"
	"github.com/daisytide/daisytide/internal/process/member"
)

// Methods of the questions.
const (
	// MethodNumber asks a host for its own number.
	MethodNumber = "survey-number"
	// MethodCentre asks a host for those of its data centre.
	MethodCentre = "survey-centre"
)

// Limits of one survey.
const (
	// hostTimeout bounds the question to one host, and centreTimeout that to a
	// host which asks its data centre.
	hostTimeout   = time.Second
	centreTimeout = 3 * time.Second
	// atOnce bounds the questions of a node that are open at once.
	atOnce = 32
	// relayTries bounds the hosts of a data centre that are asked to ask.
	relayTries = 3
)

// Number is the answer to MethodNumber.
type Number struct {
	Number uint64 `cbor:"1,keyasint"`
}

// Found is what was heard of one host.
type Found struct {
	Address string `cbor:"1,keyasint"`
	// Number is the configuration in force; 0 where Error is set.
	Number uint64 `cbor:"2,keyasint,omitempty"`
	// Error says why the host could not be asked.
	Error string `cbor:"3,keyasint,omitempty"`
}

// Centre is the answer to MethodCentre.
type Centre struct {
	Found []Found `cbor:"1,keyasint"`
}

// Survey asks from one node.
type Survey struct {
	// Self is this node's record.
	Self func() member.Record
	// Members lists the hosts known.
	Members func() []member.Record
	// Number is the configuration in force here.
	Number func() uint64
	Peers  rpc.Caller

	// flight lets questions share a survey that is under way.
	flight singleflight.Group
}

// All returns what was heard of every host, by address. It asks at most the
// hosts of the own data centre and a few of each other one.
func (s *Survey) All(ctx context.Context) map[string]Found {
	done := s.flight.DoChan("all", func() (any, error) {
		return s.ask(context.WithoutCancel(ctx)), nil
	})
	select {
	case r := <-done:
		return r.Val.(map[string]Found)
	case <-ctx.Done():
		return nil
	}
}

func (s *Survey) ask(ctx context.Context) map[string]Found {
	var mu sync.Mutex
	found := map[string]Found{}
	var g errgroup.Group
	for centre, hosts := range byCentre(s.Members()) {
		g.Go(func() error {
			heard := s.centre(ctx, centre, hosts)
			mu.Lock()
			defer mu.Unlock()
			for _, f := range heard {
				found[f.Address] = f
			}
			return nil
		})
	}
	_ = g.Wait()
	return found
}

func byCentre(members []member.Record) map[string][]member.Record {
	out := map[string][]member.Record{}
	for _, r := range members {
		out[r.DataCentre] = append(out[r.DataCentre], r)
	}
	return out
}

// centre hears of the hosts of one data centre: directly in the own one, else
// through one of them.
func (s *Survey) centre(ctx context.Context, centre string, hosts []member.Record) []Found {
	if centre == s.Self().DataCentre {
		return s.direct(ctx, hosts)
	}
	var err error
	for _, i := range rand.Perm(len(hosts))[:min(len(hosts), relayTries)] {
		var answer Centre
		if answer, err = s.through(ctx, hosts[i].Address); err == nil {
			return complete(hosts, answer.Found)
		}
	}
	out := make([]Found, len(hosts))
	for i, h := range hosts {
		out[i] = Found{Address: h.Address, Error: fmt.Sprintf("no host of %s answers: %v", centre, err)}
	}
	return out
}

func (s *Survey) through(ctx context.Context, address string) (Centre, error) {
	ctx, cancel := context.WithTimeout(ctx, centreTimeout)
	defer cancel()
	var out Centre
	err := s.Peers.Call(ctx, address, MethodCentre, struct{}{}, &out)
	return out, err
}

// complete adds the hosts that the answer lacks: the asked one does not know
// them yet.
func complete(hosts []member.Record, found []Found) []Found {
	heard := make(map[string]bool, len(found))
	for _, f := range found {
		heard[f.Address] = true
	}
	for _, h := range hosts {
		if !heard[h.Address] {
			found = append(found, Found{Address: h.Address, Error: "not known yet to the hosts beside it"})
		}
	}
	return found
}

// direct asks each host itself.
func (s *Survey) direct(ctx context.Context, hosts []member.Record) []Found {
	out := make([]Found, len(hosts))
	var g errgroup.Group
	g.SetLimit(atOnce)
	for i, h := range hosts {
		g.Go(func() error {
			out[i] = s.host(ctx, h.Address)
			return nil
		})
	}
	_ = g.Wait()
	return out
}

func (s *Survey) host(ctx context.Context, address string) Found {
	if address == s.Self().Address {
		return Found{Address: address, Number: s.Number()}
	}
	ctx, cancel := context.WithTimeout(ctx, hostTimeout)
	defer cancel()
	var n Number
	if err := s.Peers.Call(ctx, address, MethodNumber, struct{}{}, &n); err != nil {
		return Found{Address: address, Error: err.Error()}
	}
	return Found{Address: address, Number: n.Number}
}

// HandleNumber answers MethodNumber.
func (s *Survey) HandleNumber(context.Context, struct{}) (Number, error) {
	return Number{Number: s.Number()}, nil
}

// HandleCentre answers MethodCentre.
func (s *Survey) HandleCentre(ctx context.Context, _ struct{}) (Centre, error) {
	own := byCentre(s.Members())[s.Self().DataCentre]
	return Centre{Found: s.direct(ctx, own)}, nil
}

// Hosts lists every member with the configuration in force there.
func (s *Survey) Hosts(ctx context.Context) api.HostsResponse {
	members := s.Members()
	out := api.HostsResponse{Number: s.Number()}
	found := s.All(ctx)
	for _, r := range members {
		f, ok := found[r.Address]
		if !ok {
			f.Error = "not asked yet"
		}
		out.Hosts = append(out.Hosts, api.Host{
			Address: r.Address, Region: r.Region, DataCentre: r.DataCentre, State: r.State.String(),
			Incarnation: r.Incarnation, Service: r.Service, Version: r.Version,
			Upstream: string(r.Upstream), Slots: r.Slots,
			Number: f.Number, Error: f.Error,
		})
	}
	return out
}
