package document

import (
	"slices"
	"testing"
)

func decoded(t *testing.T, text string) *Document {
	t.Helper()
	doc, faults := Decode([]byte(text))
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	return doc
}

func TestDiffListsWhatIsAddedRemovedAndChanged(t *testing.T) {
	from := decoded(t, `{
		"services": [{"name":"a","versions":["v1"],"current":"v1"}, {"name":"b","versions":["v1"],"current":"v1"}],
		"routes": [{"name":"r","match":{"prefix":"/r"},"service":"a","time_limit":"1s","caller":"buyer"}]}`)
	to := decoded(t, `{
		"services": [{"name":"a","versions":["v1","v2"],"current":"v1","limits":{"slots":4}}],
		"routes": [{"name":"r","match":{"prefix":"/r","method":"GET"},"service":"a","time_limit":"1500ms","caller":"buyer"}],
		"rollouts": [{"service":"a","from":"v1","to":"v2","start":"2030-01-31T08:00:00Z","deadline":"2030-01-31T09:00:00Z","first_share":5}]}`)
	want := []string{
		"~ service a: versions [v1] -> [v1 v2]",
		"~ service a: slots default -> 4",
		"- service b",
		"~ route r: match any /r -> GET /r",
		"~ route r: time limit 1s -> 1.5s",
		"+ rollout of a: from v1, to v2, start 2030-01-31T08:00:00Z, deadline 2030-01-31T09:00:00Z, first share 5%, steps [], caution default",
	}
	if got := Diff(from, to); !slices.Equal(got, want) {
		t.Errorf("got %q", got)
	}
	if got := Diff(to, to); len(got) > 0 {
		t.Errorf("a document differs from itself: %q", got)
	}
	if got := Diff(nil, from); len(got) != 3 || Diff(nil, nil) != nil {
		t.Errorf("against nothing: %q", got)
	}
}
