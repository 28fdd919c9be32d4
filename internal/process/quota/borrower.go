package quota

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/daisytide/daisytide/internal/version/traffic"
)

// Parameters of what a node holds in advance.
const (
	// demandTime is the time constant of the average of an account's demand at a node.
	demandTime = 2 * time.Second
	// holdPeriods times the period is the demand that a node holds tokens for.
	holdPeriods = 1.25
	// minHold is the expected demand from which tokens are held in advance; for less,
	// a request asks the owner.
	minHold = 0.2
	// firstDenial is how long the owner is not asked again after it had no token; the
	// time doubles up to the period, after maxDenials at most. A new owner has tokens
	// soon, while an account far over its quota must not cost a message per request.
	firstDenial = 40 * time.Millisecond
	maxDenials  = 5
	// targetDeviations is the number of standard deviations of the expected demand that
	// are held beyond it.
	targetDeviations = 0.8
	// idleTime is how long the state of an account without requests is kept.
	idleTime = 10 * time.Second
	// probeInterval is the time between two messages to an owner that is not reached.
	probeInterval = time.Second
	// clockMargin is added to the end of a lease for the interval at which owners drop
	// expired votes.
	clockMargin = 2 * recountInterval
)

// decision is the outcome of Borrower.Take.
type decision uint8

const (
	admitted decision = iota
	refused
	// mustAsk: the owner must be asked; the request waits for the reply.
	mustAsk
)

// Borrower decides what a node admits, what it asks of which owner, and to whom it
// lends its vote. It is not safe for concurrent use.
type Borrower struct {
	self   string
	start  uint64
	limits limits
	// fleet is the number of nodes that may hold a vote, and counted this node's own
	// count of them; 0 means that it is not known.
	fleet, counted int
	period, lease  time.Duration
	began          time.Time
	// voteFrom is when the votes of an earlier process of this node have expired.
	voteFrom time.Time

	// current is the list of owners in use; next, if not nil, replaces it once no
	// owner counts the vote for an account that next assigns to another one.
	current, next *electorate
	// nodes are those that may be owners. preferred is the list of owners among them,
	// and elected the one among those of them that are reached.
	nodes              []string
	preferred, elected *electorate
	// transition numbers the changes of the list.
	transition int
	sequence   uint64
	links      map[string]*ownerLink
	accounts   map[string]*account
	// inUse holds the same accounts in the order of their first requests.
	inUse []*account

	// onLimited is called when an account begins or ceases to be limited here.
	onLimited func(account string, limited bool, refused uint64)
}

// ownerLink is what a node knows of an owner.
type ownerLink struct {
	// start and clock are those of the latest reply, which was received at receivedAt.
	start, clock uint64
	receivedAt   time.Time
	// fleet is the number of nodes by the owner's count.
	fleet int
	// leaseEnd is when the last vote sent to the owner has expired.
	leaseEnd time.Time
	// knows holds the lists that the owner has acknowledged.
	knows map[uint64]bool
	// acked is the last transition that the owner has acknowledged.
	acked   int
	nextAt  time.Time
	urgent  bool
	pending *sentAsk
	// failingSince is when the owner was first not reached; excluded is set once it is
	// no longer taken for an owner.
	failingSince time.Time
	excluded     bool
}

// sentAsk is a message that has no reply yet.
type sentAsk struct {
	ask        *Ask
	at         time.Time
	transition int
	voted      bool
}

// account is the state of a client account at a node.
type account struct {
	name        string
	hash        uint64
	rate, burst float64
	// held tokens are valid until validUntil.
	held       int
	validUntil time.Time
	// demand is the average rate of requests at demandAt.
	demand   float64
	demandAt time.Time
	waiting  int
	// deniedUntil is how long the owner is not asked again; wait is what it announced.
	deniedUntil time.Time
	wait        time.Duration
	// denials counts the replies without a token since the last one with some.
	denials int
	// share is the node's own share of the bucket, for use without an owner.
	share   float64
	shareAt time.Time

	admitted, refused uint64
	lastRefused       time.Time
	limited           bool
	refusedAtStart    uint64
}

