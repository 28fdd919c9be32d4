// Package soak runs the real node as separate processes on loopback, injects
// faults from the outside, and checks the guarantees to callers and upstreams
// against what callers and backends observe.
package soak

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/daisytide/daisytide/internal/conn/kvstore"
	"github.com/daisytide/daisytide/internal/standin/store"
	"github.com/daisytide/daisytide/platform"
)

// Options configures one run.
type Options struct {
	Seed  uint64
	Hosts int
	// FaultDuration is how long faults are injected. The run lasts some seconds
	// longer, for start-up and recovery.
	FaultDuration time.Duration
	// Changes draws every other fault from changeFaults.
	Changes bool
	// Dir receives the nodes' settings and logs. Binary is the node's executable, and
	// Template the text of its settings with the platform's placeholders.
	Dir, Binary, Template string
	// Logf receives one line per injected fault or other event.
	Logf func(format string, args ...any)
}

const (
	// startupTime is how long the nodes have to find each other.
	startupTime = 4 * time.Second
	// settleTime is how long the fleet has to recover after the last fault,
	// before its requests must be served: recover_s of the smallest deployments.
	settleTime = 10 * time.Second
	// servedCheckTime is the time after settleTime in which they must be.
	servedCheckTime = 4 * time.Second
	// maxRecoveryChecks limits how often the final check is repeated because the
	// machine itself stalled during it.
	maxRecoveryChecks = 6
	callersPerHost    = 3
	// meanFaultInterval is the mean time between the starts of two faults, which
	// may overlap.
	meanFaultInterval = 700 * time.Millisecond
	maxFaultDuration  = 4 * time.Second
	// delayDivisor gives the injected delay: the fault's duration divided by it.
	delayDivisor = 40
	// lostReplyShare is the share of store writes that take effect while their
	// reply is lost.
	lostReplyShare = 0.3
	// minTurnedAway and maxTurnedAway bound the share of the hosts that the store turns
	// away while it serves few, and minServesFew and maxServesFew how long.
	minTurnedAway, maxTurnedAway = 0.35, 0.95
	minServesFew, maxServesFew   = 4 * time.Second, 9 * time.Second
)

// changeFaults are the faults of series of changes beside a store that serves few.
var changeFaults = []string{"configurations in series", "store serves few"}

var services = []string{"s0", "s1", "s2"}

// soak is one run.
type soak struct {
	options Options
	rng     *rand.Rand
	store   *store.Store
	hosts   []*host
	checker *checker
	// busyAddress is where a server answers busyStatus to all calls of the store's protocol.
	busyAddress, storeAddress string
	busyStatus                atomic.Int64
	// servesFew and inSeries are set while these faults are in progress.
	servesFew, inSeries atomic.Bool
	// configMu is held while a configuration is written.
	configMu sync.Mutex
	// storeDisturbances are the times in which the store was disturbed, each with the
	// recoveryTime after it. Those in which it was down or slow are disturbances of all
	// hosts instead.
	storeMu           sync.Mutex
	storeDisturbances []timeRange
	// faultEnds waits for the faults still in progress.
	faultEnds sync.WaitGroup
	stalls    stallDetector
}

// Run executes one seed and returns a message for each violated guarantee.
func Run(ctx context.Context, o Options) ([]string, error) {
	s := &soak{options: o, rng: rand.New(rand.NewPCG(o.Seed, 6)), store: store.New(o.Seed)}
	s.stalls.onStall = s.markStalled
	s.checker = newChecker(
		func(n int, from, to time.Time) bool { return s.hosts[n].undisturbed(from, to) },
		func(n int, from, to time.Time) bool { return s.hosts[n].calm(from, to) && s.storeCalm(from, to) })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer l.Close()
	go func() { _ = (&http.Server{Handler: s.store.Handler()}).Serve(l) }()
	busy, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer busy.Close()
	s.busyAddress = busy.Addr().String()
	go s.serveBusy(busy)
	for i := range o.Hosts {
		h, err := newHost(i, o, services[i%len(services)], l.Addr().String(), s.checker)
		if err != nil {
			return nil, err
		}
		s.hosts = append(s.hosts, h)
	}
	s.storeAddress = l.Addr().String()
	s.applyNextConfig(ctx, s.rng)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, runCtx := errgroup.WithContext(ctx)
	g.Go(func() error {
		s.stalls.watch(runCtx)
		return nil
	})
	for _, h := range s.hosts {
		g.Go(func() error { return h.run(runCtx) })
		g.Go(func() error {
			h.backend.sendHeartbeats(runCtx)
			return nil
		})
	}
	sleep(runCtx, startupTime)
	var ids atomic.Int64
	callCtx, stopCalls := context.WithCancel(runCtx)
	defer stopCalls()
	for i, h := range s.hosts {
		for k := range callersPerHost {
			c := newCaller(h, s.checker, &ids)
			g.Go(func() error {
				c.run(callCtx, o.Seed+uint64(100*i+k))
				return nil
			})
		}
	}
	for end := time.Now().Add(o.FaultDuration); time.Now().Before(end) && runCtx.Err() == nil; {
		s.injectFault(runCtx)
		sleep(runCtx, time.Duration(s.rng.ExpFloat64()*float64(meanFaultInterval)))
	}
	s.faultEnds.Wait()
	recovered := s.awaitRecovery(runCtx)
	stopCalls()
	sleep(runCtx, callerTimeout)
	s.checker.checkAtEnd(recovered)
	cancel()
	var shutdowns sync.WaitGroup
	for _, h := range s.hosts {
		shutdowns.Go(h.shutDown)
	}
	shutdowns.Wait()
	if err := g.Wait(); err != nil {
		return nil, err
	}
	return s.checker.violations, nil
}

