// Package distribution measures how configurations and member records are
// distributed over real sockets between nodes in one process, and compares two
// baselines: every node watches and polls the store, or whole documents are
// flooded.
package distribution

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/kvstore"
	"github.com/daisytide/daisytide/internal/process/provider"
	"github.com/daisytide/daisytide/internal/standin/store"
	"github.com/daisytide/daisytide/internal/version/document"
	"github.com/daisytide/daisytide/internal/version/snapshot"
)

// Parameters of the measurement.
const (
	// DataCentres, services and routes are those of the target fleet, at every
	// size.
	DataCentres = 9
	services    = 36
	routes      = 72
	// Changes is the number of documents that one run applies.
	Changes        = 50
	changeInterval = 120 * time.Millisecond
	// restTime is how long the fleet is measured at rest, and again under churn.
	restTime = 6 * time.Second
	// churnInterval is the time between changes of upstreams in the whole fleet.
	churnInterval = 200 * time.Millisecond
	// convergeTimeout limits the wait for a configuration to be in force on all
	// nodes; a slower run is a failure.
	convergeTimeout = 30 * time.Second
)

// Result holds the costs of one fleet.
type Result struct {
	Nodes int
	// ConvergeP50 and ConvergeP99 are the milliseconds from a document's acceptance
	// until it is in force on the last node.
	ConvergeP50, ConvergeP99 float64
	// BytesRest and BytesChurn are bytes sent and received per node and second;
	// BytesChange is per node and accepted document.
	BytesRest, BytesChurn, BytesChange float64
	// CPURest, CPUChurn and CPUChange are percentages of a core per node, including
	// the CPU time of the stand-in store.
	CPURest, CPUChurn, CPUChange float64
	// MemoryMB is the heap and stack memory per node, without other memory of the
	// process.
	MemoryMB float64
	// StoreRest is the rate of store calls per second of the fleet at rest;
	// StoreChange is the number of store calls per accepted document, including the
	// two of the apply request itself.
	StoreRest, StoreChange float64
	// MessagesRest is the number of messages sent per node and second at rest. The
	// TCP and IP headers of each are not included in the bytes.
	MessagesRest float64
}

// fleet is a fleet that can be measured.
type fleet interface {
	// bytes and messages return the totals so far over all nodes.
	bytes() uint64
	messages() uint64
	// apply writes a document to the store and returns its number.
	apply(change int, text []byte) (uint64, error)
	// churn changes one upstream's record. It does nothing in a fleet without
	// member records.
	churn(i int)
	close()
}

// convergence records when each configuration was accepted and when it came into
// force on the nodes.
type convergence struct {
	mu           sync.Mutex
	nodes        int
	accepted     map[uint64]time.Time
	inForceCount map[uint64]int
	lastInForce  map[uint64]time.Time
	changed      *sync.Cond
}

func newConvergence(nodes int) *convergence {
	c := &convergence{nodes: nodes, accepted: map[uint64]time.Time{}, inForceCount: map[uint64]int{}, lastInForce: map[uint64]time.Time{}}
	c.changed = sync.NewCond(&c.mu)
	return c
}

// recordPut records the time of a configuration that the store accepted.
func (c *convergence) recordPut(e kvstore.Entry) {
	if e.Key != kvstore.KeyConfig {
		return
	}
	now := time.Now()
	accepted, _, err := document.DecodeEnvelope(e.Value)
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accepted[accepted.Number] = now
}

// recordSwap records that a node went from configuration before to number. Those
// in between, which it skipped, count as in force too.
func (c *convergence) recordSwap(before, number uint64) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for n := before + 1; n <= number; n++ {
		c.inForceCount[n]++
		c.lastInForce[n] = now
	}
	c.changed.Broadcast()
}

// await waits until number is in force on all nodes.
func (c *convergence) await(number uint64) error {
	timer := time.AfterFunc(convergeTimeout, func() { c.changed.Broadcast() })
	defer timer.Stop()
	deadline := time.Now().Add(convergeTimeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.inForceCount[number] < c.nodes {
		if time.Now().After(deadline) {
			return fmt.Errorf("configuration %d is in force on %d of %d nodes", number, c.inForceCount[number], c.nodes)
		}
		c.changed.Wait()
	}
	return nil
}

// times returns the sorted convergence times of a range of numbers, in milliseconds.
func (c *convergence) times(from, to uint64) []float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []float64
	for n := from; n <= to; n++ {
		out = append(out, float64(c.lastInForce[n].Sub(c.accepted[n]).Microseconds())/1000)
	}
	slices.Sort(out)
	return out
}

// Percentile returns the value that the given share of the sorted values do not
// exceed.
func Percentile(sorted []float64, share float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	i := int(share*float64(len(sorted))+0.5) - 1
	return sorted[min(max(i, 0), len(sorted)-1)]
}