// NewBorrower returns a borrower; start must be greater than that of each earlier
// process of the node.
func NewBorrower(self string, start uint64, now time.Time) *Borrower {
	b := &Borrower{self: self, start: start, began: now, limits: limits{}, links: map[string]*ownerLink{}, accounts: map[string]*account{}}
	b.period, b.lease = timing(minOwners)
	b.voteFrom = now.Add(b.lease + clockMargin)
	return b
}

// setLimits puts limits into force. What is held beyond a lowered limit is dropped.
func (b *Borrower) setLimits(l limits) {
	b.limits = l
	for name, a := range b.accounts {
		limit, ok := l[name]
		if !ok {
			b.drop(a)
			continue
		}
		if limit.Rate < a.rate {
			a.held = int(float64(a.held) * limit.Rate / a.rate)
		}
		a.rate, a.burst = limit.Rate, limit.Burst
		a.deniedUntil = time.Time{}
	}
}

// account returns the state of an account, or nil if the account has no limit here.
func (b *Borrower) account(t *traffic.Account, now time.Time) *account {
	a := b.accounts[t.Name]
	if a == nil {
		a = &account{name: t.Name, hash: xxhash.Sum64String(t.Name), rate: t.Rate, burst: t.Burst, demandAt: now}
		if limit, ok := b.limits[t.Name]; ok {
			a.rate, a.burst = limit.Rate, limit.Burst
		}
		b.accounts[t.Name] = a
		b.inUse = append(b.inUse, a)
	}
	return a
}

func (b *Borrower) drop(a *account) {
	delete(b.accounts, a.name)
	b.inUse = slices.DeleteFunc(b.inUse, func(other *account) bool { return other == a })
}

// Take decides on a request. With mustAsk it returns the owner; the caller counts
// the request as waiting until a reply has come, and then calls retake.
func (b *Borrower) Take(t *traffic.Account, now time.Time) (decision, string) {
	a := b.account(t, now)
	a.observe(now, 1)
	return b.take(a, now)
}

// take decides without counting the request as demand.
func (b *Borrower) take(a *account, now time.Time) (decision, string) {
	if a.held > 0 && now.Before(a.validUntil) {
		a.held--
		return admitted, ""
	}
	a.held = 0
	if b.current == nil {
		return refused, ""
	}
	owner := b.current.owner(a.hash)
	link := b.links[owner]
	if b.useShare(a, link, now) {
		return admitted, ""
	}
	// An owner that has just not replied would only delay the request.
	if now.Before(a.deniedUntil) || link == nil || link.excluded || !link.failingSince.IsZero() {
		return refused, ""
	}
	return mustAsk, owner
}

// useShare takes a token of the node's own share of an account. The share accrues
// only while no owner can hold the node's vote for the account.
func (b *Borrower) useShare(a *account, link *ownerLink, now time.Time) bool {
	from := b.voteFrom
	if link != nil && link.leaseEnd.After(from) {
		from = link.leaseEnd
	}
	if b.fleet == 0 || !now.After(from) {
		a.share, a.shareAt = 0, time.Time{}
		return false
	}
	switch {
	case a.shareAt.IsZero():
		a.share, a.shareAt = 0, now
	case a.shareAt.Before(from):
		a.share, a.shareAt = 0, from
	}
	part := 1 / float64(b.fleet)
	a.share = min(capacity(a.rate, a.burst)*part, a.share+a.rate*part*now.Sub(a.shareAt).Seconds())
	a.shareAt = now
	if a.share < 1 {
		return false
	}
	a.share--
	return true
}

// Return gives back the token of a request that certainly did not run.
func (b *Borrower) Return(t *traffic.Account, now time.Time) {
	if a := b.accounts[t.Name]; a != nil && now.Before(a.validUntil) {
		a.held++
	}
}

