// Package soak runs the real node as separate processes on loopback, injects
// faults from outside of them, and checks from what callers and backends see
// that the promises to them hold.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/daisytide/daisytide/internal/standin/store"
	"github.com/daisytide/daisytide/internal/version/traffic"
	"github.com/daisytide/daisytide/platform"
)

// Options of one run.
type Options struct {
	Seed  uint64
	Hosts int
	// For is how long faults are injected; settling takes some seconds more.
	FaultDuration time.Duration
	// Dir takes settings and logs; Program is the node's.
	Dir, Program string
	// Say is told what is done, a line each.
	Logf func(format string, args ...any)
}

const (
	// settleFor is how long a fleet has to find itself at first, and to heal at
	// the end before it must serve all: recover_s of the smallest deployments.
	startFor  = 4 * time.Second
	settleFor = 10 * time.Second
	healedFor = 4 * time.Second
	// healTries bounds how often the end is looked at again because the machine
	// itself stood still meanwhile.
	healTries  = 6
	callersPer = 3
	// faultPause is the mean time between two faults; they overlap.
	faultPause = 700 * time.Millisecond
	faultMost  = 4 * time.Second
	// slowPart of a fault's time is added to each answer or piece of bytes.
	slowPart = 40
	// lostShare of the store's writes take effect and are not answered.
	lostShare = 0.3
)

var services = []string{"s0", "s1", "s2"}

// soak is one run.
type soak struct {
	o      Options
	rng    *rand.Rand
	store  *store.Store
	hosts  []*host
	record *record
	// number is the configuration's, marked the highest that is in the store.
	number  int
	latest  atomic.Int64
	moved   int
	healing sync.WaitGroup
	stalls  stalls
}

// Run plays one seed and returns the broken promises.
func Run(ctx context.Context, o Options) ([]string, error) {
	s := &soak{o: o, rng: rand.New(rand.NewPCG(o.Seed, 6)), store: store.New(o.Seed)}
	s.stalls.told = s.stalled
	s.record = newRecord(func(n int, from, to time.Time) bool { return s.hosts[n].calm(from, to) })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer l.Close()
	go func() { _ = (&http.Server{Handler: s.store.Handler()}).Serve(l) }()
	for i := range o.Hosts {
		h, err := newHost(i, o.Dir, o.Program, services[i%len(services)], l.Addr().String(), s.record)
		if err != nil {
			return nil, err
		}
		s.hosts = append(s.hosts, h)
	}
	s.configure(ctx)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, running := errgroup.WithContext(ctx)
	g.Go(func() error {
		s.stalls.watch(running)
		return nil
	})
	for _, h := range s.hosts {
		g.Go(func() error { return h.run(running) })
		g.Go(func() error {
			h.backend.beats(running)
			return nil
		})
	}
	sleep(running, startFor)
	var ids atomic.Int64
	calling, stopCalling := context.WithCancel(running)
	defer stopCalling()
	for i, h := range s.hosts {
		for k := range callersPer {
			c := &caller{host: h, record: s.record, ids: &ids, latest: func() int { return int(s.latest.Load()) }, client: &http.Client{Transport: &http.Transport{}}}
			g.Go(func() error {
				c.run(calling, o.Seed+uint64(100*i+k))
				return nil
			})
		}
	}
	for end := time.Now().Add(o.FaultDuration); time.Now().Before(end) && running.Err() == nil; {
		s.fault(running)
		sleep(running, time.Duration(s.rng.ExpFloat64()*float64(faultPause)))
	}
	s.healing.Wait()
	healed := s.healed(running)
	stopCalling()
	sleep(running, callerLimit)
	s.record.close(healed)
	cancel()
	var ending sync.WaitGroup
	for _, h := range s.hosts {
		ending.Go(h.end)
	}
	ending.Wait()
	if err := g.Wait(); err != nil {
		return nil, err
	}
	return s.record.found, nil
}

// healed waits until all should be well and for a while after that, and
// returns the span in which calls must be served. A span in which the whole
// machine stood still tells nothing of the nodes, and another one is waited for;
// without one it is empty.
func (s *soak) healed(ctx context.Context) span {
	for range healTries {
		settling := time.Now()
		sleep(ctx, settleFor)
		from := time.Now()
		sleep(ctx, healedFor)
		if !s.stalls.since(settling) {
			return span{from, time.Now()}
		}
		s.o.Logf("the machine stood still for %v in all, its last time %v ago", s.stalls.total(), time.Since(s.stalls.latest()))
	}
	s.record.find("recover: not judged, the machine stood still for %v in all", s.stalls.total())
	return span{}
}

// stalled treats a machine that stood still like a pause of every host.
func (s *soak) stalled(from time.Time, d time.Duration) {
	for _, h := range s.hosts {
		h.disturb(from, d+settleBound)
		h.hold(from, d+settleBound)
	}
}

