package quota

import (
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/daisytide/daisytide/internal/version/traffic"
)

const testLease = 1500 * time.Millisecond

// voters sends messages of n nodes that all vote for one owner.
type voters struct {
	owner    *Owner
	n        int
	sequence uint64
	lists    [][]string
	now      time.Time
}

func newVoters(n int, accounts ...traffic.Account) *voters {
	v := &voters{owner: NewOwner("o", 7, simStart), n: n, lists: [][]string{{"o"}}, now: simStart}
	v.owner.setLimits(newLimits(accounts), simStart)
	return v
}

// ask returns a message of node i with a valid vote.
func (v *voters) ask(i int, wants ...Want) *Ask {
	v.sequence++
	a := &Ask{
		Node: string(rune('a' + i)), Start: 1, Sequence: v.sequence, Fleet: v.n, OwnerStart: 7, OwnerClock: v.owner.clock(v.now),
		LeaseMillis: int(testLease / time.Millisecond), Owners: v.lists, Wants: wants,
	}
	for _, l := range v.lists {
		a.Electorates = append(a.Electorates, newElectorate(l).id)
	}
	return a
}

// pass lets time pass, with a vote of every node each half second.
func (v *voters) pass(d time.Duration) {
	for end := v.now.Add(d); v.now.Before(end); v.now = v.now.Add(500 * time.Millisecond) {
		for i := range v.n {
			v.owner.Answer(v.ask(i), v.now)
		}
	}
}

func (v *voters) get(i int, w Want) Grant { return v.owner.Answer(v.ask(i, w), v.now).Grants[0] }

var acme = traffic.Account{Name: "acme", Rate: 40, Burst: 20}

// Guards against votes that count though they have expired, are of an earlier process
// of the owner, claim a clock that the owner never told, or name unknown lists.
func TestOnlyValidVotesCount(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(a *Ask)
		votes  float64
	}{
		{"valid", func(*Ask) {}, 0.25},
		{"no clock", func(a *Ask) { a.OwnerClock = 0 }, 0},
		{"expired", func(a *Ask) { a.OwnerClock -= uint64(testLease) }, 0},
		{"clock ahead", func(a *Ask) { a.OwnerClock++ }, 0},
		{"earlier process of the owner", func(a *Ask) { a.OwnerStart-- }, 0},
		{"unknown list", func(a *Ask) { a.Owners = nil }, 0},
		{"list under another id", func(a *Ask) { a.Electorates[0]++ }, 0},
		{"no list", func(a *Ask) { a.Electorates, a.Owners = nil, nil }, 0},
	} {
		v := newVoters(4, acme)
		v.now = v.now.Add(10 * time.Second)
		a := v.ask(0)
		tc.change(a)
		v.owner.Answer(a, v.now)
		if got, _ := v.owner.votes(xxhash.Sum64String("acme")); got != tc.votes {
			t.Errorf("%s: votes %v, want %v", tc.name, got, tc.votes)
		}
	}
}

// Guards against a vote for accounts that the node is moving to another owner.
func TestVoteInTransitionCountsOnlyForAccountsThatStay(t *testing.T) {
	large, small := newElectorate([]string{"o", "p", "q"}), newElectorate([]string{"o", "p"})
	for _, lists := range [][2]*electorate{{large, small}, {small, large}} {
		v := newVoters(4, acme)
		v.lists = [][]string{lists[0].addresses, lists[1].addresses}
		v.owner.Answer(v.ask(0), v.now)
		stays, moves := 0, 0
		for key := range uint64(200) {
			want, before, after := 0.0, lists[0].owner(key) == "o", lists[1].owner(key) == "o"
			switch {
			case before && after:
				stays++
				want = 0.25
			case before || after:
				moves++
			}
			if got, _ := v.owner.votes(key); got != want {
				t.Fatalf("key %d: votes %v, want %v", key, got, want)
			}
		}
		if stays == 0 || moves == 0 {
			t.Errorf("%d accounts stay and %d move", stays, moves)
		}
	}
}

// Guards against tokens for a message that arrives twice or after a later one.
func TestOldMessagesGetNothing(t *testing.T) {
	v := newVoters(1, acme)
	v.pass(5 * time.Second)
	a := v.ask(0, Want{Account: "acme", Tokens: 3, Urgent: 3})
	later := v.ask(0)
	if g := v.owner.Answer(a, v.now).Grants[0]; g.Tokens != 3 {
		t.Errorf("granted %d, want 3", g.Tokens)
	}
	if g := v.owner.Answer(a, v.now).Grants[0]; g.Tokens != 0 {
		t.Errorf("granted %d for a duplicate", g.Tokens)
	}
	v.owner.Answer(later, v.now)
	a.Sequence--
	if g := v.owner.Answer(a, v.now).Grants[0]; g.Tokens != 0 {
		t.Errorf("granted %d for a late message", g.Tokens)
	}
}

// Guards against a new owner that admits what an earlier one may have admitted.
func TestNewOwnerStartsAlmostEmpty(t *testing.T) {
	v := newVoters(1, acme)
	if g := v.get(0, Want{Account: "acme", Tokens: 1000, Urgent: 1000}); g.Tokens > int(initialStock(acme.Rate)) || g.WaitMillis == 0 {
		t.Errorf("granted %d, wait %d ms", g.Tokens, g.WaitMillis)
	}
}

