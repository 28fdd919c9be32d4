package console_test

import (
	"encoding/xml"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/daisytide/daisytide/api"
)

// checkStructure parses a page and lists errors in its structure, such as those
// that a screen reader or keyboard user would notice.
func checkStructure(page string) []string {
	d := xml.NewDecoder(strings.NewReader(page))
	d.Strict = false
	d.AutoClose = xml.HTMLAutoClose
	d.Entity = xml.HTMLEntity
	var found []string
	ids, labels, described := map[string]int{}, map[string]bool{}, []string{}
	var fields []string
	counts := map[string]int{}
	var open []string
	for {
		t, err := d.RawToken()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return append(found, err.Error())
		}
		switch t := t.(type) {
		case xml.StartElement:
			a := map[string]string{}
			for _, attr := range t.Attr {
				a[attr.Name.Local] = attr.Value
			}
			name := t.Name.Local
			counts[name]++
			if id := a["id"]; id != "" {
				ids[id]++
			}
			switch {
			case name == "label":
				labels[a["for"]] = true
			case name == "select", name == "input" && a["type"] != "hidden":
				fields = append(fields, a["id"])
			case name == "th" && a["scope"] == "":
				found = append(found, "a table header without scope")
			case name == "html" && a["lang"] == "":
				found = append(found, "no language")
			case name == "script", a["onclick"] != "", a["src"] != "":
				found = append(found, "a script or a loaded resource")
			}
			if a["aria-describedby"] != "" {
				described = append(described, a["aria-describedby"])
			}
			if !isVoidElement(name) {
				open = append(open, name)
			}
		case xml.EndElement:
			if len(open) == 0 || open[len(open)-1] != t.Name.Local {
				return append(found, "unexpected end tag "+t.Name.Local)
			}
			open = open[:len(open)-1]
		}
	}
	for id, n := range ids {
		if n > 1 {
			found = append(found, "two elements with the id "+id)
		}
	}
	for _, id := range described {
		if ids[id] == 0 {
			found = append(found, "aria-describedby names a missing id "+id)
		}
	}
	for _, id := range fields {
		if id == "" || !labels[id] {
			found = append(found, "a field without a label: "+id)
		}
	}
	for _, one := range []string{"html", "title", "main", "h1"} {
		if counts[one] != 1 {
			found = append(found, "not exactly one "+one)
		}
	}
	if len(open) > 0 {
		found = append(found, "not closed: "+strings.Join(open, " "))
	}
	return found
}

// isVoidElement reports whether an element has no end tag.
func isVoidElement(name string) bool {
	return name == "input" || name == "meta" || name == "br"
}

func TestEveryPageIsWellFormedAndLabelled(t *testing.T) {
	node, server := startServer(t)
	pages := map[string]string{}
	b := newBrowser(t, server.URL)
	keep := func(name string) { pages[name] = b.page }
	b.get(pathSignIn)
	keep("sign-in")
	b = signIn(t, server.URL, "ann")
	keep("empty overview")
	b.get(pathSession)
	b.press("add-services")
	keep("empty item")
	b.press(actionSave, "name", "Bad <Name>", "versions", "v 1", "current", "v1", "limits.slots", "ten")
	keep("item with faults")
	b.press("lists")
	b.press("add-routes")
	b.press(actionSave, "name", "Bad")
	b.press("lists")
	b.press("add-rollouts")
	b.press(actionSave, "from", "v9")
	b.press("lists")
	keep("session with faults")
	b.press(actionReview)
	keep("refused review")
	other := signIn(t, server.URL, "ben")
	other.get(pathSession)
	other.addService("one")
	b.get(pathSession)
	b.addService("two")
	b.press(actionReview)
	keep("review")
	node.lostReplies = 1
	b.press(actionApply)
	keep("unknown")
	b.press(actionApply)
	node.rollouts = []api.Rollout{{Service: "two", State: "moving", Reason: "a < b & c"}}
	b.get(pathFollow + "?number=1")
	keep("follow")
	b.get("/console")
	keep("overview")
	b.get(pathHosts)
	keep("hosts")
	b.get(pathAudit)
	keep("audit")
	b.get("/console/lacking")
	keep("refusal")
	other.press(actionReview)
	other.expect(http.StatusConflict, pathSession)
	pages["conflict"] = other.page
	for name, page := range pages {
		if found := checkStructure(page); len(found) > 0 {
			t.Errorf("%s: %q", name, found)
		}
	}
}
