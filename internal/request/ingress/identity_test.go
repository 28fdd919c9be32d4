package ingress

import (
	"net/http"
	"testing"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/request/hop"
	"github.com/daisytide/daisytide/internal/version/traffic"
)

// withAccounts puts a configuration into force that has one account with the given
// keys.
func (r *harness) withAccounts(t *testing.T, number uint64, keys ...string) {
	t.Helper()
	c := routes()
	c.RequireKey = true
	c.Routes[1].Public = true
	a := traffic.Account{Name: "acme", Priority: 1}
	for _, k := range keys {
		a.Keys = append(a.Keys, traffic.DigestOf(k))
	}
	c.Accounts = []traffic.Account{a}
	r.ingress.Holder.StoreIfNewer(snapshotOf(t, number, c))
}

// Guards against serving callers without a valid key, and against refusing those of
// public routes and of deployments without accounts.
func TestOnlyValidKeysAreServed(t *testing.T) {
	r := newHarness(t, 0)
	guarded, public := routes().Routes[0].Prefix+"1", routes().Routes[1].Prefix+"1"
	serve := func(path string, headers ...string) int {
		r.results, r.sent = []hop.Result{answered(http.StatusOK)}, 0
		return r.get(path, headers...).Status
	}
	if got := serve(guarded, "Key", "none"); got != http.StatusOK {
		t.Errorf("without accounts: %d", got)
	}
	r.withAccounts(t, 2, "k1", "k2")
	for _, tc := range []struct {
		name, path string
		headers    []string
		status     int
	}{
		{"valid key", guarded, []string{"Key", "k2"}, http.StatusOK},
		{"unknown key", guarded, []string{"Key", "k3"}, http.StatusUnauthorized},
		{"no key", guarded, nil, http.StatusUnauthorized},
		{"public route", public, nil, http.StatusOK},
		{"public route with an unknown key", public, []string{"Key", "k3"}, http.StatusOK},
	} {
		if got := serve(tc.path, tc.headers...); got != tc.status {
			t.Errorf("%s: %d, want %d", tc.name, got, tc.status)
		}
	}
	r.withAccounts(t, 3, "k1")
	if got := serve(guarded, "Key", "k2"); got != http.StatusUnauthorized {
		t.Errorf("revoked key: %d", got)
	}
}

// Guards against a further attempt after the key was revoked during the first one.
func TestRevokedKeyEndsTheAttempts(t *testing.T) {
	r := newHarness(t, 2, shed, answered(http.StatusOK))
	r.withAccounts(t, 2, "k1")
	r.onHandle = func() { r.withAccounts(t, 3, "k2") }
	resp := r.get(routes().Routes[0].Prefix+"1", "Key", "k1")
	if resp.Status != http.StatusUnauthorized || r.sent != 1 {
		t.Errorf("status %d after %d attempts, want %d after 1 (code %s)", resp.Status, r.sent, http.StatusUnauthorized, resp.Header.Get("Daisytide-Code"))
	}
	if api.Info(api.CallUnknownKey).HTTP != http.StatusUnauthorized {
		t.Error("the table of codes gives another status")
	}
}
