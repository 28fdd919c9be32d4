package quota

import (
	"slices"
	"testing"
	"time"
)

// scheme is a way to limit accounts that docs/design/quotas.md compares with the one
// of this package.
type scheme interface {
	take(n *simNode, a *simAccount) bool
}

// localBucket is a token bucket at one node.
type localBucket struct {
	tokens float64
	at     time.Time
	starts uint64
}

func (b *localBucket) take(now time.Time, starts uint64, rate, limit float64) bool {
	if b.starts != starts {
		*b = localBucket{at: now, starts: starts}
	}
	b.tokens = min(limit, b.tokens+rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

type bucketKey struct {
	node    *simNode
	account *simAccount
}

// staticShare gives each node 1/N of each account. Without a burst of one request, a
// node could never admit any of a small account.
type staticShare struct{ buckets map[bucketKey]*localBucket }

func (s *staticShare) take(n *simNode, a *simAccount) bool {
	key := bucketKey{n, a}
	b := s.buckets[key]
	if b == nil {
		b = &localBucket{at: n.s.now, starts: n.starts}
		s.buckets[key] = b
	}
	part := 1 / float64(len(n.s.nodes))
	return b.take(n.s.now, n.starts, a.Rate*part, max(1, capacity(a.Rate, a.Burst)*part))
}

// gossipedCounts gives each node a share in proportion to its part of the demand, as
// gossip told it gossipAge ago. Nodes that hear nothing go on with what they know.
type gossipedCounts struct {
	staticShare
	demands map[bucketKey]*gossipedDemand
}

const gossipAge = time.Second

type gossipedDemand struct {
	second   time.Time
	count    int
	previous int
	// told is what the others know, in requests per second.
	told float64
}

func (g *gossipedCounts) take(n *simNode, a *simAccount) bool {
	now := n.s.now
	total, own := 0.0, 0.0
	for _, m := range n.s.nodes {
		d := g.demands[bucketKey{m, a}]
		if d == nil {
			continue
		}
		if m == n || m.up && n.reaches(m) {
			d.advance(now)
		}
		total += d.told
		if m == n {
			own = d.told
		}
	}
	key := bucketKey{n, a}
	d := g.demands[key]
	if d == nil {
		d = &gossipedDemand{second: now}
		g.demands[key] = d
	}
	d.count++
	part := 1 / float64(len(n.s.nodes))
	if total > 0 {
		part = max(own/total, 0.1*part)
	}
	b := g.buckets[key]
	if b == nil {
		b = &localBucket{at: now, starts: n.starts}
		g.buckets[key] = b
	}
	return b.take(now, n.starts, a.Rate*part, max(1, capacity(a.Rate, a.Burst)*part))
}

func (d *gossipedDemand) advance(now time.Time) {
	if elapsed := now.Sub(d.second); elapsed >= gossipAge {
		d.told, d.previous = float64(d.count)/elapsed.Seconds(), d.count
		d.count, d.second = 0, now
	}
}

// Prints the table of docs/design/quotas.md: the fullest window of any account in parts
// of the bound, and the part of the requests within the quota that was refused.
func TestCompareSchemes(t *testing.T) {
	if !*measureFlag {
		t.Skip("a measurement, not a check: run it with -measure")
	}
	names := make([]string, 0, len(disturbances))
	for name := range disturbances {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		for _, way := range []string{"static share", "gossiped counts", "owners and votes"} {
			s := newSim(1, 74)
			switch way {
			case "static share":
				s.scheme = &staticShare{map[bucketKey]*localBucket{}}
			case "gossiped counts":
				s.scheme = &gossipedCounts{staticShare{map[bucketKey]*localBucket{}}, map[bucketKey]*gossipedDemand{}}
			}
			declined, fullest := play(s, disturbances[name])
			t.Logf("| %s | %s | %.2f | %.2f%% | %.1f |", name, way, fullest, 100*declined, float64(s.messages)/15/74)
		}
	}
}
