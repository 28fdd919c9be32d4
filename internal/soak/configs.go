package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/daisytide/daisytide/internal/version/traffic"
	"github.com/daisytide/daisytide/platform"
)

const (
	// minSeriesInterval and maxSeriesInterval bound the time between two changes of a
	// series, and minSeriesTime and maxSeriesTime its length.
	minSeriesInterval, maxSeriesInterval = 200 * time.Millisecond, 400 * time.Millisecond
	minSeriesTime, maxSeriesTime         = 3 * time.Second, 6 * time.Second
	// minTimeLimit is the shortest time limit of a route. It is far above maxWorkTime, so
	// that requests are served on a busy machine as well.
	minTimeLimit = 800 * time.Millisecond
	// maxAddedRoutes is how many added routes a configuration has at most.
	maxAddedRoutes = 8
	// recentConfigs is the number of the latest configurations whose changed routes callers
	// request.
	recentConfigs = 8
	maxEdits      = 3
)

// Prefixes of the routes that every configuration has. They move between services.
const (
	prefixRead   = "/read/"
	prefixList   = "/list/"
	prefixOnce   = "/once/"
	prefixUpload = "/up/"
)

var fixedPrefixes = []string{prefixRead, prefixList, prefixOnce, prefixUpload}

// configuration is a version that the operator writes.
type configuration struct {
	number int
	// routes are the routes by prefix.
	routes map[string]traffic.Route
	// changed are the prefixes whose routes were added, removed or changed.
	changed []string
	// sentAt is when it was sent first, and ackedAt when the store acknowledged it; zero
	// before that.
	sentAt, ackedAt time.Time
}

// noService is the service of a request that was answered 404.
const noService = ""

// allows reports whether a service may run requests under a prefix, or with noService
// whether these may be answered 404.
func (c *configuration) allows(prefix, service string) bool {
	r, found := c.routes[prefix]
	if service == noService {
		return !found
	}
	return slices.ContainsFunc(r.Shares, func(s traffic.WeightedService) bool { return s.Service == service })
}

// prefixOf returns the prefix of the route of a path, such as /v7/ of /v7/1.
func prefixOf(path string) string { return path[:strings.LastIndex(path, "/")+1] }

func newRoute(prefix string, service string) traffic.Route {
	kind := traffic.Idempotent
	switch prefix {
	case prefixOnce:
		kind = traffic.Once
	case prefixUpload:
		kind = traffic.Upload
	}
	return traffic.Route{
		Name: strings.Trim(prefix, "/"), Host: routeHost, Prefix: prefix, Kind: kind, TimeLimit: callerTimeout, Objective: callerTimeout / 2,
		Priority: 1, Attempts: 2, Shares: []traffic.WeightedService{{Service: service, Weight: 1}},
	}
}

// nextConfiguration returns a configuration that adds a route to those before and
// changes up to maxEdits others. before is nil for the first one.
func nextConfiguration(rng *rand.Rand, before *configuration) *configuration {
	c := &configuration{number: 1, routes: map[string]traffic.Route{}}
	if before == nil {
		for i, prefix := range fixedPrefixes {
			c.routes[prefix] = newRoute(prefix, services[i%len(services)])
		}
		return c
	}
	c.number, c.routes = before.number+1+rng.IntN(4), maps.Clone(before.routes)
	for range 1 + rng.IntN(maxEdits) {
		prefixes := slices.Sorted(maps.Keys(c.routes))
		prefix := prefixes[rng.IntN(len(prefixes))]
		r := c.routes[prefix]
		order := rng.Perm(len(services))
		switch added := len(c.routes) - len(fixedPrefixes); rng.IntN(5) {
		case 0, 1:
			r.Shares = []traffic.WeightedService{{Service: services[order[0]], Weight: 1}}
		case 2:
			r.Shares = []traffic.WeightedService{{Service: services[order[0]], Weight: float64(1 + rng.IntN(9))}, {Service: services[order[1]], Weight: float64(1 + rng.IntN(9))}}
		case 3:
			r.TimeLimit = minTimeLimit + time.Duration(rng.Int64N(int64(callerTimeout-minTimeLimit)))
			r.Objective = r.TimeLimit / 2
		case 4:
			if slices.Contains(fixedPrefixes, prefix) && added < maxAddedRoutes {
				continue
			}
			for slices.Contains(fixedPrefixes, prefix) {
				prefix = prefixes[rng.IntN(len(prefixes))]
			}
			delete(c.routes, prefix)
			c.changed = append(c.changed, prefix)
			continue
		}
		c.routes[prefix] = r
		c.changed = append(c.changed, prefix)
	}
	if len(c.routes) < len(fixedPrefixes)+maxAddedRoutes {
		prefix := fmt.Sprintf("/v%d/", c.number)
		c.routes[prefix] = newRoute(prefix, services[rng.IntN(len(services))])
		c.changed = append(c.changed, prefix)
	}
	return c
}

// applyNextConfig writes the next configuration to the store.
func (s *soak) applyNextConfig(ctx context.Context, rng *rand.Rand) {
	s.configMu.Lock()
	defer s.configMu.Unlock()
	next := nextConfiguration(rng, s.checker.newestConfig())
	c := traffic.Config{Callers: traffic.CallerLimits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}}
	for _, name := range services {
		c.Services = append(c.Services, traffic.Service{Name: name, Connections: 100, HealthPath: healthPath})
	}
	for _, prefix := range slices.Sorted(maps.Keys(next.routes)) {
		c.Routes = append(c.Routes, next.routes[prefix])
	}
	value, err := platform.EncodeConfig(uint64(next.number), c)
	if err != nil {
		s.checker.addViolation("encode a configuration: %v", err)
		return
	}
	s.checker.addConfig(next)
	for ctx.Err() == nil {
		e, err := s.store.Get(ctx, platform.KeyConfig)
		if err == nil {
			_, err = s.store.CompareAndSwap(ctx, platform.KeyConfig, e.Revision, value, "")
		}
		if err == nil {
			s.checker.acknowledge(next)
			return
		}
		sleep(ctx, 50*time.Millisecond)
	}
}

// applyConfigsInSeries writes configurations one after the other in the background, one
// series at a time.
func (s *soak) applyConfigsInSeries(ctx context.Context) {
	if !s.inSeries.CompareAndSwap(false, true) {
		s.options.Logf("a series is in progress already")
		return
	}
	rng := rand.New(rand.NewPCG(s.rng.Uint64(), 7))
	s.faultEnds.Go(func() {
		defer s.inSeries.Store(false)
		for end := time.Now().Add(between(rng, minSeriesTime, maxSeriesTime)); time.Now().Before(end) && ctx.Err() == nil; {
			s.applyNextConfig(ctx, rng)
			sleep(ctx, between(rng, minSeriesInterval, maxSeriesInterval))
		}
	})
}

// between returns a random duration from low up to high.
func between(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)))
}
