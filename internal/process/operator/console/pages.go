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

// Refresh intervals of the page that follows a configuration, in seconds: until
// it is in force on every host, and while rollouts run.
const (
	refreshDistribution = 1
	refreshRollout      = 3
)

// signInBody is the data of the sign-in form; Refusal is set after a failed
// attempt.
type signInBody struct {
	Operator string
	Refusal  *api.Error
}

func (c *Console) signInPage(w http.ResponseWriter, _ *http.Request) {
	c.render(w, http.StatusOK, "signin.html", page{Title: "Sign in", Body: signInBody{}})
}

func (c *Console) signIn(w http.ResponseWriter, r *http.Request) {
	if err := r.ParseForm(); err != nil {
		c.renderRefusal(w, login{}, api.Errorf(api.OperatorBody, "read the form: %w", err))
		return
	}
	operator := strings.TrimSpace(r.PostForm.Get("operator"))
	var refusal *api.Error
	switch {
	case !tokenMatches(r.PostForm.Get("token"), c.token):
		c.tokenFailures.Add(1)
		refusal = api.Errorf(api.OperatorToken, "the operator token is missing or wrong")
	case operator == "" || len(operator) > api.MaxOperatorBytes || strings.ContainsFunc(operator, func(x rune) bool { return !unicode.IsPrint(x) }):
		refusal = api.Errorf(api.OperatorHeader, "give your name, at most %d bytes", api.MaxOperatorBytes)
	}
	if refusal != nil {
		c.render(w, api.Info(refusal.Code).HTTP, "signin.html", page{Title: "Sign in", Body: signInBody{operator, refusal}})
		return
	}
	http.SetCookie(w, c.cookies.newCookie(operator, time.Now(), r.TLS != nil))
	http.Redirect(w, r, Prefix, http.StatusSeeOther)
}

func (c *Console) signOut(w http.ResponseWriter, r *http.Request, _ login) {
	http.SetCookie(w, &http.Cookie{Name: cookieName, Path: cookiePath, MaxAge: -1, HttpOnly: true, SameSite: http.SameSiteStrictMode})
	http.Redirect(w, r, pathSignIn, http.StatusSeeOther)
}

func (c *Console) notFound(w http.ResponseWriter, r *http.Request, user login) {
	c.renderRefusal(w, user, api.Errorf(api.OperatorNotFound, "no page %s", r.URL.Path))
}

// overviewBody is the data of the page with the configuration in force.
type overviewBody struct {
	Number   uint64
	Operator string
	At       time.Time
	// HostsInForce of HostCount hosts have the configuration or a later one.
	HostsInForce, HostCount int
	Lists                   []itemList
	Rollouts                []api.Rollout
	// RunningServices are the services whose rollout accepts orders.
	RunningServices []string
}

// itemList holds the items of one kind.
type itemList struct {
	Kind  itemKind
	Items []item
}

func (d *Draft) itemLists(faults []api.Fault) []itemList {
	var out []itemList
	for _, k := range []itemKind{kindService, kindRoute, kindRollout} {
		out = append(out, itemList{Kind: k, Items: d.items(k, faults)})
	}
	return out
}

func (c *Console) overview(w http.ResponseWriter, r *http.Request, user login) {
	body := overviewBody{Rollouts: c.node.Rollouts().Rollouts}
	var doc *document.Document
	if cur := c.holder.Current(); cur != nil {
		doc = cur.Document
		body.Number, body.Operator, body.At = cur.Number(), cur.Accepted.Operator, cur.Accepted.At
	}
	body.Lists = draftFromDocument(doc).itemLists(nil)
	body.HostsInForce, body.HostCount = countInForce(c.node.Hosts(r.Context()), body.Number)
	for _, rollout := range body.Rollouts {
		if !isEnded(rollout) {
			body.RunningServices = append(body.RunningServices, rollout.Service)
		}
	}
	c.render(w, http.StatusOK, "overview.html", page{Title: "In force", Operator: user.operator, FormToken: user.formToken, Body: body})
}

func (c *Console) hosts(w http.ResponseWriter, r *http.Request, user login) {
	c.render(w, http.StatusOK, "hosts.html", page{Title: "Hosts", Operator: user.operator, FormToken: user.formToken, Body: c.node.Hosts(r.Context())})
}

func (c *Console) audit(w http.ResponseWriter, r *http.Request, user login) {
	out, err := c.node.Audit(r.Context())
	if err != nil {
		c.renderRefusal(w, user, err)
		return
	}
	c.render(w, http.StatusOK, "audit.html", page{Title: "Audit trail", Operator: user.operator, FormToken: user.formToken, Body: out})
}

// orderRollout passes an operator's order for a rollout to the node.
func (c *Console) orderRollout(w http.ResponseWriter, r *http.Request, user login) {
	o := api.RolloutOrder{
		Service: r.PostForm.Get("service"),
		Action:  api.RolloutAction(r.PostForm.Get("action")),
		Reason:  r.PostForm.Get("reason"),
	}
	if err := c.node.ApplyOrder(o, user.operator); err != nil {
		c.renderRefusal(w, user, err)
		return
	}
	http.Redirect(w, r, Prefix, http.StatusSeeOther)
}

// isEnded reports whether a rollout is done or taken back.
func isEnded(rollout api.Rollout) bool {
	return rollout.State == "done" || rollout.State == "taken-back"
}

// countInForce counts the hosts that have the configuration with this number or
// a later one.
func countInForce(hosts api.HostsResponse, number uint64) (have, all int) {
	for _, h := range hosts.Hosts {
		if h.Error == "" && h.Number >= number {
			have++
		}
	}
	return have, len(hosts.Hosts)
}

// followBody is the data of the page that follows an accepted document.
type followBody struct {
	Number uint64
	// HostsInForce of HostCount hosts have the configuration or a later one.
	HostsInForce, HostCount int
	Rollouts                []api.Rollout
	// InForceEverywhere and AllEnded are both set when nothing is left to
	// follow.
	InForceEverywhere, AllEnded bool
}

// follow shows how many hosts have a configuration in force, and its rollouts
// until each is done or taken back. The page reloads until then.
func (c *Console) follow(w http.ResponseWriter, r *http.Request, user login) {
	number, err := strconv.ParseUint(r.FormValue("number"), 10, 64)
	if err != nil {
		c.renderRefusal(w, user, api.Errorf(api.OperatorNotFound, "the page needs a configuration number"))
		return
	}
	hosts := c.node.Hosts(r.Context())
	body := followBody{Number: number, Rollouts: c.node.Rollouts().Rollouts, AllEnded: true}
	body.HostsInForce, body.HostCount = countInForce(hosts, number)
	body.InForceEverywhere = body.HostsInForce == body.HostCount
	for _, rollout := range body.Rollouts {
		body.AllEnded = body.AllEnded && isEnded(rollout)
	}
	p := page{Title: "Configuration " + strconv.FormatUint(number, 10), Operator: user.operator, FormToken: user.formToken, Body: body}
	switch {
	case !body.InForceEverywhere:
		p.Refresh = refreshDistribution
	case !body.AllEnded:
		p.Refresh = refreshRollout
	}
	c.render(w, http.StatusOK, "follow.html", p)
}
