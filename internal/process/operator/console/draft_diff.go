package console

import (
	"fmt"
	"strings"
)

// diffDrafts lists by name the items that differ between two drafts, with the
// fields that differ. It also accepts drafts with faults.
func diffDrafts(from, to *Draft) []string {
	var lines []string
	for _, k := range []itemKind{kindService, kindRoute, kindRollout} {
		lines = append(lines, diffKind(k, from, to)...)
	}
	return lines
}

func diffKind(k itemKind, from, to *Draft) []string {
	var lines []string
	oldOrder, old := fieldsByName(k, from)
	order, now := fieldsByName(k, to)
	for _, name := range oldOrder {
		if _, ok := now[name]; !ok {
			lines = append(lines, fmt.Sprintf("- %s %s", k.Singular(), name))
			continue
		}
		for i, f := range old[name] {
			if v := now[name][i].Value; v != f.Value {
				lines = append(lines, fmt.Sprintf("~ %s %s: %s %q -> %q", k.Singular(), name, strings.ToLower(f.Label), f.Value, v))
			}
		}
	}
	for _, name := range order {
		if _, ok := old[name]; !ok {
			lines = append(lines, fmt.Sprintf("+ %s %s", k.Singular(), name))
		}
	}
	return lines
}

// fieldsByName returns the form fields of each item of one kind by its name,
// which is always the first field.
func fieldsByName(k itemKind, d *Draft) (order []string, byName map[string][]formField) {
	var all [][]formField
	for i := range d.count(k) {
		all = append(all, d.itemFields(k, i))
	}
	return indexByKey(all, func(fields []formField) string { return fields[0].Value })
}
