// Package distribution measures how configurations and member records spread
// over real sockets between nodes in one process, beside two baselines: every
// node watches and polls the store, and whole documents are flooded.
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

// Shape of what is measured.
const (
	// DataCentres and services are those of the target, at every size.
	DataCentres = 9
	services    = 36
	routes      = 72
	// Changes is the number of documents of one run.
	Changes     = 50
	changeEvery = 120 * time.Millisecond
	// restTime is how long the fleet is watched at rest and under churn.
	restTime = 6 * time.Second
	// churnEvery is the time between changes of upstreams in the whole fleet.
	churnEvery = 200 * time.Millisecond
	// convergeLimit ends a wait that would make the run useless.
	convergeLimit = 30 * time.Second
)

// Result is what one fleet cost.
type Result struct {
	Nodes int
	// P50 and P99 are milliseconds from a document's acceptance to its being
	// in force on the last node.
	ConvergeP50, ConvergeP99 float64
	// BytesRest and BytesChurn are bytes sent and received per node and
	// second; BytesChange per node and accepted document.
	BytesRest, BytesChurn, BytesChange float64
	// CPURest, CPUChurn and CPUChange are percentages of a core per node,
	// with the stand-in store in them.
	CPURest, CPUChurn, CPUChange float64
	// MemoryMB is heap and stacks per node, without the process itself.
	MemoryMB float64
	// StoreRest is calls per second of the fleet at rest; StoreChange calls
	// per accepted document, with the two of the operator's own.
	StoreRest, StoreChange float64
	// MessagesRest is messages sent per node and second at rest; each costs
	// TCP and IP headers that the bytes do not hold.
	MessagesRest float64
}

// fleet is what a run drives.
type fleet interface {
	// bytes and messages are totals so far, over all nodes.
	bytes() uint64
	messages() uint64
	// apply takes a document to the store by some node.
	apply(change int, text []byte) (uint64, error)
	// churn changes one upstream's record; a fleet without records does nothing.
	churn(i int)
	close()
}

// arrivals notes when each number was accepted and came into force.
type arrivals struct {
	mu       sync.Mutex
	nodes    int
	accepted map[uint64]time.Time
	count    map[uint64]int
	last     map[uint64]time.Time
	all      *sync.Cond
}

func newArrivals(nodes int) *arrivals {
	a := &arrivals{nodes: nodes, accepted: map[uint64]time.Time{}, count: map[uint64]int{}, last: map[uint64]time.Time{}}
	a.all = sync.NewCond(&a.mu)
	return a
}

// put notes a write that the store took.
func (a *arrivals) put(e kvstore.Entry) {
	if e.Key != kvstore.KeyConfig {
		return
	}
	now := time.Now()
	accepted, _, err := document.DecodeEnvelope(e.Value)
	if err != nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.accepted[accepted.Number] = now
}

// inForce notes that a node that had number before has number now: those
// between were overtaken there.
func (a *arrivals) inForce(before, number uint64) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for n := before + 1; n <= number; n++ {
		a.count[n]++
		a.last[n] = now
	}
	a.all.Broadcast()
}

// await waits until all nodes have number in force.
func (a *arrivals) await(number uint64) error {
	timer := time.AfterFunc(convergeLimit, func() { a.all.Broadcast() })
	defer timer.Stop()
	deadline := time.Now().Add(convergeLimit)
	a.mu.Lock()
	defer a.mu.Unlock()
	for a.count[number] < a.nodes {
		if time.Now().After(deadline) {
			return fmt.Errorf("configuration %d is in force on %d of %d nodes", number, a.count[number], a.nodes)
		}
		a.all.Wait()
	}
	return nil
}

// times returns the sorted convergence times of the numbers, in milliseconds.
func (a *arrivals) times(from, to uint64) []float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []float64
	for n := from; n <= to; n++ {
		out = append(out, float64(a.last[n].Sub(a.accepted[n]).Microseconds())/1000)
	}
	slices.Sort(out)
	return out
}

// Percentile returns the value that a share of the sorted ones do not exceed.
func Percentile(sorted []float64, share float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	i := int(share*float64(len(sorted))+0.5) - 1
	return sorted[min(max(i, 0), len(sorted)-1)]
}

// usage is a reading of what the process has used.
type usage struct {
	at       time.Time
	cpu      time.Duration
	bytes    uint64
	messages uint64
	calls    uint64
}

func read(f fleet, s *store.Store) usage {
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

// rates of one phase, per second; cpu in percent of a core.
type rates struct{ cpu, bytes, messages, calls, seconds float64 }

func (u usage) since(old usage, nodes int) rates {
	seconds := u.at.Sub(old.at).Seconds()
	per := seconds * float64(nodes)
	return rates{
		cpu:      100 * (u.cpu - old.cpu).Seconds() / per,
		bytes:    float64(u.bytes-old.bytes) / per,
		messages: float64(u.messages-old.messages) / per,
		calls:    float64(u.calls-old.calls) / seconds,
		seconds:  seconds,
	}
}

// run drives a fleet that has settled through rest, changes and churn.
func run(f fleet, s *store.Store, a *arrivals) (Result, error) {
	number, err := f.apply(0, text(0))
	if err != nil {
		return Result{}, err
	}
	if err := a.await(number); err != nil {
		return Result{}, err
	}
	time.Sleep(time.Second)
	r := Result{Nodes: a.nodes, MemoryMB: memory(a.nodes)}
	begin := read(f, s)
	time.Sleep(restTime)
	rest := read(f, s).since(begin, a.nodes)
	r.BytesRest, r.CPURest, r.StoreRest, r.MessagesRest = rest.bytes, rest.cpu, rest.calls, rest.messages

	begin = read(f, s)
	times, err := change(f, a)
	if err != nil {
		return r, err
	}
	changed := read(f, s).since(begin, a.nodes)
	r.ConvergeP50, r.ConvergeP99 = Percentile(times, 0.5), Percentile(times, 0.99)
	r.BytesChange = (changed.bytes - rest.bytes) * changed.seconds / Changes
	r.StoreChange = (changed.calls - rest.calls) * changed.seconds / Changes
	r.CPUChange = changed.cpu

	begin = read(f, s)
	for i := range int(restTime / churnEvery) {
		f.churn(i)
		time.Sleep(churnEvery)
	}
	churned := read(f, s).since(begin, a.nodes)
	r.BytesChurn, r.CPUChurn = churned.bytes, churned.cpu
	return r, nil
}

// change applies the documents and returns their convergence times.
func change(f fleet, a *arrivals) ([]float64, error) {
	var first, last uint64
	for i := 1; i <= Changes; i++ {
		number, err := f.apply(i, text(i))
		if err != nil {
			return nil, err
		}
		if first == 0 {
			first = number
		}
		last = number
		time.Sleep(changeEvery)
	}
	if err := a.await(last); err != nil {
		return nil, err
	}
	return a.times(first, last), nil
}

func memory(nodes int) float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc+m.StackInuse) / 1e6 / float64(nodes)
}

// text is a document of the target's size in which one route differs.
func text(change int) []byte {
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

// storeApply takes a document to the store without a node, for baselines.
func storeApply(s kvstore.Store, text []byte) (uint64, error) {
	p := provider.Provider{Store: s, Holder: &snapshot.Holder{}}
	out := p.Apply(context.Background(), text, "measurement", 0)
	if out.Outcome != api.ApplyAccepted {
		return 0, fmt.Errorf("apply: %s %v", out.Outcome, out.Error)
	}
	return out.Number, nil
}
