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

// startService starts hosts of which the first entries have no upstream, and
// puts doc in force.
func startService(tb testing.TB, nodes, entries int, o upstream.Options, doc document.Document) *Cluster {
	tb.Helper()
	return startServiceWith(tb, nodes, entries, o, doc, nil)
}

// startServiceWith calls onNode with each node before it runs.
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

// mixed is one service with a route for look-ups, credits and photos.
func mixed(limit time.Duration) document.Document {
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

// ending is how one call of a load ended.
type ending struct {
	path   string
	status int
	ran    string
	code   string
	// cut tells that there was no whole answer.
	cut bool
	// refused tells that the listener took no connection.
	refused bool
	took    time.Duration
	// inside is the time in the upstream.
	inside time.Duration
}

// load sends calls at a steady rate whether or not answers come, each at its
// own time, and returns how they ended.
func load(rate float64, span time.Duration, send func(i int) ending) []ending {
	n := int(rate * span.Seconds())
	out := make([]ending, n)
	start := time.Now()
	var wait sync.WaitGroup
	for i := range n {
		time.Sleep(time.Until(start.Add(time.Duration(float64(i) / rate * float64(time.Second)))))
		wait.Go(func() { out[i] = send(i) })
	}
	wait.Wait()
	return out
}

// caller is a client that keeps its connections.
func caller() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000, DisableCompression: true}}
}

// blob is what bodies are cut from.
var blob = strings.Repeat("b", 16<<20)

func request(c *http.Client, method, url string, size int) ending {
	began := time.Now()
	path := url[strings.LastIndex(url, "/")+1:]
	r, err := http.NewRequest(method, url, strings.NewReader(blob[:size]))
	if err != nil {
		return ending{path: path, cut: true}
	}
	resp, err := c.Do(r)
	if err != nil {
		return ending{path: path, cut: true, refused: strings.Contains(err.Error(), "connection refused")}
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	inside, _ := strconv.ParseInt(resp.Header.Get(upstream.HeaderServiceTime), 10, 64)
	return ending{
		path: path, status: resp.StatusCode, ran: resp.Header.Get("Daisytide-Run"),
		code: resp.Header.Get("Daisytide-Code"), cut: err != nil,
		took: time.Since(began), inside: time.Duration(inside),
	}
}

// percentile of the calls' time outside the upstream, in milliseconds.
func percentile(es []ending, p float64) float64 {
	var out []float64
	for _, e := range es {
		if e.status == http.StatusOK {
			out = append(out, float64(e.took-e.inside)/float64(time.Millisecond))
		}
	}
	sort.Float64s(out)
	if len(out) == 0 {
		return -1
	}
	return out[int(p*float64(len(out)-1))]
}

// processor is the processor time that this process has used.
func processor() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func answered(es []ending) int {
	n := 0
	for _, e := range es {
		if e.status == http.StatusOK && !e.cut {
			n++
		}
	}
	return n
}

// ends counts the calls by status and result code.
func ends(es []ending) map[string]int {
	out := map[string]int{}
	for _, e := range es {
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
