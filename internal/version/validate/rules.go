package validate

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/version/document"
)

// Limits for the values in a document.
const (
	maxSlots       = 10_000
	maxConnections = 100_000
	maxQueue       = 100_000
	fullShare      = 100.0

	minTimeLimit   = time.Millisecond
	maxTimeLimit   = 10 * time.Minute
	maxBodyLimit   = document.Size(1_000_000_000)
	maxPrefixBytes = 1024

	// minTimePerStep is the shortest time between two steps of a rollout.
	minTimePerStep = 100 * time.Millisecond
	maxSteps       = 100
)

var (
	namePattern    = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)
	versionPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
	hostPattern    = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,252})(:[0-9]{1,5})?$`)
)

var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

var callers = []document.Caller{document.Buyer, document.Clerk, document.Driver, document.Organiser}

var cautions = []document.Caution{"", document.CautionSwift, document.CautionNormal, document.CautionHigh}

func (c *checker) checkName(path, name string) bool {
	if c.reportMissing(path, name) {
		return false
	}
	if !namePattern.MatchString(name) {
		c.addFault(api.DocumentBadName, path, "%q must be up to 63 lower-case letters, digits and hyphens, starting with a letter", name)
		return false
	}
	return true
}

func (c *checker) checkService(i int) {
	s := &c.doc.Services[i]
	path := fmt.Sprintf("services[%d]", i)
	if c.checkName(path+".name", s.Name) {
		c.checkUnique(c.serviceNames, path+".name", "services", s.Name, i)
	}
	if len(s.Versions) == 0 {
		c.addFault(api.DocumentMissingField, path+".versions", "a service needs at least one version")
	}
	for j, v := range s.Versions {
		c.checkVersion(fmt.Sprintf("%s.versions[%d]", path, j), s.Versions[:j], v)
	}
	if !c.reportMissing(path+".current", s.Current) && !slices.Contains(s.Versions, s.Current) {
		c.addFault(api.DocumentNoVersion, path+".current", "the service has no version %q", s.Current)
	}
	checkRange(c, path+".limits.slots", s.Limits.Slots, 0, maxSlots)
	checkRange(c, path+".limits.connections", s.Limits.Connections, 0, maxConnections)
	checkRange(c, path+".limits.queue", s.Limits.Queue, 0, maxQueue)
	checkRange(c, path+".limits.retry_share", s.Limits.RetryShare, 0, fullShare)
}

func (c *checker) checkVersion(path string, before []string, v string) {
	switch {
	case c.reportMissing(path, v):
	case !versionPattern.MatchString(v):
		c.addFault(api.DocumentBadName, path, "%q must be up to 64 letters, digits, dots, hyphens and underscores", v)
	case slices.Contains(before, v):
		c.addFault(api.DocumentDuplicate, path, "the service lists %q twice", v)
	}
}

func (c *checker) checkRoute(i int) {
	r := &c.doc.Routes[i]
	path := fmt.Sprintf("routes[%d]", i)
	if c.checkName(path+".name", r.Name) {
		c.checkUnique(c.routeNames, path+".name", "routes", r.Name, i)
	}
	c.checkMatch(path+".match", r.Match, i)
	if !c.reportMissing(path+".service", r.Service) && c.services[r.Service] == nil {
		c.addFault(api.DocumentNoService, path+".service", "no service is named %q", r.Service)
	}
	c.checkTimeLimit(path+".time_limit", time.Duration(r.TimeLimit))
	if !c.reportMissing(path+".caller", string(r.Caller)) && !slices.Contains(callers, r.Caller) {
		c.addFault(api.DocumentBadCaller, path+".caller", "%q is not one of buyer, clerk, driver and organiser", string(r.Caller))
	}
	if r.BodyLimit < 0 || r.BodyLimit > maxBodyLimit {
		c.addFault(api.DocumentOutOfRange, path+".body_limit", "%s is not from 0B to %s", r.BodyLimit, maxBodyLimit)
	}
}

func (c *checker) checkTimeLimit(path string, limit time.Duration) {
	switch {
	case limit == 0:
		c.addFault(api.DocumentMissingField, path, "the field is required")
	case limit < minTimeLimit || limit > maxTimeLimit:
		c.addFault(api.DocumentOutOfRange, path, "%v is not from %v to %v", limit, minTimeLimit, maxTimeLimit)
	}
}

func (c *checker) checkMatch(path string, m document.Match, i int) {
	switch {
	case c.reportMissing(path+".prefix", m.Prefix):
	case !strings.HasPrefix(m.Prefix, "/") || strings.ContainsAny(m.Prefix, "?# \t\r\n"):
		c.addFault(api.DocumentBadName, path+".prefix", "%q must be a path that starts with a slash", m.Prefix)
	case len(m.Prefix) > maxPrefixBytes:
		c.addFault(api.DocumentOutOfRange, path+".prefix", "the prefix is longer than %d bytes", maxPrefixBytes)
	}
	if m.Method != "" && !slices.Contains(methods, m.Method) {
		c.addFault(api.DocumentBadName, path+".method", "%q is not one of %s", m.Method, strings.Join(methods, ", "))
	}
	if m.Host != "" && !hostPattern.MatchString(m.Host) {
		c.addFault(api.DocumentBadName, path+".host", "%q is not a host name in lower case", m.Host)
	}
	if m.Prefix == "" {
		return
	}
	if first, ok := c.matches[m]; ok {
		c.addFault(api.DocumentSameMatch, path, "routes[%d] matches the same requests", first)
		return
	}
	c.matches[m] = i
}

func (c *checker) checkRollout(i int) {
	r := &c.doc.Rollouts[i]
	path := fmt.Sprintf("rollouts[%d]", i)
	c.checkRolloutVersions(path, r, i)
	c.checkRolloutTimes(path, r)
	c.checkRolloutShares(path, r)
	if !slices.Contains(cautions, r.Caution) {
		c.addFault(api.DocumentOutOfRange, path+".caution", "%q is not one of swift, normal and high", string(r.Caution))
	}
}

func (c *checker) checkRolloutVersions(path string, r *document.Rollout, i int) {
	fromMissing := c.reportMissing(path+".from", r.From)
	toMissing := c.reportMissing(path+".to", r.To)
	if c.reportMissing(path+".service", r.Service) {
		return
	}
	s := c.services[r.Service]
	if s == nil {
		c.addFault(api.DocumentNoService, path+".service", "no service is named %q", r.Service)
		return
	}
	if first, ok := c.rolloutServices[r.Service]; ok {
		c.addFault(api.DocumentRolloutClash, path+".service", "rollouts[%d] moves the same service", first)
	} else {
		c.rolloutServices[r.Service] = i
	}
	switch {
	case fromMissing:
	case !slices.Contains(s.Versions, r.From):
		c.addFault(api.DocumentNoVersion, path+".from", "service %q has no version %q", r.Service, r.From)
	case r.From != s.Current:
		c.addFault(api.DocumentRolloutClash, path+".from", "the current version of service %q is %q", r.Service, s.Current)
	}
	switch {
	case toMissing:
	case !slices.Contains(s.Versions, r.To):
		c.addFault(api.DocumentNoVersion, path+".to", "service %q has no version %q", r.Service, r.To)
	case r.To == r.From:
		c.addFault(api.DocumentDuplicate, path+".to", "the rollout is from %q to the same version", r.To)
	}
}

func (c *checker) checkRolloutTimes(path string, r *document.Rollout) {
	if r.Start.IsZero() {
		c.addFault(api.DocumentMissingField, path+".start", "the field is required")
	}
	if r.Deadline.IsZero() {
		c.addFault(api.DocumentMissingField, path+".deadline", "the field is required")
	}
	if r.Start.IsZero() || r.Deadline.IsZero() {
		return
	}
	span := r.Deadline.Sub(r.Start)
	switch minSpan := minTimePerStep * time.Duration(len(r.Steps)+1); {
	case span <= 0:
		c.addFault(api.DocumentBadDeadline, path+".deadline", "the deadline is not after the start")
	case span < minSpan:
		c.addFault(api.DocumentBadDeadline, path+".deadline", "the deadline leaves %v, and %d steps need %v", span, len(r.Steps), minSpan)
	}
}

// checkRolloutShares checks that the shares rise to 100. A missing first share
// is 0 and refused, since no step could be taken from it.
func (c *checker) checkRolloutShares(path string, r *document.Rollout) {
	if r.FirstShare <= 0 || r.FirstShare > fullShare {
		c.addFault(api.DocumentBadShare, path+".first_share", "%v is not above 0 and at most 100", r.FirstShare)
	}
	if len(r.Steps) > maxSteps {
		c.addFault(api.DocumentOutOfRange, path+".steps", "the rollout has more than %d steps", maxSteps)
	}
	before := r.FirstShare
	for i, share := range r.Steps {
		stepPath := fmt.Sprintf("%s.steps[%d]", path, i)
		switch {
		case share <= 0 || share > fullShare:
			c.addFault(api.DocumentBadShare, stepPath, "%v is not above 0 and at most 100", share)
		case share <= before:
			c.addFault(api.DocumentBadShare, stepPath, "%v is not above the previous share, %v", share, before)
		case i == len(r.Steps)-1 && share != fullShare:
			c.addFault(api.DocumentBadShare, stepPath, "the last step is %v, not 100", share)
		}
		before = share
	}
}
