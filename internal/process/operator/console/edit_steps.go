package console

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/version/document"
)

// The steps of a session, as values of its buttons. edit, remove and add are
// followed by a hyphen and what they are about.
const (
	doEdit   = "edit"
	doRemove = "remove"
	doAdd    = "add"
	doSave   = "save"
	doLists  = "lists"
	doReview = "review"
	doApply  = "apply"
	doCarry  = "carry"
)

// sessionBody is the page with the lists of the draft.
type sessionBody struct {
	Hidden  []hidden
	Base    uint64
	Lists   []itemList
	Faults  []api.Fault
	Notices []string
	Refusal *api.Error
}

// itemBody is the form of one item.
type itemBody struct {
	Hidden []hidden
	Item   item
	Inputs []input
	// New tells that the item was just added and nothing typed yet.
	New bool
}

// reviewBody shows the difference before it is applied.
type reviewBody struct {
	Hidden  []hidden
	Base    uint64
	Changes []string
}

// conflictBody shows what another operator has changed meanwhile.
type conflictBody struct {
	Hidden       []hidden
	Base, Number uint64
	Winner       string
	Mine, Theirs []string
	// Seen tells that this node has the winner's document in force.
	Seen bool
}

// unknownBody offers to ask again under the same session.
type unknownBody struct {
	Hidden  []hidden
	Refusal *api.Error
}

// begin starts a session on the configuration in force.
func (c *Console) begin(w http.ResponseWriter, _ *http.Request, s session) {
	c.lists(w, s, start(c.holder.Current()), nil, nil)
}

// step takes one posted form of a session.
func (c *Console) step(w http.ResponseWriter, r *http.Request, s session) {
	st, err := stateOf(r.PostForm)
	if err != nil {
		c.refuse(w, s, api.Errorf(api.OperatorBody, "%w", err))
		return
	}
	verb, about, _ := strings.Cut(r.PostForm.Get(fieldDo), "-")
	k, i := itemOf(about)
	switch verb {
	case doAdd:
		c.item(w, s, st, k, st.Draft.add(k), false)
	case doEdit:
		c.item(w, s, st, k, i, true)
	case doRemove:
		st.Draft.remove(k, i)
		c.lists(w, s, st, nil, nil)
	case doSave:
		c.save(w, r, s, st)
	case doReview:
		c.review(w, s, st)
	case doApply:
		c.apply(w, r, s, st)
	case doCarry:
		c.carry(w, s, st)
	default:
		c.lists(w, s, st, nil, nil)
	}
}

// itemOf reads an item's key, as in routes-2; a kind alone gives index -1.
func itemOf(key string) (kind, int) {
	k, index, _ := strings.Cut(key, "-")
	i, err := strconv.Atoi(index)
	if err != nil {
		i = -1
	}
	return kind(k), i
}

// check returns the draft's faults, alone and against the one in force.
func (c *Console) check(st *state) (*document.Document, []byte, *api.Error) {
	text, err := st.Draft.Text()
	if err != nil {
		return nil, nil, api.Errorf(api.OperatorBody, "%w", err)
	}
	doc, bad := c.node.Validate(text)
	return doc, text, bad
}

// lists shows the draft. refusal is why a step was not taken.
func (c *Console) lists(w http.ResponseWriter, s session, st *state, notices []string, refusal *api.Error) {
	_, _, bad := c.check(st)
	var faults []api.Fault
	if bad != nil {
		faults = bad.Faults
	}
	status := http.StatusOK
	if refusal != nil {
		status = api.Info(refusal.Code).HTTP
	}
	body := sessionBody{Base: st.Base, Lists: st.Draft.lists(faults), Faults: whole(faults), Notices: notices, Refusal: refusal}
	if !c.pack(w, s, st, &body.Hidden) {
		return
	}
	c.render(w, status, "session.html", page{Title: "Session", Operator: s.operator, Form: s.form, Body: body})
}

// pack fills the hidden fields, or answers with the refusal.
func (c *Console) pack(w http.ResponseWriter, s session, st *state, dst *[]hidden) bool {
	fields, err := st.fields()
	if err != nil {
		c.refuse(w, s, api.Errorf(api.OperatorBody, "%w", err))
		return false
	}
	*dst = fields
	return true
}

