// Package console serves the operators' forms. A session starts from the
// configuration in force, collects changes form by form, and ends in one
// checked document that is shown as a difference and applied with one button.
// The pages are plain HTML without scripts, and the host keeps nothing
// between them: the session travels in hidden fields and a signed cookie.
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

// maxFormBytes bounds a posted form: a draft, its start, and one item.
const maxFormBytes = 4 * document.MaxBytes

// Node is what the console needs of the node.
type Node interface {
	Validate(text []byte) (*document.Document, *api.Error)
	// Apply is as provider.ApplySession, with an entry in the audit trail.
	Apply(ctx context.Context, text []byte, operator string, base uint64, session string) api.ApplyResponse
	Hosts(ctx context.Context) api.HostsResponse
	Rollouts() api.RolloutsResponse
	ApplyOrder(o api.RolloutOrder, operator string) *api.Error
	Audit(ctx context.Context) (api.AuditResponse, *api.Error)
}

// Console is the handler of the forms.
type Console struct {
	node    Node
	holder  *snapshot.Holder
	token   string
	keeper  keeper
	refused *expvar.Int
	mux     *http.ServeMux
}

// New returns the console of a node. refused counts wrong operator tokens.
func New(node Node, holder *snapshot.Holder, token string, refused *expvar.Int) *Console {
	c := &Console{node: node, holder: holder, token: token, keeper: newKeeper(token), refused: refused, mux: http.NewServeMux()}
	c.mux.HandleFunc("GET "+pathSignIn, c.signInPage)
	c.mux.HandleFunc("POST "+pathSignIn, c.signIn)
	c.mux.HandleFunc("POST "+pathSignOut, c.signedIn(c.signOut))
	c.mux.HandleFunc("GET "+Prefix, c.signedIn(c.overview))
	c.mux.HandleFunc("GET "+pathSession, c.signedIn(c.begin))
	c.mux.HandleFunc("POST "+pathSession, c.signedIn(c.step))
	c.mux.HandleFunc("GET "+pathFollow, c.signedIn(c.follow))
	c.mux.HandleFunc("GET "+pathHosts, c.signedIn(c.hosts))
	c.mux.HandleFunc("GET "+pathAudit, c.signedIn(c.audit))
	c.mux.HandleFunc("POST "+pathRollouts, c.signedIn(c.order))
	c.mux.HandleFunc(Prefix+"/", c.signedIn(c.lacking))
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

// handler serves one page to a signed-in operator.
type handler func(w http.ResponseWriter, r *http.Request, s session)

// signedIn sends others to the sign-in form, and refuses posted forms that do
// not carry the session's token.
func (c *Console) signedIn(next handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s, ok := c.keeper.session(r, time.Now())
		switch {
		case !ok && r.Method == http.MethodPost:
			c.refuse(w, session{}, api.Errorf(api.OperatorForm, "the session has ended; sign in in another window, then send this form again"))
		case !ok:
			http.Redirect(w, r, pathSignIn, http.StatusSeeOther)
		case r.Method == http.MethodPost && !c.formMatches(w, r, s):
		default:
			next(w, r, s)
		}
	}
}

// formMatches reads a posted form and answers itself when it is not whole or
// not of the session.
func (c *Console) formMatches(w http.ResponseWriter, r *http.Request, s session) bool {
	if err := r.ParseForm(); err != nil {
		c.refuse(w, s, api.Errorf(api.OperatorBody, "read the form: %w", err))
		return false
	}
	if !tokenMatches(r.PostForm.Get(fieldForm), s.form) {
		c.refuse(w, s, api.Errorf(api.OperatorForm, "the form is not of this session; open the page again"))
		return false
	}
	return true
}

//go:embed templates/*.html
var files embed.FS

var templates = template.Must(template.New("console").ParseFS(files, "templates/*.html"))

// page is what every page shows around its body.
type page struct {
	Title    string
	Operator string
	// Form is the token of the session's forms.
	Form string
	// Refresh is the wait in seconds before the page loads itself again.
	Refresh int
	Body    any
}

// render writes a page with a template of its own.
func (c *Console) render(w http.ResponseWriter, status int, name string, p page) {
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.WriteHeader(status)
	if err := templates.ExecuteTemplate(w, name, p); err != nil {
		klog.Warningf(logPrefix+"write %s: %v", name, err)
	}
}

// refuse shows a numbered refusal.
func (c *Console) refuse(w http.ResponseWriter, s session, err *api.Error) {
	c.render(w, api.Info(err.Code).HTTP, "refused.html", page{Title: "Refused", Operator: s.operator, Form: s.form, Body: err})
}
