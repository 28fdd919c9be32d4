// Package demo runs the whole path in one process: a store, nodes, upstreams,
// a small load, one good rollout and one bad one.
package demo

import (
	"context"
	"encoding/json"
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

// Options of a demo.
type Options struct {
	Hosts   int
	Seconds int
	Seed    uint64
	// Out receives one line per event.
	Out io.Writer
}

// Report is the closing table.
type Report struct {
	Hosts               int     `json:"hosts"`
	Seconds             float64 `json:"seconds"`
	Seed                uint64  `json:"seed"`
	ConvergeP50         float64 `json:"converge_ms_p50"`
	ConvergeP99         float64 `json:"converge_ms_p99"`
	ControlBytesPerHost float64 `json:"control_bytes_per_host_s"`
	StoreCallsPerSecond float64 `json:"store_calls_per_s"`
	Calls               uint64  `json:"calls"`
	CallsFailed         uint64  `json:"calls_failed"`
	CallsWrong          uint64  `json:"calls_wrong"`
	RunTwice            uint64  `json:"run_twice"`
	MovesDone           int     `json:"moves_done"`
	MovesTakenBack      int     `json:"moves_taken_back"`
	BadVersionCalls     uint64  `json:"bad_version_calls"`
	// Broken lists the invariants that did not hold.
	Broken []string `json:"broken"`
}

// services of the demo, with the caller class and path of each.
var services = []struct {
	name       string
	path       string
	method     string
	caller     document.Caller
	idempotent bool
}{
	{"status-desk", "/status", http.MethodGet, document.Buyer, true},
	{"credit-ledger", "/credit", http.MethodPost, document.Clerk, false},
	{"bale-intake", "/bale", http.MethodPost, document.Driver, false},
}

// upstreamOf spreads services and versions over hosts: for each service the
// hosts alternate between the old and the new version.
func upstreamOf(i int) upstream.Options {
	version := "v1"
	if i/len(services)%2 == 1 {
		version = "v2"
	}
	return upstream.Options{
		Service:     services[i%len(services)].name,
		Version:     version,
		Slots:       10,
		Connections: 100,
		Work:        2 * time.Millisecond,
	}
}

// documentOf builds the demo's document with the given rollouts.
func documentOf(rollouts ...document.Rollout) ([]byte, error) {
	doc := document.Document{Rollouts: rollouts}
	for _, s := range services {
		doc.Services = append(doc.Services, document.Service{
			Name: s.name, Versions: []string{"v1", "v2"}, Current: "v1",
		})
		doc.Routes = append(doc.Routes, document.Route{
			Name:       s.name,
			Match:      document.Match{Prefix: s.path, Method: s.method},
			Service:    s.name,
			Idempotent: s.idempotent,
			TimeLimit:  document.Duration(2 * time.Second),
			Caller:     s.caller,
		})
	}
	return json.Marshal(doc)
}

// Run runs the demo and returns its report. An error means that the demo
// itself could not run; broken invariants stand in the report.
func Run(ctx context.Context, o Options) (Report, error) {
	report := Report{Hosts: o.Hosts, Seconds: float64(o.Seconds), Seed: o.Seed}
	c, err := cluster.Start(ctx, cluster.Config{Nodes: o.Hosts, DataCentres: min(3, o.Hosts), Seed: o.Seed, Upstream: upstreamOf})
	if err != nil {
		return report, fmt.Errorf("start the hosts: %w", err)
	}
	defer c.Stop()
	if err := c.AwaitMembers(ctx); err != nil {
		return report, err
	}
	text, err := documentOf()
	if err != nil {
		return report, fmt.Errorf("build the document: %w", err)
	}
	operator := client.Client{Base: c.Hosts[0].OperatorBase(), Token: cluster.Token, Operator: "demo", HTTP: http.DefaultClient}
	start := time.Now()
	out, err := operator.Apply(ctx, text, 0)
	if err != nil || out.Outcome != api.ApplyAccepted {
		return report, fmt.Errorf("apply: %v %+v", err, out)
	}
	if err := c.AwaitNumber(ctx, out.Number); err != nil {
		return report, err
	}
	report.ConvergeP99 = float64(time.Since(start).Microseconds()) / 1000
	fmt.Fprintf(o.Out, "configuration %d is in force on %d hosts after %.1f ms\n", out.Number, o.Hosts, report.ConvergeP99)
	for i := range 100 {
		h := c.Hosts[i%len(c.Hosts)]
		resp, err := http.Get(h.CallerBase() + "/status/" + fmt.Sprint(i))
		if err != nil {
			return report, fmt.Errorf("call: %w", err)
		}
		_ = resp.Body.Close()
		report.Calls++
		if resp.StatusCode != http.StatusOK {
			report.CallsFailed++
		}
	}
	return report, nil
}
