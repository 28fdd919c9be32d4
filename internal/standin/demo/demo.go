// Package demo runs the whole path in one process: a store, nodes, upstreams,
// a small load, one good rollout and one bad one.
package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/process/operator/client"
	"github.com/daisytide/daisytide/internal/standin/cluster"
	"github.com/daisytide/daisytide/internal/standin/upstream"
	"github.com/daisytide/daisytide/internal/version/document"
)

// Times of the demo, as parts of its seconds of load.
const (
	// rolloutStart is when both rollouts start.
	rolloutStart = 0.15
	// rolloutDeadline is when a good version must have all calls.
	rolloutDeadline = 0.65
	// faultStart is when the bad version begins to fail.
	faultStart = 0.30
)

// minHosts gives each service an upstream of either version.
const minHosts = 6

// convergeChanges is the number of documents whose spread is timed.
const convergeChanges = 20

// changePause separates two timed changes.
const changePause = 20 * time.Millisecond

// startLimit bounds the wait for nodes to find each other.
const startLimit = 30 * time.Second

// Options of a demo.
type Options struct {
	Hosts   int
	Seconds int
	Seed    uint64
	// Out receives one line per event.
	Out io.Writer
}

// run is one demo under way.
type run struct {
	o        Options
	cluster  *cluster.Cluster
	operator client.Client
	// applied counts the documents sent; each goes to the next host, since a
	// host makes few calls to the store per second.
	applied int
	swaps   *swapTimes
	load    *load
	report  Report
}

// Run runs the demo and returns its report. An error means that the demo
// itself could not run; broken invariants stand in the report.
func Run(ctx context.Context, o Options) (Report, error) {
	if o.Hosts < minHosts || o.Seconds < 1 {
		return Report{}, fmt.Errorf("the demo needs at least %d hosts and 1 second", minHosts)
	}
	d := &run{o: o, report: newReport(o)}
	c, err := cluster.Start(ctx, cluster.Config{
		Nodes: o.Hosts, DataCentres: dataCentres, Seed: o.Seed, Upstream: upstreamOf,
	})
	if err != nil {
		return d.report, fmt.Errorf("start the hosts: %w", err)
	}
	defer c.Stop()
	d.cluster = c
	d.swaps = watchSwaps(c)
	d.operator = client.Client{Token: cluster.Token, Operator: "demo", HTTP: http.DefaultClient}
	err = d.steps(ctx)
	return d.report, err
}

// steps runs the demo's acts in order.
func (d *run) steps(ctx context.Context) error {
	if err := d.gather(ctx); err != nil {
		return err
	}
	if err := d.timeChanges(ctx); err != nil {
		return err
	}
	d.load = newLoad(d.cluster, d.o.Seed)
	if err := d.moves(ctx); err != nil {
		return err
	}
	d.close()
	return nil
}

// gather waits until the nodes know each other.
func (d *run) gather(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	if err := d.cluster.AwaitMembers(ctx); err != nil {
		return err
	}
	d.say("%d nodes in %d data centres know each other", d.o.Hosts, dataCentres)
	return nil
}

// timeChanges applies documents one after another and times their spread.
func (d *run) timeChanges(ctx context.Context) error {
	for i := range convergeChanges {
		if err := d.apply(ctx, documentOf(i)); err != nil {
			return err
		}
		time.Sleep(changePause)
	}
	d.report.ConvergeP50, d.report.ConvergeP99 = d.swaps.quantiles()
	d.say("%d documents: in force on the last node after %.1f ms (median), %.1f ms (99 in 100)",
		convergeChanges, d.report.ConvergeP50, d.report.ConvergeP99)
	return nil
}

// apply takes a document to the next node and waits until it is in force on all.
func (d *run) apply(ctx context.Context, doc document.Document) error {
	text, err := encode(doc)
	if err != nil {
		return err
	}
	d.applied++
	d.operator.BaseURL = d.cluster.Hosts[d.applied%len(d.cluster.Hosts)].OperatorBase()
	out, err := d.operator.Apply(ctx, text, 0)
	if err != nil {
		return fmt.Errorf("apply: %w", err)
	}
	if out.Outcome != api.ApplyAccepted {
		return fmt.Errorf("apply: %s: %w", out.Outcome, out.Error)
	}
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	return d.cluster.AwaitConfig(ctx, out.Number)
}

