package audit

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"unicode"

	"github.com/daisytide/daisytide/api"
)

// Limits of the stored trail. The whole trail is a single store value, so it must
// stay well below one megabyte.
const (
	maxEntries   = 500
	maxListBytes = 400_000
	// maxChanges and maxTextBytes limit a single entry.
	maxChanges   = 50
	maxTextBytes = 400
)

// trailList is the trail as stored, newest entry last.
type trailList struct {
	Entries []api.AuditEntry `json:"entries"`
	// Trimmed counts the older entries removed to stay within the limits.
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

// merge adds the missing entries, sorts all by time and trims the oldest. Entries
// are deduplicated by ID, so an entry written again after a lost reply or by
// another node appears once.
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

// trim removes the oldest entries until the list is within its limits.
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

// encodedSize returns the length of an entry's JSON in bytes, with its separator.
func encodedSize(e api.AuditEntry) int {
	b, err := json.Marshal(e)
	if err != nil {
		return maxListBytes
	}
	return len(b) + 1
}

// sanitize truncates the texts of an entry to their limits and marks the
// truncation. It replaces line breaks and control characters, which could be used
// to forge log lines.
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
