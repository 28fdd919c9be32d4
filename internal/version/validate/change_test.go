package validate

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/daisytide/daisytide/internal/version/document"
)

// documentOf returns a document with one service, and with a rollout of it if
// rollout has the form "from>to".
func documentOf(current, rollout string, versions ...string) *document.Document {
	doc := &document.Document{Services: []document.Service{{Name: "a", Versions: versions, Current: current}}}
	if from, to, ok := strings.Cut(rollout, ">"); ok {
		doc.Rollouts = []document.Rollout{{Service: "a", From: from, To: to}}
	}
	return doc
}

func TestChangeAgainstConfigurationInForce(t *testing.T) {
	inRollout := documentOf("v1", "v1>v2", "v1", "v2")
	for name, c := range map[string]struct {
		inForce, doc *document.Document
		ended        string
		want         string
	}{
		"first document":                                     {nil, inRollout, "", ""},
		"unrelated change during a rollout":                  {inRollout, documentOf("v1", "v1>v2", "v1", "v2", "v3"), "", ""},
		"rollout withdrawn by its operator":                  {inRollout, documentOf("v1", "", "v1", "v2"), "", ""},
		"service of a running rollout removed":               {inRollout, &document.Document{}, "", "services 1014"},
		"service of an ended rollout removed":                {inRollout, &document.Document{}, "done", ""},
		"old version of a running rollout removed":           {inRollout, documentOf("v2", "", "v2"), "", "services[0].versions 1014, services[0].current 1019"},
		"new version of a running rollout removed":           {inRollout, documentOf("v1", "", "v1"), "", "services[0].versions 1014"},
		"new version current after the rollout ended":        {inRollout, documentOf("v2", "", "v2"), "done", ""},
		"change to a version without a rollout":              {documentOf("v1", "", "v1", "v2"), documentOf("v2", "", "v1", "v2"), "done", "services[0].current 1019"},
		"withdrawn version becomes current":                  {inRollout, documentOf("v2", "", "v1", "v2"), "withdrawn", "services[0].current 1019"},
		"withdrawn version removed":                          {inRollout, documentOf("v1", "", "v1"), "withdrawn", ""},
		"change to another version than the ended rollout's": {inRollout, documentOf("v3", "", "v2", "v3"), "done", "services[0].current 1019"},
	} {
		var got []string
		for _, f := range Change(c.inForce, c.doc, RolloutStatus{
			Ended: func(string) bool { return c.ended != "" },
			Done:  func(string) bool { return c.ended == "done" },
		}) {
			got = append(got, fmt.Sprintf("%s %d", f.Path, f.Code))
		}
		if strings.Join(got, ", ") != c.want {
			t.Errorf("%s: got %q, want %q", name, got, c.want)
		}
	}
}

func TestNewRolloutNeedsDeadlineInFuture(t *testing.T) {
	deadline := time.Unix(1_900_000_000, 0)
	doc := documentOf("v1", "v1>v2", "v1", "v2")
	doc.Rollouts[0].Deadline = deadline
	for name, c := range map[string]struct {
		inForce *document.Document
		now     time.Time
		want    int
	}{
		"ahead":                  {nil, deadline.Add(-time.Second), 0},
		"passed, the first":      {nil, deadline, 1},
		"passed, a new rollout":  {documentOf("v1", "", "v1", "v2"), deadline, 1},
		"passed, a kept rollout": {doc, deadline, 0},
		"time not given":         {nil, time.Time{}, 0},
	} {
		faults := Change(c.inForce, doc, RolloutStatus{Now: c.now})
		if len(faults) != c.want || c.want > 0 && faults[0].Path != "rollouts[0].deadline" {
			t.Errorf("%s: %v", name, faults)
		}
	}
}
