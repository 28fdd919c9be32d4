package validate

import (
	"fmt"
	"slices"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/version/document"
)

// RolloutStatus tells how the moves stand that the configuration in force began. A nil
// function answers no for every service.
type RolloutStatus struct {
	// Ended tells whether the move of a service is done or taken back.
	Ended func(service string) bool
	// Done tells whether it is done.
	Done func(service string) bool
	// Now is when the document is to come into force; the zero time leaves
	// the deadlines of new rollouts unchecked.
	Now time.Time
}

// asked answers by fn, no where it is nil.
func callIfSet(fn func(string) bool, service string) bool {
	return fn != nil && fn(service)
}

// Change returns every fault of replacing inForce, which may be nil, by doc,
// cut at document.MaxFaults. A new rollout needs a deadline that lies ahead: one
// in the past would hurry through all its steps.
//
// A running move keeps its service and both versions until it has ended or a
// document without its rollout was accepted, since their upstreams still hold
// calls. And the current version of a service changes only to the target of a
// rollout that is done: any other change would send all calls at once to a
// version of which nothing is known, or nothing good.
func Change(inForce, doc *document.Document, moves RolloutStatus) []api.Fault {
	c := newChecker(doc)
	if inForce == nil {
		inForce = &document.Document{}
	}
	if !moves.Now.IsZero() {
		c.checkDeadlines(inForce, moves.Now)
	}
	for i := range inForce.Rollouts {
		if r := &inForce.Rollouts[i]; !callIfSet(moves.Ended, r.Service) {
			c.checkRunningRollout(r)
		}
	}
	for i := range inForce.Services {
		c.checkCurrentVersion(inForce, &inForce.Services[i], moves)
	}
	return document.TruncateFaults(c.faults)
}

// deadlinesAhead notes the rollouts that are not in force yet and whose
// deadline has passed.
func (c *checker) checkDeadlines(inForce *document.Document, now time.Time) {
	for i, r := range c.doc.Rollouts {
		if !r.Deadline.After(now) && !slices.ContainsFunc(inForce.Rollouts, r.Equal) {
			path := fmt.Sprintf("rollouts[%d].deadline", i)
			c.addFault(api.DocumentBadDeadline, path, "the deadline has passed, and the rollout is new")
		}
	}
}

// indexOf finds a service of the checked document; -1 where there is none.
func (c *checker) indexOf(service string) int {
	return slices.IndexFunc(c.doc.Services, func(s document.Service) bool { return s.Name == service })
}

// keepsMove notes what the running move r needs and the document lacks.
func (c *checker) checkRunningRollout(r *document.Rollout) {
	i := c.indexOf(r.Service)
	if i < 0 {
		c.addFault(api.DocumentServiceInUse, "services", "service %q is removed while it moves from %q to %q", r.Service, r.From, r.To)
		return
	}
	for _, v := range []string{r.From, r.To} {
		if !slices.Contains(c.doc.Services[i].Versions, v) {
			path := fmt.Sprintf("services[%d].versions", i)
			c.addFault(api.DocumentServiceInUse, path, "version %q is removed while the service moves from %q to %q", v, r.From, r.To)
		}
	}
}

// noJump notes a change of a service's current version that no completed
// rollout leads to.
func (c *checker) checkCurrentVersion(inForce *document.Document, old *document.Service, moves RolloutStatus) {
	i := c.indexOf(old.Name)
	if i < 0 || c.doc.Services[i].Current == old.Current {
		return
	}
	current := c.doc.Services[i].Current
	for j := range inForce.Rollouts {
		if r := &inForce.Rollouts[j]; r.Service == old.Name && r.To == current && callIfSet(moves.Done, r.Service) {
			return
		}
	}
	path := fmt.Sprintf("services[%d].current", i)
	c.addFault(api.DocumentJump, path, "calls go to %q; a rollout to %q must be done first", old.Current, current)
}
