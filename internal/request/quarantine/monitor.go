package quarantine

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/request/call"
)

const logPrefix = "quarantine: "

// Upper bounds of the wait for admission.
const (
	exclusiveMaxWait = 2 * time.Second
	// sharedMaxWait is short because another gate may accept the request at once.
	sharedMaxWait = 50 * time.Millisecond
	// A request waits at most its time left divided by waitDivisor.
	waitDivisor = 2
)

// CrashMonitor tracks the requests that run at one upstream and detects its
// crashes.
type CrashMonitor struct {
	Events *EventSet
	// Reachable reports whether the upstream accepts connections.
	Reachable func() bool
	// Broadcast sends an event to the other gates of its service and publishes it
	// to the gossip. It returns when those gates have it or its timeout expires.
	Broadcast func(Event)
	// Metrics may be nil.
	Metrics *expvar.Map

	admission admissionLock

	mu      sync.Mutex
	running map[*trackedRequest]struct{}
	// announcements counts the upstream's announcements.
	announcements int
	// upstreamDown is set from a crash until the upstream answers or announces
	// itself again. Connections lost in between belong to the same crash.
	upstreamDown bool
}

// trackedRequest is a request that runs at the upstream.
type trackedRequest struct {
	requestSummary
	service        string
	connectionLost bool
	// investigation is the one that covers this request, nil if there is none.
	investigation *investigation
}

// investigation examines one suspected crash. done is closed when it has ended
// and, after a crash, the other gates have been notified.
type investigation struct {
	requests      []*trackedRequest
	announcements int
	done          chan struct{}
}

// NewCrashMonitor returns a monitor without running requests.
func NewCrashMonitor(events *EventSet, reachable func() bool, broadcast func(Event)) *CrashMonitor {
	return &CrashMonitor{Events: events, Reachable: reachable, Broadcast: broadcast, running: map[*trackedRequest]struct{}{}}
}

// UpstreamAnnounced records that the upstream has announced itself.
func (m *CrashMonitor) UpstreamAnnounced() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.announcements++
	m.upstreamDown = false
}

// Middleware implements call.Middleware at the gate.
func (m *CrashMonitor) Middleware(next call.Handler) call.Handler {
	return func(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call.Call) call.Result {
		summary, err := summarize(r)
		if err != nil {
			return call.Refuse(api.CallBody, err)
		}
		req := &trackedRequest{requestSummary: summary, service: c.Service}
		verdict, crashes := m.verdictOf(req)
		if verdict == Quarantined {
			return m.refuse()
		}
		exclusive := verdict == Suspect
		if !m.admission.acquire(ctx, exclusive, maxWait(exclusive, c.TimeLeft(time.Now()))) {
			return call.Refuse(api.CallShed, nil)
		}
		defer m.admission.release(exclusive)
		// The request may have crashed another upstream during the wait.
		if verdict, _ := m.verdictOf(req); verdict == Quarantined {
			return m.refuse()
		}
		res := m.track(req, func() call.Result { return next(ctx, w, r, c) })
		if exclusive && res.Code == api.OK {
			m.publishClearance(c.Service, req.fingerprint(), crashes)
		}
		return res
	}
}

// verdictOf returns the verdict on a request and the crashes it is suspected of.
func (m *CrashMonitor) verdictOf(req *trackedRequest) (Verdict, []uint64) {
	if !m.Events.HasSuspects(req.service) {
		return Unsuspected, nil
	}
	return m.Events.Lookup(req.service, req.fingerprint())
}

func (m *CrashMonitor) refuse() call.Result {
	m.count("refused")
	return call.Refuse(api.CallQuarantined, nil)
}

func maxWait(exclusive bool, timeLeft time.Duration) time.Duration {
	if exclusive {
		return min(exclusiveMaxWait, timeLeft/waitDivisor)
	}
	return min(sharedMaxWait, timeLeft/waitDivisor)
}

// track runs a request and starts an investigation if its connection was lost.
func (m *CrashMonitor) track(req *trackedRequest, handle func() call.Result) call.Result {
	m.mu.Lock()
	m.running[req] = struct{}{}
	m.mu.Unlock()
	res := handle()
	lost := res.Code == api.CallCut || res.Code == api.CallShortAnswer
	m.mu.Lock()
	delete(m.running, req)
	req.connectionLost = lost
	if res.Code == api.OK {
		m.upstreamDown = false
	}
	if lost && req.investigation == nil {
		m.investigate(req)
	}
	inv := req.investigation
	m.mu.Unlock()
	if lost {
		<-inv.done
	}
	return res
}

