package console_test

import (
	"context"
	"expvar"
	"html"
	"io"
	"net/http"
	"net/http/cookiejar"
	"net/http/httptest"
	"net/url"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/process/operator/console"
	"github.com/daisytide/daisytide/internal/version/document"
	"github.com/daisytide/daisytide/internal/version/snapshot"
	"github.com/daisytide/daisytide/internal/version/validate"
)

const token = "token-of-the-console-test"

// Paths, form fields and button values, as a browser sees them.
const (
	pathHome     = "/console"
	pathSignIn   = "/console/sign-in"
	pathSession  = "/console/session"
	pathFollow   = "/console/follow"
	pathHosts    = "/console/hosts"
	pathAudit    = "/console/audit"
	pathRollouts = "/console/rollouts"

	fieldFormToken = "form-token"
	fieldAction    = "do"
	fieldDraft     = "session-draft"

	actionSave   = "save"
	actionReview = "review"
	actionApply  = "apply"
	actionRebase = "carry"
)

// fakeNode accepts documents in memory by the rules of the provider.
type fakeNode struct {
	holder   snapshot.Holder
	rollouts []api.Rollout
	orders   []api.RolloutOrder
	// nextApply, if set, is the response to the next apply, which then has no
	// effect.
	nextApply *api.ApplyResponse
	// lostReplies is the number of applies that take effect but return an
	// unknown outcome.
	lostReplies int
}

func (n *fakeNode) Validate(text []byte) (*document.Document, *api.Error) {
	var inForce *document.Document
	if cur := n.holder.Current(); cur != nil {
		inForce = cur.Document
	}
	doc, faults := validate.Text(text, inForce, validate.RolloutStatus{})
	if len(faults) > 0 {
		return nil, validate.NewError(faults)
	}
	return doc, nil
}

func (n *fakeNode) Apply(_ context.Context, text []byte, operator string, base uint64, session string) api.ApplyResponse {
	if out := n.nextApply; out != nil {
		n.nextApply = nil
		return *out
	}
	doc, refusal := n.Validate(text)
	if refusal != nil {
		return api.ApplyResponse{Outcome: api.ApplyRefused, Error: refusal}
	}
	var prev *document.AcceptedConfig
	var prevDoc *document.Document
	number := uint64(api.BaseNone)
	if cur := n.holder.Current(); cur != nil {
		prev, prevDoc, number = cur.Accepted, cur.Document, cur.Number()
		if at, ok := prev.NumberOf(session); ok {
			return api.ApplyResponse{Outcome: api.ApplyAccepted, Number: at}
		}
	}
	if base != number {
		return api.ApplyResponse{Outcome: api.ApplyConflict, Number: number, Winner: prev.Operator, Error: api.Errorf(api.OperatorConflict, "conflict")}
	}
	envelope, err := document.NextAccepted(prev, prevDoc, text, doc, session, operator, time.Unix(0, 0)).Encode()
	if err != nil {
		panic(err)
	}
	s, err := snapshot.Build(envelope)
	if err != nil {
		panic(err)
	}
	n.holder.StoreIfNewer(s)
	if n.lostReplies > 0 {
		n.lostReplies--
		return api.ApplyResponse{Outcome: api.ApplyUnknown, Error: api.Errorf(api.StoreUnknown, "the reply was lost")}
	}
	return api.ApplyResponse{Outcome: api.ApplyAccepted, Number: s.Number()}
}

func (n *fakeNode) Hosts(context.Context) api.HostsResponse {
	number := n.holder.Current().Number()
	return api.HostsResponse{Number: number, Hosts: []api.Host{{Address: "127.0.0.1:1", Number: number}, {Address: "127.0.0.1:2", Number: number}}}
}

func (n *fakeNode) Rollouts() api.RolloutsResponse { return api.RolloutsResponse{Rollouts: n.rollouts} }

func (n *fakeNode) ApplyOrder(o api.RolloutOrder, _ string) *api.Error {
	n.orders = append(n.orders, o)
	return nil
}

func (n *fakeNode) Audit(context.Context) (api.AuditResponse, *api.Error) {
	return api.AuditResponse{Entries: []api.AuditEntry{{Action: "apply", Outcome: "accepted <b>"}}}, nil
}

// browser is an operator's browser: a cookie jar and the current page.
type browser struct {
	t      *testing.T
	base   string
	http   *http.Client
	page   string
	status int
	path   string
}

func startServer(t *testing.T) (*fakeNode, *httptest.Server) {
	t.Helper()
	node := &fakeNode{}
	server := httptest.NewServer(console.New(node, &node.holder, token, new(expvar.Int)))
	t.Cleanup(server.Close)
	return node, server
}