// item shows the form of one item, with the faults beside their fields once
// something was typed.
func (c *Console) item(w http.ResponseWriter, s session, st *state, k kind, i int, checked bool) {
	inputs := st.Draft.inputs(k, i)
	if inputs == nil {
		c.lists(w, s, st, nil, api.Errorf(api.OperatorNotFound, "the session has no such item"))
		return
	}
	status := http.StatusOK
	if checked {
		if _, _, bad := c.check(st); bad != nil {
			own := faultsOf(bad.Faults, k, i)
			inputs = beside(inputs, own)
			if len(own) > 0 {
				status = api.Info(own[0].Code).HTTP
			}
		}
	}
	title := "Edit"
	if !checked {
		title = "Add"
	}
	body := itemBody{Item: item{Kind: k, Index: i}, Inputs: inputs, New: !checked}
	if !c.pack(w, s, st, &body.Hidden) {
		return
	}
	c.render(w, status, "item.html", page{Title: title + " " + k.One(), Operator: s.operator, Form: s.form, Body: body})
}

// save takes what was typed for one item. It stays on the form while the item
// has faults.
func (c *Console) save(w http.ResponseWriter, r *http.Request, s session, st *state) {
	k, i := itemOf(r.PostForm.Get(fieldItem))
	st.Draft.take(k, i, r.PostForm)
	if _, _, bad := c.check(st); bad != nil && len(faultsOf(bad.Faults, k, i)) > 0 {
		c.item(w, s, st, k, i, true)
		return
	}
	c.lists(w, s, st, nil, nil)
}

// review shows the difference of a document without faults.
func (c *Console) review(w http.ResponseWriter, s session, st *state) {
	doc, _, bad := c.check(st)
	if bad != nil {
		c.lists(w, s, st, nil, bad)
		return
	}
	var inForce *document.Document
	cur := c.holder.Current()
	if cur != nil {
		inForce = cur.Document
	}
	if cur.Number() > st.Base {
		c.conflict(w, s, st, cur.Number(), "")
		return
	}
	body := reviewBody{Base: st.Base, Changes: document.Diff(inForce, doc)}
	if cur.Number() < st.Base {
		// This node has not heard yet of what the session started from.
		body.Changes = diffDrafts(st.From, st.Draft)
	}
	if !c.pack(w, s, st, &body.Hidden) {
		return
	}
	c.render(w, http.StatusOK, "review.html", page{Title: "Review", Operator: s.operator, Form: s.form, Body: body})
}

// apply ends the session in one document.
func (c *Console) apply(w http.ResponseWriter, r *http.Request, s session, st *state) {
	text, err := st.Draft.Text()
	if err != nil || st.Apply == "" || len(st.Apply) > api.MaxSessionBytes {
		c.refuse(w, s, api.Errorf(api.OperatorBody, "the form is not whole"))
		return
	}
	base := st.Base
	if base == 0 {
		base = api.BaseNone
	}
	out := c.node.Apply(r.Context(), text, s.operator, base, st.Apply)
	switch out.Outcome {
	case api.ApplyAccepted:
		http.Redirect(w, r, pathFollow+"?number="+strconv.FormatUint(out.Number, 10), http.StatusSeeOther)
	case api.ApplyConflict:
		c.conflict(w, s, st, out.Number, out.Winner)
	case api.ApplyUnknown:
		body := unknownBody{Refusal: out.Error}
		if c.pack(w, s, st, &body.Hidden) {
			c.render(w, api.Info(out.Error.Code).HTTP, "unknown.html", page{Title: "Outcome unknown", Operator: s.operator, Form: s.form, Body: body})
		}
	default:
		c.lists(w, s, st, nil, out.Error)
	}
}

// conflict shows what the winner changed and what was typed here.
func (c *Console) conflict(w http.ResponseWriter, s session, st *state, number uint64, winner string) {
	body := conflictBody{Base: st.Base, Number: number, Winner: winner, Mine: diffDrafts(st.From, st.Draft)}
	if cur := c.holder.Current(); cur.Number() >= number && cur != nil {
		body.Seen = true
		body.Winner = cur.Accepted.Operator
		body.Number = cur.Number()
		body.Theirs = diffDrafts(st.From, draftOf(cur.Document))
	}
	if !c.pack(w, s, st, &body.Hidden) {
		return
	}
	c.render(w, http.StatusConflict, "conflict.html", page{Title: "Conflict", Operator: s.operator, Form: s.form, Body: body})
}

// carry moves the operator's changes onto the configuration in force.
func (c *Console) carry(w http.ResponseWriter, s session, st *state) {
	next := start(c.holder.Current())
	merged, clashes := merge(st.From, st.Draft, next.From)
	next.Draft = merged
	c.lists(w, s, next, clashes, nil)
}
