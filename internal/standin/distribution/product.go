package distribution

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/process/node"
	"github.com/daisytide/daisytide/internal/process/operator/client"
	"github.com/daisytide/daisytide/internal/standin/cluster"
)

// Times of the product's fleet.
const (
	gatherLimit = 60 * time.Second
	settleTime  = 5 * time.Second
	// applyRepeats is how often an operator tries another node when one has
	// used up its calls to the store.
	applyRepeats = 5
)

// product is a fleet of whole nodes.
type product struct {
	*cluster.Cluster
	ctx      context.Context
	arrivals *arrivals
}

// startProduct starts nodes and waits until all know each other and links
// beyond the graph are closed.
func startProduct(nodes int) (*product, error) {
	p := &product{ctx: context.Background(), arrivals: newArrivals(nodes)}
	c, err := cluster.Start(p.ctx, cluster.Config{Nodes: nodes, DataCentres: DataCentres, Seed: 1, OnNode: p.watch})
	if err != nil {
		return nil, fmt.Errorf("start the nodes: %w", err)
	}
	p.Cluster = c
	c.Store.OnPut(p.arrivals.put)
	ctx, cancel := context.WithTimeout(p.ctx, gatherLimit)
	defer cancel()
	if err := c.AwaitMembers(ctx); err != nil {
		c.Stop()
		return nil, err
	}
	time.Sleep(settleTime)
	return p, nil
}

// watch notes each configuration that comes into force at a node.
func (p *product) watch(_ int, n *node.Node) {
	var last uint64
	n.OnSwap(func(number uint64) {
		p.arrivals.inForce(last, number)
		last = number
	})
}

func (p *product) bytes() uint64 {
	var total uint64
	for _, h := range p.Hosts {
		total += h.Node.ControlBytes()
	}
	return total
}

func (p *product) messages() uint64 {
	var total uint64
	for _, h := range p.Hosts {
		total += h.Node.ControlMessages()
	}
	return total
}

func (p *product) apply(change int, text []byte) (uint64, error) {
	var last error
	for i := range applyRepeats {
		h := p.Hosts[(change*7+i)%len(p.Hosts)]
		c := client.Client{BaseURL: h.OperatorBase(), Token: cluster.Token, Operator: "measurement", HTTP: http.DefaultClient}
		out, err := c.Apply(p.ctx, text, 0)
		if err == nil && out.Outcome == api.ApplyAccepted {
			return out.Number, nil
		}
		last = errors.Join(err, fmt.Errorf("apply: %s %v", out.Outcome, out.Error))
	}
	return 0, last
}

// churn gives one upstream another number of slots.
func (p *product) churn(i int) {
	h := p.Hosts[(i*13)%len(p.Hosts)]
	_ = h.Node.Announce(api.Announcement{
		Service: fmt.Sprintf("service-%02d", i%services), Version: "v1", Address: "127.0.0.1:9",
		State: api.UpstreamReady, Slots: 10 + i%5, Connections: 100,
	})
}

func (p *product) close() { p.Stop() }

// Product measures the product.
func MeasureProduct(nodes int) (Result, error) {
	p, err := startProduct(nodes)
	if err != nil {
		return Result{}, err
	}
	defer p.close()
	return run(p, p.Store, p.arrivals)
}

// Herd is what the return of half the nodes cost.
type HerdResult struct {
	Nodes int
	// Seconds is the time from the restart until all are in force again.
	Seconds float64
	// PeakAccepts is the most links that one node took in a second.
	PeakAccepts float64
	// PeakStore is the most calls that the store got in a second.
	PeakStoreCalls float64
	// Refused counts links that the nodes refused since each one's start.
	Refused uint64
}

// deadTime is how long the herd is down: its tombstones have begun.
const deadTime = 2 * time.Second

// sampleEvery is the step of the sliding second of the peaks.
const sampleEvery = 100 * time.Millisecond

// MeasureHerd crashes half of the nodes at once and starts them at once.
func MeasureHerd(nodes int) (HerdResult, error) {
	p, err := startProduct(nodes)
	if err != nil {
		return HerdResult{}, err
	}
	defer p.close()
	number, err := p.apply(0, text(0))
	if err != nil {
		return HerdResult{}, err
	}
	if err := p.arrivals.await(number); err != nil {
		return HerdResult{}, err
	}
	p.eachOdd(func(i int) { _ = p.Hosts[i].Crash() })
	time.Sleep(deadTime)
	h := HerdResult{Nodes: nodes}
	done := make(chan struct{})
	var sampler sync.WaitGroup
	sampler.Go(func() { p.sample(&h, done) })
	begin := time.Now()
	var failed error
	var mu sync.Mutex
	p.eachOdd(func(i int) {
		if err := p.Restart(p.ctx, i); err != nil {
			mu.Lock()
			failed = err
			mu.Unlock()
		}
	})
	ctx, cancel := context.WithTimeout(p.ctx, gatherLimit)
	defer cancel()
	err = errors.Join(failed, p.AwaitConfig(ctx, number))
	h.Seconds = time.Since(begin).Seconds()
	err = errors.Join(err, p.AwaitMembers(ctx))
	close(done)
	sampler.Wait()
	h.Refused = p.refused()
	return h, err
}

func (p *product) refused() uint64 {
	var total uint64
	for _, h := range p.Hosts {
		total += h.Node.GossipCounters().Refused
	}
	return total
}

func (p *product) eachOdd(fn func(i int)) {
	var all sync.WaitGroup
	for i := 1; i < len(p.Hosts); i += 2 {
		all.Go(func() { fn(i) })
	}
	all.Wait()
}

// sample keeps the peaks over one second; the even hosts stay up throughout.
func (p *product) sample(h *HerdResult, done chan struct{}) {
	const window = int(time.Second / sampleEvery)
	var calls []uint64
	accepts := map[int][]uint64{}
	for {
		calls = append(calls, p.Store.Counts().Total())
		h.PeakStoreCalls = max(h.PeakStoreCalls, gain(calls, window))
		for i := 0; i < len(p.Hosts); i += 2 {
			accepts[i] = append(accepts[i], p.Hosts[i].Node.GossipCounters().Accepted)
			h.PeakAccepts = max(h.PeakAccepts, gain(accepts[i], window))
		}
		select {
		case <-done:
			return
		case <-time.After(sampleEvery):
		}
	}
}

// gain is the growth over the last window of samples.
func gain(samples []uint64, window int) float64 {
	last := len(samples) - 1
	return float64(samples[last] - samples[max(0, last-window)])
}
