// Package fleetstatus asks every host for the configuration in force there, at a
// cost to each node that does not grow with the fleet: one host of each other
// data centre is asked to ask those beside it.
package fleetstatus

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
	"github.com/daisytide/daisytide/internal/process/membership"
)

// Methods of the questions.
const (
	// MethodConfigNumber asks a host for its own number.
	MethodConfigNumber = "survey-number"
	// MethodDataCentre asks a host for those of its data centre.
	MethodDataCentre = "survey-centre"
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

// NumberResponse is the answer to MethodConfigNumber.
type NumberResponse struct {
	ConfigNumber uint64 `cbor:"1,keyasint"`
}

// HostStatus is what was heard of one host.
type HostStatus struct {
	Address string `cbor:"1,keyasint"`
	// ConfigNumber is the configuration in force; 0 where Error is set.
	ConfigNumber uint64 `cbor:"2,keyasint,omitempty"`
	// Error says why the host could not be asked.
	Error string `cbor:"3,keyasint,omitempty"`
}

// DataCentreResponse is the answer to MethodDataCentre.
type DataCentreResponse struct {
	Hosts []HostStatus `cbor:"1,keyasint"`
}

// Collector asks from one node.
type Collector struct {
	// Self is this node's record.
	Self func() membership.Record
	// Members lists the hosts known.
	Members func() []membership.Record
	// ConfigNumber is the configuration in force here.
	ConfigNumber func() uint64
	Peers        rpc.Invoker

	// flight lets questions share a survey that is under way.
	flight singleflight.Group
}

// Collect returns what was heard of every host, by address. It asks at most the
// hosts of the own data centre and a few of each other one.
func (s *Collector) Collect(ctx context.Context) map[string]HostStatus {
	done := s.flight.DoChan("all", func() (any, error) {
		return s.ask(context.WithoutCancel(ctx)), nil
	})
	select {
	case r := <-done:
		return r.Val.(map[string]HostStatus)
	case <-ctx.Done():
		return nil
	}
}

func (s *Collector) ask(ctx context.Context) map[string]HostStatus {
	var mu sync.Mutex
	found := map[string]HostStatus{}
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

func byCentre(members []membership.Record) map[string][]membership.Record {
	out := map[string][]membership.Record{}
	for _, r := range members {
		out[r.DataCentre] = append(out[r.DataCentre], r)
	}
	return out
}

// centre hears of the hosts of one data centre: directly in the own one, else
// through one of them.
func (s *Collector) centre(ctx context.Context, centre string, hosts []membership.Record) []HostStatus {
	if centre == s.Self().DataCentre {
		return s.direct(ctx, hosts)
	}
	var err error
	for _, i := range rand.Perm(len(hosts))[:min(len(hosts), relayTries)] {
		var answer DataCentreResponse
		if answer, err = s.through(ctx, hosts[i].Address); err == nil {
			return complete(hosts, answer.Hosts)
		}
	}
	out := make([]HostStatus, len(hosts))
	for i, h := range hosts {
		out[i] = HostStatus{Address: h.Address, Error: fmt.Sprintf("no host of %s answers: %v", centre, err)}
	}
	return out
}

func (s *Collector) through(ctx context.Context, address string) (DataCentreResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, centreTimeout)
	defer cancel()
	var out DataCentreResponse
	err := s.Peers.Call(ctx, address, MethodDataCentre, struct{}{}, &out)
	return out, err
}

// complete adds the hosts that the answer lacks: the asked one does not know
// them yet.
func complete(hosts []membership.Record, found []HostStatus) []HostStatus {
	heard := make(map[string]bool, len(found))
	for _, f := range found {
		heard[f.Address] = true
	}
	for _, h := range hosts {
		if !heard[h.Address] {
			found = append(found, HostStatus{Address: h.Address, Error: "not known yet to the hosts beside it"})
		}
	}
	return found
}

// direct asks each host itself.
func (s *Collector) direct(ctx context.Context, hosts []membership.Record) []HostStatus {
	out := make([]HostStatus, len(hosts))
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

func (s *Collector) host(ctx context.Context, address string) HostStatus {
	if address == s.Self().Address {
		return HostStatus{Address: address, ConfigNumber: s.ConfigNumber()}
	}
	ctx, cancel := context.WithTimeout(ctx, hostTimeout)
	defer cancel()
	var n NumberResponse
	if err := s.Peers.Call(ctx, address, MethodConfigNumber, struct{}{}, &n); err != nil {
		return HostStatus{Address: address, Error: err.Error()}
	}
	return HostStatus{Address: address, ConfigNumber: n.ConfigNumber}
}

// HandleConfigNumber answers MethodConfigNumber.
func (s *Collector) HandleConfigNumber(context.Context, struct{}) (NumberResponse, error) {
	return NumberResponse{ConfigNumber: s.ConfigNumber()}, nil
}

// HandleDataCentre answers MethodDataCentre.
func (s *Collector) HandleDataCentre(ctx context.Context, _ struct{}) (DataCentreResponse, error) {
	own := byCentre(s.Members())[s.Self().DataCentre]
	return DataCentreResponse{Hosts: s.direct(ctx, own)}, nil
}

// Hosts lists every member with the configuration in force there.
func (s *Collector) Hosts(ctx context.Context) api.HostsResponse {
	members := s.Members()
	out := api.HostsResponse{Number: s.ConfigNumber()}
	found := s.Collect(ctx)
	for _, r := range members {
		f, ok := found[r.Address]
		if !ok {
			f.Error = "not asked yet"
		}
		out.Hosts = append(out.Hosts, api.Host{
			Address: r.Address, Region: r.Region, DataCentre: r.DataCentre, State: r.State.String(),
			Incarnation: r.Incarnation, Service: r.Service, Version: r.Version,
			Upstream: string(r.Upstream), Slots: r.Slots,
			Number: f.ConfigNumber, Error: f.Error,
		})
	}
	return out
}
