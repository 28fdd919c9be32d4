// Package traffic defines the configuration that an operator keeps in the
// store: weighted routes to services whose versions are those that upstreams
// announce. A Table is its immutable form for requests.
package traffic

import (
	"errors"
	"fmt"
	"math"
	"sort"
	"strings"
	"time"
)

// Config is a complete configuration. Nodes exchange it as JSON.
type Config struct {
	Routes   []Route      `json:"routes"`
	Services []Service    `json:"services"`
	Callers  CallerLimits `json:"callers"`
	// RequireKey is set if requests need the key of a client account, unless their
	// route is public.
	RequireKey bool      `json:"require_key,omitempty"`
	Accounts   []Account `json:"accounts,omitempty"`
}

// RequestKind determines whether a request may be executed more than once.
type RequestKind string

// Request kinds.
const (
	// Idempotent requests may be executed again after any failure.
	Idempotent RequestKind = "idempotent"
	// Once requests are executed at most once.
	Once RequestKind = "once"
	// Upload requests are executed at most once and have large bodies.
	Upload RequestKind = "upload"
	// Download requests may be executed again and have large responses.
	Download RequestKind = "download"
)

// Repeatable reports whether requests may be executed more than once.
func (k RequestKind) Repeatable() bool { return k == Idempotent || k == Download }

func (k RequestKind) isValid() bool {
	return k == Idempotent || k == Once || k == Upload || k == Download
}

// Route sends the requests of a host under a path prefix to services.
type Route struct {
	Name   string      `json:"name"`
	Host   string      `json:"host"`
	Prefix string      `json:"prefix"`
	Kind   RequestKind `json:"repeat"`
	// TimeLimit is the longest time that a caller waits for a response.
	TimeLimit time.Duration `json:"time_limit"`
	// Objective is the response time up to which a response has its full value.
	Objective time.Duration `json:"objective"`
	// Priority is the priority of the route; 0 is the highest.
	Priority int `json:"priority"`
	// Attempts is the maximum number of upstreams that one request may be sent
	// to.
	Attempts int `json:"attempts"`
	// Public routes need no key of a client account.
	Public bool              `json:"public,omitempty"`
	Shares []WeightedService `json:"shares"`
}

// WeightedService is a service with its weight in a route.
type WeightedService struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Service is a named set of upstreams.
type Service struct {
	Name string `json:"name"`
	// Connections is the maximum number of connections to one upstream; 0 means
	// no limit.
	Connections int `json:"connections"`
	// HealthPath responds with status 200 while the upstream is healthy.
	HealthPath string `json:"health_path"`
	// Warmup is how long an upstream stays cold after a start, and WarmupRate the
	// number of requests per second that a cold one bears; 0 means no limit.
	Warmup     time.Duration `json:"warmup,omitempty"`
	WarmupRate float64       `json:"warmup_rate,omitempty"`
}

// CallerLimits limits what callers may send and how long they may take.
type CallerLimits struct {
	HeaderBytes   int           `json:"header_bytes"`
	BodyBytes     int64         `json:"body_bytes"`
	HeaderTimeout time.Duration `json:"header_timeout"`
	IdleTimeout   time.Duration `json:"idle_timeout"`
}

// OperatorKeys describes the store keys that an operator writes.
type OperatorKeys struct {
	// Prefix is the prefix of all keys of the operator, Config the key of the
	// configuration, Orders the prefix of the orders to move services.
	Prefix, Config, Orders string
	// Evacuations is the prefix of the keys that evacuate the data centre that the
	// rest of the key names, as long as they exist.
	Evacuations string
	// Decode decodes a configuration. With an error, number is 0 if it could not be
	// read.
	Decode func(value []byte) (number uint64, c Config, err error)
}

// Check returns an error if the configuration is unusable. It joins the faults
// of all services and the first fault of each route.
func (c *Config) Check() error {
	services := map[string]bool{}
	var faults []error
	for _, s := range c.Services {
		if s.Name == "" {
			faults = append(faults, errors.New("a service has no name"))
		}
		if !isQuota(s.WarmupRate) || s.Warmup < 0 {
			faults = append(faults, fmt.Errorf("service %q: the warm-up time and rate must be finite and not negative", s.Name))
		}
		services[s.Name] = true
	}
	faults = append(faults, c.checkAccounts()...)
	for _, r := range c.Routes {
		if err := r.check(services); err != nil {
			faults = append(faults, fmt.Errorf("route %q: %w", r.Name, err))
		}
	}
	return errors.Join(faults...)
}

func (r *Route) check(services map[string]bool) error {
	total := 0.0
	for _, s := range r.Shares {
		if !services[s.Service] {
			return fmt.Errorf("no service is named %q", s.Service)
		}
		if s.Weight < 0 {
			return fmt.Errorf("service %q has a negative weight", s.Service)
		}
		total += s.Weight
	}
	switch {
	case r.Host == "" || !strings.HasPrefix(r.Prefix, "/"):
		return errors.New("the host is missing or the path prefix does not start with a slash")
	case total <= 0:
		return errors.New("no service has a positive weight")
	case math.IsInf(total, 0):
		return errors.New("the sum of the weights is too large")
	case r.TimeLimit <= 0:
		return errors.New("the time limit must be positive")
	case !r.Kind.isValid():
		return fmt.Errorf("unknown request kind %q", r.Kind)
	}
	return nil
}

// Table is an immutable index of routes and services.
type Table struct {
	Config Config
	// routesByHost lists the routes of each host, the longest prefix first.
	routesByHost map[string][]*Route
	services     map[string]*Service
	// accounts holds the client accounts by the digests of their keys.
	accounts map[KeyDigest]*Account
}

func NewTable(c Config) *Table {
	t := &Table{Config: c, routesByHost: map[string][]*Route{}, services: map[string]*Service{}}
	for i := range c.Routes {
		r := &t.Config.Routes[i]
		t.routesByHost[r.Host] = append(t.routesByHost[r.Host], r)
	}
	for _, routes := range t.routesByHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &t.Config.Services[i]
	}
	t.indexAccounts()
	return t
}

// Find returns the route of a request, or nil if none matches.
func (t *Table) Find(host, path string) *Route {
	routes, ok := t.routesByHost[host]
	if !ok {
		name, _, _ := strings.Cut(host, ":")
		routes = t.routesByHost[strings.ToLower(name)]
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service by name, or nil if there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Pick returns a service by weight for a random u, uniform in [0, 1).
func (r *Route) Pick(u float64) string {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	u *= total
	for _, s := range r.Shares {
		if u < s.Weight {
			return s.Service
		}
		u -= s.Weight
	}
	return r.Shares[len(r.Shares)-1].Service
}
