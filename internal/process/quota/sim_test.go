package quota

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/version/traffic"
)

// sim runs nodes in virtual time: messages take time and may be lost, duplicated or
// cut off; nodes are paused, killed and started.
type sim struct {
	now    time.Time
	events eventQueue
	rng    *rand.Rand
	nodes  []*simNode
	faults simFaults

	// onAnswer, if set, is called with each message between nodes and its reply.
	onAnswer func(*Ask, Reply)
	// scheme, if set, decides in place of the nodes' borrowers and owners.
	scheme scheme

	accounts []*simAccount
	// goneAfter is when the others take a silent node for gone.
	goneAfter time.Duration
	// fullest is the highest part of a bound that was reached.
	fullest  float64
	messages uint64

	waits uint64
	// reasons counts the refused requests of accounts that keep to their usual rate.
	reasons map[string]int
	order   uint64
}

// simFaults are the faults of the network.
type simFaults struct {
	lost, duplicated, late float64
}

type simNode struct {
	s           *sim
	address     string
	group       int
	up, leaving bool
	// configured is set when the process has a configuration.
	configured  bool
	pausedUntil time.Time
	killedAt    time.Time
	borrower    *Borrower
	owner       *Owner
	fleet       *Fleet
	starts      uint64
	waits       []*simWait
	lostAt      []time.Time
	limits      limits
	steppedAt   time.Time
}

type simWait struct {
	account  *simAccount
	state    *account
	deadline time.Time
}

// simAccount is an account with the requests that it sends.
type simAccount struct {
	traffic.Account
	// usual is the rate of its requests; factor multiplies it at times.
	usual, factor float64
	// sites, if not 0, is the number of nodes that get its requests.
	sites             int
	offered, declined int
	runs              []time.Time
	// checkFrom is when the limit in Account binds all nodes.
	checkFrom time.Time
}

type event struct {
	at    time.Time
	order uint64
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

var simStart = time.Unix(1_000_000, 0)

// simAddress returns the address of a node.
func simAddress(i int) string { return fmt.Sprintf("10.%d.%d.%d:7240", i%3, i/250, i%250) }

// newSim returns nodes that know each other and have been up for a while.
func newSim(seed uint64, nodes int) *sim {
	s := &sim{now: simStart, reasons: map[string]int{}, rng: rand.New(rand.NewPCG(seed, 1)), goneAfter: 9 * time.Second}
	for i := range nodes {
		n := &simNode{s: s, address: simAddress(i), lostAt: make([]time.Time, nodes)}
		s.nodes = append(s.nodes, n)
	}
	for _, n := range s.nodes {
		n.boot()
		n.configured = true
		s.after(time.Duration(s.rng.Float64()*float64(simTick)), n.tick)
	}
	return s
}

func (s *sim) after(d time.Duration, run func()) {
	s.order++
	heap.Push(&s.events, event{s.now.Add(d), s.order, run})
}

// run runs the simulation for a time.
func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// add adds an account with a limit of 1.6 times its usual rate.
func (s *sim) add(name string, usual, burst float64) *simAccount {
	a := &simAccount{Account: traffic.Account{Name: name, Rate: 1.6 * usual, Burst: burst}, usual: usual, factor: 1, checkFrom: s.now}
	s.accounts = append(s.accounts, a)
	for _, n := range s.nodes {
		n.setLimits()
	}
	s.after(0, func() { s.arrive(a) })
	return a
}

// limit changes an account's limit; the nodes learn of it within a second.
func (s *sim) limit(a *simAccount, rate, burst float64) {
	a.Rate, a.Burst = rate, burst
	for _, n := range s.nodes {
		s.after(time.Duration(s.rng.Float64()*float64(time.Second)), n.setLimits)
	}
	a.checkFrom = s.now.Add(time.Second + window)
}

const window = 5 * time.Second

// arrive sends a request of an account to a random node.
func (s *sim) arrive(a *simAccount) {
	sites := len(s.nodes)
	if a.sites > 0 {
		sites = a.sites
	}
	n := s.nodes[s.rng.IntN(sites)]
	if n.up && n.configured && !n.paused() {
		a.offered++
		n.request(a)
	}
	if rate := a.usual * a.factor; rate > 0 {
		s.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), func() { s.arrive(a) })
		return
	}
	s.after(time.Second, func() { s.arrive(a) })
}

func (n *simNode) paused() bool { return n.s.now.Before(n.pausedUntil) }

func (n *simNode) setLimits() {
	accounts := make([]traffic.Account, 0, len(n.s.accounts))
	for _, a := range n.s.accounts {
		accounts = append(accounts, a.Account)
	}
	n.limits = newLimits(accounts)
	if n.up && n.configured {
		n.borrower.setLimits(n.limits)
		n.owner.setLimits(n.limits, n.s.now)
	}
}

