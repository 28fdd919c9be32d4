package console

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/daisytide/daisytide/internal/version/document"
)

const token = "token-of-the-session-test"

func TestLoginCookieIsSignedAndExpires(t *testing.T) {
	signer := newCookieSigner(token)
	now := time.Unix(1_900_000_000, 0)
	good := signer.newCookie("ann.b", now, true)
	if !good.HttpOnly || !good.Secure || good.SameSite != http.SameSiteStrictMode {
		t.Errorf("cookie: %+v", good)
	}
	read := func(k cookieSigner, value string, at time.Time) string {
		r := httptest.NewRequest(http.MethodGet, "/", nil)
		r.AddCookie(&http.Cookie{Name: cookieName, Value: value})
		s, ok := k.readLogin(r, at)
		return fmt.Sprint(s.operator, ok)
	}
	for name, c := range map[string]struct {
		got, want string
	}{
		"good":         {read(signer, good.Value, now.Add(loginTTL-time.Second)), "ann.btrue"},
		"expired":      {read(signer, good.Value, now.Add(loginTTL)), "false"},
		"changed":      {read(signer, "x"+good.Value, now), "false"},
		"other token":  {read(newCookieSigner("other"), good.Value, now), "false"},
		"no signature": {read(signer, "ann", now), "false"},
		"empty text":   {read(signer, "."+signer.sign("cookie", ""), now), "false"},
	} {
		if c.got != c.want {
			t.Errorf("%s: %q, want %q", name, c.got, c.want)
		}
	}
}

func draftOfServices(slots ...string) *Draft {
	d := &Draft{}
	for i := 0; i < len(slots); i += 2 {
		d.Services = append(d.Services, Service{Name: slots[i], Slots: slots[i+1]})
	}
	return d
}

func TestMergeKeepsChangesAndReportsConflicts(t *testing.T) {
	base := draftOfServices("a", "1", "b", "1", "c", "1")
	for name, c := range map[string]struct {
		mine, theirs, want *Draft
		conflicts          []string
	}{
		"nothing":                  {base, base, base, nil},
		"only mine changed":        {draftOfServices("a", "2", "c", "1", "d", "1"), base, draftOfServices("a", "2", "c", "1", "d", "1"), nil},
		"only theirs changed":      {base, draftOfServices("b", "2", "d", "1"), draftOfServices("b", "2", "d", "1"), nil},
		"different items":          {draftOfServices("a", "2", "b", "1", "c", "1"), draftOfServices("a", "1", "b", "2"), draftOfServices("a", "2", "b", "2"), nil},
		"the same change":          {draftOfServices("a", "2", "b", "1", "c", "1"), draftOfServices("a", "2", "b", "1", "c", "1"), draftOfServices("a", "2", "b", "1", "c", "1"), nil},
		"one item, two changes":    {draftOfServices("a", "2", "b", "1", "c", "1"), draftOfServices("a", "3", "b", "1", "c", "1"), draftOfServices("a", "2", "b", "1", "c", "1"), []string{"service a was changed by both; yours is kept"}},
		"removed and changed":      {draftOfServices("b", "1", "c", "1"), draftOfServices("a", "3", "b", "1", "c", "1"), draftOfServices("b", "1", "c", "1"), []string{"service a was changed by both; yours is kept"}},
		"changed and removed":      {draftOfServices("a", "2", "b", "1", "c", "1"), draftOfServices("b", "1", "c", "1"), draftOfServices("b", "1", "c", "1", "a", "2"), []string{"service a was changed by both; yours is kept"}},
		"one name used twice":      {draftOfServices("a", "1", "b", "1", "c", "1", "a", "5"), base, draftOfServices("a", "1", "b", "1", "c", "1", "a", "5"), nil},
		"removed by both":          {draftOfServices("a", "1", "b", "1"), draftOfServices("a", "1", "b", "1"), draftOfServices("a", "1", "b", "1"), nil},
		"added by both, equal":     {draftOfServices("a", "1", "b", "1", "c", "1", "d", "1"), draftOfServices("a", "1", "b", "1", "c", "1", "d", "1"), draftOfServices("a", "1", "b", "1", "c", "1", "d", "1"), nil},
		"added by both, different": {draftOfServices("a", "1", "b", "1", "c", "1", "d", "1"), draftOfServices("a", "1", "b", "1", "c", "1", "d", "2"), draftOfServices("a", "1", "b", "1", "c", "1", "d", "1"), []string{"service d was changed by both; yours is kept"}},
	} {
		got, conflicts := merge(base, c.mine, c.theirs)
		if !slices.Equal(got.Services, c.want.Services) || !slices.Equal(conflicts, c.conflicts) {
			t.Errorf("%s: got %v %q, want %v %q", name, got.Services, conflicts, c.want.Services, c.conflicts)
		}
	}
}

// TestDraftHasEveryFieldOfADocument fails if a field of the document is missing
// from Draft: every edit session would remove its value from the document.
func TestDraftHasEveryFieldOfADocument(t *testing.T) {
	doc := document.Document{
		Services: []document.Service{{Name: "a", Versions: []string{"v1"}, Current: "v1", Limits: document.Limits{Slots: 1, Connections: 2, Queue: 3, RetryShare: 4.5}}},
		Routes: []document.Route{{
			Name: "r", Match: document.Match{Prefix: "/p", Method: "GET", Host: "h"}, Service: "a", Idempotent: true,
			TimeLimit: document.Duration(time.Second), Caller: document.Clerk, BodyLimit: 8,
		}},
		Rollouts: []document.Rollout{{
			Service: "a", From: "v1", To: "v2", Start: time.Unix(1, 5).UTC(), Deadline: time.Unix(2, 0).UTC(), FirstShare: 0.5, Steps: []float64{12.5}, Caution: "high",
		}},
	}
	assertNoZeroFields(t, reflect.ValueOf(doc), "document")
	packed, err := encodeDraft(draftFromDocument(&doc))
	if err != nil {
		t.Fatal(err)
	}
	var d Draft
	if err := decodeDraft(packed, &d); err != nil {
		t.Fatal(err)
	}
	text, err := d.Text()
	if err != nil {
		t.Fatal(err)
	}
	again, faults := document.Decode(text)
	if len(faults) > 0 || !reflect.DeepEqual(*again, doc) {
		t.Errorf("%v\n%+v\n%+v", faults, again, doc)
	}
}

// assertNoZeroFields fails for each field that the test's document leaves
// empty.
func assertNoZeroFields(t *testing.T, v reflect.Value, path string) {
	t.Helper()
	switch {
	case v.IsZero():
		t.Errorf("%s is not set in this test", path)
	case v.Kind() == reflect.Struct && v.Type() != reflect.TypeFor[time.Time]():
		for i := range v.NumField() {
			assertNoZeroFields(t, v.Field(i), path+"."+v.Type().Field(i).Name)
		}
	case v.Kind() == reflect.Slice:
		assertNoZeroFields(t, v.Index(0), path)
	}
}