// Guards against tokens of a new owner that nodes hold in advance beside those of the
// former one.
func TestNewOwnerLendsOnlyForRequestsThatWait(t *testing.T) {
	v := newVoters(1, acme)
	v.get(0, Want{Account: "acme"})
	v.now = v.now.Add(500 * time.Millisecond)
	if g := v.get(0, Want{Account: "acme", Tokens: 20, Urgent: 2}); g.Tokens != 2 {
		t.Errorf("granted %d for two requests that wait", g.Tokens)
	}
	v.pass(testLease)
	if g := v.get(0, Want{Account: "acme", Tokens: 20}); g.Tokens != 20 {
		t.Errorf("granted %d after a lease, want 20", g.Tokens)
	}
}

// Guards against an owner that stood still and accrues for the time without votes.
func TestPausedOwnerAccruesNothing(t *testing.T) {
	v := newVoters(1, acme)
	v.pass(5 * time.Second)
	v.get(0, Want{Account: "acme", Tokens: 1000, Urgent: 1000})
	v.now = v.now.Add(20 * time.Second)
	a := v.ask(0, Want{Account: "acme", Tokens: 1000, Urgent: 1000})
	a.OwnerClock -= uint64(20 * time.Second)
	if g := v.owner.Answer(a, v.now).Grants[0]; g.Tokens != 0 {
		t.Errorf("granted %d after a pause without votes", g.Tokens)
	}
}

// Guards against lent tokens that are forgotten, and against ones that bind the bucket
// for good after the borrower has gone.
func TestLentTokensCountUntilTheyLapse(t *testing.T) {
	v := newVoters(2, acme)
	v.pass(10 * time.Second)
	first := v.get(0, Want{Account: "acme", Tokens: 1000, Urgent: 1000})
	if limit := int(capacity(acme.Rate, acme.Burst)); first.Tokens > limit || first.Tokens < limit-1 {
		t.Errorf("granted %d, want the capacity of %d", first.Tokens, limit)
	}
	held := Want{Account: "acme", Held: first.Tokens}
	for range 3 {
		v.now = v.now.Add(400 * time.Millisecond)
		v.owner.Answer(v.ask(0, held), v.now)
		if g := v.get(1, Want{Account: "acme", Tokens: 10, Urgent: 10}); g.Tokens > 0 {
			t.Errorf("granted %d beyond the capacity", g.Tokens)
		}
	}
	v.pass(testLease + time.Second)
	v.get(1, Want{Account: "acme"})
	v.pass(time.Second)
	if g := v.get(1, Want{Account: "acme", Tokens: 10, Urgent: 10}); g.Tokens != 10 {
		t.Errorf("granted %d after the lent tokens have lapsed, want 10", g.Tokens)
	}
}

// Guards against the first nodes that ask taking all of a scarce account.
func TestScarceTokensAreSharedByDemand(t *testing.T) {
	v := newVoters(3, acme)
	v.pass(5 * time.Second)
	got := [3]int{}
	for range 400 {
		for i, want := range []int{10, 20, 40} {
			// The nodes' timers are independent, so their messages are spread.
			v.now = v.now.Add(time.Second / 30)
			got[i] += v.get(i, Want{Account: "acme", Tokens: want}).Tokens
		}
	}
	total := got[0] + got[1] + got[2]
	if total < 40*40*9/10 || total > 40*40+int(capacity(acme.Rate, acme.Burst)) {
		t.Errorf("granted %d in 40 s at a rate of 40", total)
	}
	for i, part := range []float64{1. / 7, 2. / 7, 4. / 7} {
		if share := float64(got[i]) / float64(total); share < part*0.75 || share > part*1.25 {
			t.Errorf("node %d got %.2f of the tokens, want %.2f", i, share, part)
		}
	}
}

// Guards against a stock from before a limit was lowered.
func TestLoweredLimitClipsTheStock(t *testing.T) {
	v := newVoters(1, acme)
	v.pass(5 * time.Second)
	v.get(0, Want{Account: "acme"})
	v.owner.setLimits(newLimits([]traffic.Account{{Name: "acme", Rate: 1}}), v.now)
	if g := v.get(0, Want{Account: "acme", Tokens: 100, Urgent: 100}); g.Tokens > int(capacity(1, 0)) {
		t.Errorf("granted %d after the limit was lowered, capacity %.1f", g.Tokens, capacity(1, 0))
	}
}

// Guards against messages of peers that make an owner use memory without bound or
// compute with wrong numbers.
func TestInvalidAsksAreRefused(t *testing.T) {
	v := newVoters(1, acme)
	for name, change := range map[string]func(a *Ask){
		"no node":        func(a *Ask) { a.Node = "" },
		"no fleet":       func(a *Ask) { a.Fleet = 0 },
		"no lease":       func(a *Ask) { a.LeaseMillis = 0 },
		"long lease":     func(a *Ask) { a.LeaseMillis = maxLeaseMillis + 1 },
		"three lists":    func(a *Ask) { a.Electorates = []uint64{1, 2, 3} },
		"lists, no ids":  func(a *Ask) { a.Electorates = nil },
		"empty list":     func(a *Ask) { a.Owners = [][]string{{}} },
		"negative want":  func(a *Ask) { a.Wants = []Want{{Account: "acme", Tokens: -1}} },
		"negative held":  func(a *Ask) { a.Wants = []Want{{Account: "acme", Held: -1}} },
		"too much back":  func(a *Ask) { a.Wants = []Want{{Account: "acme", Back: maxTokens + 1}} },
		"too many wants": func(a *Ask) { a.Wants = make([]Want, maxWants+1) },
	} {
		a := v.ask(0)
		if err := a.validate(); err != nil {
			t.Fatal(err)
		}
		change(a)
		if a.validate() == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}