// boot starts a process without any state.
func (n *simNode) boot() {
	n.up, n.leaving = true, false
	n.starts++
	n.borrower, n.owner, n.fleet = NewBorrower(n.address, n.starts, n.s.now), NewOwner(n.address, n.starts, n.s.now), NewFleet()
	n.waits, n.steppedAt, n.configured = nil, time.Time{}, n.s.scheme != nil
}

// configure gives a node that has started the configuration of the store, or that of a
// node that it reaches.
func (n *simNode) configure() {
	n.configured = n.group == 0 || slices.ContainsFunc(n.s.nodes, func(m *simNode) bool { return m.up && m.configured && n.reaches(m) })
	if !n.configured {
		return
	}
	n.setLimits()
	if n.group == 0 {
		// The list of the store has an entry of each node that was up lately.
		var entries []membership.Record
		for _, m := range n.s.nodes {
			if m.up || n.s.now.Sub(m.killedAt) < storeLease {
				entries = append(entries, membership.Record{Address: m.address, State: membership.Alive})
			}
		}
		n.fleet.Update(entries, n.s.now)
	}
}

// storeLease is how long the store keeps the entry of a node that has ended.
const storeLease = 20 * time.Second

// kill ends the process; what waits there gets no answer.
func (n *simNode) kill() {
	if n.up {
		n.killedAt = n.s.now
	}
	n.up, n.waits = false, nil
}

func (n *simNode) reaches(m *simNode) bool { return m == n || n.group == m.group }

func (n *simNode) request(a *simAccount) {
	if n.s.scheme != nil {
		if n.s.scheme.take(n, a) {
			n.admit(a)
		} else {
			n.decline(a)
		}
		return
	}
	d, _ := n.borrower.Take(&a.Account, n.s.now)
	state := n.borrower.accounts[a.Name]
	switch d {
	case admitted:
		n.admit(a)
	case refused:
		n.decline(a)
	default:
		n.s.waits++
		w := &simWait{a, state, n.s.now.Add(maxAskWait)}
		state.waiting++
		n.waits = append(n.waits, w)
		n.s.after(maxAskWait, n.resolve)
		n.urge(a)
		n.pump()
	}
}

// decline counts a refused request by its reason.
func (n *simNode) decline(a *simAccount) {
	a.declined++
	if n.s.scheme != nil {
		return
	}
	b := n.borrower
	state := b.account(&a.Account, n.s.now)
	reason := "no list"
	if b.current != nil {
		l := b.links[b.current.owner(state.hash)]
		switch {
		case n.s.now.Before(state.deniedUntil):
			reason = "denied"
		case l == nil || l.excluded || !l.failingSince.IsZero():
			reason = "not reached"
		default:
			reason = "no reply in time"
		}
	}
	if a.factor == 1 {
		n.s.reasons[reason]++
	}
}

// urge marks the owner of an account as due.
func (n *simNode) urge(a *simAccount) {
	b := n.borrower
	if l := b.links[b.current.owner(b.account(&a.Account, n.s.now).hash)]; l != nil {
		l.urgent = true
	}
}

// admit records a run, except for the few requests that are refused later.
func (n *simNode) admit(a *simAccount) {
	const refusedLater = 0.02
	if n.s.rng.Float64() < refusedLater {
		starts := n.starts
		n.s.after(20*time.Millisecond, func() {
			if n.up && n.starts == starts && n.s.scheme == nil {
				n.borrower.Return(&a.Account, n.s.now)
			}
		})
		return
	}
	a.runs = append(a.runs, n.s.now)
}

// resolve decides again on the requests that wait.
func (n *simNode) resolve() {
	if !n.up || n.paused() {
		return
	}
	waits := n.waits
	n.waits = nil
	for _, w := range waits {
		w.state.waiting--
		d, _ := n.borrower.take(n.borrower.account(&w.account.Account, n.s.now), n.s.now)
		switch {
		case d == admitted:
			n.admit(w.account)
		case d == mustAsk && n.s.now.Before(w.deadline):
			w.state.waiting++
			n.waits = append(n.waits, w)
			n.urge(w.account)
		default:
			n.decline(w.account)
		}
	}
}

// simTick is the granularity of the nodes' timers.
const simTick = 20 * time.Millisecond

func (n *simNode) tick() {
	if n.s.scheme != nil {
		return
	}
	n.s.after(simTick, n.tick)
	if !n.up || n.paused() {
		return
	}
	if !n.configured {
		n.configure()
		return
	}
	if n.s.now.Sub(n.steppedAt) >= fleetInterval {
		n.steppedAt = n.s.now
		n.look()
	}
	n.pump()
}

