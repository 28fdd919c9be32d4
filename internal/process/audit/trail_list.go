package audit

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"unicode"

	"github.com/daisytide/daisytide/api"
)

// Bounds of the trail in the store. A full list is one value of the store, so
// it stays well under a megabyte.
const (
	maxEntries   = 500
	maxListBytes = 400_000
	// maxChanges and maxTextBytes bound one entry.
	maxChanges   = 50
	maxTextBytes = 400
)

// list is the trail as the store holds it, the newest entry last.
type trailList struct {
	Entries []api.AuditEntry `json:"entries"`
	// Trimmed counts the older entries that were cut at the bounds.
	Trimmed uint64 `json:"trimmed"`
}

func decodeList(value []byte) (trailList, error) {
	var l trailList
	if len(value) == 0 {
		return l, nil
	}
	if err := json.Unmarshal(value, &l); err != nil {
		return l, fmt.Errorf("decode the trail: %w", err)
	}
	return l, nil
}

// merge adds the entries that the list lacks, in the order of their times,
// and cuts the oldest at the bounds. An entry is known by its ID, so one that
// is merged again, after a lost reply or by a second writer, stands once.
func (l trailList) merge(entries []api.AuditEntry) trailList {
	known := make(map[string]bool, len(l.Entries))
	for _, e := range l.Entries {
		known[e.ID] = true
	}
	out := trailList{Entries: slices.Clone(l.Entries), Trimmed: l.Trimmed}
	for _, e := range entries {
		if !known[e.ID] {
			known[e.ID] = true
			out.Entries = append(out.Entries, e)
		}
	}
	slices.SortStableFunc(out.Entries, func(a, b api.AuditEntry) int { return a.At.Compare(b.At) })
	out.trim()
	return out
}

// trim cuts the oldest entries until the list is within its bounds.
func (l *trailList) trim() {
	bytes, keep := 0, 0
	for i := len(l.Entries) - 1; i >= 0 && keep < maxEntries; i-- {
		bytes += encodedSize(l.Entries[i])
		if bytes > maxListBytes {
			break
		}
		keep++
	}
	trimmed := len(l.Entries) - keep
	l.Trimmed += uint64(trimmed)
	l.Entries = l.Entries[trimmed:]
}

// size is the encoded length of an entry in bytes.
func encodedSize(e api.AuditEntry) int {
	b, err := json.Marshal(e)
	if err != nil {
		return maxListBytes
	}
	return len(b) + 1
}

// bounded cuts the texts of an entry at their limits, says so in them, and
// leaves no line breaks or control characters, which would forge lines of a log.
func sanitize(e api.AuditEntry) api.AuditEntry {
	e.Outcome = sanitizeText(e.Outcome)
	e.Operator = sanitizeText(e.Operator)
	omitted := len(e.Changes) - maxChanges
	e.Changes = slices.Clone(e.Changes[:min(len(e.Changes), maxChanges)])
	for i := range e.Changes {
		e.Changes[i] = sanitizeText(e.Changes[i])
	}
	if omitted > 0 {
		e.Changes = append(e.Changes, fmt.Sprintf("and %d more", omitted))
	}
	return e
}

func sanitizeText(s string) string {
	s = strings.Map(func(r rune) rune {
		if unicode.IsPrint(r) {
			return r
		}
		return ' '
	}, s)
	if len(s) <= maxTextBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxTextBytes], "") + "..."
}
