// Package quota limits the requests of client accounts over all nodes of a
// deployment.
//
// Every node holds one vote, which stands for 1/N of the rate and of the capacity of
// each account's token bucket, where N is the number of nodes. It lends the vote to
// a few owners by short leases. The owner of an account accrues tokens in
// proportion to the votes that it holds and lends them to the nodes that receive the
// account's requests. A node uses its own share of an account only while no owner
// can hold its vote for that account. Since a vote is counted at most once at a
// time, owners that do not know of each other accrue at most the account's rate
// together; see docs/design/quotas.md.
//
// Owner and Borrower decide without I/O, with the time passed in; Limiter runs them.
package quota

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/daisytide/daisytide/internal/version/traffic"
)

// Parameters of the token buckets. The quota allows (5 x rate + burst) x 1.1 + 20
// requests in 5 s, and a bucket admits its capacity + 5 x rate. What the capacity
// leaves (0.25 x rate + 0.1 x burst + 10) covers the first stock of new owners, tokens
// that stay valid for the rest of a lease after the votes behind them have moved to
// another owner, and requests that wait in queues between admission and run.
const (
	capacityOfRate = 0.25
	capacitySlack  = 10
	// firstOfRate x rate + firstStock is what a bucket holds at first. An owner without
	// state would else refuse requests until it has accrued tokens.
	firstOfRate = 0.03
	firstStock  = 1.5
	// youngOfRate x rate + youngSlack is what a bucket holds at most for a lease after its
	// owner has changed: the nodes may still hold the capacity of the former owner.
	youngOfRate = 0.0625
	youngSlack  = 2
	// minRate is the least rate at which a bucket accrues: an account with a limit far
	// below one request per second would else be refused after each change of its
	// owner. It adds 2.5 requests to a window.
	minRate = 0.5
	// reserveFraction of a bucket's capacity is lent only for requests that wait.
	// Otherwise the nodes' advance holdings would leave nothing for a node with its
	// first request.
	reserveFraction = 0.25
)

// Parameters of the exchange between nodes and owners.
const (
	// minPeriod and periodPerOwner give the longest time between two messages of a node
	// to one owner. Without requests that wait, a node of 74 sends 8 per second.
	minPeriod      = 500 * time.Millisecond
	periodPerOwner = 62500 * time.Microsecond
	// leasePeriods is the length of a lease in periods: a lease outlasts the loss of
	// a message.
	leasePeriods = 3
	// minOwners and maxOwners bound the number of owners, which is that of the nodes
	// divided by nodesPerOwner: 3 of 12, 4 of 74, 32 of 1,034. Each owner costs each
	// node further messages; with fewer, an owner handles more.
	minOwners, maxOwners = 3, 32
	nodesPerOwner        = 20
)

// capacity returns the capacity of an account's bucket over all owners.
func capacity(rate, burst float64) float64 { return burst + capacityOfRate*rate + capacitySlack }

// initialStock returns what the new buckets of an account hold over all owners.
func initialStock(rate float64) float64 { return firstStock + firstOfRate*rate }

// youngStock returns the most that a bucket holds over all owners while nodes may hold
// tokens of a former owner.
func youngStock(rate float64) float64 { return youngSlack + youngOfRate*rate }

// timing returns the period and the lease of a node that has the given number of
// owners.
func timing(owners int) (period, lease time.Duration) {
	period = max(minPeriod, time.Duration(owners)*periodPerOwner)
	return period, time.Duration(leasePeriods * float64(period))
}

// score ranks nodes for a key: the node with the highest score owns it.
func score(node, key uint64) uint64 {
	x := node ^ key*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// electorate is a list of owners, by which accounts are assigned to them.
type electorate struct {
	addresses []string
	hashes    []uint64
	id        uint64
}

func newElectorate(addresses []string) *electorate {
	e := &electorate{addresses: slices.Sorted(slices.Values(addresses))}
	for _, a := range e.addresses {
		e.hashes = append(e.hashes, xxhash.Sum64String(a))
	}
	e.id = xxhash.Sum64String(strings.Join(e.addresses, " "))
	return e
}

// owner returns the owner of an account, or "" if the list is empty.
func (e *electorate) owner(account uint64) string {
	best, highest := "", uint64(0)
	for i, h := range e.hashes {
		if s := score(h, account); best == "" || s > highest {
			best, highest = e.addresses[i], s
		}
	}
	return best
}

// electOwners returns the owners among the given nodes by rendezvous hashing: a
// node that joins or leaves replaces at most one of them.
func electOwners(nodes []string) *electorate {
	n := int(math.Round(float64(len(nodes)) / nodesPerOwner))
	n = min(max(n, minOwners), maxOwners, len(nodes))
	const allAccounts = 0x71756f7461
	ranked := slices.Clone(nodes)
	scores := make(map[string]uint64, len(nodes))
	for _, a := range nodes {
		scores[a] = score(xxhash.Sum64String(a), allAccounts)
	}
	slices.SortFunc(ranked, func(a, b string) int {
		switch {
		case scores[a] > scores[b]:
			return -1
		case scores[a] < scores[b]:
			return 1
		}
		return strings.Compare(a, b)
	})
	return newElectorate(ranked[:n])
}

// limits holds the limits of the accounts in force, by name.
type limits map[string]traffic.Account

// newLimits returns the accounts of a configuration that have a rate.
func newLimits(accounts []traffic.Account) limits {
	out := limits{}
	for i := range accounts {
		if a := &accounts[i]; a.Rate > 0 {
			out[a.Name] = traffic.Account{Name: a.Name, Rate: max(a.Rate, minRate), Burst: a.Burst}
		}
	}
	return out
}
