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
	oldOrder, oldFields := fieldsByName(k, from)
	newOrder, newFields := fieldsByName(k, to)
	for _, name := range oldOrder {
		if _, ok := newFields[name]; !ok {
			lines = append(lines, fmt.Sprintf("- %s %s", k.Singular(), name))
			continue
		}
		for i, f := range oldFields[name] {
			if v := newFields[name][i].Value; v != f.Value {
				lines = append(lines, fmt.Sprintf("~ %s %s: %s %q -> %q", k.Singular(), name, strings.ToLower(f.Label), f.Value, v))
			}
		}
	}
	for _, name := range newOrder {
		if _, ok := oldFields[name]; !ok {
			lines = append(lines, fmt.Sprintf("+ %s %s", k.Singular(), name))
		}
	}
	return lines
}

// fieldsByName returns the names of the items of one kind in their order, and
// the form fields of each by its name. The name of an item is its first field;
// for a rollout this is the service.
func fieldsByName(k itemKind, d *Draft) (order []string, byName map[string][]formField) {
	var all [][]formField
	for i := range d.count(k) {
		all = append(all, d.itemFields(k, i))
	}
	return indexByKey(all, func(fields []formField) string { return fields[0].Value })
}
