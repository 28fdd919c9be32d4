package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/process/node"
	"github.com/daisytide/daisytide/internal/process/operator/client"
	"github.com/daisytide/daisytide/internal/standin/quiet"
	"github.com/daisytide/daisytide/internal/standin/upstream"
	"github.com/daisytide/daisytide/internal/version/document"
)

// startService starts hosts, the first of them (entries) without an upstream, and
// puts doc in force.
func startService(tb testing.TB, nodes, entries int, o upstream.Options, doc document.Document) *Cluster {
	tb.Helper()
	return startServiceWith(tb, nodes, entries, o, doc, nil)
}

// startServiceWith is startService with a function that is called with each node
// before it runs.
func startServiceWith(tb testing.TB, nodes, entries int, o upstream.Options, doc document.Document, onNode func(int, *node.Node)) *Cluster {
	tb.Helper()
	quiet.DiscardLogs()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	tb.Cleanup(cancel)
	c, err := Start(context.Background(), Config{Nodes: nodes, DataCentres: 1, Seed: 1, OnNode: onNode, Upstream: func(i int) upstream.Options {
		if i < entries {
			return upstream.Options{}
		}
		return o
	}})
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(c.Stop)
	if err := c.AwaitMembers(ctx); err != nil {
		tb.Fatal(err)
	}
	text, err := json.Marshal(doc)
	if err != nil {
		tb.Fatal(err)
	}
	operator := client.Client{BaseURL: c.Hosts[0].OperatorBase(), Token: Token, Operator: "test", HTTP: http.DefaultClient}
	out, err := operator.Apply(ctx, text, 0)
	if err != nil || out.Outcome != api.ApplyAccepted {
		tb.Fatalf("apply: %v %+v", err, out)
	}
	if err := c.AwaitConfig(ctx, out.Number); err != nil {
		tb.Fatal(err)
	}
	return c
}

// mixedRoutes returns a document of one service with one route each for idempotent
// look-ups, non-idempotent credits and photo uploads.
func mixedRoutes(limit time.Duration) document.Document {
	doc := document.Document{Services: []document.Service{{Name: "svc", Versions: []string{"v1"}, Current: "v1"}}}
	for _, r := range []struct {
		name       string
		idempotent bool
		caller     document.Caller
	}{{"look", true, document.Buyer}, {"credit", false, document.Clerk}, {"photo", false, document.Driver}} {
		doc.Routes = append(doc.Routes, document.Route{
			Name: r.name, Match: document.Match{Prefix: "/" + r.name}, Service: "svc", Idempotent: r.idempotent,
			TimeLimit: document.Duration(limit), Caller: r.caller, BodyLimit: 32_000_000,
		})
	}
	return doc
}

// callResult is the result of one call of a load.
type callResult struct {
	path     string
	status   int
	runState string
	code     string
	// incomplete means that the caller received no complete response.
	incomplete bool
	// connectionRefused means that the connection was refused, so that nothing was
	// sent.
	connectionRefused bool
	duration          time.Duration
	// serviceTime is the time that the call spent in the upstream.
	serviceTime time.Duration
}

// sendAtRate sends calls at a steady rate and returns their results. It is an open
// loop: slow responses do not delay later calls.
func sendAtRate(rate float64, span time.Duration, send func(i int) callResult) []callResult {
	n := int(rate * span.Seconds())
	out := make([]callResult, n)
	start := time.Now()
	var wait sync.WaitGroup
	for i := range n {
		time.Sleep(time.Until(start.Add(time.Duration(float64(i) / rate * float64(time.Second)))))
		wait.Go(func() { out[i] = send(i) })
	}
	wait.Wait()
	return out
}

// newClient returns a client with persistent connections.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000, DisableCompression: true}}
}

// bodySource is a text whose prefixes are used as request bodies.
var bodySource = strings.Repeat("b", 16<<20)

func sendRequest(c *http.Client, method, url string, size int) callResult {
	start := time.Now()
	path := url[strings.LastIndex(url, "/")+1:]
	r, err := http.NewRequest(method, url, strings.NewReader(bodySource[:size]))
	if err != nil {
		return callResult{path: path, incomplete: true}
	}
	resp, err := c.Do(r)
	if err != nil {
		return callResult{path: path, incomplete: true, connectionRefused: strings.Contains(err.Error(), "connection refused")}
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	serviceNanos, _ := strconv.ParseInt(resp.Header.Get(upstream.HeaderServiceTime), 10, 64)
	return callResult{
		path: path, status: resp.StatusCode, runState: resp.Header.Get("Daisytide-Run"),
		code: resp.Header.Get("Daisytide-Code"), incomplete: err != nil,
		duration: time.Since(start), serviceTime: time.Duration(serviceNanos),
	}
}

// overheadPercentile returns a percentile, in milliseconds, of the time that
// successful calls spent outside the upstream; -1 without any.
func overheadPercentile(results []callResult, p float64) float64 {
	var out []float64
	for _, e := range results {
		if e.status == http.StatusOK {
			out = append(out, float64(e.duration-e.serviceTime)/float64(time.Millisecond))
		}
	}
	sort.Float64s(out)
	if len(out) == 0 {
		return -1
	}
	return out[int(p*float64(len(out)-1))]
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func successCount(results []callResult) int {
	n := 0
	for _, e := range results {
		if e.status == http.StatusOK && !e.incomplete {
			n++
		}
	}
	return n
}

// countByCode counts calls by status and result code.
func countByCode(results []callResult) map[string]int {
	out := map[string]int{}
	for _, e := range results {
		out[fmt.Sprintf("%d/%s", e.status, e.code)]++
	}
	return out
}

func urls(hosts []*Host, base func(*Host) string) []string {
	var out []string
	for _, h := range hosts {
		out = append(out, base(h))
	}
	return out
}

func upstreamBase(h *Host) string { return fmt.Sprint("http://", h.Upstream.Address()) }
