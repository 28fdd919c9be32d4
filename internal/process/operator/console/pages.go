package console

import (
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/version/document"
)

// Waits of the page that follows a move, in seconds.
const (
	refreshSpread = 1
	refreshMove   = 3
)

// signInBody is the sign-in form after a refusal.
type signInBody struct {
	Operator string
	Refusal  *api.Error
}

func (c *Console) signInPage(w http.ResponseWriter, _ *http.Request) {
	c.render(w, http.StatusOK, "signin.html", page{Title: "Sign in", Body: signInBody{}})
}

func (c *Console) signIn(w http.ResponseWriter, r *http.Request) {
	if err := r.ParseForm(); err != nil {
		c.refuse(w, session{}, api.Errorf(api.OperatorBody, "read the form: %w", err))
		return
	}
	operator := strings.TrimSpace(r.PostForm.Get("operator"))
	var refusal *api.Error
	switch {
	case !tokenMatches(r.PostForm.Get("token"), c.token):
		c.refused.Add(1)
		refusal = api.Errorf(api.OperatorToken, "the operator token is missing or wrong")
	case operator == "" || len(operator) > api.MaxOperatorBytes || strings.ContainsFunc(operator, func(x rune) bool { return !unicode.IsPrint(x) }):
		refusal = api.Errorf(api.OperatorHeader, "give your name, at most %d bytes", api.MaxOperatorBytes)
	}
	if refusal != nil {
		c.render(w, api.Info(refusal.Code).HTTP, "signin.html", page{Title: "Sign in", Body: signInBody{operator, refusal}})
		return
	}
	http.SetCookie(w, c.keeper.cookie(operator, time.Now(), r.TLS != nil))
	http.Redirect(w, r, Prefix, http.StatusSeeOther)
}

func (c *Console) signOut(w http.ResponseWriter, r *http.Request, _ session) {
	http.SetCookie(w, &http.Cookie{Name: cookieName, Path: cookiePath, MaxAge: -1, HttpOnly: true, SameSite: http.SameSiteStrictMode})
	http.Redirect(w, r, pathSignIn, http.StatusSeeOther)
}

func (c *Console) lacking(w http.ResponseWriter, r *http.Request, s session) {
	c.refuse(w, s, api.Errorf(api.OperatorNotFound, "no page %s", r.URL.Path))
}

// overviewBody shows the configuration in force.
type overviewBody struct {
	Number   uint64
	Operator string
	At       time.Time
	// Have of All hosts have the configuration or a later one.
	Have, All int
	Lists     []itemList
	Moves     []api.Rollout
	// Running names the services whose move takes orders.
	Running []string
}

// itemList is one kind of items.
type itemList struct {
	Kind  kind
	Items []item
}

func (d *Draft) lists(faults []api.Fault) []itemList {
	var out []itemList
	for _, k := range []kind{kindService, kindRoute, kindRollout} {
		out = append(out, itemList{Kind: k, Items: d.items(k, faults)})
	}
	return out
}

func (c *Console) overview(w http.ResponseWriter, r *http.Request, s session) {
	body := overviewBody{Moves: c.node.Rollouts().Rollouts}
	var doc *document.Document
	if cur := c.holder.Current(); cur != nil {
		doc = cur.Document
		body.Number, body.Operator, body.At = cur.Number(), cur.Accepted.Operator, cur.Accepted.At
	}
	body.Lists = draftOf(doc).lists(nil)
	body.Have, body.All = inForce(c.node.Hosts(r.Context()), body.Number)
	for _, m := range body.Moves {
		if !ended(m) {
			body.Running = append(body.Running, m.Service)
		}
	}
	c.render(w, http.StatusOK, "overview.html", page{Title: "In force", Operator: s.operator, Form: s.form, Body: body})
}

func (c *Console) hosts(w http.ResponseWriter, r *http.Request, s session) {
	c.render(w, http.StatusOK, "hosts.html", page{Title: "Hosts", Operator: s.operator, Form: s.form, Body: c.node.Hosts(r.Context())})
}

func (c *Console) audit(w http.ResponseWriter, r *http.Request, s session) {
	out, err := c.node.Audit(r.Context())
	if err != nil {
		c.refuse(w, s, err)
		return
	}
	c.render(w, http.StatusOK, "audit.html", page{Title: "Audit trail", Operator: s.operator, Form: s.form, Body: out})
}

// order gives an order to a move.
func (c *Console) order(w http.ResponseWriter, r *http.Request, s session) {
	o := api.RolloutOrder{
		Service: r.PostForm.Get("service"),
		Action:  api.RolloutAction(r.PostForm.Get("action")),
		Reason:  r.PostForm.Get("reason"),
	}
	if err := c.node.ApplyOrder(o, s.operator); err != nil {
		c.refuse(w, s, err)
		return
	}
	http.Redirect(w, r, Prefix, http.StatusSeeOther)
}

// ended tells whether a move is done or taken back.
func ended(m api.Rollout) bool { return m.State == "done" || m.State == "taken-back" }

// inForce counts the hosts that have a configuration or a later one.
func inForce(out api.HostsResponse, number uint64) (have, all int) {
	for _, h := range out.Hosts {
		if h.Error == "" && h.Number >= number {
			have++
		}
	}
	return have, len(out.Hosts)
}

// followBody shows how far an accepted document has come.
type followBody struct {
	Number uint64
	// Have of All hosts have the configuration or a later one.
	Have, All int
	Moves     []api.Rollout
	// InForce and Ended tell that nothing is left to follow.
	InForce, Ended bool
}

// follow shows a configuration on its way to every host, then its moves until
// each is done or taken back. The page loads itself again until then.
func (c *Console) follow(w http.ResponseWriter, r *http.Request, s session) {
	number, err := strconv.ParseUint(r.FormValue("number"), 10, 64)
	if err != nil {
		c.refuse(w, s, api.Errorf(api.OperatorNotFound, "the page needs a configuration number"))
		return
	}
	hosts := c.node.Hosts(r.Context())
	body := followBody{Number: number, Moves: c.node.Rollouts().Rollouts, Ended: true}
	body.Have, body.All = inForce(hosts, number)
	body.InForce = body.Have == body.All
	for _, m := range body.Moves {
		body.Ended = body.Ended && ended(m)
	}
	p := page{Title: "Configuration " + strconv.FormatUint(number, 10), Operator: s.operator, Form: s.form, Body: body}
	switch {
	case !body.InForce:
		p.Refresh = refreshSpread
	case !body.Ended:
		p.Refresh = refreshMove
	}
	c.render(w, http.StatusOK, "follow.html", p)
}
