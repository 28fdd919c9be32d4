// Package fleetstatus collects the number of the configuration in force on
// every host. The cost per node does not grow with the fleet: a node calls the
// hosts of its own data centre, and one host of each other data centre collects
// there on its behalf.
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

// RPC methods.
const (
	// MethodConfigNumber returns a host's own configuration number.
	MethodConfigNumber = "survey-number"
	// MethodDataCentre returns the status of all hosts in the called host's
	// data centre.
	MethodDataCentre = "survey-centre"
)

// Limits of one collection.
const (
	// hostTimeout bounds the call to one host, and relayTimeout the call to a
	// host that collects in its data centre.
	hostTimeout  = time.Second
	relayTimeout = 3 * time.Second
	// maxConcurrent bounds a node's concurrent calls.
	maxConcurrent = 32
	// relayAttempts bounds the hosts of a remote data centre that are tried.
	relayAttempts = 3
)

// NumberResponse is the response to MethodConfigNumber.
type NumberResponse struct {
	ConfigNumber uint64 `cbor:"1,keyasint"`
}

// HostStatus is the configuration number of one host, or why it is unknown.
type HostStatus struct {
	Address string `cbor:"1,keyasint"`
	// ConfigNumber is the configuration in force; 0 if Error is set.
	ConfigNumber uint64 `cbor:"2,keyasint,omitempty"`
	// Error says why the host could not be queried.
	Error string `cbor:"3,keyasint,omitempty"`
}

// DataCentreResponse is the response to MethodDataCentre.
type DataCentreResponse struct {
	Hosts []HostStatus `cbor:"1,keyasint"`
}

// Collector collects the status of the fleet from one node.
type Collector struct {
	// Self returns this node's record.
	Self func() membership.Record
	// Members returns the known hosts.
	Members func() []membership.Record
	// ConfigNumber returns the number of the configuration in force here.
	ConfigNumber func() uint64
	Peers        rpc.Invoker

	// inFlight lets concurrent callers share one collection.
	inFlight singleflight.Group
}

// Collect returns the status of every host by address, or nil if ctx ends first.
// It calls the hosts of its own data centre and a few hosts of each other one.
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

// queryDataCentre returns the status of the hosts of one data centre. It calls
// them directly in this node's data centre and through a relay elsewhere.
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

// addMissingHosts adds the hosts that are absent from a relay's answer because
// the relay does not know them yet.
func addMissingHosts(hosts []membership.Record, statuses []HostStatus) []HostStatus {
	known := make(map[string]bool, len(statuses))
	for _, status := range statuses {
		known[status.Address] = true
	}
	for _, h := range hosts {
		if !known[h.Address] {
			statuses = append(statuses, HostStatus{Address: h.Address, Error: "not known yet to the host that collects for its data centre"})
		}
	}
	return statuses
}

// queryHosts calls each host directly.
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

// HandleConfigNumber implements MethodConfigNumber.
func (c *Collector) HandleConfigNumber(context.Context, struct{}) (NumberResponse, error) {
	return NumberResponse{ConfigNumber: c.ConfigNumber()}, nil
}

// HandleDataCentre implements MethodDataCentre.
func (c *Collector) HandleDataCentre(ctx context.Context, _ struct{}) (DataCentreResponse, error) {
	own := groupByDataCentre(c.Members())[c.Self().DataCentre]
	return DataCentreResponse{Hosts: c.queryHosts(ctx, own)}, nil
}

// Hosts lists every member with the configuration in force there.
func (c *Collector) Hosts(ctx context.Context) api.HostsResponse {
	members := c.Members()
	out := api.HostsResponse{Number: c.ConfigNumber()}
	statuses := c.Collect(ctx)
	for _, r := range members {
		status, ok := statuses[r.Address]
		if !ok {
			status.Error = "no status collected yet"
		}
		out.Hosts = append(out.Hosts, api.Host{
			Address: r.Address, Region: r.Region, DataCentre: r.DataCentre, State: r.State.String(),
			Incarnation: r.Incarnation, Service: r.Service, Version: r.Version,
			Upstream: string(r.Upstream), Slots: r.Slots,
			Number: status.ConfigNumber, Error: status.Error,
		})
	}
	return out
}
