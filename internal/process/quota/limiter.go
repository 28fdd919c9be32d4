package quota

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/internal/conn/rpc"
	"github.com/daisytide/daisytide/internal/logs"
	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/version/snapshot"
	"github.com/daisytide/daisytide/internal/version/traffic"
)

const logPrefix = "quota: "

const (
	// maxAskWait is how long a request waits for an owner's reply. The reply usually
	// comes after a round trip, but later from a host that is short of CPU time or
	// whose link is full. A refusal costs the caller more than the wait.
	maxAskWait = 100 * time.Millisecond
	// askTimeout bounds a message to an owner.
	askTimeout = 300 * time.Millisecond
	// fleetInterval is the time between two looks at the members.
	fleetInterval = 100 * time.Millisecond
	// fleetMaxAge is the time after which the members are counted anew even if none
	// has changed, because lost ones cease to count.
	fleetMaxAge = time.Second
	// lostProbeInterval and maxLostProbes bound the probes of lost nodes.
	lostProbeInterval = time.Second
	maxLostProbes     = 8
)

// Limiter limits the requests of client accounts at this node and owns a part of the
// accounts. It implements ingress.Limiter.
type Limiter struct {
	// Self is this node's peer address.
	Self string
	// Members returns the records of all nodes, including those that are gone.
	Members func() []membership.Record
	// Generation returns a number that changes with the members and their states.
	Generation func() uint64
	RPC        rpc.Invoker
	// Joined reports whether the node knows others, or knows that there are none.
	// Before that it cannot tell its share.
	Joined func() bool

	mu       sync.Mutex
	borrower *Borrower
	fleet    *Fleet
	lanes    map[string]*lane
	lost     []string
	// changed wakes Run when there may be new owners.
	changed chan struct{}
	// generation and joined are those of the last look at the members, at updatedAt.
	generation uint64
	joined     bool
	updatedAt  time.Time
	// enabled is set if the configuration limits an account.
	enabled atomic.Bool

	ownerMu sync.Mutex
	owner   *Owner

	counters counters
}

// lane sends the messages to one owner, one at a time.
type lane struct {
	wake chan struct{}
	// replied is closed at the end of each exchange.
	replied chan struct{}
	stop    context.CancelFunc
}

// Start prepares a limiter; start must be greater than that of each earlier process of
// the node.
func (l *Limiter) Start(start uint64, now time.Time) {
	l.borrower, l.owner = NewBorrower(l.Self, start, now), NewOwner(l.Self, start, now)
	l.borrower.onLimited = logLimited
	l.fleet, l.lanes, l.changed = NewFleet(), map[string]*lane{}, make(chan struct{}, 1)
	l.counters.init()
}

// logLimited logs that an account begins or ceases to be limited here.
func logLimited(account string, limited bool, refused uint64) {
	if limited {
		slog.Warn(logPrefix+"account is limited", logs.FieldAccount, account)
		return
	}
	slog.Info(logPrefix+"account is no longer limited", logs.FieldAccount, account, logs.FieldRefused, refused)
}

// ApplySnapshot puts the limits of a configuration into force.
func (l *Limiter) ApplySnapshot(s *snapshot.Snapshot) {
	if s.Traffic == nil {
		return
	}
	accounts := newLimits(s.Traffic.Config.Accounts)
	l.mu.Lock()
	l.borrower.setLimits(accounts)
	l.mu.Unlock()
	l.ownerMu.Lock()
	l.owner.setLimits(accounts, time.Now())
	l.ownerMu.Unlock()
	l.enabled.Store(len(accounts) > 0)
}

