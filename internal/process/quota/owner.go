package quota

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits on the state of an owner.
const (
	// voterTTL is how long the state of a node that sends nothing is kept.
	voterTTL = time.Minute
	// bucketTTL is how long the bucket of an account that nobody asks for is kept. A
	// new bucket holds what the old one would have accrued.
	bucketTTL = 10 * time.Minute
	// recountInterval is the time after which expired votes are dropped.
	recountInterval = 50 * time.Millisecond
	// activeTime is how long a node's want counts when tokens are shared out.
	activeTime = 2 * time.Second
)

// Owner decides how many tokens of its accounts the nodes get. It is not safe for
// concurrent use.
type Owner struct {
	self   string
	start  uint64
	began  time.Time
	limits limits
	// fleet is the number of nodes by this node's count.
	fleet int
	// lease is the length of the leases of the last message.
	lease   time.Duration
	voters  map[string]*voter
	ballots map[[2]uint64]*ballot
	lists   map[uint64]*electorate
	buckets map[string]*bucket

	countedAt, sweptAt time.Time
	dirty              bool
}

// voter is what an owner knows of a node.
type voter struct {
	start, sequence uint64
	seen            time.Time
	ballot          *ballot
	// fleet is the number of nodes by the voter's count.
	fleet int
	// until is when the vote ends.
	until time.Time
}

// ballot collects the votes of the nodes that use the same lists of owners.
type ballot struct {
	lists [2]*electorate
	// weight is the sum of the votes.
	weight float64
	// voteSeconds is the integral of the weight over time. After votes were lost it
	// is that of the remaining part.
	voteSeconds float64
	// next is the number of votes that recount has found.
	next float64
}

// bucket is the token bucket of an account.
type bucket struct {
	hash        uint64
	rate, burst float64
	stock       float64
	votes       float64
	// mostVotes is the highest number of votes so far.
	mostVotes float64
	// Until youngUntil nodes may hold tokens of a former owner that this one does not
	// know of. settledVotes is the number of votes before the last marked increase.
	settledVotes float64
	youngUntil   time.Time
	lease        time.Duration
	at           time.Time
	// lent is the sum of what the borrowers hold.
	lent      float64
	borrowers map[string]*borrowed
	wanted    float64
	sweptAt   time.Time
}

// borrowed is what a node holds of an account.
type borrowed struct {
	tokens float64
	until  time.Time
	want   float64
	seen   time.Time
	// fraction is the part of a token that the node's share came to beyond whole
	// tokens.
	fraction float64
}

// NewOwner returns an owner; start must differ from that of each earlier process of
// the node.
func NewOwner(self string, start uint64, now time.Time) *Owner {
	return &Owner{
		self: self, start: start, began: now, limits: limits{}, voters: map[string]*voter{}, ballots: map[[2]uint64]*ballot{},
		lists: map[uint64]*electorate{}, buckets: map[string]*bucket{}, countedAt: now, sweptAt: now,
	}
}

// setLimits puts limits into force.
func (o *Owner) setLimits(l limits, now time.Time) {
	o.recount(now)
	for name, b := range o.buckets {
		a, ok := l[name]
		if !ok {
			delete(o.buckets, name)
			continue
		}
		o.accrue(b, now)
		b.rate, b.burst = a.Rate, a.Burst
		b.clip()
	}
	o.limits = l
}

// setFleet sets the number of nodes that is told to others.
func (o *Owner) setFleet(size int) { o.fleet = size }

// clockStart is the time of an owner's start by its clock: 0 stands for no reply yet.
const clockStart = 1

// clock returns the time in the form of Reply.Clock.
func (o *Owner) clock(now time.Time) uint64 { return uint64(now.Sub(o.began)) + clockStart }

// Answer answers a message. A message that arrives after a later one of the same
// node gets no tokens.
func (o *Owner) Answer(a *Ask, now time.Time) Reply {
	reply := Reply{Start: o.start, Clock: o.clock(now), Fleet: o.fleet, Grants: make([]Grant, len(a.Wants))}
	v := o.voters[a.Node]
	if v == nil {
		v = &voter{}
		o.voters[a.Node] = v
	}
	if a.Start < v.start || a.Start == v.start && a.Sequence <= v.sequence {
		return reply
	}
	v.start, v.sequence, v.seen = a.Start, a.Sequence, now
	o.lease = time.Duration(a.LeaseMillis) * time.Millisecond
	reply.Unknown = !o.vote(v, a, now)
	if o.dirty || now.Sub(o.countedAt) >= recountInterval {
		o.recount(now)
	}
	for i := range a.Wants {
		reply.Grants[i] = o.grant(a, &a.Wants[i], now)
	}
	o.sweep(now)
	return reply
}

