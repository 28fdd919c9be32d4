package operator

import (
	"context"
	"expvar"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/request/call"
	"github.com/daisytide/daisytide/internal/version/document"
	"github.com/daisytide/daisytide/internal/version/snapshot"
)

// fakeNode is the Node, the DocumentApplier and the audit trail of a server
// under test.
type fakeNode struct {
	from    Origin
	outcome api.ApplyResponse
	entries []api.AuditEntry
}

func (f *fakeNode) Status() api.StatusResponse              { return api.StatusResponse{} }
func (f *fakeNode) Hosts(context.Context) api.HostsResponse { return api.HostsResponse{} }
func (f *fakeNode) Rollouts() api.RolloutsResponse          { return api.RolloutsResponse{} }
func (f *fakeNode) Audit(context.Context) (api.AuditResponse, *api.Error) {
	return api.AuditResponse{}, nil
}
func (f *fakeNode) Announce(api.Announcement) *api.Error                  { return nil }
func (f *fakeNode) Record(e api.AuditEntry)                               { f.entries = append(f.entries, e) }
func (f *fakeNode) Validate(text []byte) (*document.Document, *api.Error) { return nil, nil }
func (f *fakeNode) ApplyOrder(o api.RolloutOrder, _ string) *api.Error {
	return api.Errorf(api.OperatorNoRollout, "no running rollout of %q", o.Service)
}

func (f *fakeNode) ApplySession(_ context.Context, _ []byte, operator string, base uint64, session string) api.ApplyResponse {
	f.from = Origin{Operator: operator, Base: base, Session: session}
	return f.outcome
}

const token = "token-of-the-operator-test"

func startServer(t *testing.T) (*fakeNode, *Server, *httptest.Server) {
	t.Helper()
	f := &fakeNode{}
	metrics := new(expvar.Map).Init()
	s := &Server{Token: token, Node: f, Documents: f, Holder: &snapshot.Holder{}, Audit: f, TokenFailures: new(expvar.Int), Metrics: metrics}
	metrics.Set("operator_token_refused", s.TokenFailures)
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	return f, s, server
}

// send sends a request with headers given as alternating names and values, and
// returns the result code and the body of the response.
func send(t *testing.T, base, method, path, body string, headers ...string) (api.Code, string) {
	t.Helper()
	r, err := http.NewRequest(method, base+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set(api.HeaderToken, token)
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	code, _ := strconv.Atoi(resp.Header.Get(call.HeaderCode))
	if code != 0 && resp.StatusCode != api.Info(api.Code(code)).HTTP {
		t.Errorf("%s %s: status %d with code %d", method, path, resp.StatusCode, code)
	}
	return api.Code(code), string(text)
}

func TestBadRequestsAreRefusedWithTheirCodes(t *testing.T) {
	f, _, server := startServer(t)
	long := strings.Repeat("x", api.MaxOperatorBytes+1)
	for name, c := range map[string]struct {
		method, path, body string
		headers            []string
		want               api.Code
	}{
		"good":                    {"POST", api.PathConfig, "{}", nil, api.OK},
		"no token":                {"GET", api.PathStatus, "", []string{api.HeaderToken, ""}, api.OperatorToken},
		"wrong token":             {"GET", api.PathStatus, "", []string{api.HeaderToken, token + "x"}, api.OperatorToken},
		"body over the limit":     {"POST", api.PathConfig, strings.Repeat(" ", document.MaxBytes+1), nil, api.DocumentTooLarge},
		"validate over limit":     {"POST", api.PathValidate, strings.Repeat(" ", 2*document.MaxBytes), nil, api.DocumentTooLarge},
		"long operator":           {"POST", api.PathConfig, "{}", []string{api.HeaderOperator, long}, api.OperatorHeader},
		"long session":            {"POST", api.PathConfig, "{}", []string{api.HeaderSession, long}, api.OperatorHeader},
		"base is not a number":    {"POST", api.PathConfig, "{}", []string{api.HeaderBase, "last"}, api.OperatorHeader},
		"order is not JSON":       {"POST", api.PathRollouts, "pause", nil, api.OperatorBody},
		"order without a rollout": {"POST", api.PathRollouts, "{}", nil, api.OperatorNoRollout},
		"nothing in force":        {"GET", api.PathConfig, "", nil, api.CallNotReady},
		"unknown path":            {"GET", "/v1/zones", "", nil, api.OperatorNotFound},
		"wrong method":            {"DELETE", api.PathConfig, "", nil, api.OperatorMethod},
	} {
		if got, text := send(t, server.URL, c.method, c.path, c.body, c.headers...); got != c.want {
			t.Errorf("%s: %s, want %s: %s", name, got, c.want, text)
		}
	}
	if len(f.entries) != 2 {
		t.Errorf("%d entries in the audit trail, want one apply and one order", len(f.entries))
	}
}

func TestWrongTokensAreCountedInVars(t *testing.T) {
	_, _, server := startServer(t)
	for range 3 {
		send(t, server.URL, "GET", api.PathStatus, "", api.HeaderToken, "wrong")
	}
	if _, text := send(t, server.URL, "GET", pathVars, ""); !strings.Contains(text, `"operator_token_refused": 3`) || !strings.Contains(text, `"memstats"`) {
		t.Errorf("counters: %s", text[max(0, len(text)-200):])
	}
}

func TestEveryApplyOutcomeIsAudited(t *testing.T) {
	f, _, server := startServer(t)
	for _, out := range []api.ApplyResponse{
		{Outcome: api.ApplyAccepted, Number: 4},
		{Outcome: api.ApplyConflict, Number: 5, Error: api.Errorf(api.OperatorConflict, "x")},
		{Outcome: api.ApplyRefused, Error: api.Errorf(api.DocumentNoService, "x")},
		{Outcome: api.ApplyUnknown, Error: api.Errorf(api.StoreUnknown, "x")},
	} {
		f.outcome = out
		send(t, server.URL, "POST", api.PathConfig, `{"services":[{"name":"a"}],"routes":[]}`, api.HeaderOperator, "ann", api.HeaderBase, "3", api.HeaderSession, "s")
		e := f.entries[len(f.entries)-1]
		if e.Operator != "ann" || e.Action != "apply" || !strings.HasPrefix(e.Outcome, string(out.Outcome)) {
			t.Errorf("entry %+v", e)
		}
		if accepted := out.Outcome == api.ApplyAccepted; accepted != (e.To == 4) || accepted != (len(e.Changes) == 1) {
			t.Errorf("entry %+v", e)
		}
	}
	if want := (Origin{Operator: "ann", Base: 3, Session: "s"}); f.from != want {
		t.Errorf("applied from %+v, want %+v", f.from, want)
	}
	if len(f.entries) != 4 {
		t.Errorf("%d entries", len(f.entries))
	}
	if _, text := send(t, server.URL, "GET", pathVars, ""); !strings.Contains(text, `"apply_conflict": 1`) {
		t.Errorf("counters: %s", text[max(0, len(text)-300):])
	}
}
