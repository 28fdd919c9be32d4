package console

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/daisytide/daisytide/internal/version/document"
)

// Draft is a document as an operator types it: every value is text, so that an
// invalid one is kept and shown with its faults.
type Draft struct {
	Services []Service `json:"services"`
	Routes   []Route   `json:"routes"`
	Rollouts []Rollout `json:"rollouts"`
}

// Service holds the text fields of a service; Versions are separated by commas.
type Service struct {
	Name        string `json:"name"`
	Versions    string `json:"versions"`
	Current     string `json:"current"`
	Slots       string `json:"slots"`
	Connections string `json:"connections"`
	Queue       string `json:"queue"`
	RetryShare  string `json:"retry_share"`
}

// Route holds the text fields of a route; Idempotent is yes or no.
type Route struct {
	Name       string `json:"name"`
	Prefix     string `json:"prefix"`
	Method     string `json:"method"`
	Host       string `json:"host"`
	Service    string `json:"service"`
	Idempotent string `json:"idempotent"`
	TimeLimit  string `json:"time_limit"`
	Caller     string `json:"caller"`
	BodyLimit  string `json:"body_limit"`
}

// Rollout holds the text fields of a rollout; Steps are separated by commas.
type Rollout struct {
	Service    string `json:"service"`
	From       string `json:"from"`
	To         string `json:"to"`
	Start      string `json:"start"`
	Deadline   string `json:"deadline"`
	FirstShare string `json:"first_share"`
	Steps      string `json:"steps"`
	Caution    string `json:"caution"`
}

// Values of Route.Idempotent.
const (
	yes = "yes"
	no  = "no"
)

// draftFromDocument returns the draft of a document, which may be nil.
func draftFromDocument(doc *document.Document) *Draft {
	d := &Draft{}
	if doc == nil {
		return d
	}
	for _, s := range doc.Services {
		d.Services = append(d.Services, Service{
			Name:        s.Name,
			Versions:    strings.Join(s.Versions, ", "),
			Current:     s.Current,
			Slots:       formatNonZero(s.Limits.Slots),
			Connections: formatNonZero(s.Limits.Connections),
			Queue:       formatNonZero(s.Limits.Queue),
			RetryShare:  formatNonZero(s.Limits.RetryShare),
		})
	}
	for _, r := range doc.Routes {
		d.Routes = append(d.Routes, Route{
			Name: r.Name, Prefix: r.Match.Prefix, Method: r.Match.Method, Host: r.Match.Host, Service: r.Service,
			Idempotent: yesNo(r.Idempotent), TimeLimit: time.Duration(r.TimeLimit).String(),
			Caller: string(r.Caller), BodyLimit: formatNonZero(r.BodyLimit),
		})
	}
	for _, r := range doc.Rollouts {
		d.Rollouts = append(d.Rollouts, Rollout{
			Service: r.Service, From: r.From, To: r.To,
			Start: r.Start.Format(time.RFC3339Nano), Deadline: r.Deadline.Format(time.RFC3339Nano),
			FirstShare: formatNumber(r.FirstShare), Steps: formatNumbers(r.Steps), Caution: string(r.Caution),
		})
	}
	return d
}

func formatNonZero[T comparable](v T) string {
	var zero T
	if v == zero {
		return ""
	}
	return fmt.Sprint(v)
}

func yesNo(b bool) string {
	if b {
		return yes
	}
	return no
}

func formatNumber(x float64) string { return strconv.FormatFloat(x, 'f', -1, 64) }

func formatNumbers(xs []float64) string {
	out := make([]string, len(xs))
	for i, x := range xs {
		out[i] = formatNumber(x)
	}
	return strings.Join(out, ", ")
}

// The JSON form of a draft. Numeric values are passed on as typed, so that the
// checks of the document report what is wrong with them.
type (
	documentJSON struct {
		Services []serviceJSON `json:"services"`
		Routes   []routeJSON   `json:"routes"`
		Rollouts []rolloutJSON `json:"rollouts,omitempty"`
	}
	serviceJSON struct {
		Name     string     `json:"name,omitempty"`
		Versions []string   `json:"versions,omitempty"`
		Current  string     `json:"current,omitempty"`
		Limits   limitsJSON `json:"limits,omitzero"`
	}
	limitsJSON struct {
		Slots       typedNumber `json:"slots,omitzero"`
		Connections typedNumber `json:"connections,omitzero"`
		Queue       typedNumber `json:"queue,omitzero"`
		RetryShare  typedNumber `json:"retry_share,omitzero"`
	}
	routeJSON struct {
		Name       string         `json:"name,omitempty"`
		Match      document.Match `json:"match"`
		Service    string         `json:"service,omitempty"`
		Idempotent bool           `json:"idempotent,omitempty"`
		TimeLimit  string         `json:"time_limit,omitempty"`
		Caller     string         `json:"caller,omitempty"`
		BodyLimit  string         `json:"body_limit,omitempty"`
	}
	rolloutJSON struct {
		Service    string        `json:"service,omitempty"`
		From       string        `json:"from,omitempty"`
		To         string        `json:"to,omitempty"`
		Start      string        `json:"start,omitempty"`
		Deadline   string        `json:"deadline,omitempty"`
		FirstShare typedNumber   `json:"first_share,omitzero"`
		Steps      []typedNumber `json:"steps,omitempty"`
		Caution    string        `json:"caution,omitempty"`
	}
)

// typedNumber is the text that an operator typed for a number.
type typedNumber string

// MarshalJSON writes a number, or a string if the text is not a number.
func (t typedNumber) MarshalJSON() ([]byte, error) {
	var n json.Number
	if err := json.Unmarshal([]byte(t), &n); err != nil || strings.HasPrefix(string(t), `"`) {
		return json.Marshal(string(t))
	}
	return []byte(t), nil
}

// Text returns the JSON text of the document.
func (d *Draft) Text() ([]byte, error) {
	out := documentJSON{Services: []serviceJSON{}, Routes: []routeJSON{}}
	for _, s := range d.Services {
		out.Services = append(out.Services, serviceJSON{
			Name: s.Name, Versions: splitList(s.Versions), Current: s.Current,
			Limits: limitsJSON{typedNumber(s.Slots), typedNumber(s.Connections), typedNumber(s.Queue), typedNumber(s.RetryShare)},
		})
	}
	for _, r := range d.Routes {
		out.Routes = append(out.Routes, routeJSON{
			Name: r.Name, Match: document.Match{Prefix: r.Prefix, Method: r.Method, Host: r.Host}, Service: r.Service,
			Idempotent: r.Idempotent == yes, TimeLimit: r.TimeLimit, Caller: r.Caller, BodyLimit: r.BodyLimit,
		})
	}
	for _, r := range d.Rollouts {
		row := rolloutJSON{
			Service: r.Service, From: r.From, To: r.To, Start: r.Start, Deadline: r.Deadline,
			FirstShare: typedNumber(r.FirstShare), Caution: r.Caution,
		}
		for _, step := range splitList(r.Steps) {
			row.Steps = append(row.Steps, typedNumber(step))
		}
		out.Rollouts = append(out.Rollouts, row)
	}
	return json.MarshalIndent(out, "", "  ")
}

// splitList splits a text at commas and drops empty parts.
func splitList(s string) []string {
	var out []string
	for part := range strings.SplitSeq(s, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}