// awaitRecovery waits for the fleet to recover and returns the time range in
// which calls must be served. When the whole machine stalled meanwhile, the
// result would say nothing about the nodes, so it waits for another range; it
// returns an empty one if there is none.
func (s *soak) awaitRecovery(ctx context.Context) timeRange {
	for range maxRecoveryChecks {
		settling := time.Now()
		sleep(ctx, settleTime)
		from := time.Now()
		sleep(ctx, servedCheckTime)
		if !s.stalls.stalledSince(settling) {
			return timeRange{from, time.Now()}
		}
		s.options.Logf("the machine stalled for %v in total, most recently %v ago", s.stalls.totalStalled(), time.Since(s.stalls.lastStallTime()))
	}
	s.checker.addViolation("recover: not checked, the machine stalled for %v in total", s.stalls.totalStalled())
	return timeRange{}
}

// markStalled treats a stall of the machine as a pause of every host.
func (s *soak) markStalled(from time.Time, d time.Duration) {
	for _, h := range s.hosts {
		h.markDisturbed(from, d+recoveryTime)
		h.markDelayed(from, d+recoveryTime)
	}
}

// oddEntries are keys and values that another writer may leave in the store.
var oddEntries = []struct{ key, value string }{
	{kvstore.PrefixNodes + "10.255.0.1:65536", "\xa5\x01\x70" + "10.255.0.1:65536" + "\x03\x62c0\x05\x01\x06\x00\x07\x01"},
	{kvstore.PrefixNodes + "deep", strings.Repeat("\x81", 100_000)},
	{kvstore.PrefixNodes + "json", `{"address":"10.255.0.2:7600","state":1e400}`},
	{kvstore.PrefixNodes + "empty", ""},
	{platform.PrefixRolloutOrder + "s0", `{"service":"s0","target_version":"v1","ramp_s":-1}`},
	{platform.PrefixRolloutOrder + "s1", strings.Repeat(`{"service":`, 100_000)},
}

// putOddEntry writes an odd entry to the store and deletes it after d.
func (s *soak) putOddEntry(ctx context.Context, d time.Duration) {
	odd := oddEntries[s.rng.IntN(len(oddEntries))]
	e, err := s.store.CompareAndSwap(ctx, odd.key, 0, []byte(odd.value), "")
	if err != nil {
		s.options.Logf("the odd entry %s is not written: %v", odd.key, err)
		return
	}
	s.faultEnds.Go(func() {
		sleep(ctx, d)
		for ctx.Err() == nil {
			_, err := s.store.CompareAndSwap(ctx, odd.key, e.Revision, nil, "")
			if err == nil || kvstore.OutcomeOf(err) == kvstore.OutcomeConflict {
				return
			}
			sleep(ctx, 50*time.Millisecond)
		}
	})
}

