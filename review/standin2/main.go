// Command standin2 plays the cases of the second review on real processes: it starts
// daisytided with the command of the deploy file, beside stand-ins of the platform's
// store, of backends and of clients, and checks one rule.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errNotRun says that a case could not run.
type errNotRun struct{ error }

func notRun(format string, args ...any) error { return errNotRun{fmt.Errorf(format, args...)} }

// cases are the cases by name. Each returns what broke the rule, empty if it held.
var cases = map[string]func(rec *record, trouble bool) ([]string, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER, in the root of the repository")
		os.Exit(exitNotRun)
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("case %s, with the disruption: %v", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](rec, trouble)
	code := exitHeld
	switch {
	case err != nil:
		rec.line("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		code = exitNotRun
	case len(broken) > 0:
		code = exitBroken
	}
	for _, b := range broken {
		rec.line("BROKEN: %s", b)
		fmt.Println("BROKEN:", b)
	}
	if code == exitHeld {
		rec.line("the rule held")
		fmt.Println("the rule held")
	}
	rec.close()
	os.Exit(code)
}

// route is a route of the configuration.
type route struct {
	Name, Prefix, Kind, Service string
	Timeout                     float64
}

// config returns a configuration in the platform's form.
func (f *fleet) config(version int, routes []route) []byte {
	services, table := object{}, object{}
	for _, n := range f.nodes {
		services[n.service] = object{"health_path": "/healthz", "max_connections": 130, "protocol": "h1", "tls": false}
	}
	for _, r := range routes {
		table[r.Name] = object{
			"host": f.host, "path_prefix": r.Prefix, "route_type": r.Kind, "timeout_s": r.Timeout, "target_latency_s": r.Timeout / 2,
			"priority": 1, "service": r.Service, "max_attempts": 2,
		}
	}
	b, _ := json.Marshal(object{
		"version": fmt.Sprintf("%08x", version), "routes": table, "services": services,
		"limits": object{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
	})
	return b
}
