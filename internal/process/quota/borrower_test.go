package quota

import (
	"slices"
	"testing"
	"time"

	"github.com/daisytide/daisytide/internal/process/membership"
	"github.com/daisytide/daisytide/internal/version/traffic"
)

// newTestBorrower returns a borrower that may vote, and the owner of acme among the
// given nodes.
func newTestBorrower(now time.Time, nodes ...string) (*Borrower, string) {
	b := NewBorrower("self", 1, now.Add(-time.Minute))
	b.setLimits(newLimits([]traffic.Account{acme}))
	b.SetFleet(nodes, len(nodes))
	b.Step(now)
	return b, b.current.owner(b.account(&acme, now).hash)
}

// reply sends one message to an owner and applies a reply.
func reply(b *Borrower, owner string, now time.Time, tokens, waitMillis int) *Ask {
	a := b.Compose(owner, now)
	r := Reply{Start: 9, Clock: uint64(now.UnixNano())}
	for range a.Wants {
		r.Grants = append(r.Grants, Grant{Tokens: tokens, WaitMillis: waitMillis})
	}
	b.Apply(owner, r, now)
	return a
}

// Guards against the vote of an earlier process of the node that counts beside the
// one of this process.
func TestNodeVotesOnlyAfterEarlierVotesHaveExpired(t *testing.T) {
	b := NewBorrower("self", 1, simStart)
	b.setLimits(newLimits([]traffic.Account{acme}))
	b.SetFleet([]string{"o"}, 1)
	b.Step(simStart)
	for at := time.Duration(0); at <= 4*time.Second; at += 100 * time.Millisecond {
		a := reply(b, "o", simStart.Add(at), 0, 0)
		if voted := a.OwnerClock != 0; voted != (at > b.lease+clockMargin) {
			t.Errorf("after %v: voted %v", at, voted)
		}
	}
	b.Take(&acme, simStart)
	if d, _ := b.Take(&acme, simStart.Add(time.Second)); d == admitted {
		t.Error("admitted by the own share while an earlier vote may be lent")
	}
}

// Guards against two owners that count a vote for the same account: a list of owners
// is replaced only when those of the old one have acknowledged it or lost the vote.
func TestListOfOwnersChangesAfterAllHaveAcknowledged(t *testing.T) {
	now := simStart
	b, _ := newTestBorrower(now, "a", "b", "c")
	for _, o := range []string{"a", "b", "c"} {
		reply(b, o, now, 0, 0)
		if a := reply(b, o, now, 0, 0); a.OwnerClock == 0 {
			t.Fatalf("no vote for %s", o)
		}
	}
	old := b.current
	b.SetFleet([]string{"a", "b", "d"}, 3)
	b.Step(now)
	for _, o := range []string{"a", "b"} {
		if a := reply(b, o, now, 0, 0); len(a.Electorates) != 2 {
			t.Errorf("%s was told of %d lists, want 2", o, len(a.Electorates))
		}
	}
	b.Step(now)
	if b.current != old {
		t.Fatal("changed before c has acknowledged")
	}
	if b.Step(now.Add(b.lease + clockMargin)); b.current != old {
		t.Fatal("changed before the lease of c has ended")
	}
	if b.Step(now.Add(b.lease + clockMargin + 1)); b.current == old || !b.isOwner("d") {
		t.Error("not changed after the lease of c has ended")
	}
}

// Guards against waiting for the lease of an owner that certainly has ended, and
// against giving up one that may only be slow.
func TestOwnerIsReplacedWhenItHasEndedOrStaysSilent(t *testing.T) {
	for _, closed := range []bool{true, false} {
		now := simStart
		b, owner := newTestBorrower(now, "a", "b", "c", "d")
		b.Compose(owner, now)
		b.Fail(owner, closed, now)
		b.Step(now)
		b.Step(now)
		if replaced := !b.isOwner(owner); replaced != closed {
			t.Errorf("closed %v: replaced at once %v", closed, replaced)
		}
		now = now.Add(b.lease)
		b.Compose(owner, now)
		b.Fail(owner, closed, now)
		b.Step(now)
		b.Step(now)
		if b.isOwner(owner) {
			t.Errorf("closed %v: still an owner after a lease", closed)
		}
		// It is probed, and an owner again once it replies.
		reply(b, owner, now, 0, 0)
		b.Step(now)
		b.Step(now)
		b.Step(now)
		if !slices.Equal(b.elected.addresses, electOwners(b.nodes).addresses) {
			t.Errorf("closed %v: not an owner again", closed)
		}
	}
}

// Guards against a node without an owner that admits more than its share, and against
// one that uses the share while an owner can hold its vote.
func TestOwnShareIsUsedOnlyWithoutAnOwner(t *testing.T) {
	now := simStart
	b, owner := newTestBorrower(now, "a", "b", "c", "d")
	reply(b, owner, now, 0, 0)
	reply(b, owner, now, 0, 0)
	end := b.links[owner].leaseEnd
	admittedBefore, admittedAfter := 0, 0
	for at := now; at.Before(now.Add(20 * time.Second)); at = at.Add(10 * time.Millisecond) {
		if d, _ := b.Take(&acme, at); d == admitted && at.Before(end) {
			admittedBefore++
		} else if d == admitted {
			admittedAfter++
		}
	}
	seconds := now.Add(20 * time.Second).Sub(end).Seconds()
	if want := int(seconds * acme.Rate / 4); admittedBefore != 0 || admittedAfter > want+1 || admittedAfter < want*9/10 {
		t.Errorf("admitted %d while the vote was lent and %d after, want 0 and about %d", admittedBefore, admittedAfter, want)
	}
}