// moves applies the two rollouts under load and follows them to their end.
func (d *run) moves(ctx context.Context) error {
	length := time.Duration(d.o.Seconds) * time.Second
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	begin := time.Now()
	calls, bytes := d.cluster.Store.Counts().Total(), d.controlBytes()
	loadDone := make(chan struct{})
	go func() {
		defer close(loadDone)
		d.load.run(ctx)
	}()
	start := begin.Add(part(length, rolloutStart))
	deadline := begin.Add(part(length, rolloutDeadline))
	doc := documentOf(convergeChanges, rolloutOf(goodService, start, deadline), rolloutOf(badService, start, deadline))
	if err := d.apply(ctx, doc); err != nil {
		return err
	}
	d.say("rollouts of %s (good) and %s (bad) start in %s, deadline in %s",
		goodService, badService, part(length, rolloutStart), part(length, rolloutDeadline))
	timer := time.AfterFunc(time.Until(begin.Add(part(length, faultStart))), d.breakBadVersion)
	defer timer.Stop()
	d.follow(ctx)
	<-loadDone
	seconds := time.Since(begin).Seconds()
	d.report.StoreCallsPerSecond = float64(d.cluster.Store.Counts().Total()-calls) / seconds
	d.report.ControlBytesPerHost = float64(d.controlBytes()-bytes) / seconds / float64(d.o.Hosts)
	return nil
}

// breakBadVersion makes the new version of badService fail every request.
func (d *run) breakBadVersion() {
	for _, h := range d.hostsOf(badService, newVersion) {
		h.Upstream.SetFaults(upstream.Fault{Fail: true})
	}
	d.say("version %s of %s begins to fail", newVersion, badService)
}

func (d *run) hostsOf(service, version string) []*cluster.Host {
	var out []*cluster.Host
	for i, h := range d.cluster.Hosts {
		o := upstreamOf(i)
		if o.Service == service && o.Version == version {
			out = append(out, h)
		}
	}
	return out
}

// followEvery is how often the moves are looked at.
const followEvery = 100 * time.Millisecond

// follow prints each change of a move's state until ctx ends.
func (d *run) follow(ctx context.Context) {
	last := map[string]string{}
	for ctx.Err() == nil {
		for _, r := range d.cluster.Hosts[0].Node.Rollouts().Rollouts {
			line := fmt.Sprintf("%s at %.0f%%: %s", r.State, r.Share, r.Reason)
			if last[r.Service] != line {
				last[r.Service] = line
				d.say("rollout of %s: %s", r.Service, line)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(followEvery):
		}
	}
}

// close fills the report and checks the invariants.
func (d *run) close() {
	d.load.fill(&d.report)
	for _, r := range d.cluster.Hosts[0].Node.Rollouts().Rollouts {
		switch r.State {
		case "done":
			d.report.RolloutsDone++
		case "taken-back":
			d.report.RolloutsWithdrawn++
		}
	}
	for _, h := range d.hostsOf(badService, newVersion) {
		d.report.BadVersionCalls += h.Upstream.FaultedRequests()
	}
	d.report.RunTwice = d.runTwice()
	d.report.check(d.swaps)
}

// runTwice counts the keys that ran more than once in all upstreams together.
func (d *run) runTwice() uint64 {
	runs := map[string]int{}
	for _, h := range d.cluster.Hosts {
		for key, n := range h.Upstream.RunsByKey() {
			runs[key] += n
		}
	}
	var twice uint64
	for _, n := range runs {
		if n > 1 {
			twice++
		}
	}
	return twice
}

func (d *run) controlBytes() uint64 {
	var sum uint64
	for _, h := range d.cluster.Hosts {
		sum += h.Node.ControlBytes()
	}
	return sum
}

func (d *run) say(format string, args ...any) {
	fmt.Fprintf(d.o.Out, format+"\n", args...)
}

func part(d time.Duration, share float64) time.Duration {
	return time.Duration(float64(d) * share).Round(time.Millisecond)
}
