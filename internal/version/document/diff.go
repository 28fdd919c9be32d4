package document

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Diff lists the differences between two documents, one readable line per
// service, route, rollout or field, grouped by kind. Nil stands for an empty
// document. The list is empty if both are equal.
func Diff(from, to *Document) []string {
	if from == nil {
		from = &Document{}
	}
	if to == nil {
		to = &Document{}
	}
	var d diffWriter
	compareItems(&d, "service", from.Services, to.Services, func(s Service) string { return s.Name }, serviceFields)
	compareItems(&d, "route", from.Routes, to.Routes, func(r Route) string { return r.Name }, routeFields)
	compareItems(&d, "rollout of", from.Rollouts, to.Rollouts, func(r Rollout) string { return r.Service }, rolloutFields)
	return d.lines
}

// diffWriter collects the lines of a diff.
type diffWriter struct {
	lines []string
}

func (d *diffWriter) add(format string, args ...any) {
	d.lines = append(d.lines, fmt.Sprintf(format, args...))
}

// field is a named value, formatted as text.
type field struct {
	name, text string
}

// compareItems lists the items that one side lacks and the fields that differ.
func compareItems[T any](d *diffWriter, kind string, from, to []T, name func(T) string, fields func(T) []field) {
	for _, old := range from {
		i := slices.IndexFunc(to, func(t T) bool { return name(t) == name(old) })
		if i < 0 {
			d.add("- %s %s", kind, name(old))
			continue
		}
		before, after := fields(old), fields(to[i])
		for j := range before {
			if before[j].text != after[j].text {
				d.add("~ %s %s: %s %s -> %s", kind, name(old), before[j].name, before[j].text, after[j].text)
			}
		}
	}
	for _, t := range to {
		if !slices.ContainsFunc(from, func(old T) bool { return name(old) == name(t) }) {
			d.add("+ %s %s: %s", kind, name(t), summary(fields(t)))
		}
	}
}

func summary(fields []field) string {
	parts := make([]string, len(fields))
	for i, f := range fields {
		parts[i] = f.name + " " + f.text
	}
	return strings.Join(parts, ", ")
}

func serviceFields(s Service) []field {
	return []field{
		{"versions", fmt.Sprint(s.Versions)},
		{"current", s.Current},
		{"slots", orDefault(s.Limits.Slots)},
		{"connections", orDefault(s.Limits.Connections)},
		{"queue", orDefault(s.Limits.Queue)},
		{"retry share", orDefault(s.Limits.RetryShare)},
	}
}

func routeFields(r Route) []field {
	return []field{
		{"match", r.Match.String()},
		{"service", r.Service},
		{"idempotent", fmt.Sprint(r.Idempotent)},
		{"time limit", time.Duration(r.TimeLimit).String()},
		{"caller", string(r.Caller)},
		{"body limit", orDefault(r.BodyLimit)},
	}
}

func rolloutFields(r Rollout) []field {
	return []field{
		{"from", r.From},
		{"to", r.To},
		{"start", r.Start.UTC().Format(time.RFC3339Nano)},
		{"deadline", r.Deadline.UTC().Format(time.RFC3339Nano)},
		{"first share", fmt.Sprintf("%v%%", r.FirstShare)},
		{"steps", fmt.Sprint(r.Steps)},
		{"caution", orDefault(r.Caution)},
	}
}

// orDefault formats a value, or "default" for the zero value.
func orDefault[T comparable](v T) string {
	var zero T
	if v == zero {
		return "default"
	}
	return fmt.Sprint(v)
}

// String returns method, host and prefix, as in "GET example.org/status".
func (m Match) String() string {
	method := m.Method
	if method == "" {
		method = "any"
	}
	return method + " " + m.Host + m.Prefix
}
