package console

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/version/document"
)

// The actions of an edit session, as values of its buttons. edit, remove and
// add are followed by a hyphen and the item's key or kind.
const (
	actionEdit   = "edit"
	actionRemove = "remove"
	actionAdd    = "add"
	actionSave   = "save"
	actionLists  = "lists"
	actionReview = "review"
	actionApply  = "apply"
	actionRebase = "carry"
)

// sessionBody is the data of the page that lists the items of the draft.
type sessionBody struct {
	Hidden  []hiddenField
	Base    uint64
	Lists   []itemList
	Faults  []api.Fault
	Notices []string
	Refusal *api.Error
}

// itemBody is the data of the form of one item.
type itemBody struct {
	Hidden []hiddenField
	Item   item
	Fields []formField
	// New is set if the item was just added and has no values yet.
	New bool
}

// reviewBody is the data of the page that shows the changes before they are
// applied.
type reviewBody struct {
	Hidden  []hiddenField
	Base    uint64
	Changes []string
}

// conflictBody is the data of the page that shows the changes of another
// operator whose document was accepted first.
type conflictBody struct {
	Hidden       []hiddenField
	Base, Number uint64
	Winner       string
	Mine, Theirs []string
	// Received is set if this node has the winner's document or a later one in
	// force.
	Received bool
}

// unknownBody is the data of the page that offers to repeat an apply with an
// unknown outcome under the same session.
type unknownBody struct {
	Hidden  []hiddenField
	Refusal *api.Error
}

// startEdit starts an edit session from the configuration in force.
func (c *Console) startEdit(w http.ResponseWriter, _ *http.Request, user login) {
	c.showLists(w, user, newEditSession(c.holder.Current()), nil, nil)
}

// editStep handles one posted form of an edit session.
func (c *Console) editStep(w http.ResponseWriter, r *http.Request, user login) {
	edit, err := parseEditSession(r.PostForm)
	if err != nil {
		c.renderRefusal(w, user, api.Errorf(api.OperatorBody, "%w", err))
		return
	}
	verb, key, _ := strings.Cut(r.PostForm.Get(fieldAction), "-")
	k, i := parseItemKey(key)
	switch verb {
	case actionAdd:
		c.showItem(w, user, edit, k, edit.Draft.add(k), false)
	case actionEdit:
		c.showItem(w, user, edit, k, i, true)
	case actionRemove:
		edit.Draft.remove(k, i)
		c.showLists(w, user, edit, nil, nil)
	case actionSave:
		c.saveItem(w, r, user, edit)
	case actionReview:
		c.review(w, user, edit)
	case actionApply:
		c.apply(w, r, user, edit)
	case actionRebase:
		c.rebase(w, user, edit)
	default:
		c.showLists(w, user, edit, nil, nil)
	}
}

// parseItemKey parses an item's key, such as routes-2; a kind without an index
// gives index -1.
func parseItemKey(key string) (itemKind, int) {
	k, index, _ := strings.Cut(key, "-")
	i, err := strconv.Atoi(index)
	if err != nil {
		i = -1
	}
	return itemKind(k), i
}

// validateDraft checks the draft, also against the configuration in force, and
// returns its document and text.
func (c *Console) validateDraft(edit *editSession) (*document.Document, []byte, *api.Error) {
	text, err := edit.Draft.Text()
	if err != nil {
		return nil, nil, api.Errorf(api.OperatorBody, "%w", err)
	}
	doc, invalid := c.node.Validate(text)
	return doc, text, invalid
}

// showLists shows the items of the draft. refusal, if not nil, is the reason
// why a step was not carried out.
func (c *Console) showLists(w http.ResponseWriter, user login, edit *editSession, notices []string, refusal *api.Error) {
	_, _, invalid := c.validateDraft(edit)
	var faults []api.Fault
	if invalid != nil {
		faults = invalid.Faults
	}
	status := http.StatusOK
	if refusal != nil {
		status = api.Info(refusal.Code).HTTP
	}
	body := sessionBody{Base: edit.BaseNumber, Lists: edit.Draft.itemLists(faults), Faults: documentFaults(faults), Notices: notices, Refusal: refusal}
	if !c.setHiddenFields(w, user, edit, &body.Hidden) {
		return
	}
	c.render(w, status, "session.html", page{Title: "Session", Operator: user.operator, FormToken: user.formToken, Body: body})
}

// setHiddenFields sets dst to the hidden fields of the session. If it returns
// false, it has already written the refusal.
func (c *Console) setHiddenFields(w http.ResponseWriter, user login, edit *editSession, dst *[]hiddenField) bool {
	fields, err := edit.hiddenFields()
	if err != nil {
		c.renderRefusal(w, user, api.Errorf(api.OperatorBody, "%w", err))
		return false
	}
	*dst = fields
	return true
}

