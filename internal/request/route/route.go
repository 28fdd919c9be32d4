// Package route matches requests to routes with an immutable table.
package route

import (
	"sort"
	"strings"

	"github.com/daisytide/daisytide/internal/version/document"
)

// DefaultBodyLimit caps the request body of a route without its own limit, in
// bytes.
const DefaultBodyLimit = 1_000_000

// Table holds routes, most specific first.
type Table struct {
	routes []*document.Route
}

// NewTable sorts the routes of a document by specificity.
func NewTable(routes []document.Route) *Table {
	t := &Table{}
	for i := range routes {
		t.routes = append(t.routes, &routes[i])
	}
	sort.SliceStable(t.routes, func(i, j int) bool { return specificity(t.routes[i]) > specificity(t.routes[j]) })
	return t
}

// specificity orders routes by prefix length, then by whether host and method
// are set.
func specificity(r *document.Route) int {
	n := 4 * len(r.Match.Prefix)
	if r.Match.Host != "" {
		n += 2
	}
	if r.Match.Method != "" {
		n++
	}
	return n
}

// Find returns the most specific matching route, or nil if none matches.
func (t *Table) Find(method, host, path string) *document.Route {
	for _, r := range t.routes {
		if matches(&r.Match, method, host, path) {
			return r
		}
	}
	return nil
}

func matches(m *document.Match, method, host, path string) bool {
	if m.Method != "" && m.Method != method {
		return false
	}
	if m.Host != "" && m.Host != host {
		return false
	}
	return strings.HasPrefix(path, m.Prefix)
}
