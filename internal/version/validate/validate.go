// Package validate checks the contents of a decoded document, by itself and
// against the configuration in force. Its faults carry paths and codes; package
// document adds the line numbers.
package validate

import (
	"fmt"
	"slices"
	"sort"
	"strings"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/version/document"
)

// Text decodes a document and validates it by itself and against inForce, which
// may be nil. Faults carry line numbers.
func Text(text []byte, inForce *document.Document, status RolloutStatus) (*document.Document, []api.Fault) {
	doc, faults, whole := document.DecodePartial(text)
	switch {
	case len(faults) > 0 && whole:
		faults = append(faults, independentFaults(faults, Document(doc))...)
	case len(faults) == 0:
		faults = Document(doc)
	}
	if len(faults) == 0 {
		faults = Change(inForce, doc, status)
	}
	if len(faults) > 0 {
		document.SetLines(text, faults)
		sort.SliceStable(faults, func(i, j int) bool { return faults[i].Line < faults[j].Line })
		return nil, document.TruncateFaults(faults)
	}
	return doc, nil
}

// independentFaults drops faults of validation that follow from faults of
// decoding: a value that could not be decoded must not be reported as missing,
// nor as unknown where others refer to it.
func independentFaults(decodeFaults, contentFaults []api.Fault) []api.Fault {
	var undecoded []string
	servicesDecoded := true
	for _, r := range decodeFaults {
		if r.Code == api.DocumentUnknownField || r.Code == api.DocumentDuplicate {
			continue
		}
		undecoded = append(undecoded, r.Path)
		namesDecoded := strings.Contains(r.Path, ".limits") || !isWithin(r.Path, "services")
		servicesDecoded = servicesDecoded && namesDecoded
	}
	var out []api.Fault
	for _, f := range contentFaults {
		refersToService := f.Code == api.DocumentNoService || f.Code == api.DocumentNoVersion || f.Code == api.DocumentRolloutClash
		if refersToService && !servicesDecoded {
			continue
		}
		follows := func(path string) bool { return isWithin(f.Path, path) || isWithin(path, f.Path) }
		if !slices.ContainsFunc(undecoded, follows) {
			out = append(out, f)
		}
	}
	return out
}

// isWithin reports whether path is outer or inside it.
func isWithin(path, outer string) bool {
	rest, ok := strings.CutPrefix(path, outer)
	return ok && (outer == "" || rest == "" || rest[0] == '.' || rest[0] == '[')
}

// NewError returns the error for a document's faults. It has the code of the
// first fault.
func NewError(faults []api.Fault) *api.Error {
	what := "1 fault"
	if len(faults) > 1 {
		what = fmt.Sprintf("%d faults", len(faults))
	}
	err := api.Errorf(faults[0].Code, "the document has %s", what)
	err.Faults = faults
	return err
}

// Document returns the faults of doc by itself, truncated to
// document.MaxFaults.
func Document(doc *document.Document) []api.Fault {
	c := newChecker(doc)
	for i := range doc.Services {
		c.checkService(i)
	}
	for i := range doc.Routes {
		c.checkRoute(i)
	}
	for i := range doc.Rollouts {
		c.checkRollout(i)
	}
	return document.TruncateFaults(c.faults)
}

// checker collects the faults of a document.
type checker struct {
	doc      *document.Document
	services map[string]*document.Service
	// The maps give the index of the first item with a name, match or service.
	serviceNames    map[string]int
	routeNames      map[string]int
	matches         map[document.Match]int
	rolloutServices map[string]int
	faults          []api.Fault
}

func newChecker(doc *document.Document) *checker {
	c := &checker{
		doc:             doc,
		services:        map[string]*document.Service{},
		serviceNames:    map[string]int{},
		routeNames:      map[string]int{},
		matches:         map[document.Match]int{},
		rolloutServices: map[string]int{},
	}
	for i := range doc.Services {
		c.services[doc.Services[i].Name] = &doc.Services[i]
	}
	return c
}

func (c *checker) addFault(code api.Code, path, format string, args ...any) {
	c.faults = append(c.faults, api.Fault{Code: code, Path: path, Message: fmt.Sprintf(format, args...)})
}

// reportMissing adds a fault if a required value is empty, and reports whether
// it did.
func (c *checker) reportMissing(path, value string) bool {
	if value != "" {
		return false
	}
	c.addFault(api.DocumentMissingField, path, "the field is required")
	return true
}

// checkUnique adds a fault for a name that is already in use.
func (c *checker) checkUnique(names map[string]int, path, list, name string, i int) {
	if first, ok := names[name]; ok {
		c.addFault(api.DocumentDuplicate, path, "%q is also the name of %s[%d]", name, list, first)
		return
	}
	names[name] = i
}

// checkRange adds a fault for a number outside low to high.
func checkRange[N int | float64](c *checker, path string, n, low, high N) {
	if n < low || n > high {
		c.addFault(api.DocumentOutOfRange, path, "%v is not from %v to %v", n, low, high)
	}
}
