package console

import (
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/daisytide/daisytide/api"
)

// itemKind is a kind of item; its value is the name of the list in the
// document.
type itemKind string

// The kinds of items.
const (
	kindService itemKind = "services"
	kindRoute   itemKind = "routes"
	kindRollout itemKind = "rollouts"
)

// Singular returns the word for a single item.
func (k itemKind) Singular() string { return strings.TrimSuffix(string(k), "s") }

// formField is one field of a form. Path is its path within the item, as in the
// document, and its name in the posted form.
type formField struct {
	Path, Label, Hint string
	// Options, if set, makes the field a selection.
	Options []string
	Value   string
	Faults  []api.Fault
	// target points to the value in the draft.
	target *string
}

// ID returns the field's HTML id.
func (f formField) ID() string { return strings.ReplaceAll(f.Path, ".", "-") }

// Choices returns the options, with the present value added if it is not one of
// them.
func (f formField) Choices() []string {
	if slices.Contains(f.Options, f.Value) {
		return f.Options
	}
	return append(slices.Clone(f.Options), f.Value)
}

var (
	methods       = []string{"", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
	callerClasses = []string{"", "buyer", "clerk", "driver", "organiser"}
	cautions      = []string{"", "swift", "normal", "high"}
)

func (d *Draft) serviceNames() []string {
	names := []string{""}
	for _, s := range d.Services {
		names = append(names, s.Name)
	}
	return names
}

// itemFields returns the form fields of one item; nil if there is no such item.
func (d *Draft) itemFields(k itemKind, i int) []formField {
	if i < 0 || i >= d.count(k) {
		return nil
	}
	var fields []formField
	switch k {
	case kindService:
		fields = d.Services[i].fields()
	case kindRoute:
		fields = d.Routes[i].fields(d.serviceNames())
	case kindRollout:
		fields = d.Rollouts[i].fields(d.serviceNames())
	}
	for j := range fields {
		fields[j].Value = *fields[j].target
	}
	return fields
}

func (s *Service) fields() []formField {
	return []formField{
		{Path: "name", Label: "Name", Hint: "Lower-case letters, digits and hyphens.", target: &s.Name},
		{Path: "versions", Label: "Versions", Hint: "All versions whose upstreams may get calls, separated by commas.", target: &s.Versions},
		{Path: "current", Label: "Current version", Hint: "It gets all calls while no rollout moves them.", target: &s.Current},
		{Path: "limits.slots", Label: "Slots", Hint: "Most requests at once in one upstream. Empty: what it announces.", target: &s.Slots},
		{Path: "limits.connections", Label: "Connections", Hint: "Most connections to one upstream. Empty: what it announces.", target: &s.Connections},
		{Path: "limits.queue", Label: "Queue", Hint: "Most requests that wait at one node. Empty: the default.", target: &s.Queue},
		{Path: "limits.retry_share", Label: "Retry share", Hint: "Percentage of calls that may be retries. Empty: the default.", target: &s.RetryShare},
	}
}

func (r *Route) fields(services []string) []formField {
	return []formField{
		{Path: "name", Label: "Name", Hint: "Lower-case letters, digits and hyphens.", target: &r.Name},
		{Path: "match.prefix", Label: "Path prefix", Hint: "The longest prefix wins, as in /status.", target: &r.Prefix},
		{Path: "match.method", Label: "Method", Hint: "Empty: any.", Options: methods, target: &r.Method},
		{Path: "match.host", Label: "Host name", Hint: "Empty: any.", target: &r.Host},
		{Path: "service", Label: "Service", Options: services, target: &r.Service},
		{Path: "idempotent", Label: "Idempotent", Hint: "Yes: a call may run more than once without harm, so it is retried.", Options: []string{no, yes}, target: &r.Idempotent},
		{Path: "time_limit", Label: "Time limit", Hint: "With its unit, as in 250ms or 2s.", target: &r.TimeLimit},
		{Path: "caller", Label: "Caller", Options: callerClasses, target: &r.Caller},
		{Path: "body_limit", Label: "Body limit", Hint: "With its unit, as in 64KB or 8MB. Empty: the default.", target: &r.BodyLimit},
	}
}

func (r *Rollout) fields(services []string) []formField {
	return []formField{
		{Path: "service", Label: "Service", Options: services, target: &r.Service},
		{Path: "from", Label: "From version", Hint: "The service's current version.", target: &r.From},
		{Path: "to", Label: "To version", target: &r.To},
		{Path: "start", Label: "Start", Hint: "With its zone, as in 2030-01-31T08:00:00Z.", target: &r.Start},
		{Path: "deadline", Label: "Deadline", Hint: "With its zone, as in 2030-01-31T09:00:00Z.", target: &r.Deadline},
		{Path: "first_share", Label: "First share", Hint: "Percentage of calls that the new version gets at first.", target: &r.FirstShare},
		{Path: "steps", Label: "Steps", Hint: "Shares after the first, rising to 100, separated by commas. Empty: daisytide chooses.", target: &r.Steps},
		{Path: "caution", Label: "Caution", Hint: "Empty: normal.", Options: cautions, target: &r.Caution},
	}
}

// setFields sets an item's fields to the values of a posted form.
func (d *Draft) setFields(k itemKind, i int, form url.Values) {
	for _, f := range d.itemFields(k, i) {
		*f.target = strings.TrimSpace(form.Get(f.Path))
	}
}

func (d *Draft) count(k itemKind) int {
	switch k {
	case kindService:
		return len(d.Services)
	case kindRoute:
		return len(d.Routes)
	case kindRollout:
		return len(d.Rollouts)
	}
	return 0
}

// add appends an empty item and returns its index.
func (d *Draft) add(k itemKind) int {
	switch k {
	case kindService:
		d.Services = append(d.Services, Service{})
	case kindRoute:
		d.Routes = append(d.Routes, Route{Idempotent: no})
	case kindRollout:
		d.Rollouts = append(d.Rollouts, Rollout{})
	}
	return d.count(k) - 1
}

// remove deletes one item; it ignores an index that is out of range.
func (d *Draft) remove(k itemKind, i int) {
	if i < 0 || i >= d.count(k) {
		return
	}
	switch k {
	case kindService:
		d.Services = slices.Delete(d.Services, i, i+1)
	case kindRoute:
		d.Routes = slices.Delete(d.Routes, i, i+1)
	case kindRollout:
		d.Rollouts = slices.Delete(d.Rollouts, i, i+1)
	}
}

// item is one row in the lists of a draft.
type item struct {
	Kind    itemKind
	Index   int
	Name    string
	Summary string
	Faults  []api.Fault
}

// Key returns the item's key, which the values of buttons contain.
func (i item) Key() string { return fmt.Sprintf("%s-%d", i.Kind, i.Index) }

// items lists the items of one kind, each with its faults.
func (d *Draft) items(k itemKind, faults []api.Fault) []item {
	out := make([]item, d.count(k))
	for i := range out {
		out[i] = item{Kind: k, Index: i, Faults: itemFaults(faults, k, i)}
		switch k {
		case kindService:
			s := d.Services[i]
			out[i].Name, out[i].Summary = s.Name, fmt.Sprintf("versions %s; current %s", s.Versions, s.Current)
		case kindRoute:
			r := d.Routes[i]
			out[i].Name, out[i].Summary = r.Name, fmt.Sprintf("%s %s%s to %s, %s, %s", orAny(r.Method), r.Host, r.Prefix, r.Service, r.Caller, r.TimeLimit)
		case kindRollout:
			r := d.Rollouts[i]
			out[i].Name, out[i].Summary = r.Service, fmt.Sprintf("%s to %s, from %s to %s", r.From, r.To, r.Start, r.Deadline)
		}
	}
	return out
}

func orAny(s string) string {
	if s == "" {
		return "any"
	}
	return s
}

// parseFaultPath splits a fault's path into the item and its field. ok is false
// for a fault of the document as a whole.
func parseFaultPath(path string) (k itemKind, i int, field string, ok bool) {
	head, rest, found := strings.Cut(path, "[")
	if !found {
		return "", 0, "", false
	}
	index, field, found := strings.Cut(rest, "]")
	i, err := strconv.Atoi(index)
	if !found || err != nil {
		return "", 0, "", false
	}
	field, _, _ = strings.Cut(strings.TrimPrefix(field, "."), "[")
	return itemKind(head), i, field, true
}

// itemFaults returns the faults of one item.
func itemFaults(faults []api.Fault, k itemKind, i int) []api.Fault {
	var out []api.Fault
	for _, f := range faults {
		if fk, fi, _, ok := parseFaultPath(f.Path); ok && fk == k && fi == i {
			out = append(out, f)
		}
	}
	return out
}

// attachFaults adds the faults of an item to its fields. A fault whose path has
// no field of its own, such as match, goes to the first field below that path,
// or to the first field of the item if there is none.
func attachFaults(fields []formField, faults []api.Fault) []formField {
	for _, f := range faults {
		_, _, name, _ := parseFaultPath(f.Path)
		at := slices.IndexFunc(fields, func(field formField) bool { return field.Path == name })
		if at < 0 {
			at = max(0, slices.IndexFunc(fields, func(field formField) bool { return strings.HasPrefix(field.Path, name+".") }))
		}
		fields[at].Faults = append(fields[at].Faults, f)
	}
	return fields
}

// documentFaults returns the faults that do not belong to an item.
func documentFaults(faults []api.Fault) []api.Fault {
	var out []api.Fault
	for _, f := range faults {
		if _, _, _, ok := parseFaultPath(f.Path); !ok {
			out = append(out, f)
		}
	}
	return out
}
