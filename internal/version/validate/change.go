package validate

import (
	"fmt"
	"slices"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/version/document"
)

// RolloutStatus gives the status of the rollouts of the configuration in force.
// A nil function reports false for every service.
type RolloutStatus struct {
	// Ended reports whether the rollout of a service is done or withdrawn.
	Ended func(service string) bool
	// Done reports whether the rollout of a service is done.
	Done func(service string) bool
	// Now is the time at which the document would come into force. With the
	// zero time, the deadlines of new rollouts are not checked.
	Now time.Time
}

// callIfSet returns the result of fn, or false if it is nil.
func callIfSet(fn func(string) bool, service string) bool {
	return fn != nil && fn(service)
}

// Change returns the faults of replacing inForce, which may be nil, by doc,
// truncated to document.MaxFaults. A new rollout needs a deadline in the
// future: one in the past would rush through all its steps.
//
// A service and both of its versions must be kept while a rollout is running,
// until it has ended or a document without it was accepted, since their
// upstreams still have calls. The current version of a service may change only
// to the target of a completed rollout: any other change would send all calls
// at once to a version that is untested or known to be bad.
func Change(inForce, doc *document.Document, status RolloutStatus) []api.Fault {
	c := newChecker(doc)
	if inForce == nil {
		inForce = &document.Document{}
	}
	if !status.Now.IsZero() {
		c.checkDeadlines(inForce, status.Now)
	}
	for i := range inForce.Rollouts {
		if r := &inForce.Rollouts[i]; !callIfSet(status.Ended, r.Service) {
			c.checkRunningRollout(r)
		}
	}
	for i := range inForce.Services {
		c.checkCurrentVersion(inForce, &inForce.Services[i], status)
	}
	return document.TruncateFaults(c.faults)
}

// checkDeadlines adds a fault for each new rollout whose deadline has passed.
func (c *checker) checkDeadlines(inForce *document.Document, now time.Time) {
	for i, r := range c.doc.Rollouts {
		if !r.Deadline.After(now) && !slices.ContainsFunc(inForce.Rollouts, r.Equal) {
			path := fmt.Sprintf("rollouts[%d].deadline", i)
			c.addFault(api.DocumentBadDeadline, path, "the deadline of a new rollout has passed")
		}
	}
}

// indexOf returns the index of a service in the document, or -1.
func (c *checker) indexOf(service string) int {
	return slices.IndexFunc(c.doc.Services, func(s document.Service) bool { return s.Name == service })
}

// checkRunningRollout adds a fault for each part of the running rollout r that
// the document lacks.
func (c *checker) checkRunningRollout(r *document.Rollout) {
	i := c.indexOf(r.Service)
	if i < 0 {
		c.addFault(api.DocumentServiceInUse, "services", "service %q is removed while its rollout from %q to %q is running", r.Service, r.From, r.To)
		return
	}
	for _, v := range []string{r.From, r.To} {
		if !slices.Contains(c.doc.Services[i].Versions, v) {
			path := fmt.Sprintf("services[%d].versions", i)
			c.addFault(api.DocumentServiceInUse, path, "version %q is removed while the rollout from %q to %q is running", v, r.From, r.To)
		}
	}
}

// checkCurrentVersion adds a fault if a service's current version changes
// without a completed rollout.
func (c *checker) checkCurrentVersion(inForce *document.Document, old *document.Service, status RolloutStatus) {
	i := c.indexOf(old.Name)
	if i < 0 || c.doc.Services[i].Current == old.Current {
		return
	}
	current := c.doc.Services[i].Current
	for j := range inForce.Rollouts {
		if r := &inForce.Rollouts[j]; r.Service == old.Name && r.To == current && callIfSet(status.Done, r.Service) {
			return
		}
	}
	path := fmt.Sprintf("services[%d].current", i)
	c.addFault(api.DocumentJump, path, "the current version is %q; it can become %q only by a completed rollout", old.Current, current)
}
