// Package traffic holds a configuration that an operator keeps in the store:
// weighted routes to services whose versions are those that upstreams
// announce. A Table is its immutable form for requests.
package traffic

import (
	"errors"
	"fmt"
	"sort"
	"strings"
	"time"
)

// Config is one whole configuration. It travels between nodes as JSON.
type Config struct {
	Routes   []Route      `json:"routes"`
	Services []Service    `json:"services"`
	Callers  CallerLimits `json:"callers"`
}

// RequestKind says whether a request may run more than once.
type RequestKind string

// The kinds of requests.
const (
	// Idempotent requests may run again after any failure.
	Idempotent RequestKind = "idempotent"
	// Once requests run at most once.
	Once RequestKind = "once"
	// Upload requests run at most once and have large bodies.
	Upload RequestKind = "upload"
)

// Route sends the requests of a host under a path prefix to services.
type Route struct {
	Name   string      `json:"name"`
	Host   string      `json:"host"`
	Prefix string      `json:"prefix"`
	Kind   RequestKind `json:"repeat"`
	// TimeLimit is the longest that a caller is kept waiting.
	TimeLimit time.Duration `json:"time_limit"`
	// Objective is the time within which an answer is of full use.
	Objective time.Duration `json:"objective"`
	// Priority is the route's rank; 0 is the highest.
	Priority int `json:"priority"`
	// Attempts is the largest number of upstreams that one request may reach.
	Attempts int               `json:"attempts"`
	Shares   []WeightedService `json:"shares"`
}

// WeightedService is a service's part of a route's requests, by weight.
type WeightedService struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Service is a named set of upstreams.
type Service struct {
	Name string `json:"name"`
	// Connections caps the connections to one upstream; 0 is no cap.
	Connections int `json:"connections"`
	// HealthPath answers 200 while the upstream is well.
	HealthPath string `json:"health_path"`
}

// CallerLimits bounds what callers may send and how long they may take.
type CallerLimits struct {
	HeaderBytes   int           `json:"header_bytes"`
	BodyBytes     int64         `json:"body_bytes"`
	HeaderTimeout time.Duration `json:"header_timeout"`
	IdleTimeout   time.Duration `json:"idle_timeout"`
}

// OperatorKeys says where an operator writes and how to read it.
type OperatorKeys struct {
	// Prefix holds all keys of the operator, Config the configuration, Orders
	// the orders to move services.
	Prefix, Config, Orders string
	// Decode reads a configuration.
	Decode func(value []byte) (number uint64, c Config, err error)
}

// Check returns everything that makes a configuration unusable.
func (c *Config) Check() error {
	services := map[string]bool{}
	var faults []error
	for _, s := range c.Services {
		if s.Name == "" {
			faults = append(faults, errors.New("a service without a name"))
		}
		services[s.Name] = true
	}
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
		return errors.New("it needs a host and a path prefix")
	case total <= 0:
		return errors.New("no service has a weight")
	case r.TimeLimit <= 0:
		return errors.New("it has no time limit")
	case r.Kind != Idempotent && r.Kind != Once && r.Kind != Upload:
		return fmt.Errorf("unknown kind %q", r.Kind)
	}
	return nil
}

// Table finds routes; it never changes.
type Table struct {
	Config Config
	// hosts lists the routes of each host, the longest prefix first.
	routesByHost map[string][]*Route
	services     map[string]*Service
}

// NewTable indexes a configuration.
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
	return t
}

// Find returns the route of a request; nil where none matches.
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

// Service finds a service by name; nil where there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Pick returns the service for a draw u, uniform in [0, 1), by weight.
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
