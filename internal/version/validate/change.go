package validate

import (
	"fmt"
	"slices"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/version/document"
)

// Change returns every fault of replacing inForce, which may be nil, by doc,
// cut at document.MaxFaults. ended tells whether the move of a service that
// runs under inForce has ended; nil means that none has.
//
// A running move keeps its service and both versions until it has ended or a
// document without its rollout was accepted, since their upstreams still hold
// calls. And the current version of a service changes only to the target of a
// rollout that has ended: any other change would send a version all calls at
// once, with nothing known of it.
func Change(inForce, doc *document.Document, ended func(service string) bool) []api.Fault {
	if inForce == nil {
		return nil
	}
	if ended == nil {
		ended = func(string) bool { return false }
	}
	c := newChecker(doc)
	for i := range inForce.Rollouts {
		if r := &inForce.Rollouts[i]; !ended(r.Service) {
			c.keepsMove(r)
		}
	}
	for i := range inForce.Services {
		c.noJump(inForce, &inForce.Services[i], ended)
	}
	return document.Cut(c.faults)
}

// indexOf finds a service of the checked document; -1 where there is none.
func (c *checker) indexOf(service string) int {
	return slices.IndexFunc(c.doc.Services, func(s document.Service) bool { return s.Name == service })
}

// keepsMove notes what the running move r needs and the document lacks.
func (c *checker) keepsMove(r *document.Rollout) {
	i := c.indexOf(r.Service)
	if i < 0 {
		c.note(api.DocumentServiceInUse, "services", "service %q is removed while it moves from %q to %q", r.Service, r.From, r.To)
		return
	}
	for _, v := range []string{r.From, r.To} {
		if !slices.Contains(c.doc.Services[i].Versions, v) {
			path := fmt.Sprintf("services[%d].versions", i)
			c.note(api.DocumentServiceInUse, path, "version %q is removed while the service moves from %q to %q", v, r.From, r.To)
		}
	}
}

// noJump notes a change of a service's current version that no ended rollout
// leads to.
func (c *checker) noJump(inForce *document.Document, old *document.Service, ended func(string) bool) {
	i := c.indexOf(old.Name)
	if i < 0 || c.doc.Services[i].Current == old.Current {
		return
	}
	current := c.doc.Services[i].Current
	for j := range inForce.Rollouts {
		if r := &inForce.Rollouts[j]; r.Service == old.Name && r.To == current && ended(r.Service) {
			return
		}
	}
	path := fmt.Sprintf("services[%d].current", i)
	c.note(api.DocumentJump, path, "calls go to %q; a rollout must lead to %q first", old.Current, current)
}