// usage holds the resource counters of the process and the fleet at one time.
type usage struct {
	at       time.Time
	cpu      time.Duration
	bytes    uint64
	messages uint64
	calls    uint64
}

func readUsage(f fleet, s *store.Store) usage {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return usage{
		at:       time.Now(),
		cpu:      time.Duration(r.Utime.Nano() + r.Stime.Nano()),
		bytes:    f.bytes(),
		messages: f.messages(),
		calls:    s.Counts().Total(),
	}
}

// rates are the costs of one phase per node and second; cpu is in percent of a
// core, calls is the rate of the whole fleet.
type rates struct{ cpu, bytes, messages, calls, seconds float64 }

func (u usage) since(old usage, nodes int) rates {
	seconds := u.at.Sub(old.at).Seconds()
	nodeSeconds := seconds * float64(nodes)
	return rates{
		cpu:      100 * (u.cpu - old.cpu).Seconds() / nodeSeconds,
		bytes:    float64(u.bytes-old.bytes) / nodeSeconds,
		messages: float64(u.messages-old.messages) / nodeSeconds,
		calls:    float64(u.calls-old.calls) / seconds,
		seconds:  seconds,
	}
}

// run measures a settled fleet at rest, during document changes and under churn.
func run(f fleet, s *store.Store, c *convergence) (Result, error) {
	number, err := f.apply(0, encodeDocument(0))
	if err != nil {
		return Result{}, err
	}
	if err := c.await(number); err != nil {
		return Result{}, err
	}
	time.Sleep(time.Second)
	r := Result{Nodes: c.nodes, MemoryMB: heapMBPerNode(c.nodes)}
	begin := readUsage(f, s)
	time.Sleep(restTime)
	rest := readUsage(f, s).since(begin, c.nodes)
	r.BytesRest, r.CPURest, r.StoreRest, r.MessagesRest = rest.bytes, rest.cpu, rest.calls, rest.messages

	begin = readUsage(f, s)
	times, err := applyChanges(f, c)
	if err != nil {
		return r, err
	}
	changed := readUsage(f, s).since(begin, c.nodes)
	r.ConvergeP50, r.ConvergeP99 = Percentile(times, 0.5), Percentile(times, 0.99)
	r.BytesChange = (changed.bytes - rest.bytes) * changed.seconds / Changes
	r.StoreChange = (changed.calls - rest.calls) * changed.seconds / Changes
	r.CPUChange = changed.cpu

	begin = readUsage(f, s)
	for i := range int(restTime / churnInterval) {
		f.churn(i)
		time.Sleep(churnInterval)
	}
	churned := readUsage(f, s).since(begin, c.nodes)
	r.BytesChurn, r.CPUChurn = churned.bytes, churned.cpu
	return r, nil
}

// applyChanges applies the documents and returns their convergence times.
func applyChanges(f fleet, c *convergence) ([]float64, error) {
	var first, last uint64
	for i := 1; i <= Changes; i++ {
		number, err := f.apply(i, encodeDocument(i))
		if err != nil {
			return nil, err
		}
		if first == 0 {
			first = number
		}
		last = number
		time.Sleep(changeInterval)
	}
	if err := c.await(last); err != nil {
		return nil, err
	}
	return c.times(first, last), nil
}

func heapMBPerNode(nodes int) float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc+m.StackInuse) / 1e6 / float64(nodes)
}

// encodeDocument returns a document of the target's size. Documents with different
// numbers change differ in the time limit of routes.
func encodeDocument(change int) []byte {
	var doc document.Document
	for i := range services {
		doc.Services = append(doc.Services, document.Service{
			Name: fmt.Sprintf("service-%02d", i), Versions: []string{"v1"}, Current: "v1",
		})
	}
	for i := range routes {
		limit := time.Second
		if i == change%routes {
			limit += time.Duration(1+change) * time.Millisecond
		}
		doc.Routes = append(doc.Routes, document.Route{
			Name:      fmt.Sprintf("route-%02d", i),
			Match:     document.Match{Prefix: fmt.Sprintf("/service-%02d/part-%d", i%services, i/services)},
			Service:   fmt.Sprintf("service-%02d", i%services),
			TimeLimit: document.Duration(limit),
			Caller:    document.Buyer,
		})
	}
	out, err := json.Marshal(doc)
	if err != nil {
		panic(err)
	}
	return out
}

// storeApply writes a document to the store without a node, for the baselines.
func storeApply(s kvstore.Store, text []byte) (uint64, error) {
	p := provider.Provider{Store: s, Holder: &snapshot.Holder{}}
	out := p.Apply(context.Background(), text, "measurement", 0)
	if out.Outcome != api.ApplyAccepted {
		return 0, fmt.Errorf("apply: %s %v", out.Outcome, out.Error)
	}
	return out.Number, nil
}
