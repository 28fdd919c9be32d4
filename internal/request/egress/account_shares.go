package egress

import (
	"math"
	"time"
)

// Constants of the sharing among client accounts.
const (
	// shareWindow is the time constant with which what an account asked for and
	// received is forgotten. It spans several attempts of a refused caller, and is
	// shorter than the waves and bursts of demand, which last 6 to 15 s.
	shareWindow = 2 * time.Second
	// shareInterval is how often the shares are computed anew.
	shareInterval = 100 * time.Millisecond
	// overloadFraction is the fraction of the recent requests that were refused above
	// which accounts have shares.
	overloadFraction = 0.02
	// guardFraction of the fraction served over all accounts is the least that an
	// account may receive before it goes first. The promise is one half; the
	// difference covers the uneven fractions of the gates.
	guardFraction = 0.7
	// minSharedRequests is the decayed number of an account's requests below which it
	// is judged together with others of its size, because its own fraction is mostly
	// chance: judged alone from 2 on, it cost 5% of the value in the simulation.
	minSharedRequests = 8
	// shareTolerance is the part of the fair amount that an account may have left when it
	// counts as used up: one that takes all that the others leave has used exactly that.
	shareTolerance = 0.01
	// forgottenRequests is the decayed number of requests below which an account is
	// forgotten: 9 s after its last one, if that was the only one.
	forgottenRequests = 0.01
	// maxAccounts bounds the accounts that are counted. Those beyond are within their
	// share.
	maxAccounts = 4096
	// shareIterations bounds the steps to the fair amount, each of which takes the
	// accounts out that ask for less. Three suffice for a Zipf distribution.
	shareIterations = 16
)

// Standing is an account's place relative to its fair share.
type Standing int8

// Standings, in the order in which accounts are admitted.
const (
	// Deprived accounts receive less than guardFraction of what accounts receive on
	// average. They go before the accounts' priority.
	Deprived Standing = iota
	WithinShare
	// AboveShare accounts have used up the fair amount. Among requests of equal
	// priority they receive what the others leave unused.
	AboveShare
)

// accountUse is what an account recently asked for and received; all decay with
// shareWindow.
type accountUse struct {
	// offered and served count requests, demand and used their mean run times in
	// seconds.
	offered, served, demand, used float64
}

// accountShares divides the capacity of a gate among client accounts while it does not
// suffice, for loads in which one of many accounts of very unequal size sends several
// times its usual rate. Each account has a right to the same amount of run time; what
// one leaves unused is divided among the others (max-min fairness). It has no clock
// and no lock. The zero value is ready for use.
type accountShares struct {
	accounts  map[string]*accountUse
	updatedAt time.Time
	// overload is set while more than overloadFraction of the requests are refused.
	// The other fields hold only then.
	overload bool
	// fairAmount is the run time up to which an account is within its share.
	fairAmount float64
	// servedOfAll is the fraction of requests served over all accounts, servedOfSmall
	// that over those with less than minSharedRequests.
	servedOfAll, servedOfSmall float64
}

// decided records that a request was started or refused.
func (s *accountShares) decided(now time.Time, account string, runTime time.Duration, started bool) {
	if account == "" {
		return
	}
	s.update(now)
	use := s.accounts[account]
	if use == nil {
		if len(s.accounts) >= maxAccounts {
			return
		}
		if s.accounts == nil {
			s.accounts = map[string]*accountUse{}
		}
		use = &accountUse{}
		s.accounts[account] = use
	}
	use.offered++
	use.demand += runTime.Seconds()
	if started {
		use.served++
		use.used += runTime.Seconds()
	}
}

// standing returns the standing of an account.
func (s *accountShares) standing(now time.Time, account string) Standing {
	if account == "" {
		return WithinShare
	}
	s.update(now)
	if use := s.accounts[account]; use != nil {
		return s.standingOf(use)
	}
	return WithinShare
}

func (s *accountShares) standingOf(use *accountUse) Standing {
	served := s.servedOfSmall
	if use.offered >= minSharedRequests {
		served = use.served / use.offered
	}
	switch {
	case !s.overload:
		return WithinShare
	case served < guardFraction*s.servedOfAll:
		return Deprived
	case use.used >= (1-shareTolerance)*s.fairAmount:
		return AboveShare
	}
	return WithinShare
}

// count returns the number of accounts with a standing.
func (s *accountShares) count(now time.Time, standing Standing) int {
	s.update(now)
	n := 0
	for _, use := range s.accounts {
		if s.standingOf(use) == standing {
			n++
		}
	}
	return n
}

// update computes the shares anew if they are older than shareInterval.
func (s *accountShares) update(now time.Time) {
	elapsed := now.Sub(s.updatedAt)
	if elapsed < shareInterval {
		return
	}
	s.updatedAt = now
	decay := math.Exp(-elapsed.Seconds() / shareWindow.Seconds())
	var offered, served, smallOffered, smallServed, capacity float64
	for name, use := range s.accounts {
		use.offered, use.served, use.demand, use.used = use.offered*decay, use.served*decay, use.demand*decay, use.used*decay
		if use.offered < forgottenRequests {
			delete(s.accounts, name)
			continue
		}
		offered, served, capacity = offered+use.offered, served+use.served, capacity+use.used
		if use.offered < minSharedRequests {
			smallOffered, smallServed = smallOffered+use.offered, smallServed+use.served
		}
	}
	s.overload = offered-served > overloadFraction*offered
	if s.overload {
		s.fairAmount = s.computeFairAmount(capacity)
		s.servedOfAll, s.servedOfSmall = served/offered, smallServed/max(smallOffered, forgottenRequests)
	}
}

// computeFairAmount returns the amount x for which the sum of min(x, demand) over the
// accounts is the capacity.
func (s *accountShares) computeFairAmount(capacity float64) float64 {
	amount := capacity / float64(len(s.accounts))
	for range shareIterations {
		left, above := capacity, 0
		for _, use := range s.accounts {
			if use.demand <= amount {
				left -= use.demand
			} else {
				above++
			}
		}
		if above == 0 || left/float64(above) <= amount {
			break
		}
		amount = left / float64(above)
	}
	return amount
}
