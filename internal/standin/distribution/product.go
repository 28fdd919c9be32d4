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

const (
	membershipTimeout = 60 * time.Second
	settleTime        = 5 * time.Second
	// applyAttempts is how many nodes an operator tries, since a node may have
	// reached the rate limit of its store calls.
	applyAttempts = 5
)

// product is a fleet of complete nodes, the system under test.
type product struct {
	*cluster.Cluster
	ctx         context.Context
	convergence *convergence
}

// startProduct starts nodes and waits until all know each other and links that
// are not in the final topology are closed.
func startProduct(nodes int) (*product, error) {
	p := &product{ctx: context.Background(), convergence: newConvergence(nodes)}
	c, err := cluster.Start(p.ctx, cluster.Config{Nodes: nodes, DataCentres: DataCentres, Seed: 1, OnNode: p.trackSwaps})
	if err != nil {
		return nil, fmt.Errorf("start the nodes: %w", err)
	}
	p.Cluster = c
	c.Store.OnPut(p.convergence.recordPut)
	ctx, cancel := context.WithTimeout(p.ctx, membershipTimeout)
	defer cancel()
	if err := c.AwaitMembers(ctx); err != nil {
		c.Stop()
		return nil, err
	}
	time.Sleep(settleTime)
	return p, nil
}

// trackSwaps records each configuration that comes into force on a node.
func (p *product) trackSwaps(_ int, n *node.Node) {
	var last uint64
	n.OnSwap(func(number uint64) {
		p.convergence.recordSwap(last, number)
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
	var lastErr error
	for i := range applyAttempts {
		h := p.Hosts[(change*7+i)%len(p.Hosts)]
		c := client.Client{BaseURL: h.OperatorBase(), Token: cluster.Token, Operator: "measurement", HTTP: http.DefaultClient}
		out, err := c.Apply(p.ctx, text, 0)
		if err == nil && out.Outcome == api.ApplyAccepted {
			return out.Number, nil
		}
		lastErr = errors.Join(err, fmt.Errorf("apply: %s %v", out.Outcome, out.Error))
	}
	return 0, lastErr
}

// churn announces an upstream with another number of slots.
func (p *product) churn(i int) {
	h := p.Hosts[(i*13)%len(p.Hosts)]
	_ = h.Node.Announce(api.Announcement{
		Service: fmt.Sprintf("service-%02d", i%services), Version: "v1", Address: "127.0.0.1:9",
		State: api.UpstreamReady, Slots: 10 + i%5, Connections: 100,
	})
}

func (p *product) close() { p.Stop() }

// MeasureProduct measures a fleet of complete nodes.
func MeasureProduct(nodes int) (Result, error) {
	p, err := startProduct(nodes)
	if err != nil {
		return Result{}, err
	}
	defer p.close()
	return run(p, p.Store, p.convergence)
}

// HerdResult holds the costs of half the nodes rejoining at once.
type HerdResult struct {
	Nodes int
	// Seconds is the time from the restart until the configuration is in force on
	// all nodes again.
	Seconds float64
	// PeakAccepts is the largest number of links that one node accepted in a second.
	PeakAccepts float64
	// PeakStoreCalls is the largest number of calls to the store in a second.
	PeakStoreCalls float64
	// Refused is the number of links that the nodes refused since their start.
	Refused uint64
}

// downtime is how long half the nodes are down. Their member records have become
// tombstones by then.
const downtime = 2 * time.Second

// sampleInterval is the step of the sliding one-second window for the peaks.
const sampleInterval = 100 * time.Millisecond

// MeasureHerd crashes half of the nodes at once, and restarts them at once after
// downtime.
func MeasureHerd(nodes int) (HerdResult, error) {
	p, err := startProduct(nodes)
	if err != nil {
		return HerdResult{}, err
	}
	defer p.close()
	number, err := p.apply(0, encodeDocument(0))
	if err != nil {
		return HerdResult{}, err
	}
	if err := p.convergence.await(number); err != nil {
		return HerdResult{}, err
	}
	p.forEachOddHost(func(i int) { _ = p.Hosts[i].Crash() })
	time.Sleep(downtime)
	h := HerdResult{Nodes: nodes}
	done := make(chan struct{})
	var sampler sync.WaitGroup
	sampler.Go(func() { p.samplePeaks(&h, done) })
	begin := time.Now()
	var restartErr error
	var mu sync.Mutex
	p.forEachOddHost(func(i int) {
		if err := p.Restart(p.ctx, i); err != nil {
			mu.Lock()
			restartErr = err
			mu.Unlock()
		}
	})
	ctx, cancel := context.WithTimeout(p.ctx, membershipTimeout)
	defer cancel()
	err = errors.Join(restartErr, p.AwaitConfig(ctx, number))
	h.Seconds = time.Since(begin).Seconds()
	err = errors.Join(err, p.AwaitMembers(ctx))
	close(done)
	sampler.Wait()
	h.Refused = p.refusedLinks()
	return h, err
}

func (p *product) refusedLinks() uint64 {
	var total uint64
	for _, h := range p.Hosts {
		total += h.Node.GossipCounters().Refused
	}
	return total
}

// forEachOddHost calls fn concurrently for each host with an odd index and waits
// for all.
func (p *product) forEachOddHost(fn func(i int)) {
	var all sync.WaitGroup
	for i := 1; i < len(p.Hosts); i += 2 {
		all.Go(func() { fn(i) })
	}
	all.Wait()
}

// samplePeaks updates the peaks per second until done is closed. It reads the
// link counters of the even hosts only, which stay up throughout.
func (p *product) samplePeaks(h *HerdResult, done chan struct{}) {
	const window = int(time.Second / sampleInterval)
	var calls []uint64
	accepts := map[int][]uint64{}
	for {
		calls = append(calls, p.Store.Counts().Total())
		h.PeakStoreCalls = max(h.PeakStoreCalls, growth(calls, window))
		for i := 0; i < len(p.Hosts); i += 2 {
			accepts[i] = append(accepts[i], p.Hosts[i].Node.GossipCounters().Accepted)
			h.PeakAccepts = max(h.PeakAccepts, growth(accepts[i], window))
		}
		select {
		case <-done:
			return
		case <-time.After(sampleInterval):
		}
	}
}

// growth returns the increase over the last window of samples.
func growth(samples []uint64, window int) float64 {
	last := len(samples) - 1
	return float64(samples[last] - samples[max(0, last-window)])
}