// evacuate orders the evacuation of a data centre and removes the order d after the time
// by which it must be in force.
func (s *soak) evacuate(ctx context.Context, dataCentre string, d time.Duration) {
	key := platform.PrefixEvacuation + dataCentre
	e, err := s.store.CompareAndSwap(ctx, key, 0, []byte("{}"), "")
	if err != nil {
		s.options.Logf("the order to evacuate %s is not written: %v", dataCentre, err)
		if kvstore.OutcomeOf(err) != kvstore.OutcomeUnknown {
			return
		}
		// The reply was lost: the order may be in the store.
		for e.Revision == 0 && ctx.Err() == nil {
			if e, err = s.store.Get(ctx, key); err == nil && e.Revision == 0 {
				return
			}
			sleep(ctx, 50*time.Millisecond)
		}
	}
	s.checker.beginEvacuation(dataCentre)
	s.faultEnds.Go(func() {
		sleep(ctx, evacuationLimit+d)
		s.checker.endEvacuation(dataCentre)
		for ctx.Err() == nil {
			_, err := s.store.CompareAndSwap(ctx, key, e.Revision, nil, "")
			if err == nil || kvstore.OutcomeOf(err) == kvstore.OutcomeConflict {
				return
			}
			sleep(ctx, 50*time.Millisecond)
		}
	})
}

// injectFault starts one random fault; it ends in the background.
func (s *soak) injectFault(ctx context.Context) {
	h := s.hosts[s.rng.IntN(len(s.hosts))]
	d := time.Duration(s.rng.Int64N(int64(maxFaultDuration)))
	kinds := s.faultKinds(ctx, h, d)
	names := make([]string, 0, len(kinds))
	for name := range kinds {
		names = append(names, name)
	}
	slices.Sort(names)
	if s.options.Changes && s.rng.IntN(2) == 0 {
		names = changeFaults
	}
	name := names[s.rng.IntN(len(names))]
	s.options.Logf("%s at host %d for %v", name, h.number, d.Round(time.Millisecond))
	kinds[name]()
}

// injectFor marks hosts as disturbed, begins a fault and ends it after d.
func (s *soak) injectFor(ctx context.Context, d time.Duration, hosts []*host, begin, end func()) {
	for _, h := range hosts {
		h.markDisturbed(time.Now(), d+recoveryTime)
	}
	begin()
	s.faultEnds.Go(func() {
		sleep(ctx, d)
		end()
		for _, h := range hosts {
			h.markDisturbed(time.Now(), recoveryTime)
		}
	})
}

// disturbStore records that the store is disturbed now.
func (s *soak) disturbStore() {
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	s.storeDisturbances = append(s.storeDisturbances, timeRange{time.Now(), time.Now().Add(recoveryTime)})
}

// storeCalm reports whether the store had been calm for recoveryTime at all times between
// from and to.
func (s *soak) storeCalm(from, to time.Time) bool {
	s.storeMu.Lock()
	defer s.storeMu.Unlock()
	return noneIncludes(s.storeDisturbances, from, to)
}

// serveBusy answers every call as a store that is busy. It keeps no connection, so that
// none outlasts the fault.
func (s *soak) serveBusy(l net.Listener) {
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(int(s.busyStatus.Load()))
	})}
	server.SetKeepAlivesEnabled(false)
	_ = server.Serve(l)
}

// serveFew makes the store turn away a share of the hosts, in one of the ways that the
// platform names, while it serves the others and the operator, who begins a series of
// changes. It is no disturbance of the others. Two at a time could leave no host served.
func (s *soak) serveFew(ctx context.Context) {
	s.applyConfigsInSeries(ctx)
	if !s.servesFew.CompareAndSwap(false, true) {
		s.options.Logf("the store serves few already")
		return
	}
	share := minTurnedAway + s.rng.Float64()*(maxTurnedAway-minTurnedAway)
	n := min(max(1, int(share*float64(len(s.hosts))+0.5)), len(s.hosts)-1)
	var away []*host
	var served []int
	for i, k := range s.rng.Perm(len(s.hosts)) {
		if i < n {
			away = append(away, s.hosts[k])
		} else {
			served = append(served, k)
		}
	}
	ways := []string{"with 503", "with 429", "with a reset", "in silence"}
	way := s.rng.IntN(len(ways))
	d := between(s.rng, minServesFew, maxServesFew)
	s.options.Logf("the store turns hosts away %s for %v and serves hosts %v", ways[way], d.Round(time.Millisecond), served)
	s.injectFor(ctx, d, away, func() {
		s.busyStatus.Store([]int64{http.StatusServiceUnavailable, http.StatusTooManyRequests, 0, 0}[way])
		for _, h := range away {
			switch way {
			case 0, 1:
				h.store.SetTarget(s.busyAddress)
				h.store.ResetConnections()
			case 2:
				h.store.SetRefusing(true)
				h.store.ResetConnections()
			case 3:
				h.store.SetSilent(true)
			}
		}
	}, func() {
		for _, h := range away {
			h.store.SetTarget(s.storeAddress)
			h.store.SetRefusing(false)
			h.store.SetSilent(false)
			h.store.ResetConnections()
		}
		s.servesFew.Store(false)
	})
}