// configure writes the next configuration. Each brings a route that no earlier
// one had, and keeps those of before.
func (s *soak) configure(ctx context.Context) {
	s.number += 1 + s.rng.IntN(4)
	s.moved++
	route := func(name, prefix string, repeat traffic.RequestKind, service string) traffic.Route {
		return traffic.Route{
			Name: name, Host: hostName, Prefix: prefix, Kind: repeat, TimeLimit: callerLimit, Objective: callerLimit / 2,
			Priority: 1, Attempts: 2, Shares: []traffic.WeightedService{{Service: service, Weight: 1}},
		}
	}
	c := traffic.Config{Callers: traffic.CallerLimits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}}
	for _, name := range services {
		c.Services = append(c.Services, traffic.Service{Name: name, Connections: 100, HealthPath: "/healthz"})
	}
	c.Routes = append(c.Routes,
		route("read", "/read/", traffic.Idempotent, services[s.moved%len(services)]),
		route("once", "/once/", traffic.Once, services[(s.moved+1)%len(services)]),
		route("up", "/up/", traffic.Upload, services[2]))
	for n := 1; n <= s.number; n++ {
		c.Routes = append(c.Routes, route(fmt.Sprintf("v%d", n), fmt.Sprintf("/v%d/", n), traffic.Idempotent, services[n%len(services)]))
	}
	value, err := platform.EncodeConfig(uint64(s.number), c)
	if err != nil {
		s.record.find("a configuration cannot be written: %v", err)
		return
	}
	for ctx.Err() == nil {
		e, err := s.store.Get(ctx, platform.KeyConfig)
		if err == nil {
			_, err = s.store.CompareAndSwap(ctx, platform.KeyConfig, e.Revision, value, "")
		}
		if err == nil {
			break
		}
		sleep(ctx, 50*time.Millisecond)
	}
	s.record.mu.Lock()
	for n := int(s.latest.Load()) + 1; n <= s.number; n++ {
		s.record.acked[n] = time.Now()
	}
	s.record.mu.Unlock()
	s.latest.Store(int64(s.number))
}

// fault injects one fault, which ends beside the next ones.
func (s *soak) fault(ctx context.Context) {
	h := s.hosts[s.rng.IntN(len(s.hosts))]
	d := time.Duration(s.rng.Int64N(int64(faultMost)))
	kinds := s.kinds(ctx, h, d)
	names := make([]string, 0, len(kinds))
	for name := range kinds {
		names = append(names, name)
	}
	slices.Sort(names)
	name := names[s.rng.IntN(len(names))]
	s.o.Logf("%s at host %d for %v", name, h.number, d.Round(time.Millisecond))
	kinds[name]()
}

// during disturbs hosts, begins a fault and ends it after a time.
func (s *soak) during(ctx context.Context, d time.Duration, hosts []*host, begin, end func()) {
	for _, h := range hosts {
		h.disturb(time.Now(), d+settleBound)
	}
	begin()
	s.healing.Go(func() {
		sleep(ctx, d)
		end()
	})
}

func (s *soak) kinds(ctx context.Context, h *host, d time.Duration) map[string]func() {
	one := []*host{h}
	none := func() {}
	disturb := func(begin, end func()) func() { return func() { s.during(ctx, d, one, begin, end) } }
	hold := func(begin, end func()) func() {
		return func() {
			h.hold(time.Now(), d+settleBound)
			s.during(ctx, d, one, begin, end)
		}
	}
	storeFault := func(f store.Faults) func() {
		return func() {
			s.during(ctx, d, s.hosts, func() { s.store.SetFaults(f) }, func() { s.store.SetFaults(store.Faults{}) })
		}
	}
	signal := func(sig syscall.Signal) func() { return func() { h.signal(sig) } }
	return map[string]func(){
		// A planned stop disturbs nothing: its promises hold while it lasts.
		"stop":            signal(syscall.SIGTERM),
		"reload":          signal(syscall.SIGHUP),
		"kill":            disturb(signal(syscall.SIGKILL), none),
		"pause":           hold(signal(syscall.SIGSTOP), signal(syscall.SIGCONT)),
		"store down":      storeFault(store.Faults{Down: true}),
		"store slow":      storeFault(store.Faults{Delay: d / slowPart}),
		"replies lost":    storeFault(store.Faults{LostReplies: lostShare}),
		"store forgets":   func() { s.during(ctx, d, s.hosts, s.store.CompactHistory, none) },
		"leases lapse":    s.store.ExpireLeases,
		"store refuses":   disturb(func() { h.store.SetRefusing(true); h.store.ResetConnections() }, func() { h.store.SetRefusing(false) }),
		"store silent":    disturb(func() { h.store.Blackhole(true, true) }, none),
		"store one way":   disturb(func() { h.store.Blackhole(false, true) }, none),
		"backend slow":    hold(func() { h.backend.proxy.SetDelay(d / slowPart) }, func() { h.backend.proxy.SetDelay(0) }),
		"backend reset":   hold(h.backend.proxy.ResetConnections, none),
		"backend silent":  hold(func() { h.backend.proxy.Blackhole(true, true) }, none),
		"backend one way": hold(func() { h.backend.proxy.Blackhole(false, true) }, none),
		"backend crashes": disturb(h.backend.crash, h.backend.start),
		"backend leaves":  func() { s.healing.Go(func() { h.backend.leave(ctx, false) }) },
		"backend goes":    func() { s.healing.Go(func() { h.backend.leave(ctx, true) }) },
		"configuration":   func() { s.configure(ctx) },
	}
}
