package validate

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/version/document"
)

// expected parses testdata/wrong/expected.txt, in which each line is a file's
// name and one of its faults as "line path code".
func expected(t *testing.T) map[string][]string {
	t.Helper()
	text, err := os.ReadFile("testdata/wrong/expected.txt")
	if err != nil {
		t.Fatal(err)
	}
	out := map[string][]string{}
	for line := range strings.Lines(string(text)) {
		name, fault, _ := strings.Cut(strings.TrimSpace(line), ": ")
		out[name] = append(out[name], fault)
	}
	return out
}

func TestInvalidDocumentsHaveExpectedFaults(t *testing.T) {
	files, err := filepath.Glob("testdata/wrong/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("no invalid documents found: %v", err)
	}
	want := expected(t)
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".json")
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		_, faults := Text(text, nil, RolloutStatus{})
		var got []string
		for _, f := range faults {
			got = append(got, fmt.Sprintf("%d %s %d", f.Line, f.Path, f.Code))
		}
		if strings.Join(got, "\n") != strings.Join(want[name], "\n") {
			t.Errorf("%s:\ngot\n%s: %s\nwant\n  %s", name, name, strings.Join(got, "\n"+name+": "), strings.Join(want[name], "\n  "))
		}
		delete(want, name)
	}
	if len(want) > 0 {
		t.Errorf("expectations without a file: %v", want)
	}
}

func TestDocumentOverSizeLimitIsRefused(t *testing.T) {
	text := append([]byte(`{"services":[],"routes":[]}`), bytes.Repeat([]byte(" "), document.MaxBytes)...)
	_, faults := Text(text, nil, RolloutStatus{})
	if len(faults) != 1 || faults[0].Code != api.DocumentTooLarge {
		t.Errorf("faults: %v", faults)
	}
}

func TestFaultsAreTruncatedToLimit(t *testing.T) {
	doc := document.Document{Services: make([]document.Service, document.MaxFaults)}
	faults := Document(&doc)
	if len(faults) != document.MaxFaults+1 || faults[document.MaxFaults].Code != api.DocumentTooManyFaults {
		t.Errorf("%d faults, the last %v", len(faults), faults[len(faults)-1])
	}
}

func TestExampleDocumentsAreValid(t *testing.T) {
	for _, name := range []string{"coral-tt-north", "himal-bagmati"} {
		text, err := os.ReadFile("../../../docs/examples/" + name + ".json")
		if err != nil {
			t.Fatal(err)
		}
		if _, faults := Text(text, nil, RolloutStatus{}); len(faults) > 0 {
			t.Errorf("%s: %v", name, faults)
		}
	}
}