// faultKinds returns the faults that can be injected at h, by name. Renaming one
// can change which faults a seed draws, because injectFault sorts the names.
func (s *soak) faultKinds(ctx context.Context, h *host, d time.Duration) map[string]func() {
	one := []*host{h}
	noop := func() {}
	disturb := func(begin, end func()) func() { return func() { s.injectFor(ctx, d, one, begin, end) } }
	disturbAndDelay := func(begin, end func()) func() {
		return func() {
			h.markDelayed(time.Now(), d+recoveryTime)
			s.injectFor(ctx, d, one, begin, end)
		}
	}
	storeFault := func(f store.Faults) func() {
		return func() {
			s.injectFor(ctx, d, s.hosts, func() { s.store.SetFaults(f) }, func() { s.store.SetFaults(store.Faults{}) })
		}
	}
	silence := func(toStore bool) func() {
		return func() {
			h.markDisturbed(time.Now(), recoveryTime)
			h.store.Blackhole(toStore, true)
		}
	}
	leave := func(d departure) func() {
		return func() { s.faultEnds.Go(func() { h.backend.drainAndRestart(ctx, d) }) }
	}
	signal := func(sig syscall.Signal) func() { return func() { h.signal(sig) } }
	return map[string]func(){
		// A planned stop is no disturbance: the guarantees hold throughout.
		"stop":            signal(syscall.SIGTERM),
		"reload":          signal(syscall.SIGHUP),
		"kill":            disturb(signal(syscall.SIGKILL), noop),
		"pause":           disturbAndDelay(signal(syscall.SIGSTOP), signal(syscall.SIGCONT)),
		"store down":      storeFault(store.Faults{Down: true}),
		"store slow":      storeFault(store.Faults{Delay: d / delayDivisor}),
		"replies lost":    storeFault(store.Faults{LostReplies: lostReplyShare}),
		"store forgets":   func() { s.disturbStore(); s.store.CompactHistory() },
		"leases lapse":    func() { s.disturbStore(); s.store.ExpireLeases() },
		"store refuses":   disturb(func() { h.store.SetRefusing(true); h.store.ResetConnections() }, func() { h.store.SetRefusing(false) }),
		"store silent":    silence(true),
		"store one way":   silence(false),
		changeFaults[1]:   func() { s.serveFew(ctx) },
		"backend slow":    disturbAndDelay(func() { h.backend.proxy.SetDelay(d / delayDivisor) }, func() { h.backend.proxy.SetDelay(0) }),
		"backend reset":   disturbAndDelay(h.backend.proxy.ResetConnections, noop),
		"backend silent":  disturbAndDelay(func() { h.backend.proxy.Blackhole(true, true) }, noop),
		"backend one way": disturbAndDelay(func() { h.backend.proxy.Blackhole(false, true) }, noop),
		"backend crashes": disturb(h.backend.crash, h.backend.start),
		"backend endless": disturbAndDelay(func() { h.backend.endless.Store(true) }, func() { h.backend.endless.Store(false) }),
		// Entries of another writer are no disturbance: the guarantees hold throughout.
		"odd entry":      func() { s.putOddEntry(ctx, d) },
		"backend leaves": leave(departure{}),
		"backend goes":   leave(departure{skipDrain: true}),
		// Their late heartbeats reach the next process of the node.
		"backend leaves, node stopped": leave(departure{nodeSignal: syscall.SIGTERM}),
		"backend goes, node killed":    leave(departure{skipDrain: true, nodeSignal: syscall.SIGKILL}),
		// Only the memory of the nodes holds this departure, until it is lost with all of
		// them.
		"backend goes, store away, all nodes killed": func() {
			storeFault(store.Faults{Down: true})()
			leave(departure{skipDrain: true, nodeSignal: syscall.SIGKILL, others: without(s.hosts, h)})()
		},
		"configuration": func() {
			rng := rand.New(rand.NewPCG(s.rng.Uint64(), 8))
			s.faultEnds.Go(func() { s.applyNextConfig(ctx, rng) })
		},
		changeFaults[0]: func() { s.applyConfigsInSeries(ctx) },
		"evacuation":    func() { s.evacuate(ctx, h.dataCentre, d) },
	}
}

// without returns the hosts but one.
func without(hosts []*host, h *host) []*host {
	return slices.DeleteFunc(slices.Clone(hosts), func(o *host) bool { return o == h })
}