func newBrowser(t *testing.T, base string) *browser {
	t.Helper()
	jar, err := cookiejar.New(nil)
	if err != nil {
		t.Fatal(err)
	}
	return &browser{t: t, base: base, http: &http.Client{Jar: jar}}
}

func signIn(t *testing.T, base, operator string) *browser {
	t.Helper()
	b := newBrowser(t, base)
	b.post(pathSignIn, url.Values{"operator": {operator}, "token": {token}})
	b.expect(http.StatusOK, pathHome, "In force")
	return b
}

func (b *browser) readResponse(resp *http.Response, err error) {
	b.t.Helper()
	if err != nil {
		b.t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		b.t.Fatal(err)
	}
	b.page, b.status, b.path = string(text), resp.StatusCode, resp.Request.URL.Path
}

func (b *browser) get(path string) {
	b.t.Helper()
	b.readResponse(b.http.Get(b.base + path))
}

func (b *browser) post(path string, form url.Values) {
	b.t.Helper()
	b.readResponse(b.http.PostForm(b.base+path, form))
}

var (
	inputTag  = regexp.MustCompile(`<input[^>]*?name="([^"]*)"[^>]*?value="([^"]*)"`)
	selectTag = regexp.MustCompile(`(?s)<select[^>]*?name="([^"]*)".*?</select>`)
	selected  = regexp.MustCompile(`<option selected>([^<]*)</option>`)
)

// form returns the fields of the page's forms as a browser would submit them.
func (b *browser) form() url.Values {
	form := url.Values{}
	body := b.page[strings.Index(b.page, "<main"):]
	for _, m := range inputTag.FindAllStringSubmatch(body, -1) {
		form.Set(m[1], html.UnescapeString(m[2]))
	}
	for _, m := range selectTag.FindAllStringSubmatch(body, -1) {
		if chosen := selected.FindStringSubmatch(m[0]); chosen != nil {
			form.Set(m[1], html.UnescapeString(chosen[1]))
		}
	}
	return form
}

// press fills in fields, given as alternating names and values, and presses a
// button of the edit session, which must be on the page.
func (b *browser) press(button string, typed ...string) {
	b.t.Helper()
	if !strings.Contains(b.page, `name="do" value="`+button+`"`) {
		b.t.Fatalf("no button %s on the page:\n%s", button, b.mainText())
	}
	form := b.form()
	for i := 0; i < len(typed); i += 2 {
		if !form.Has(typed[i]) && !strings.Contains(b.page, `name="`+typed[i]+`"`) {
			b.t.Fatalf("no field %s on the page", typed[i])
		}
		form.Set(typed[i], typed[i+1])
	}
	form.Set(fieldAction, button)
	b.post(pathSession, form)
}

func (b *browser) mainText() string {
	return b.page[max(0, strings.Index(b.page, "<main")):]
}

func (b *browser) expect(status int, path string, texts ...string) {
	b.t.Helper()
	if b.status != status || b.path != path {
		b.t.Fatalf("%d %s, want %d %s\n%s", b.status, b.path, status, path, b.mainText())
	}
	for _, text := range texts {
		if !strings.Contains(html.UnescapeString(b.page), text) {
			b.t.Fatalf("no %q on %s:\n%s", text, b.path, b.mainText())
		}
	}
}

// addService adds a service on the page of the edit session.
func (b *browser) addService(name string) {
	b.t.Helper()
	b.press("add-services")
	b.press(actionSave, "name", name, "versions", "v1, v2", "current", "v1")
}

