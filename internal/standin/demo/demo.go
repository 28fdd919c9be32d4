// Package demo runs a whole fleet in one process: a store, nodes, upstreams, a
// small load, one rollout to a good version and one to a bad version.
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

// Times of the demo, as fractions of the duration of its load.
const (
	// rolloutStart is when both rollouts start.
	rolloutStart = 0.15
	// rolloutDeadline is when the good version must receive all calls.
	rolloutDeadline = 0.65
	// faultStart is when the bad version begins to fail.
	faultStart = 0.30
)

// minHosts is the smallest fleet in which each service has an upstream of both
// versions.
const minHosts = 6

// timedChanges is the number of documents whose convergence time is measured.
const timedChanges = 20

// changeInterval is the time between two timed changes.
const changeInterval = 20 * time.Millisecond

// convergeTimeout limits the wait for nodes to find each other, and for a
// document to be in force on all of them.
const convergeTimeout = 30 * time.Second

// Options configures a demo.
type Options struct {
	Hosts   int
	Seconds int
	Seed    uint64
	// Out receives one line per event.
	Out io.Writer
}

// run is a demo in progress.
type run struct {
	options  Options
	cluster  *cluster.Cluster
	operator client.Client
	// applyCount counts the documents sent. Each goes to the next host, since the
	// rate limit of a host's store calls is low.
	applyCount  int
	convergence *convergenceTracker
	load        *load
	report      Report
}

// Run runs the demo and returns its report. An error means that the demo itself
// could not run; broken invariants are listed in the report.
func Run(ctx context.Context, o Options) (Report, error) {
	if o.Hosts < minHosts || o.Seconds < 1 {
		return Report{}, fmt.Errorf("the demo needs at least %d hosts and 1 second", minHosts)
	}
	d := &run{options: o, report: newReport(o)}
	c, err := cluster.Start(ctx, cluster.Config{
		Nodes: o.Hosts, DataCentres: dataCentres, Seed: o.Seed, Upstream: upstreamOptions,
	})
	if err != nil {
		return d.report, fmt.Errorf("start the hosts: %w", err)
	}
	defer c.Stop()
	d.cluster = c
	d.convergence = trackConvergence(c)
	d.operator = client.Client{Token: cluster.Token, Operator: "demo", HTTP: http.DefaultClient}
	err = d.runPhases(ctx)
	return d.report, err
}

// runPhases runs the phases of the demo in order.
func (d *run) runPhases(ctx context.Context) error {
	if err := d.awaitMembers(ctx); err != nil {
		return err
	}
	if err := d.measureConvergence(ctx); err != nil {
		return err
	}
	d.load = newLoad(d.cluster, d.options.Seed)
	if err := d.runRollouts(ctx); err != nil {
		return err
	}
	d.finishReport()
	return nil
}

// awaitMembers waits until every node knows all others.
func (d *run) awaitMembers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, convergeTimeout)
	defer cancel()
	if err := d.cluster.AwaitMembers(ctx); err != nil {
		return err
	}
	d.logf("%d nodes in %d data centres know each other", d.options.Hosts, dataCentres)
	return nil
}

// measureConvergence applies documents one after another and measures the time
// until each is in force everywhere.
func (d *run) measureConvergence(ctx context.Context) error {
	for i := range timedChanges {
		if err := d.apply(ctx, buildDocument(i)); err != nil {
			return err
		}
		time.Sleep(changeInterval)
	}
	d.report.ConvergeP50, d.report.ConvergeP99 = d.convergence.quantiles()
	d.logf("%d documents: in force on the last node after %.1f ms (median), %.1f ms (99 in 100)",
		timedChanges, d.report.ConvergeP50, d.report.ConvergeP99)
	return nil
}