// observe updates the average demand, which n requests have come at.
func (a *account) observe(now time.Time, n float64) {
	if elapsed := now.Sub(a.demandAt); elapsed > 0 {
		a.demand *= math.Exp(-elapsed.Seconds() / demandTime.Seconds())
		a.demandAt = now
	}
	a.demand += n / demandTime.Seconds()
}

// target returns how many tokens the node should hold.
func (b *Borrower) target(a *account) int {
	expected := a.demand * holdPeriods * b.period.Seconds()
	if expected < minHold {
		return 0
	}
	return int(math.Round(expected + targetDeviations*math.Sqrt(expected)))
}

// SetFleet sets the nodes that may be owners, and the number of nodes that may hold a
// vote; a size of 0 means that it is not known, and the node then lends no vote.
func (b *Borrower) SetFleet(nodes []string, size int) {
	b.nodes, b.counted = nodes, size
	b.countFleet()
	b.elected = nil
}

// countFleet takes the highest of the counts of this node and of the owners.
func (b *Borrower) countFleet() {
	b.fleet = b.counted
	for _, l := range b.links {
		if b.counted > 0 && !l.excluded {
			b.fleet = max(b.fleet, l.fleet)
		}
	}
}

// Step starts or completes a change of the list of owners, if one is due.
func (b *Borrower) Step(now time.Time) {
	if len(b.nodes) == 0 {
		return
	}
	if b.elected == nil {
		reached := make([]string, 0, len(b.nodes))
		for _, n := range b.nodes {
			if l := b.links[n]; l == nil || !l.excluded {
				reached = append(reached, n)
			}
		}
		b.preferred, b.elected = electOwners(b.nodes), electOwners(reached)
	}
	b.move(b.elected, now)
	b.setLinks(b.preferred, now)
}

// exclude sets whether a node is taken for an owner.
func (b *Borrower) exclude(l *ownerLink, excluded bool) {
	if l.excluded != excluded {
		l.excluded, b.elected = excluded, nil
	}
}

// move starts or completes the change to a list of owners.
func (b *Borrower) move(e *electorate, now time.Time) {
	if b.next != nil {
		if !b.moved(now) {
			return
		}
		b.current, b.next = b.next, nil
		b.adopt(now)
	}
	switch {
	case b.current == nil:
		b.current = e
		b.adopt(now)
	case e.id != b.current.id && len(e.addresses) > 0:
		b.next = e
		b.transition++
		for _, o := range b.current.addresses {
			b.link(o, now).nextAt = now
		}
	}
}

// moved reports whether each owner of the current list either has acknowledged the
// change or no longer has the vote.
func (b *Borrower) moved(now time.Time) bool {
	for _, o := range b.current.addresses {
		if l := b.links[o]; l != nil && l.acked != b.transition && !now.After(l.leaseEnd) {
			return false
		}
	}
	return true
}

// adopt makes the current list take effect.
func (b *Borrower) adopt(now time.Time) {
	b.period, b.lease = timing(len(b.current.addresses))
	if from := b.began.Add(b.lease + clockMargin); b.voteFrom.Before(from) && b.transition == 0 {
		b.voteFrom = from
	}
	for _, o := range b.current.addresses {
		b.link(o, now).nextAt = now
	}
	for _, a := range b.accounts {
		a.deniedUntil = time.Time{}
		a.share, a.shareAt = 0, time.Time{}
	}
}

func (b *Borrower) link(owner string, now time.Time) *ownerLink {
	l := b.links[owner]
	if l == nil {
		l = &ownerLink{knows: map[uint64]bool{}, nextAt: now}
		b.links[owner] = l
	}
	return l
}

// setLinks drops the links to nodes that are no longer owners, and keeps those to
// owners that are not reached, so that they are probed.
func (b *Borrower) setLinks(preferred *electorate, now time.Time) {
	keep := map[string]bool{}
	for _, e := range []*electorate{b.current, b.next} {
		if e != nil {
			for _, o := range e.addresses {
				keep[o] = true
				b.link(o, now)
			}
		}
	}
	for _, o := range preferred.addresses {
		keep[o] = true
	}
	for o, l := range b.links {
		if !keep[o] && l.pending == nil && now.After(l.leaseEnd) && (!l.excluded || now.Sub(l.failingSince) > voterTTL) {
			if l.excluded {
				b.elected = nil
			}
			delete(b.links, o)
		}
	}
}