func TestEditSessionFromEmptyFormToAppliedDocument(t *testing.T) {
	node, server := startServer(t)
	b := signIn(t, server.URL, "ann")
	b.get(pathSession)
	b.expect(http.StatusOK, pathSession, "started from an empty document")

	b.press("add-services")
	b.press("remove-services-0")
	b.expect(http.StatusOK, pathSession, "none")
	b.press("add-services")
	b.press(actionSave, "name", "Status Desk", "versions", "v1, v2", "current", "v3", "limits.slots", "ten")
	b.expect(http.StatusBadRequest, pathSession, "1005 document-bad-name", "1008 document-no-version", "1018 document-wrong-type", `value="Status Desk"`, `value="ten"`)
	if faults := strings.Index(b.page, `id="limits-slots-faults"`); faults < 0 || !strings.Contains(b.page[faults:faults+120], "1018") {
		t.Errorf("the fault of the slots is not shown beside its field:\n%s", b.mainText())
	}
	b.press(actionSave, "name", "status-desk", "current", "v1", "limits.slots", "10")
	b.expect(http.StatusOK, pathSession, "versions v1, v2; current v1")

	b.press("add-routes")
	b.press(actionSave, "name", "status", "match.prefix", "/status", "service", "status-desk", "time_limit", "2", "caller", "buyer")
	b.expect(http.StatusBadRequest, pathSession, "1009 document-bad-unit")
	b.press(actionSave, "time_limit", "2s", "match.method", "GET", "idempotent", "yes")
	b.press("add-rollouts")
	b.press(actionSave, "service", "status-desk", "from", "v1", "to", "v2", "start", "2030-01-31T08:00:00Z", "deadline", "2030-01-31T07:00:00Z", "first_share", "5", "steps", "25, 101")
	b.expect(http.StatusBadRequest, pathSession, "1012 document-bad-deadline", "1011 document-bad-share")
	b.press(actionSave, "deadline", "2030-01-31T09:00:00Z", "steps", "25, 100")
	b.expect(http.StatusOK, pathSession)

	b.press("add-routes")
	b.press(actionSave, "name", "other", "match.prefix", "/status", "match.method", "GET", "service", "status-desk", "time_limit", "1s", "caller", "clerk")
	b.expect(http.StatusBadRequest, pathSession, "1013 document-same-match")
	b.press("remove-routes-1")
	b.press(actionReview)
	b.expect(http.StatusOK, pathSession, "+ service status-desk", "+ route status: match GET /status", "+ rollout of status-desk")

	node.rollouts = []api.Rollout{{Service: "status-desk", From: "v1", To: "v2", State: "moving", Share: 5}}
	b.press(actionApply)
	b.expect(http.StatusOK, pathFollow, "In force on 2 of 2 hosts", "moving", `http-equiv="refresh"`)
	node.rollouts[0].State = "done"
	b.get(pathFollow + "?number=1")
	b.expect(http.StatusOK, pathFollow, "Every move is done or taken back")
	if strings.Contains(b.page, "refresh") {
		t.Error("the page still reloads after the rollouts have ended")
	}
	cur := node.holder.Current()
	if cur.Number() != 1 || cur.Accepted.Operator != "ann" || len(cur.Document.Routes) != 1 || cur.Document.Services[0].Limits.Slots != 10 {
		t.Errorf("in force: %d %+v", cur.Number(), cur.Document)
	}
	b.get(pathHome)
	b.expect(http.StatusOK, pathHome, "Configuration 1, applied by ann", "2 of 2 hosts", "done")
	if strings.Contains(b.page, "Take back") {
		t.Error("an order is offered for a rollout that has ended")
	}
	node.rollouts[0].State = "moving"
	b.get(pathHome)
	b.expect(http.StatusOK, pathHome, "moving", "Take back")
	b.post(pathRollouts, url.Values{fieldFormToken: {b.form().Get(fieldFormToken)}, "service": {"status-desk"}, "action": {"pause"}})
	if len(node.orders) != 1 || node.orders[0].Action != api.RolloutPause {
		t.Errorf("orders: %v", node.orders)
	}
}

func TestConflictShowsOtherChangesAndKeepsOwn(t *testing.T) {
	node, server := startServer(t)
	ann, ben := signIn(t, server.URL, "ann"), signIn(t, server.URL, "ben")
	ann.get(pathSession)
	ann.addService("shared")
	ann.press(actionReview)
	ann.press(actionApply)

	ann.get(pathSession)
	ben.get(pathSession)
	ann.addService("of-ann")
	ann.press("edit-services-0")
	ann.press(actionSave, "limits.slots", "4")
	ben.addService("of-ben")
	ben.press("edit-services-0")
	ben.press(actionSave, "limits.slots", "9")
	ben.press(actionReview)
	ann.press(actionReview)
	ann.press(actionApply)
	ann.expect(http.StatusOK, pathFollow)

	ben.press(actionApply)
	ben.expect(http.StatusConflict, pathSession, "configuration 2 by ann", "+ service of-ann", `slots "" -> "4"`, "+ service of-ben", `slots "" -> "9"`)
	ben.press(actionRebase)
	ben.expect(http.StatusOK, pathSession, "service shared was changed by both; yours is kept", "of-ann", "of-ben")
	ben.press(actionReview)
	ben.expect(http.StatusOK, pathSession, "~ service shared: slots 4 -> 9", "+ service of-ben")
	ben.press(actionApply)
	ben.expect(http.StatusOK, pathFollow)
	if doc := node.holder.Current().Document; len(doc.Services) != 3 || doc.Services[0].Limits.Slots != 9 || node.holder.Current().Number() != 3 {
		t.Errorf("in force: %+v", doc)
	}
}

