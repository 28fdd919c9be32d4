package console

import (
	"fmt"
	"strings"
)

// merge applies the changes from base to mine to theirs. An item that both have
// changed in different ways stays as in mine and is listed in conflicts, so
// that nothing that was typed is lost.
func merge(base, mine, theirs *Draft) (merged *Draft, conflicts []string) {
	m := merger{}
	merged = &Draft{
		Services: mergeItems(&m, "service", base.Services, mine.Services, theirs.Services, func(s Service) string { return s.Name }),
		Routes:   mergeItems(&m, "route", base.Routes, mine.Routes, theirs.Routes, func(r Route) string { return r.Name }),
		Rollouts: mergeItems(&m, "rollout of", base.Rollouts, mine.Rollouts, theirs.Rollouts, func(r Rollout) string { return r.Service }),
	}
	return merged, m.conflicts
}

// merger collects the conflicts of a merge.
type merger struct {
	conflicts []string
}

// indexByKey returns the keys of items in their order, and the items by key. The
// key of an item is its name; a name that is used again gets a number as in
// name#2.
func indexByKey[T any](items []T, name func(T) string) (order []string, byKey map[string]T) {
	byKey = map[string]T{}
	for _, t := range items {
		key := name(t)
		for n := 2; ; n++ {
			if _, taken := byKey[key]; !taken {
				break
			}
			key = fmt.Sprintf("%s#%d", name(t), n)
		}
		byKey[key] = t
		order = append(order, key)
	}
	return order, byKey
}

// mergeItems keeps the order of theirs and appends the items that only mine
// has.
func mergeItems[T comparable](m *merger, what string, base, mine, theirs []T, name func(T) string) []T {
	_, baseByKey := indexByKey(base, name)
	mineOrder, mineByKey := indexByKey(mine, name)
	order, theirsByKey := indexByKey(theirs, name)
	for _, key := range mineOrder {
		if _, ok := theirsByKey[key]; !ok {
			order = append(order, key)
		}
	}
	var out []T
	for _, key := range order {
		baseItem, inBase := baseByKey[key]
		mineItem, inMine := mineByKey[key]
		theirItem, inTheirs := theirsByKey[key]
		mineChanged := inMine != inBase || mineItem != baseItem
		theirsChanged := inTheirs != inBase || theirItem != baseItem
		if mineChanged && theirsChanged && (inMine != inTheirs || mineItem != theirItem) {
			m.addConflict(what, key)
		}
		switch {
		case mineChanged && inMine:
			out = append(out, mineItem)
		case !mineChanged && inTheirs:
			out = append(out, theirItem)
		}
	}
	return out
}

func (m *merger) addConflict(what, key string) {
	m.conflicts = append(m.conflicts, strings.TrimSpace(what+" "+key)+" was changed by both; yours is kept")
}