// Guards against tokens that are used after the owner has written them off, and
// against holding more than is used.
func TestHeldTokensLapseAndSurplusIsGivenBack(t *testing.T) {
	now := simStart
	b, owner := newTestBorrower(now, "a")
	for range 20 {
		b.Take(&acme, now)
	}
	a := reply(b, owner, now, 0, 0)
	if len(a.Wants) != 1 || a.Wants[0].Tokens == 0 {
		t.Fatalf("wants %+v", a.Wants)
	}
	want := a.Wants[0].Tokens
	reply(b, owner, now, want, 0)
	now = now.Add(b.lease - 1)
	if d, _ := b.Take(&acme, now); d != admitted {
		t.Error("refused with a valid token")
	}
	idle := now.Add(-1)
	b.accounts["acme"].demand = 0
	if a := reply(b, owner, idle, 0, 0); len(a.Wants) != 1 || a.Wants[0].Back != want-1 || a.Wants[0].Held != 0 {
		t.Errorf("without demand: wants %+v, want %d back", a.Wants, want-1)
	}
	b.accounts["acme"].held, b.accounts["acme"].validUntil = 5, now
	if d, _ := b.Take(&acme, now); d == admitted {
		t.Error("admitted by a token that has lapsed")
	}
}

// Guards against asking the owner for each request of an account that is over its
// quota, and against retry delays that bring all callers back together.
func TestDeniedAccountIsNotAskedForAndRetriesAreSpread(t *testing.T) {
	now := simStart
	b, owner := newTestBorrower(now, "a")
	reply(b, owner, now, 0, 0)
	reply(b, owner, now, 0, 0)
	if d, _ := b.Take(&acme, now); d != mustAsk {
		t.Fatalf("decision %d, want to ask", d)
	}
	b.accounts["acme"].waiting = 1
	reply(b, owner, now, 0, 800)
	b.accounts["acme"].waiting = 0
	for _, wait := range []time.Duration{firstDenial, 2 * firstDenial, 4 * firstDenial, 8 * firstDenial, b.period, b.period} {
		if d, _ := b.Take(&acme, now.Add(wait-1)); d != refused {
			t.Errorf("decision %d within %v, want a refusal", d, wait)
		}
		now = now.Add(wait)
		if d, _ := b.Take(&acme, now); d != mustAsk {
			t.Errorf("decision %d after %v, want to ask", d, wait)
		}
		b.accounts["acme"].waiting = 1
		reply(b, owner, now, 0, 800)
		b.accounts["acme"].waiting = 0
	}
	a := b.accounts["acme"]
	if low, high := b.retryAfter(a, 0), b.retryAfter(a, 0.999); low != 400*time.Millisecond || high < 1100*time.Millisecond || high > 1200*time.Millisecond {
		t.Errorf("retry delays from %v to %v for a wait of 800 ms", low, high)
	}
}

// Guards against holding what a limit allowed before it was lowered.
func TestLoweredLimitReducesWhatIsHeld(t *testing.T) {
	b, _ := newTestBorrower(simStart, "a")
	b.accounts["acme"].held = 100
	b.setLimits(newLimits([]traffic.Account{{Name: "acme", Rate: 4}}))
	if held := b.accounts["acme"].held; held != 10 {
		t.Errorf("held %d of 100 after a tenth of the limit", held)
	}
}

// Guards against a share of the fleet that grows while lost nodes may still serve
// theirs, and against one that stays small after nodes have certainly ended.
func TestLostNodesCountUntilTheirEndIsCertain(t *testing.T) {
	now, f := simStart, NewFleet()
	update := func(records ...membership.Record) (size, lost int) {
		_, size, l := f.Update(records, now)
		return size, len(l)
	}
	record := func(address string, state membership.State) membership.Record {
		return membership.Record{Address: address, State: state}
	}
	a, b, c := record("a", membership.Alive), record("b", membership.Suspect), record("c", membership.Leaving)
	if size, _ := update(a, b, c); size != 0 {
		t.Errorf("size %d before the nodes may vote", size)
	}
	now = now.Add(joinTime)
	if size, _ := update(a, b, c); size != 3 {
		t.Errorf("size %d, want 3", size)
	}
	b.State, c.State = membership.Gone, membership.Gone
	if size, lost := update(a, b, c); size != 2 || lost != 1 {
		t.Errorf("size %d with %d lost, want 2 with the one that did not leave", size, lost)
	}
	f.Ended("b")
	if size, lost := update(a); size != 1 || lost != 0 {
		t.Errorf("size %d with %d lost after the end of b", size, lost)
	}
	b.State = membership.Alive
	update(a, b)
	now = now.Add(joinTime)
	update(a, b)
	update(a)
	if now = now.Add(lostTTL); true {
		if size, _ := update(a); size != 2 {
			t.Errorf("size %d while b may be cut off, want 2", size)
		}
	}
	now = now.Add(time.Second)
	if size, _ := update(a); size != 1 {
		t.Errorf("size %d after b was lost for long, want 1", size)
	}
}

// Guards against lists of owners that change much when a node comes or goes.
func TestOwnersChangeLittleWithTheNodes(t *testing.T) {
	nodes := make([]string, 0, 200)
	for i := range 200 {
		nodes = append(nodes, simAddress(i))
	}
	all := electOwners(nodes)
	if len(all.addresses) != 10 {
		t.Errorf("%d owners of 200 nodes", len(all.addresses))
	}
	for _, gone := range []string{all.addresses[0], nodes[7]} {
		rest := electOwners(slices.DeleteFunc(slices.Clone(nodes), func(n string) bool { return n == gone }))
		changed := 0
		for _, o := range rest.addresses {
			if !slices.Contains(all.addresses, o) {
				changed++
			}
		}
		if changed > 1 {
			t.Errorf("%d owners are new without %s", changed, gone)
		}
	}
}