// showItem shows the form of one item; if checked is set, with the faults
// beside their fields.
func (c *Console) showItem(w http.ResponseWriter, user login, edit *editSession, k itemKind, i int, checked bool) {
	fields := edit.Draft.itemFields(k, i)
	if fields == nil {
		c.showLists(w, user, edit, nil, api.Errorf(api.OperatorNotFound, "the session has no such item"))
		return
	}
	status := http.StatusOK
	if checked {
		if _, _, invalid := c.validateDraft(edit); invalid != nil {
			own := itemFaults(invalid.Faults, k, i)
			fields = attachFaults(fields, own)
			if len(own) > 0 {
				status = api.Info(own[0].Code).HTTP
			}
		}
	}
	title := "Edit"
	if !checked {
		title = "Add"
	}
	body := itemBody{Item: item{Kind: k, Index: i}, Fields: fields, New: !checked}
	if !c.setHiddenFields(w, user, edit, &body.Hidden) {
		return
	}
	c.render(w, status, "item.html", page{Title: title + " " + k.Singular(), Operator: user.operator, FormToken: user.formToken, Body: body})
}

// saveItem stores the posted values of one item. It shows the form again while
// the item has faults.
func (c *Console) saveItem(w http.ResponseWriter, r *http.Request, user login, edit *editSession) {
	k, i := parseItemKey(r.PostForm.Get(fieldItem))
	edit.Draft.setFields(k, i, r.PostForm)
	if _, _, invalid := c.validateDraft(edit); invalid != nil && len(itemFaults(invalid.Faults, k, i)) > 0 {
		c.showItem(w, user, edit, k, i, true)
		return
	}
	c.showLists(w, user, edit, nil, nil)
}

// review shows the changes of a document without faults.
func (c *Console) review(w http.ResponseWriter, user login, edit *editSession) {
	doc, _, invalid := c.validateDraft(edit)
	if invalid != nil {
		c.showLists(w, user, edit, nil, invalid)
		return
	}
	var inForce *document.Document
	cur := c.holder.Current()
	if cur != nil {
		inForce = cur.Document
	}
	if cur.Number() > edit.BaseNumber {
		c.showConflict(w, user, edit, cur.Number(), "")
		return
	}
	body := reviewBody{Base: edit.BaseNumber, Changes: document.Diff(inForce, doc)}
	if cur.Number() < edit.BaseNumber {
		// This node has not yet received the configuration that the session
		// started from.
		body.Changes = diffDrafts(edit.BaseDraft, edit.Draft)
	}
	if !c.setHiddenFields(w, user, edit, &body.Hidden) {
		return
	}
	c.render(w, http.StatusOK, "review.html", page{Title: "Review", Operator: user.operator, FormToken: user.formToken, Body: body})
}

// apply applies the document of the session.
func (c *Console) apply(w http.ResponseWriter, r *http.Request, user login, edit *editSession) {
	text, err := edit.Draft.Text()
	if err != nil || edit.ApplySession == "" || len(edit.ApplySession) > api.MaxSessionBytes {
		c.renderRefusal(w, user, api.Errorf(api.OperatorBody, "the form is incomplete"))
		return
	}
	base := edit.BaseNumber
	if base == 0 {
		base = api.BaseNone
	}
	out := c.node.Apply(r.Context(), text, user.operator, base, edit.ApplySession)
	switch out.Outcome {
	case api.ApplyAccepted:
		http.Redirect(w, r, pathFollow+"?number="+strconv.FormatUint(out.Number, 10), http.StatusSeeOther)
	case api.ApplyConflict:
		c.showConflict(w, user, edit, out.Number, out.Winner)
	case api.ApplyUnknown:
		body := unknownBody{Refusal: out.Error}
		if c.setHiddenFields(w, user, edit, &body.Hidden) {
			c.render(w, api.Info(out.Error.Code).HTTP, "unknown.html", page{Title: "Outcome unknown", Operator: user.operator, FormToken: user.formToken, Body: body})
		}
	default:
		c.showLists(w, user, edit, nil, out.Error)
	}
}

// showConflict shows the winner's changes and those of this session.
func (c *Console) showConflict(w http.ResponseWriter, user login, edit *editSession, number uint64, winner string) {
	body := conflictBody{Base: edit.BaseNumber, Number: number, Winner: winner, Mine: diffDrafts(edit.BaseDraft, edit.Draft)}
	if cur := c.holder.Current(); cur.Number() >= number && cur != nil {
		body.Received = true
		body.Winner = cur.Accepted.Operator
		body.Number = cur.Number()
		body.Theirs = diffDrafts(edit.BaseDraft, draftFromDocument(cur.Document))
	}
	if !c.setHiddenFields(w, user, edit, &body.Hidden) {
		return
	}
	c.render(w, http.StatusConflict, "conflict.html", page{Title: "Conflict", Operator: user.operator, FormToken: user.formToken, Body: body})
}

// rebase starts a session from the configuration in force and merges the
// operator's changes into it.
func (c *Console) rebase(w http.ResponseWriter, user login, edit *editSession) {
	next := newEditSession(c.holder.Current())
	merged, conflicts := merge(edit.BaseDraft, edit.Draft, next.BaseDraft)
	next.Draft = merged
	c.showLists(w, user, next, conflicts, nil)
}