// investigate starts an investigation of a lost connection, which also covers the
// running requests that are not under investigation yet. The caller holds mu.
func (m *CrashMonitor) investigate(req *trackedRequest) {
	inv := &investigation{requests: []*trackedRequest{req}, announcements: m.announcements, done: make(chan struct{})}
	req.investigation = inv
	for other := range m.running {
		if other.investigation == nil {
			other.investigation = inv
			inv.requests = append(inv.requests, other)
		}
	}
	go m.conclude(inv)
}

// conclude ends an investigation and notifies the other gates of a crash.
func (m *CrashMonitor) conclude(inv *investigation) {
	defer close(inv.done)
	evidence := CrashEvidence{Reachable: m.Reachable(), RequestsRunning: len(inv.requests)}
	if evidence.Reachable && evidence.RequestsRunning > 1 {
		time.Sleep(settleTime)
	}
	m.mu.Lock()
	evidence.Reannounced = m.announcements != inv.announcements
	for _, req := range inv.requests {
		if req.connectionLost {
			evidence.ConnectionsLost++
		}
	}
	knownCrash := m.upstreamDown && !evidence.Reachable
	crashed := IsCrash(evidence)
	m.upstreamDown = crashed
	m.mu.Unlock()
	if knownCrash || !crashed {
		m.release(inv)
		return
	}
	m.count("crashes")
	event := m.newCrashEvent(inv, time.Now())
	klog.Warningf(logPrefix+"the upstream of service %q crashed with %d requests running; %d of them were suspect before", event.Service, len(event.Fingerprints), len(event.RepeatSuspects))
	m.Events.Add(event)
	m.Broadcast(event)
}

// release makes the requests that are still running available to other
// investigations.
func (m *CrashMonitor) release(inv *investigation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for req := range m.running {
		if req.investigation == inv {
			req.investigation = nil
		}
	}
}

// newCrashEvent returns the event for a crash.
func (m *CrashMonitor) newCrashEvent(inv *investigation, now time.Time) Event {
	event := Event{ID: rand.Uint64(), Service: inv.requests[0].service, ExpiresUnix: now.Add(SuspectTTL).Unix()}
	for _, req := range inv.requests[:min(len(inv.requests), maxFingerprints)] {
		fingerprint := req.fingerprint()
		event.Fingerprints = append(event.Fingerprints, fingerprint)
		if verdict, _ := m.Events.Lookup(event.Service, fingerprint); verdict != Unsuspected {
			event.RepeatSuspects = append(event.RepeatSuspects, fingerprint)
			event.ExpiresUnix = now.Add(QuarantineTTL).Unix()
		}
	}
	return event
}

// publishClearance publishes that a suspect ran alone without a crash.
func (m *CrashMonitor) publishClearance(service string, fingerprint Fingerprint, crashes []uint64) {
	m.count("cleared")
	event := Event{ID: rand.Uint64(), Service: service, Cleared: fingerprint, ClearedCrashes: crashes, ExpiresUnix: time.Now().Add(SuspectTTL).Unix()}
	m.Events.Add(event)
	m.Broadcast(event)
}

func (m *CrashMonitor) count(name string) {
	if m.Metrics != nil {
		m.Metrics.Add(name, 1)
	}
}

// EntryMiddleware returns the entry's middleware, which rejects the requests that
// every gate of the service would reject.
func EntryMiddleware(events *EventSet) call.Middleware {
	return func(next call.Handler) call.Handler {
		return func(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call.Call) call.Result {
			if !events.HasSuspects(c.Service) {
				return next(ctx, w, r, c)
			}
			summary, err := summarize(r)
			if err != nil {
				return call.Refuse(api.CallBody, err)
			}
			if verdict, _ := events.Lookup(c.Service, summary.fingerprint()); verdict == Quarantined {
				return call.Refuse(api.CallQuarantined, nil)
			}
			return next(ctx, w, r, c)
		}
	}
}
