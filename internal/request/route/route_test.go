package route

import (
	"fmt"
	"testing"

	"github.com/daisytide/daisytide/internal/version/document"
)

func match(name, prefix, method, host string) document.Route {
	return document.Route{Name: name, Match: document.Match{Prefix: prefix, Method: method, Host: host}}
}

func TestMostSpecificRouteWins(t *testing.T) {
	table := NewTable([]document.Route{
		match("all", "/", "", ""),
		match("status", "/status", "", ""),
		match("status-post", "/status", "POST", ""),
		match("status-host", "/status", "", "desk"),
		match("detail", "/status/detail", "GET", ""),
	})
	for _, c := range []struct{ method, host, path, want string }{
		{"GET", "any", "/", "all"},
		{"GET", "any", "/other", "all"},
		{"GET", "any", "/status/1", "status"},
		{"POST", "any", "/status/1", "status-post"},
		{"POST", "desk", "/status/1", "status-host"},
		{"GET", "desk", "/status/detail/2", "detail"},
		{"PUT", "any", "/status/detail/2", "status"},
	} {
		if got := table.Find(c.method, c.host, c.path); got == nil || got.Name != c.want {
			t.Errorf("%s %s%s: %+v, want %s", c.method, c.host, c.path, got, c.want)
		}
	}
}

func TestFindReturnsNilWithoutAMatch(t *testing.T) {
	table := NewTable([]document.Route{match("status", "/status", "GET", "")})
	for _, path := range []string{"/", "/credit"} {
		if got := table.Find("GET", "any", path); got != nil {
			t.Errorf("%s: matched %s", path, got.Name)
		}
	}
	if got := table.Find("POST", "any", "/status"); got != nil {
		t.Errorf("POST: matched %s", got.Name)
	}
}

// wide returns a table with 72 routes. That is the target size: 36 services with
// two routes each.
func wide() *Table {
	var routes []document.Route
	for i := range 72 {
		routes = append(routes, match(fmt.Sprint(i), fmt.Sprintf("/service-%02d/part", i), "GET", ""))
	}
	return NewTable(routes)
}

// An entry looks up a route for each of 150 calls per second. The look-up must
// not allocate: it returns what the snapshot holds.
func TestFindDoesNotAllocate(t *testing.T) {
	table := wide()
	if n := testing.AllocsPerRun(1000, func() { table.Find("GET", "any", "/service-71/part/1") }); n > 0 {
		t.Errorf("%v allocations", n)
	}
}

func BenchmarkFind(b *testing.B) {
	table := wide()
	for b.Loop() {
		table.Find("GET", "any", "/service-71/part/1")
	}
}