// vote records the vote of a message. It returns false if its lists are not known.
func (o *Owner) vote(v *voter, a *Ask, now time.Time) bool {
	for i, owners := range a.Owners {
		if e := newElectorate(owners); e.id == a.Electorates[i] {
			o.lists[e.id] = e
		}
	}
	var b *ballot
	known := true
	var key [2]uint64
	var lists [2]*electorate
	for i, id := range a.Electorates {
		key[i], lists[i] = id, o.lists[id]
		known = known && lists[i] != nil
	}
	until := o.began.Add(time.Duration(a.OwnerClock) - clockStart + time.Duration(a.LeaseMillis)*time.Millisecond)
	// A clock ahead of this process's own is not from one of its replies.
	valid := a.OwnerClock > 0 && a.OwnerStart == o.start && a.OwnerClock <= o.clock(now) && until.After(now)
	if known && valid && len(a.Electorates) > 0 {
		if b = o.ballots[key]; b == nil {
			b = &ballot{lists: lists}
			o.ballots[key] = b
		}
	}
	if v.ballot != b || v.fleet != a.Fleet {
		o.dirty = true
	}
	v.ballot, v.fleet, v.until = b, a.Fleet, until
	return known
}

// recount drops expired votes and sums the others.
func (o *Owner) recount(now time.Time) {
	elapsed := max(0, now.Sub(o.countedAt).Seconds())
	o.countedAt, o.dirty = now, false
	votes, fleet := 0, 1
	for _, v := range o.voters {
		if v.ballot == nil {
			continue
		}
		if !v.until.After(now) {
			v.ballot = nil
			continue
		}
		v.ballot.next++
		votes++
		fleet = max(fleet, v.fleet)
	}
	// A voter that has just started may not know all nodes yet, so the highest count
	// holds for all.
	part := 1 / float64(max(fleet, votes))
	for key, b := range o.ballots {
		weight := b.next * part
		// Votes that came or went meanwhile do not count for the time before.
		b.voteSeconds += elapsed * min(b.weight, weight)
		if weight < b.weight {
			b.voteSeconds *= weight / b.weight
		}
		b.weight, b.next = weight, 0
		if b.weight == 0 {
			delete(o.ballots, key)
		}
	}
}

// votes returns the votes for this node as the owner of an account, and their
// integral over time.
func (o *Owner) votes(account uint64) (weight, voteSeconds float64) {
	for _, b := range o.ballots {
		if b.lists[0].owner(account) != o.self || b.lists[1] != nil && b.lists[1].owner(account) != o.self {
			continue
		}
		weight += b.weight
		voteSeconds += b.voteSeconds
	}
	return weight, voteSeconds
}

// bucketOf returns the bucket of an account, or nil if the account has no limit.
func (o *Owner) bucketOf(account string, now time.Time) *bucket {
	if b := o.buckets[account]; b != nil {
		o.accrue(b, now)
		return b
	}
	a, ok := o.limits[account]
	if !ok {
		return nil
	}
	b := &bucket{hash: xxhash.Sum64String(account), rate: a.Rate, burst: a.Burst, at: now, sweptAt: now, borrowers: map[string]*borrowed{}}
	votes, voteSeconds := o.votes(b.hash)
	b.lease = o.lease
	b.votes, b.mostVotes, b.settledVotes, b.stock = votes, votes, votes, a.Rate*voteSeconds+votes*initialStock(a.Rate)
	if voteSeconds < votes*b.lease.Seconds() {
		b.youngUntil = now.Add(b.lease)
	}
	b.clip()
	o.buckets[account] = b
	return b
}

// accrue adds the tokens of the time since the last call.
func (o *Owner) accrue(b *bucket, now time.Time) {
	votes, _ := o.votes(b.hash)
	if elapsed := now.Sub(b.at).Seconds(); elapsed > 0 {
		b.stock += b.rate * min(votes, b.votes) * elapsed
		b.at = now
	}
	if votes > b.mostVotes {
		b.stock += (votes - b.mostVotes) * initialStock(b.rate)
		b.mostVotes = votes
	}
	b.votes = votes
	switch {
	case votes < b.settledVotes:
		b.settledVotes = votes
	case votes > b.settledVotes+movedVotes:
		b.settledVotes, b.youngUntil, b.lease = votes, now.Add(max(b.lease, o.lease)), o.lease
	}
	b.dropLapsed(now)
	b.clip()
}

// movedVotes is the increase of votes after which a bucket is young. Fewer are those of
// single nodes that have started.
const movedVotes = 0.1

