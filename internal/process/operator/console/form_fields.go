package console

import (
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/daisytide/daisytide/api"
)

// kind is a kind of item, named as its list in the document.
type kind string

// The kinds of items.
const (
	kindService kind = "services"
	kindRoute   kind = "routes"
	kindRollout kind = "rollouts"
)

// One is the word for a single item.
func (k kind) One() string { return strings.TrimSuffix(string(k), "s") }

// input is one field of a form. Path is its place within the item, as in the
// document; it also names the field in the posted form.
type input struct {
	Path, Label, Hint string
	// Options makes the field a choice.
	Options []string
	Value   string
	Faults  []api.Fault
	target  *string
}

// ID is the field's identifier in the page.
func (i input) ID() string { return strings.ReplaceAll(i.Path, ".", "-") }

// Choices are the options, with the value that stands if it is none of them.
func (i input) Choices() []string {
	if slices.Contains(i.Options, i.Value) {
		return i.Options
	}
	return append(slices.Clone(i.Options), i.Value)
}

var (
	methods  = []string{"", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
	callers  = []string{"", "buyer", "clerk", "driver", "organiser"}
	cautions = []string{"", "swift", "normal", "high"}
)

func (d *Draft) serviceNames() []string {
	names := []string{""}
	for _, s := range d.Services {
		names = append(names, s.Name)
	}
	return names
}

// inputs returns the fields of one item; nil where there is none.
func (d *Draft) inputs(k kind, i int) []input {
	if i < 0 || i >= d.count(k) {
		return nil
	}
	var fields []input
	switch k {
	case kindService:
		fields = d.Services[i].inputs()
	case kindRoute:
		fields = d.Routes[i].inputs(d.serviceNames())
	case kindRollout:
		fields = d.Rollouts[i].inputs(d.serviceNames())
	}
	for j := range fields {
		fields[j].Value = *fields[j].target
	}
	return fields
}

func (s *Service) inputs() []input {
	return []input{
		{Path: "name", Label: "Name", Hint: "Lower-case letters, digits and hyphens.", target: &s.Name},
		{Path: "versions", Label: "Versions", Hint: "All versions whose upstreams may get calls, separated by commas.", target: &s.Versions},
		{Path: "current", Label: "Current version", Hint: "It gets all calls while no rollout moves them.", target: &s.Current},
		{Path: "limits.slots", Label: "Slots", Hint: "Most requests at once in one upstream. Empty: what it announces.", target: &s.Slots},
		{Path: "limits.connections", Label: "Connections", Hint: "Most connections to one upstream. Empty: what it announces.", target: &s.Connections},
		{Path: "limits.queue", Label: "Queue", Hint: "Most requests that wait at one node. Empty: the default.", target: &s.Queue},
		{Path: "limits.retry_share", Label: "Retry share", Hint: "Percentage of calls that may be retries. Empty: the default.", target: &s.RetryShare},
	}
}

func (r *Route) inputs(services []string) []input {
	return []input{
		{Path: "name", Label: "Name", Hint: "Lower-case letters, digits and hyphens.", target: &r.Name},
		{Path: "match.prefix", Label: "Path prefix", Hint: "The longest prefix wins, as in /status.", target: &r.Prefix},
		{Path: "match.method", Label: "Method", Hint: "Empty: any.", Options: methods, target: &r.Method},
		{Path: "match.host", Label: "Host name", Hint: "Empty: any.", target: &r.Host},
		{Path: "service", Label: "Service", Options: services, target: &r.Service},
		{Path: "idempotent", Label: "Idempotent", Hint: "Yes: a call may run more than once without harm, so it is retried.", Options: []string{no, yes}, target: &r.Idempotent},
		{Path: "time_limit", Label: "Time limit", Hint: "With its unit, as in 250ms or 2s.", target: &r.TimeLimit},
		{Path: "caller", Label: "Caller", Options: callers, target: &r.Caller},
		{Path: "body_limit", Label: "Body limit", Hint: "With its unit, as in 64KB or 8MB. Empty: the default.", target: &r.BodyLimit},
	}
}

func (r *Rollout) inputs(services []string) []input {
	return []input{
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

// take sets an item's fields to what was typed.
func (d *Draft) take(k kind, i int, form url.Values) {
	for _, f := range d.inputs(k, i) {
		*f.target = strings.TrimSpace(form.Get(f.Path))
	}
}

func (d *Draft) count(k kind) int {
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
func (d *Draft) add(k kind) int {
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

// remove deletes one item.
func (d *Draft) remove(k kind, i int) {
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

// item is one row of the draft's lists.
type item struct {
	Kind    kind
	Index   int
	Name    string
	Summary string
	Faults  []api.Fault
}

// Key names the item in the values of buttons.
func (i item) Key() string { return fmt.Sprintf("%s-%d", i.Kind, i.Index) }

// items lists one kind with the faults of each.
func (d *Draft) items(k kind, faults []api.Fault) []item {
	out := make([]item, d.count(k))
	for i := range out {
		out[i] = item{Kind: k, Index: i, Faults: faultsOf(faults, k, i)}
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

// place splits a fault's path into the item and the field that it is of. ok is
// false for a fault of the document as a whole.
func place(path string) (k kind, i int, field string, ok bool) {
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
	return kind(head), i, field, true
}

// faultsOf selects the faults of one item.
func faultsOf(faults []api.Fault, k kind, i int) []api.Fault {
	var out []api.Fault
	for _, f := range faults {
		if fk, fi, _, ok := place(f.Path); ok && fk == k && fi == i {
			out = append(out, f)
		}
	}
	return out
}

// beside puts the faults of an item at its fields; those of no field, such as
// a match as a whole, go to the first field within.
func beside(fields []input, faults []api.Fault) []input {
	for _, f := range faults {
		_, _, name, _ := place(f.Path)
		at := slices.IndexFunc(fields, func(i input) bool { return i.Path == name })
		if at < 0 {
			at = max(0, slices.IndexFunc(fields, func(i input) bool { return strings.HasPrefix(i.Path, name+".") }))
		}
		fields[at].Faults = append(fields[at].Faults, f)
	}
	return fields
}

// whole selects the faults that belong to no item.
func whole(faults []api.Fault) []api.Fault {
	var out []api.Fault
	for _, f := range faults {
		if _, _, _, ok := place(f.Path); !ok {
			out = append(out, f)
		}
	}
	return out
}
