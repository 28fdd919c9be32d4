// Package console serves the operators' forms. An edit session starts from the
// configuration in force, collects changes form by form, and ends with one
// checked document, whose changes are shown for review and applied with one
// button. The pages are plain HTML without scripts. No state is kept on the
// host between requests: an edit session is stored in hidden fields and the
// login in a signed cookie.
package console

import (
	"context"
	"embed"
	"expvar"
	"html/template"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/version/document"
	"github.com/daisytide/daisytide/internal/version/snapshot"
)

const logPrefix = "console: "

// Paths of the console.
const (
	Prefix       = "/console"
	pathSignIn   = Prefix + "/sign-in"
	pathSignOut  = Prefix + "/sign-out"
	pathSession  = Prefix + "/session"
	pathFollow   = Prefix + "/follow"
	pathHosts    = Prefix + "/hosts"
	pathAudit    = Prefix + "/audit"
	pathRollouts = Prefix + "/rollouts"
)

// maxFormBytes is the maximum size of a posted form: two encoded drafts and one
// item.
const maxFormBytes = 4 * document.MaxBytes

// Node is the part of the node that the console uses.
type Node interface {
	Validate(text []byte) (*document.Document, *api.Error)
	// Apply works as provider.Provider.ApplySession and records the outcome in
	// the audit trail.
	Apply(ctx context.Context, text []byte, operator string, base uint64, session string) api.ApplyResponse
	Hosts(ctx context.Context) api.HostsResponse
	Rollouts() api.RolloutsResponse
	ApplyOrder(o api.RolloutOrder, operator string) *api.Error
	Audit(ctx context.Context) (api.AuditResponse, *api.Error)
}

// Console is the HTTP handler of the forms.
type Console struct {
	node          Node
	holder        *snapshot.Holder
	token         string
	cookies       cookieSigner
	tokenFailures *expvar.Int
	mux           *http.ServeMux
}

// New returns the console of a node. tokenFailures counts sign-ins with a wrong
// operator token.
func New(node Node, holder *snapshot.Holder, token string, tokenFailures *expvar.Int) *Console {
	c := &Console{node: node, holder: holder, token: token, cookies: newCookieSigner(token), tokenFailures: tokenFailures, mux: http.NewServeMux()}
	c.mux.HandleFunc("GET "+pathSignIn, c.signInPage)
	c.mux.HandleFunc("POST "+pathSignIn, c.signIn)
	c.mux.HandleFunc("POST "+pathSignOut, c.requireLogin(c.signOut))
	c.mux.HandleFunc("GET "+Prefix, c.requireLogin(c.overview))
	c.mux.HandleFunc("GET "+pathSession, c.requireLogin(c.startEdit))
	c.mux.HandleFunc("POST "+pathSession, c.requireLogin(c.editStep))
	c.mux.HandleFunc("GET "+pathFollow, c.requireLogin(c.follow))
	c.mux.HandleFunc("GET "+pathHosts, c.requireLogin(c.hosts))
	c.mux.HandleFunc("GET "+pathAudit, c.requireLogin(c.audit))
	c.mux.HandleFunc("POST "+pathRollouts, c.requireLogin(c.orderRollout))
	c.mux.HandleFunc(Prefix+"/", c.requireLogin(c.notFound))
	return c
}

// ServeHTTP implements http.Handler.
func (c *Console) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; frame-ancestors 'none'; base-uri 'none'")
	h.Set("X-Content-Type-Options", "nosniff")
	h.Set("Referrer-Policy", "same-origin")
	h.Set("Cache-Control", "no-store")
	r.Body = http.MaxBytesReader(w, r.Body, maxFormBytes)
	c.mux.ServeHTTP(w, r)
}

// pageHandler serves one page to a signed-in operator.
type pageHandler func(w http.ResponseWriter, r *http.Request, user login)

// requireLogin redirects requests without a valid login to the sign-in form,
// and refuses posted forms without the form token of the login.
func (c *Console) requireLogin(next pageHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		user, ok := c.cookies.readLogin(r, time.Now())
		switch {
		case !ok && r.Method == http.MethodPost:
			c.renderRefusal(w, login{}, api.Errorf(api.OperatorForm, "the login has expired; sign in in another window, then send this form again"))
		case !ok:
			http.Redirect(w, r, pathSignIn, http.StatusSeeOther)
		case r.Method == http.MethodPost && !c.checkFormToken(w, r, user):
		default:
			next(w, r, user)
		}
	}
}

// checkFormToken parses a posted form and checks its form token. If it returns
// false, it has already written the refusal.
func (c *Console) checkFormToken(w http.ResponseWriter, r *http.Request, user login) bool {
	if err := r.ParseForm(); err != nil {
		c.renderRefusal(w, user, api.Errorf(api.OperatorBody, "read the form: %w", err))
		return false
	}
	if !tokenMatches(r.PostForm.Get(fieldFormToken), user.formToken) {
		c.renderRefusal(w, user, api.Errorf(api.OperatorForm, "the form token does not match the login; open the page again"))
		return false
	}
	return true
}

//go:embed templates/*.html
var templateFiles embed.FS

var templates = template.Must(template.New("console").ParseFS(templateFiles, "templates/*.html"))

// page holds the data of a page: its frame and the Body of its template.
type page struct {
	Title    string
	Operator string
	// FormToken is the login's token that every form carries.
	FormToken string
	// Refresh is the time in seconds until the page reloads; 0 for never.
	Refresh int
	Body    any
}

// render executes the template called name.
func (c *Console) render(w http.ResponseWriter, status int, name string, p page) {
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.WriteHeader(status)
	if err := templates.ExecuteTemplate(w, name, p); err != nil {
		klog.Warningf(logPrefix+"render %s: %v", name, err)
	}
}

// renderRefusal shows an error with its result code.
func (c *Console) renderRefusal(w http.ResponseWriter, user login, err *api.Error) {
	c.render(w, api.Info(err.Code).HTTP, "refused.html", page{Title: "Refused", Operator: user.operator, FormToken: user.formToken, Body: err})
}