// Owners returns the nodes that messages are sent to.
func (b *Borrower) Owners() map[string]bool {
	out := make(map[string]bool, len(b.links))
	for o := range b.links {
		out[o] = true
	}
	return out
}

// Due returns when the next message to an owner is due.
func (b *Borrower) Due(owner string) (time.Time, bool) {
	l := b.links[owner]
	if l == nil {
		return time.Time{}, false
	}
	if l.urgent && !l.excluded {
		return time.Time{}, true
	}
	return l.nextAt, true
}

// isOwner reports whether a node is an owner in the list in use.
func (b *Borrower) isOwner(node string) bool {
	if b.current == nil {
		return false
	}
	for _, o := range b.current.addresses {
		if o == node {
			return true
		}
	}
	return false
}

// Compose returns the next message to an owner. The caller reports its outcome by
// Apply or Fail before it calls Compose for the same owner again.
func (b *Borrower) Compose(owner string, now time.Time) *Ask {
	l := b.link(owner, now)
	b.sequence++
	a := &Ask{
		Node: b.self, Start: b.start, Sequence: b.sequence, Fleet: max(1, b.fleet),
		LeaseMillis: int(b.lease / time.Millisecond),
	}
	sent := &sentAsk{ask: a, at: now, transition: b.transition}
	interval := b.period
	if b.isOwner(owner) {
		b.addVote(a, l, sent, now)
		b.addWants(a, owner, now)
	}
	if l.excluded {
		interval = probeInterval
	}
	l.pending, l.urgent, l.nextAt = sent, false, now.Add(interval)
	return a
}

// addVote adds the node's vote, if it may be lent.
func (b *Borrower) addVote(a *Ask, l *ownerLink, sent *sentAsk, now time.Time) {
	lists := []*electorate{b.current}
	if b.next != nil {
		lists = append(lists, b.next)
	}
	known := true
	for _, e := range lists {
		a.Electorates = append(a.Electorates, e.id)
		known = known && l.knows[e.id]
	}
	if !known {
		for _, e := range lists {
			a.Owners = append(a.Owners, e.addresses)
		}
	}
	end := l.receivedAt.Add(b.lease)
	if b.fleet == 0 || l.clock == 0 || !now.After(b.voteFrom) || !end.After(now) {
		return
	}
	a.OwnerStart, a.OwnerClock, sent.voted = l.start, l.clock, true
	if end = end.Add(clockMargin); end.After(l.leaseEnd) {
		l.leaseEnd = end
	}
}

// addWants adds what the node needs of the owner's accounts.
func (b *Borrower) addWants(ask *Ask, owner string, now time.Time) {
	for _, a := range b.inUse {
		if b.current.owner(a.hash) != owner {
			continue
		}
		a.observe(now, 0)
		if !now.Before(a.validUntil) {
			a.held = 0
		}
		target := b.target(a) + a.waiting
		w := Want{Account: a.name}
		switch {
		case a.held < target:
			w.Tokens, w.Urgent = target-a.held, a.waiting
		case a.held > 2*target+1:
			w.Back = a.held - target
			a.held = target
		}
		w.Held = a.held
		refresh := a.held > 0 && a.validUntil.Sub(now) < 2*b.period
		if (w.Tokens > 0 || w.Back > 0 || refresh) && len(ask.Wants) < maxWants {
			ask.Wants = append(ask.Wants, w)
		}
	}
}

