package api

import (
	"os"
	"strings"
	"testing"
)

func TestCodesPageMatchesTable(t *testing.T) {
	page, err := os.ReadFile("../docs/CODES.md")
	if err != nil {
		t.Fatal(err)
	}
	if string(page) != Markdown() {
		t.Error("docs/CODES.md differs from api.Table; run: go run ./cmd/daisytide codes > docs/CODES.md")
	}
}

func TestTableIsSortedWithUniqueNames(t *testing.T) {
	names := map[string]bool{}
	for i, info := range Table {
		if i > 0 && info.Code <= Table[i-1].Code {
			t.Errorf("code %d is listed after %d", info.Code, Table[i-1].Code)
		}
		if names[info.Name] || info.Meaning == "" {
			t.Errorf("code %d: the name %q is used twice, or the meaning is empty", info.Code, info.Name)
		}
		names[info.Name] = true
	}
}

// TestEveryCodeConstantHasARow counts the constants in the source file: one
// without a row in Table would be printed as "unlisted".
func TestEveryCodeConstantHasARow(t *testing.T) {
	source, err := os.ReadFile("codes.go")
	if err != nil {
		t.Fatal(err)
	}
	constants := 0
	for line := range strings.Lines(string(source)) {
		if strings.Contains(line, " Code = ") {
			constants++
		}
	}
	if constants != len(Table) {
		t.Errorf("%d constants, %d rows", constants, len(Table))
	}
}

func TestOperationsPageHasARowForEveryCode(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, info := range Table[1:] {
		if !strings.Contains(string(page), "| "+info.Code.String()+" |") {
			t.Errorf("docs/OPERATIONS.md has no row for %s", info.Code)
		}
	}
}