func TestConflictIsShownBeforeNodeReceivesTheConfiguration(t *testing.T) {
	node, server := startServer(t)
	ann, ben := signIn(t, server.URL, "ann"), signIn(t, server.URL, "ben")
	ben.get(pathSession)
	ben.addService("of-ben")
	ben.press(actionReview)
	node.nextApply = &api.ApplyResponse{Outcome: api.ApplyConflict, Number: 1, Winner: "ann", Error: api.Errorf(api.OperatorConflict, "x")}
	ben.press(actionApply)
	ben.expect(http.StatusConflict, pathSession, "configuration 1 by ann", "has not received configuration 1 yet", "+ service of-ben")
	ann.get(pathSession)
	ann.addService("of-ann")
	ann.press(actionReview)
	ann.press(actionApply)
	ben.press(actionReview)
	ben.expect(http.StatusConflict, pathSession, "configuration 1 by ann", "+ service of-ann")
	ben.press(actionRebase)
	ben.press(actionReview)
	ben.press(actionApply)
	ben.expect(http.StatusOK, pathFollow)
}

func TestRefusedApplyReturnsToTheSession(t *testing.T) {
	node, server := startServer(t)
	b := signIn(t, server.URL, "ann")
	b.get(pathSession)
	b.addService("one")
	b.press(actionReview)
	node.nextApply = &api.ApplyResponse{Outcome: api.ApplyRefused, Error: api.Errorf(api.StoreNotReached, "the store is down")}
	b.press(actionApply)
	b.expect(http.StatusServiceUnavailable, pathSession, "5001 store-not-reached", "versions v1, v2; current v1")
	b.press(actionReview)
	b.press(actionApply)
	b.expect(http.StatusOK, pathFollow)
}

func TestFirstDocumentsOfTwoSessionsConflict(t *testing.T) {
	_, server := startServer(t)
	ann, ben := signIn(t, server.URL, "ann"), signIn(t, server.URL, "ben")
	for _, b := range []*browser{ann, ben} {
		b.get(pathSession)
		b.addService("one")
		b.press(actionReview)
	}
	ann.press(actionApply)
	ben.press(actionApply)
	ben.expect(http.StatusConflict, pathSession, "configuration 1 by ann")
}

func TestApplyWithLostReplyIsRepeated(t *testing.T) {
	node, server := startServer(t)
	node.lostReplies = 1
	b := signIn(t, server.URL, "ann")
	b.get(pathSession)
	b.addService("one")
	b.press(actionReview)
	b.press(actionApply)
	b.expect(http.StatusServiceUnavailable, pathSession, "5002 store-unknown")
	b.press(actionApply)
	b.expect(http.StatusOK, pathFollow)
	if n := node.holder.Current().Number(); n != 1 {
		t.Errorf("configuration %d, want 1", n)
	}
}

func TestSessionIsServedByAnyNode(t *testing.T) {
	node, first := startServer(t)
	second := httptest.NewServer(console.New(node, &node.holder, token, new(expvar.Int)))
	defer second.Close()
	b := signIn(t, first.URL, "ann")
	b.get(pathSession)
	b.addService("one")
	b.base = second.URL
	b.press(actionReview)
	b.press(actionApply)
	b.expect(http.StatusOK, pathFollow)
}

func TestSignInIsRequiredAndWrongTokensAreCounted(t *testing.T) {
	node := &fakeNode{}
	tokenFailures := new(expvar.Int)
	server := httptest.NewServer(console.New(node, &node.holder, token, tokenFailures))
	defer server.Close()
	b := newBrowser(t, server.URL)
	for _, path := range []string{pathHome, pathSession, pathHosts, pathAudit, pathFollow, pathHome + "/lacking"} {
		b.get(path)
		b.expect(http.StatusOK, pathSignIn)
	}
	b.post(pathSession, url.Values{})
	b.expect(http.StatusForbidden, pathSession, "3010")
	b.post(pathSignIn, url.Values{"operator": {"ann"}, "token": {token + "x"}})
	b.expect(http.StatusUnauthorized, pathSignIn, "3001", `value="ann"`)
	if tokenFailures.Value() != 1 {
		t.Errorf("%d refusals counted", tokenFailures.Value())
	}
	b.post(pathSignIn, url.Values{"operator": {strings.Repeat("a", api.MaxOperatorBytes+1)}, "token": {token}})
	b.expect(http.StatusBadRequest, pathSignIn, "3009")

	b = signIn(t, server.URL, "ann")
	b.get(pathAudit)
	b.expect(http.StatusOK, pathAudit, "accepted <b>")
	if strings.Contains(b.page, "<b>") {
		t.Error("a text of the audit trail is not escaped")
	}
	b.get(pathHome + "/lacking")
	b.expect(http.StatusNotFound, pathHome+"/lacking", "3006")
	form := b.form()
	b.post(pathSession, form)
	b.expect(http.StatusForbidden, pathSession, "3010")
	b.get(pathSession)
	form = b.form()
	form.Set(fieldDraft, "x")
	b.post(pathSession, form)
	b.expect(http.StatusBadRequest, pathSession, "3003")
	form.Set(fieldDraft, strings.Repeat("x", 8*document.MaxBytes))
	b.post(pathSession, form)
	b.expect(http.StatusBadRequest, pathSession, "3003")
}