// isYoung reports whether nodes may hold tokens of a former owner.
func (b *bucket) isYoung() bool { return b.at.Before(b.youngUntil) }

// clip limits the stock so that it and the lent tokens stay within the part of the
// capacity that the votes stand for, and a young bucket's to youngStock.
func (b *bucket) clip() {
	votes := min(1, b.votes)
	b.stock = min(b.stock, capacity(b.rate, b.burst)*votes-b.lent)
	if b.isYoung() {
		b.stock = min(b.stock, youngStock(b.rate)*votes)
	}
	b.stock = max(0, b.stock)
}

// sweepBorrowers is the time between two searches for lapsed tokens in a bucket.
const sweepBorrowers = 200 * time.Millisecond

// dropLapsed drops lent tokens that are no longer valid, and sums up the wants.
func (b *bucket) dropLapsed(now time.Time) {
	if now.Sub(b.sweptAt) < sweepBorrowers {
		return
	}
	b.sweptAt, b.lent, b.wanted = now, 0, 0
	for node, h := range b.borrowers {
		if !h.until.After(now) {
			h.tokens = 0
		}
		if now.Sub(h.seen) > activeTime {
			h.want = 0
			if h.tokens == 0 {
				delete(b.borrowers, node)
				continue
			}
		}
		b.lent += h.tokens
		b.wanted += h.want
	}
}

// grant decides on one want.
func (o *Owner) grant(a *Ask, w *Want, now time.Time) Grant {
	b := o.bucketOf(w.Account, now)
	if b == nil {
		// The configuration here has no limit for the account, or not yet.
		return Grant{WaitMillis: int(recountInterval / time.Millisecond)}
	}
	h := b.borrowers[a.Node]
	if h == nil {
		h = &borrowed{}
		b.borrowers[a.Node] = h
	}
	b.lent += float64(w.Held) - h.tokens
	b.wanted += float64(w.Tokens) - h.want
	h.tokens, h.want, h.seen = float64(w.Held), float64(w.Tokens), now
	h.until = now.Add(time.Duration(a.LeaseMillis) * time.Millisecond)
	b.stock += float64(w.Back)
	b.clip()
	n := b.share(h, w)
	b.stock -= n
	b.lent += n
	h.tokens += n
	g := Grant{Tokens: int(n)}
	if int(n) < w.Tokens && b.stock < 1 {
		g.WaitMillis = b.waitMillis()
	}
	return g
}

// share returns how many tokens a borrower gets: what it wants if the stock above
// the reserve suffices for all, else a part in proportion to its want. Requests
// that wait may use the reserve, and only they get tokens of a young bucket, so that
// none are held beside those of a former owner.
func (b *bucket) share(h *borrowed, w *Want) float64 {
	free := b.stock - reserveFraction*capacity(b.rate, b.burst)*min(1, b.votes)
	n := 0.0
	if want := float64(w.Tokens); want > 0 && free > 0 && !b.isYoung() {
		part := want
		if b.wanted > free {
			part = min(want, free*want/b.wanted+h.fraction)
			h.fraction = part - math.Floor(part)
		}
		n = math.Floor(part)
	}
	n = max(n, float64(min(w.Urgent, w.Tokens)))
	return min(n, math.Floor(b.stock))
}

// maxWaitMillis bounds the wait that an owner announces.
const maxWaitMillis = 5000

// waitMillis returns how long the bucket takes to accrue a token, and half of the
// further ones that the nodes want: that is the mean wait of the requests behind them.
func (b *bucket) waitMillis() int {
	rate := b.rate * min(1, b.votes)
	if rate <= 0 {
		return maxWaitMillis
	}
	return int(min(maxWaitMillis, 1+1000*(max(0, 1-b.stock)+max(0, b.wanted-1)/2)/rate))
}

// sweep drops state that is no longer used.
func (o *Owner) sweep(now time.Time) {
	const sweepInterval = 10 * time.Second
	if now.Sub(o.sweptAt) < sweepInterval {
		return
	}
	o.sweptAt = now
	used := map[uint64]bool{}
	for node, v := range o.voters {
		if now.Sub(v.seen) > voterTTL {
			delete(o.voters, node)
		} else if v.ballot != nil {
			for _, e := range v.ballot.lists {
				if e != nil {
					used[e.id] = true
				}
			}
		}
	}
	for id := range o.lists {
		if !used[id] {
			delete(o.lists, id)
		}
	}
	for name, b := range o.buckets {
		if now.Sub(b.at) > bucketTTL {
			delete(o.buckets, name)
		}
	}
}
