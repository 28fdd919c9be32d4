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
	hostTimeout  = time.Second
	relayTimeout = 3 * time.Second
	// atOnce bounds the questions of a node that are open at once.
	maxConcurrent = 32
	// relayTries bounds the hosts of a data centre that are asked to ask.
	relayAttempts = 3
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
	Peers        rpc.Caller

	// flight lets questions share a survey that is under way.
	inFlight singleflight.Group
}

// Collect returns what was heard of every host, by address. It asks at most the
// hosts of the own data centre and a few of each other one.
func (c *Collector) Collect(ctx context.Context) map[string]HostStatus {
	done := c.inFlight.DoChan("all", func() (any, error) {
		return c.collect(context.WithoutCancel(ctx)), nil
	})
	select {
	case r := <-done:
		return r.Val.(map[string]HostStatus)
	case <-ctx.Done():
		return nil
	}
}

func (c *Collector) collect(ctx context.Context) map[string]HostStatus {
	var mu sync.Mutex
	statuses := map[string]HostStatus{}
	var g errgroup.Group
	for dataCentre, hosts := range groupByDataCentre(c.Members()) {
		g.Go(func() error {
			results := c.queryDataCentre(ctx, dataCentre, hosts)
			mu.Lock()
			defer mu.Unlock()
			for _, status := range results {
				statuses[status.Address] = status
			}
			return nil
		})
	}
	_ = g.Wait()
	return statuses
}

func groupByDataCentre(members []membership.Record) map[string][]membership.Record {
	out := map[string][]membership.Record{}
	for _, r := range members {
		out[r.DataCentre] = append(out[r.DataCentre], r)
	}
	return out
}

// centre hears of the hosts of one data centre: directly in the own one, else
// through one of them.
func (c *Collector) queryDataCentre(ctx context.Context, dataCentre string, hosts []membership.Record) []HostStatus {
	if dataCentre == c.Self().DataCentre {
		return c.queryHosts(ctx, hosts)
	}
	var err error
	for _, i := range rand.Perm(len(hosts))[:min(len(hosts), relayAttempts)] {
		var response DataCentreResponse
		if response, err = c.queryRelay(ctx, hosts[i].Address); err == nil {
			return addMissingHosts(hosts, response.Hosts)
		}
	}
	out := make([]HostStatus, len(hosts))
	for i, h := range hosts {
		out[i] = HostStatus{Address: h.Address, Error: fmt.Sprintf("no host of %s answers: %v", dataCentre, err)}
	}
	return out
}

func (c *Collector) queryRelay(ctx context.Context, address string) (DataCentreResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	var out DataCentreResponse
	err := c.Peers.Call(ctx, address, MethodDataCentre, struct{}{}, &out)
	return out, err
}

// complete adds the hosts that the answer lacks: the asked one does not know
// them yet.
func addMissingHosts(hosts []membership.Record, statuses []HostStatus) []HostStatus {
	known := make(map[string]bool, len(statuses))
	for _, status := range statuses {
		known[status.Address] = true
	}
	for _, h := range hosts {
		if !known[h.Address] {
			statuses = append(statuses, HostStatus{Address: h.Address, Error: "not known yet to the hosts beside it"})
		}
	}
	return statuses
}

// direct asks each host itself.
func (c *Collector) queryHosts(ctx context.Context, hosts []membership.Record) []HostStatus {
	out := make([]HostStatus, len(hosts))
	var g errgroup.Group
	g.SetLimit(maxConcurrent)
	for i, h := range hosts {
		g.Go(func() error {
			out[i] = c.queryHost(ctx, h.Address)
			return nil
		})
	}
	_ = g.Wait()
	return out
}

func (c *Collector) queryHost(ctx context.Context, address string) HostStatus {
	if address == c.Self().Address {
		return HostStatus{Address: address, ConfigNumber: c.ConfigNumber()}
	}
	ctx, cancel := context.WithTimeout(ctx, hostTimeout)
	defer cancel()
	var n NumberResponse
	if err := c.Peers.Call(ctx, address, MethodConfigNumber, struct{}{}, &n); err != nil {
		return HostStatus{Address: address, Error: err.Error()}
	}
	return HostStatus{Address: address, ConfigNumber: n.ConfigNumber}
}

// HandleConfigNumber answers MethodConfigNumber.
func (c *Collector) HandleConfigNumber(context.Context, struct{}) (NumberResponse, error) {
	return NumberResponse{ConfigNumber: c.ConfigNumber()}, nil
}

// HandleDataCentre answers MethodDataCentre.
func (c *Collector) HandleDataCentre(ctx context.Context, _ struct{}) (DataCentreResponse, error) {
	own := groupByDataCentre(c.Members())[c.Self().DataCentre]
	return DataCentreResponse{Hosts: c.queryHosts(ctx, own)}, nil
}

// Hosts lists every member with the configuration in force there.
func (c *Collector) Hosts(ctx context.Context) api.HostsResponse {
	members := c.Members()
	out := api.HostsResponse{Number: c.ConfigNumber()}
	found := c.Collect(ctx)
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