// look takes the members into account.
func (n *simNode) look() {
	var records []membership.Record
	for i, m := range n.s.nodes {
		if m.up && n.reaches(m) {
			n.lostAt[i] = time.Time{}
			state := membership.Alive
			if m.leaving {
				state = membership.Leaving
			}
			records = append(records, membership.Record{Address: m.address, State: state})
			continue
		}
		if n.lostAt[i].IsZero() {
			n.lostAt[i] = n.s.now
		}
		if n.s.now.Sub(n.lostAt[i]) < n.s.goneAfter {
			records = append(records, membership.Record{Address: m.address, State: membership.Alive})
		}
	}
	nodes, size, lost := n.fleet.Update(records, n.s.now)
	for _, address := range lost {
		if m := n.s.node(address); !m.up && n.reaches(m) {
			n.fleet.Ended(address)
		}
	}
	if len(records) < 2 && n.group != 0 {
		// Limiter.Joined: a node alone does not know that there are no others.
		size = 0
	}
	n.borrower.SetFleet(nodes, size)
	n.owner.setFleet(size)
	n.borrower.Step(n.s.now)
	n.borrower.Sweep(n.s.now)
}

func (s *sim) node(address string) *simNode {
	i := slices.IndexFunc(s.nodes, func(n *simNode) bool { return n.address == address })
	return s.nodes[i]
}

// pump sends the messages that are due.
func (n *simNode) pump() {
	owners := make([]string, 0, len(n.borrower.links))
	for o, l := range n.borrower.links {
		if due, ok := n.borrower.Due(o); ok && l.pending == nil && !due.After(n.s.now) {
			owners = append(owners, o)
		}
	}
	slices.Sort(owners)
	for _, o := range owners {
		n.send(o)
	}
}

// delay returns the time that a message takes: 0.3 to 1 ms, and up to a second for
// some.
func (s *sim) delay() time.Duration {
	if s.rng.Float64() < s.faults.late {
		return time.Duration(s.rng.Float64() * float64(time.Second))
	}
	return time.Duration((0.3 + 0.7*s.rng.Float64()) * float64(time.Millisecond))
}

func (n *simNode) send(owner string) {
	s, b, starts := n.s, n.borrower, n.starts
	ask := b.Compose(owner, s.now)
	target := s.node(owner)
	if target == n {
		b.Apply(owner, n.owner.Answer(ask, s.now), s.now)
		n.resolve()
		return
	}
	s.messages++
	pending := b.links[owner].pending
	isPending := func() bool {
		l := b.links[owner]
		return n.up && n.starts == starts && l != nil && l.pending == pending
	}
	fail := func(closed bool) {
		if isPending() {
			b.Fail(owner, closed, s.now)
			n.resolve()
			n.pump()
		}
	}
	if !target.up && n.reaches(target) {
		s.after(time.Millisecond, func() { n.whenAwake(func() { fail(true) }) })
		return
	}
	s.after(askTimeout, func() { n.whenAwake(func() { fail(false) }) })
	copies := 1
	if s.rng.Float64() < s.faults.duplicated {
		copies = 2
	}
	for range copies {
		if s.rng.Float64() < s.faults.lost {
			continue
		}
		s.after(s.delay(), func() {
			target.whenAwake(func() {
				if !target.up || !n.reaches(target) {
					return
				}
				reply := target.owner.Answer(ask, s.now)
				if s.onAnswer != nil {
					s.onAnswer(ask, reply)
				}
				if s.rng.Float64() < s.faults.lost {
					return
				}
				s.after(s.delay(), func() {
					n.whenAwake(func() {
						if isPending() && n.reaches(target) {
							b.Apply(owner, reply, s.now)
							n.resolve()
							n.pump()
						}
					})
				})
			})
		})
	}
}

// whenAwake runs fn now, or when the node's pause has ended.
func (n *simNode) whenAwake(fn func()) {
	if n.paused() {
		n.s.after(n.pausedUntil.Sub(n.s.now), func() { n.whenAwake(fn) })
		return
	}
	fn()
}

// bound returns the number of requests of an account that may run in a window.
func (a *simAccount) bound() float64 { return (a.Rate*window.Seconds()+a.Burst)*1.1 + 20 }

// worst returns the highest number of runs in a window that begins after the limit
// binds, and when that window begins.
func (a *simAccount) worst() (most int, at time.Time) {
	first := 0
	slices.SortFunc(a.runs, time.Time.Compare)
	for last, t := range a.runs {
		for t.Sub(a.runs[first]) >= window || a.runs[first].Before(a.checkFrom) && first < last {
			first++
		}
		if n := last - first + 1; n > most && !a.runs[first].Before(a.checkFrom) {
			most, at = n, a.runs[first]
		}
	}
	return most, at
}

// declinedPart returns the part of the requests that was refused.
func (a *simAccount) declinedPart() float64 {
	return float64(a.declined) / math.Max(1, float64(a.offered))
}