// apply sends a document to the next node and waits until it is in force on all.
func (d *run) apply(ctx context.Context, doc document.Document) error {
	text, err := encodeDocument(doc)
	if err != nil {
		return err
	}
	d.applyCount++
	d.operator.BaseURL = d.cluster.Hosts[d.applyCount%len(d.cluster.Hosts)].OperatorBase()
	out, err := d.operator.Apply(ctx, text, 0)
	if err != nil {
		return fmt.Errorf("apply: %w", err)
	}
	if out.Outcome != api.ApplyAccepted {
		return fmt.Errorf("apply: %s: %w", out.Outcome, out.Error)
	}
	ctx, cancel := context.WithTimeout(ctx, convergeTimeout)
	defer cancel()
	return d.cluster.AwaitConfig(ctx, out.Number)
}

// runRollouts applies a document with both rollouts under load, and prints their
// progress until the load ends.
func (d *run) runRollouts(ctx context.Context) error {
	length := time.Duration(d.options.Seconds) * time.Second
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	begin := time.Now()
	calls, bytes := d.cluster.Store.Counts().Total(), d.controlBytes()
	loadDone := make(chan struct{})
	go func() {
		defer close(loadDone)
		d.load.run(ctx)
	}()
	start := begin.Add(fraction(length, rolloutStart))
	deadline := begin.Add(fraction(length, rolloutDeadline))
	doc := buildDocument(timedChanges, buildRollout(goodService, start, deadline), buildRollout(badService, start, deadline))
	if err := d.apply(ctx, doc); err != nil {
		return err
	}
	d.logf("rollouts of %s (good) and %s (bad) start in %s, deadline in %s",
		goodService, badService, fraction(length, rolloutStart), fraction(length, rolloutDeadline))
	timer := time.AfterFunc(time.Until(begin.Add(fraction(length, faultStart))), d.breakBadVersion)
	defer timer.Stop()
	d.printRollouts(ctx)
	<-loadDone
	seconds := time.Since(begin).Seconds()
	d.report.StoreCallsPerSecond = float64(d.cluster.Store.Counts().Total()-calls) / seconds
	d.report.ControlBytesPerHost = float64(d.controlBytes()-bytes) / seconds / float64(d.options.Hosts)
	return nil
}

// breakBadVersion makes the new version of badService fail every request.
func (d *run) breakBadVersion() {
	for _, h := range d.hostsOf(badService, newVersion) {
		h.Upstream.SetFaults(upstream.Fault{Fail: true})
	}
	d.logf("version %s of %s begins to fail", newVersion, badService)
}

func (d *run) hostsOf(service, version string) []*cluster.Host {
	var out []*cluster.Host
	for i, h := range d.cluster.Hosts {
		o := upstreamOptions(i)
		if o.Service == service && o.Version == version {
			out = append(out, h)
		}
	}
	return out
}

const rolloutPollInterval = 100 * time.Millisecond

// printRollouts prints each change of a rollout's state until ctx ends.
func (d *run) printRollouts(ctx context.Context) {
	last := map[string]string{}
	for ctx.Err() == nil {
		for _, r := range d.cluster.Hosts[0].Node.Rollouts().Rollouts {
			line := fmt.Sprintf("%s at %.0f%%: %s", r.State, r.Share, r.Reason)
			if last[r.Service] != line {
				last[r.Service] = line
				d.logf("rollout of %s: %s", r.Service, line)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(rolloutPollInterval):
		}
	}
}

// finishReport fills in the report and checks the invariants.
func (d *run) finishReport() {
	d.load.addToReport(&d.report)
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
	d.report.RunTwice = d.keysRunTwice()
	d.report.checkInvariants(d.convergence)
}

// keysRunTwice counts the idempotency keys whose request ran more than once, over
// all upstreams together.
func (d *run) keysRunTwice() uint64 {
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

func (d *run) logf(format string, args ...any) {
	fmt.Fprintf(d.options.Out, format+"\n", args...)
}

func fraction(d time.Duration, share float64) time.Duration {
	return time.Duration(float64(d) * share).Round(time.Millisecond)
}
