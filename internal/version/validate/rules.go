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

// Ranges of what a document may say.
const (
	maxSlots       = 10_000
	maxConnections = 100_000
	maxQueue       = 100_000
	wholeShare     = 100.0

	minTimeLimit = time.Millisecond
	maxTimeLimit = 10 * time.Minute
	maxBodyLimit = document.Size(1_000_000_000)
	maxPrefix    = 1024

	// minStepTime is the least time between two shares of a rollout.
	minStepTime = 100 * time.Millisecond
	maxSteps    = 100
)

var (
	namePattern    = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)
	versionPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
	hostPattern    = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,252})(:[0-9]{1,5})?$`)
)

var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

var callers = []document.Caller{document.Buyer, document.Clerk, document.Driver, document.Organiser}

var cautions = []document.Caution{"", document.CautionSwift, document.CautionNormal, document.CautionHigh}

func (c *checker) name(path, name string) bool {
	if c.missing(path, name) {
		return false
	}
	if !namePattern.MatchString(name) {
		c.note(api.DocumentBadName, path, "%q must be up to 63 lower-case letters, digits and hyphens, a letter first", name)
		return false
	}
	return true
}

func (c *checker) service(i int) {
	s := &c.doc.Services[i]
	path := fmt.Sprintf("services[%d]", i)
	if c.name(path+".name", s.Name) {
		c.unique(c.serviceNames, path+".name", "services", s.Name, i)
	}
	if len(s.Versions) == 0 {
		c.note(api.DocumentMissingField, path+".versions", "a service needs at least one version")
	}
	for j, v := range s.Versions {
		c.version(fmt.Sprintf("%s.versions[%d]", path, j), s.Versions[:j], v)
	}
	if !c.missing(path+".current", s.Current) && !slices.Contains(s.Versions, s.Current) {
		c.note(api.DocumentNoVersion, path+".current", "the service has no version %q", s.Current)
	}
	inRange(c, path+".limits.slots", s.Limits.Slots, 0, maxSlots)
	inRange(c, path+".limits.connections", s.Limits.Connections, 0, maxConnections)
	inRange(c, path+".limits.queue", s.Limits.Queue, 0, maxQueue)
	inRange(c, path+".limits.retry_share", s.Limits.RetryShare, 0, wholeShare)
}

func (c *checker) version(path string, before []string, v string) {
	switch {
	case c.missing(path, v):
	case !versionPattern.MatchString(v):
		c.note(api.DocumentBadName, path, "%q must be up to 64 letters, digits, dots, hyphens and underscores", v)
	case slices.Contains(before, v):
		c.note(api.DocumentDuplicate, path, "the service lists %q twice", v)
	}
}

func (c *checker) route(i int) {
	r := &c.doc.Routes[i]
	path := fmt.Sprintf("routes[%d]", i)
	if c.name(path+".name", r.Name) {
		c.unique(c.routeNames, path+".name", "routes", r.Name, i)
	}
	c.match(path+".match", r.Match, i)
	if !c.missing(path+".service", r.Service) && c.services[r.Service] == nil {
		c.note(api.DocumentNoService, path+".service", "no service is named %q", r.Service)
	}
	c.timeLimit(path+".time_limit", time.Duration(r.TimeLimit))
	if !c.missing(path+".caller", string(r.Caller)) && !slices.Contains(callers, r.Caller) {
		c.note(api.DocumentBadCaller, path+".caller", "%q is not one of buyer, clerk, driver and organiser", string(r.Caller))
	}
	if r.BodyLimit < 0 || r.BodyLimit > maxBodyLimit {
		c.note(api.DocumentOutOfRange, path+".body_limit", "%s is not from 0B to %s", r.BodyLimit, maxBodyLimit)
	}
}

func (c *checker) timeLimit(path string, limit time.Duration) {
	switch {
	case limit == 0:
		c.note(api.DocumentMissingField, path, "the field is required")
	case limit < minTimeLimit || limit > maxTimeLimit:
		c.note(api.DocumentOutOfRange, path, "%v is not from %v to %v", limit, minTimeLimit, maxTimeLimit)
	}
}

func (c *checker) match(path string, m document.Match, i int) {
	switch {
	case c.missing(path+".prefix", m.Prefix):
	case !strings.HasPrefix(m.Prefix, "/") || strings.ContainsAny(m.Prefix, "?# \t\r\n"):
		c.note(api.DocumentBadName, path+".prefix", "%q must be a path that starts with a slash", m.Prefix)
	case len(m.Prefix) > maxPrefix:
		c.note(api.DocumentOutOfRange, path+".prefix", "the prefix is over %d bytes", maxPrefix)
	}
	if m.Method != "" && !slices.Contains(methods, m.Method) {
		c.note(api.DocumentBadName, path+".method", "%q is not one of %s", m.Method, strings.Join(methods, ", "))
	}
	if m.Host != "" && !hostPattern.MatchString(m.Host) {
		c.note(api.DocumentBadName, path+".host", "%q is not a host name in lower case", m.Host)
	}
	if m.Prefix == "" {
		return
	}
	if first, ok := c.matches[m]; ok {
		c.note(api.DocumentSameMatch, path, "routes[%d] matches the same requests", first)
		return
	}
	c.matches[m] = i
}

func (c *checker) rollout(i int) {
	r := &c.doc.Rollouts[i]
	path := fmt.Sprintf("rollouts[%d]", i)
	c.rolloutVersions(path, r, i)
	c.rolloutTimes(path, r)
	c.rolloutShares(path, r)
	if !slices.Contains(cautions, r.Caution) {
		c.note(api.DocumentOutOfRange, path+".caution", "%q is not one of swift, normal and high", string(r.Caution))
	}
}

func (c *checker) rolloutVersions(path string, r *document.Rollout, i int) {
	fromMissing := c.missing(path+".from", r.From)
	toMissing := c.missing(path+".to", r.To)
	if c.missing(path+".service", r.Service) {
		return
	}
	s := c.services[r.Service]
	if s == nil {
		c.note(api.DocumentNoService, path+".service", "no service is named %q", r.Service)
		return
	}
	if first, ok := c.moved[r.Service]; ok {
		c.note(api.DocumentRolloutClash, path+".service", "rollouts[%d] moves the same service", first)
	} else {
		c.moved[r.Service] = i
	}
	switch {
	case fromMissing:
	case !slices.Contains(s.Versions, r.From):
		c.note(api.DocumentNoVersion, path+".from", "service %q has no version %q", r.Service, r.From)
	case r.From != s.Current:
		c.note(api.DocumentRolloutClash, path+".from", "the current version of service %q is %q", r.Service, s.Current)
	}
	switch {
	case toMissing:
	case !slices.Contains(s.Versions, r.To):
		c.note(api.DocumentNoVersion, path+".to", "service %q has no version %q", r.Service, r.To)
	case r.To == r.From:
		c.note(api.DocumentDuplicate, path+".to", "the rollout moves %q to itself", r.To)
	}
}

func (c *checker) rolloutTimes(path string, r *document.Rollout) {
	if r.Start.IsZero() {
		c.note(api.DocumentMissingField, path+".start", "the field is required")
	}
	if r.Deadline.IsZero() {
		c.note(api.DocumentMissingField, path+".deadline", "the field is required")
	}
	if r.Start.IsZero() || r.Deadline.IsZero() {
		return
	}
	span := r.Deadline.Sub(r.Start)
	switch least := minStepTime * time.Duration(len(r.Steps)+1); {
	case span <= 0:
		c.note(api.DocumentBadDeadline, path+".deadline", "the deadline is not after the start")
	case span < least:
		c.note(api.DocumentBadDeadline, path+".deadline", "the deadline leaves %v, and %d steps need %v", span, len(r.Steps), least)
	}
}

// rolloutShares checks that the shares rise to 100. An absent first share is 0
// and refused, since no step could be taken from it.
func (c *checker) rolloutShares(path string, r *document.Rollout) {
	if r.FirstShare <= 0 || r.FirstShare > wholeShare {
		c.note(api.DocumentBadShare, path+".first_share", "%v is not above 0 and at most 100", r.FirstShare)
	}
	if len(r.Steps) > maxSteps {
		c.note(api.DocumentOutOfRange, path+".steps", "the rollout has over %d steps", maxSteps)
	}
	before := r.FirstShare
	for i, share := range r.Steps {
		place := fmt.Sprintf("%s.steps[%d]", path, i)
		switch {
		case share <= 0 || share > wholeShare:
			c.note(api.DocumentBadShare, place, "%v is not above 0 and at most 100", share)
		case share <= before:
			c.note(api.DocumentBadShare, place, "%v is not above the share before it, %v", share, before)
		case i == len(r.Steps)-1 && share != wholeShare:
			c.note(api.DocumentBadShare, place, "the last step is %v, not 100", share)
		}
		before = share
	}
}