// Take acquires capacity for one request. It waits for an owner, for maxAskWait at
// most, only if the node holds no token and the owner has not just denied one. If
// there is no capacity, retryAfter says when to retry.
func (l *Limiter) Take(ctx context.Context, t *traffic.Account, now time.Time) (ok bool, retryAfter time.Duration) {
	if t == nil || t.Rate <= 0 {
		return true, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	d, owner := l.borrower.Take(t, now)
	if d == mustAsk {
		d = l.ask(ctx, t, owner)
	}
	a := l.borrower.account(t, now)
	if d == admitted {
		a.admitted++
		l.counters.count(t.Name, true)
		return true, 0
	}
	a.refused++
	a.lastRefused = now
	l.counters.count(t.Name, false)
	return false, l.borrower.retryAfter(a, rand.Float64())
}

// ask waits for the reply of an owner and decides again. The caller holds mu, which
// is released meanwhile.
func (l *Limiter) ask(ctx context.Context, t *traffic.Account, owner string) decision {
	timeout := time.NewTimer(maxAskWait)
	defer timeout.Stop()
	began := time.Now()
	l.counters.waits.Add(1)
	for {
		a := l.borrower.account(t, began)
		lane, link := l.lanes[owner], l.borrower.links[owner]
		if lane == nil || link == nil {
			return refused
		}
		link.urgent = true
		notify(lane.wake)
		replied := lane.replied
		a.waiting++
		l.mu.Unlock()
		expired := false
		select {
		case <-replied:
		case <-timeout.C:
			expired = true
		case <-ctx.Done():
			expired = true
		}
		l.mu.Lock()
		a.waiting--
		d, next := l.borrower.take(l.borrower.account(t, began), time.Now())
		switch {
		case d != mustAsk:
			return d
		case expired:
			return refused
		}
		owner = next
	}
}

// notify wakes the receiver of a channel with room for one element.
func notify(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// Return releases the capacity of a request that certainly did not run.
func (l *Limiter) Return(t *traffic.Account, now time.Time) {
	if t == nil || t.Rate <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.borrower.Return(t, now)
}

// HandleAsk answers the message of a node.
func (l *Limiter) HandleAsk(_ context.Context, a Ask) (Reply, error) {
	if err := a.validate(); err != nil {
		return Reply{}, err
	}
	l.ownerMu.Lock()
	defer l.ownerMu.Unlock()
	l.counters.answered.Add(1)
	return l.owner.Answer(&a, time.Now()), nil
}

// Run exchanges messages with the owners until ctx ends.
func (l *Limiter) Run(ctx context.Context) error {
	var lanes sync.WaitGroup
	defer lanes.Wait()
	var probedAt time.Time
	for ctx.Err() == nil {
		if l.enabled.Load() {
			now := time.Now()
			lost := l.update(ctx, &lanes, now)
			if len(lost) > 0 && now.Sub(probedAt) >= lostProbeInterval {
				probedAt = now
				l.probeLost(ctx, lost)
			}
		}
		timer := time.NewTimer(fleetInterval)
		select {
		case <-ctx.Done():
		case <-l.changed:
		case <-timer.C:
		}
		timer.Stop()
	}
	return nil
}

// update takes the members into account and starts a lane for each owner. It returns
// the lost nodes.
func (l *Limiter) update(ctx context.Context, lanes *sync.WaitGroup, now time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if generation, joined := l.Generation(), l.Joined(); generation != l.generation || joined != l.joined || now.Sub(l.updatedAt) >= fleetMaxAge {
		l.generation, l.joined, l.updatedAt = generation, joined, now
		nodes, size, lost := l.fleet.Update(l.Members(), now)
		if !joined {
			size = 0
		}
		l.lost = lost
		l.borrower.SetFleet(nodes, size)
		l.ownerMu.Lock()
		l.owner.setFleet(size)
		l.ownerMu.Unlock()
	}
	l.borrower.Step(now)
	l.borrower.Sweep(now)
	owners := l.borrower.Owners()
	for o, s := range l.lanes {
		if !owners[o] {
			s.stop()
			delete(l.lanes, o)
		}
	}
	for o := range owners {
		if s := l.lanes[o]; s != nil {
			notify(s.wake)
			continue
		}
		laneCtx, stop := context.WithCancel(ctx)
		s := &lane{wake: make(chan struct{}, 1), replied: make(chan struct{}), stop: stop}
		l.lanes[o] = s
		lanes.Go(func() { l.runLane(laneCtx, o, s) })
	}
	return l.lost
}

// runLane sends the messages to one owner.
func (l *Limiter) runLane(ctx context.Context, owner string, s *lane) {
	for {
		l.mu.Lock()
		due, ok := l.borrower.Due(owner)
		l.mu.Unlock()
		if !ok {
			due = time.Now().Add(minPeriod)
		}
		timer := time.NewTimer(time.Until(due))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-s.wake:
			timer.Stop()
			if l.isDue(owner) {
				l.exchange(ctx, owner, s)
			}
		case <-timer.C:
			if l.isDue(owner) {
				l.exchange(ctx, owner, s)
			}
		}
	}
}

func (l *Limiter) isDue(owner string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	due, ok := l.borrower.Due(owner)
	return ok && !due.After(time.Now())
}

// exchange sends one message to an owner and applies the reply.
func (l *Limiter) exchange(ctx context.Context, owner string, s *lane) {
	l.mu.Lock()
	ask := l.borrower.Compose(owner, time.Now())
	l.mu.Unlock()
	var reply Reply
	var err error
	if owner == l.Self {
		reply, err = l.HandleAsk(ctx, *ask)
	} else {
		l.counters.sent.Add(1)
		callCtx, cancel := context.WithTimeout(ctx, askTimeout)
		err = l.RPC.Call(callCtx, owner, Method, ask, &reply)
		cancel()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.counters.failed.Add(1)
		klog.V(1).Infof(logPrefix+"ask owner %s: %v", owner, err)
		l.borrower.Fail(owner, errors.Is(err, syscall.ECONNREFUSED), time.Now())
	} else {
		l.borrower.Apply(owner, reply, time.Now())
	}
	for o := range l.borrower.links {
		if l.lanes[o] == nil {
			notify(l.changed)
			break
		}
	}
	close(s.replied)
	s.replied = make(chan struct{})
}

// probeLost finds out which lost nodes have ended: their hosts refuse connections. A
// node that is cut off does not answer at all, and may still serve its share.
func (l *Limiter) probeLost(ctx context.Context, lost []string) {
	rand.Shuffle(len(lost), func(i, j int) { lost[i], lost[j] = lost[j], lost[i] })
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var probes sync.WaitGroup
	for _, address := range lost[:min(len(lost), maxLostProbes)] {
		probes.Go(func() {
			var reply Reply
			err := l.RPC.Call(ctx, address, Method, &Ask{Node: l.Self, Fleet: 1, LeaseMillis: 1}, &reply)
			if errors.Is(err, syscall.ECONNREFUSED) {
				l.mu.Lock()
				l.fleet.Ended(address)
				l.mu.Unlock()
			}
		})
	}
	probes.Wait()
}