// Apply applies an owner's reply.
func (b *Borrower) Apply(owner string, r Reply, now time.Time) {
	l := b.links[owner]
	if l == nil || l.pending == nil {
		return
	}
	sent := l.pending
	l.pending, l.failingSince = nil, time.Time{}
	b.exclude(l, false)
	if l.start != r.Start {
		clear(l.knows)
	}
	first := l.clock == 0 || l.start != r.Start || now.Sub(l.receivedAt) >= b.lease
	l.start, l.clock, l.receivedAt, l.fleet = r.Start, r.Clock, now, min(max(r.Fleet, 0), maxFleet)
	b.countFleet()
	switch {
	case r.Unknown:
		clear(l.knows)
		l.nextAt = now
	default:
		for _, id := range sent.ask.Electorates {
			l.knows[id] = true
		}
		l.acked = sent.transition
		if first && !sent.voted && !now.Before(b.voteFrom) {
			l.nextAt = now
		}
	}
	if b.next != nil {
		b.Step(now)
	}
	if len(r.Grants) != len(sent.ask.Wants) {
		return
	}
	for i, w := range sent.ask.Wants {
		if a := b.accounts[w.Account]; a != nil {
			b.applyGrant(a, w, r.Grants[i], sent.at, now)
		}
	}
}

func (b *Borrower) applyGrant(a *account, w Want, g Grant, sentAt, now time.Time) {
	if g.Tokens < 0 || g.Tokens > w.Tokens {
		return
	}
	// The owner has counted what was held, so it is valid for another lease.
	if until := sentAt.Add(b.lease); until.After(a.validUntil) {
		a.validUntil = until
	}
	a.held += g.Tokens
	a.wait = time.Duration(g.WaitMillis) * time.Millisecond
	a.deniedUntil = time.Time{}
	if a.wait == 0 || g.Tokens > 0 {
		a.denials = 0
	}
	if a.wait > 0 {
		a.deniedUntil = now.Add(min(a.wait, b.period, firstDenial<<min(a.denials, maxDenials)))
		a.denials++
	}
}

// Fail records that a message got no reply. closed means that the owner's host
// refused the connection: no process runs there, so that nobody holds the vote.
func (b *Borrower) Fail(owner string, closed bool, now time.Time) {
	l := b.links[owner]
	if l == nil {
		return
	}
	l.pending = nil
	if l.failingSince.IsZero() {
		l.failingSince, l.nextAt = now, now
	}
	if closed {
		l.clock = 0
		if l.leaseEnd.After(now) {
			l.leaseEnd = now
		}
	}
	if closed || now.Sub(l.failingSince) >= b.lease {
		b.exclude(l, true)
		b.Step(now)
	}
}

// retryAfter returns when a refused caller should retry; u is uniform in [0, 1).
func (b *Borrower) retryAfter(a *account, u float64) time.Duration {
	base := a.wait
	if base <= 0 && a.rate > 0 {
		base = time.Duration(float64(time.Second) / a.rate)
	}
	base = min(max(base, minRetryAfter), maxRetryAfter)
	return time.Duration(float64(base) * (retryJitterMin + u))
}

// Bounds of the delay after which a refused caller retries: the owner's estimate
// times 0.5 to 1.5, so that the callers of an account do not return together.
const (
	minRetryAfter  = 200 * time.Millisecond
	maxRetryAfter  = maxWaitMillis * time.Millisecond
	retryJitterMin = 0.5
)

// limitedTime is how long after its last refusal an account counts as limited.
const limitedTime = 5 * time.Second

// Sweep reports accounts that begin or cease to be limited and drops idle ones.
func (b *Borrower) Sweep(now time.Time) {
	for name, a := range b.accounts {
		switch limited := now.Sub(a.lastRefused) < limitedTime; {
		case limited && !a.limited:
			a.limited, a.refusedAtStart = true, a.refused-1
			b.report(name, a)
		case !limited && a.limited:
			a.limited = false
			b.report(name, a)
		}
		if a.waiting == 0 && !a.limited && now.Sub(a.demandAt) > idleTime && a.demand*idleTime.Seconds() < minHold {
			b.drop(a)
		}
	}
}

func (b *Borrower) report(name string, a *account) {
	if b.onLimited != nil {
		b.onLimited(name, a.limited, a.refused-a.refusedAtStart)
	}
}
