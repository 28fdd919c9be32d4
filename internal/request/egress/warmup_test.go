package egress

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/h1"
	"github.com/daisytide/daisytide/internal/request/hop"
	"github.com/daisytide/daisytide/internal/request/quarantine"
)

// The number of requests that a cold upstream receives in any span of one second is
// bounded, whatever the load, the number of reports, and restarts of the gate's process
// with a queue that knows nothing. Requests reach the upstream up to 0.25 s after their
// start and can overtake each other, as connections must be opened.
func TestInvariantColdUpstreamReceivesBoundedRequestsInAnySecond(t *testing.T) {
	for _, rate := range []float64{0.5, 1, 12, 100, 1000} {
		for seed := range uint64(20) {
			rng := rand.New(rand.NewPCG(seed, 3))
			q := &Queue{Slots: 5000}
			end := start.Add(20 * time.Second)
			var arrivals []time.Time
			starts, now := 0, start
			report := func() { q.SetWarmup(now, rate, end, false) }
			report()
			for step := 0; now.Before(end.Add(-time.Second)); step++ {
				// The load varies between far below and far above the rate.
				now = now.Add(time.Duration(rng.ExpFloat64() / rate * []float64{0.02, 0.3, 3}[step/200%3] * float64(time.Second)))
				switch before := q.Running(); {
				case rng.IntN(100) == 0:
					report()
				case rng.IntN(300) == 0:
					q = &Queue{Slots: 5000}
					report()
				default:
					q.AdmitWaiting(now)
					if ticket, _ := q.Arrive(now, RequestInfo{Route: "r", Objective: now.Add(time.Second), Deadline: now.Add(2 * time.Second)}); ticket != nil && rng.IntN(2) == 0 {
						q.Cancel(ticket)
					}
					for range q.Running() - before {
						starts++
						arrivals = append(arrivals, now.Add(time.Duration(rng.IntN(250))*time.Millisecond))
					}
				}
			}
			slices.SortFunc(arrivals, time.Time.Compare)
			if most := mostInOneSecond(arrivals); most > allowedInOneSecond(rate) {
				t.Fatalf("rate %v, seed %d: %d requests in one second, %d are allowed", rate, seed, most, allowedInOneSecond(rate))
			}
			if rate >= 12 && float64(starts) < 0.4*rate*19 {
				t.Errorf("rate %v, seed %d: only %d requests in 19 s", rate, seed, starts)
			}
		}
	}
}

// Without a limit the queue is not slowed: the warm-up adds nothing to a decision.
func TestQueueWithoutWarmupRateIsNotLimited(t *testing.T) {
	for _, tc := range []struct {
		name string
		rate float64
		end  time.Time
	}{{"no rate", 0, at(5000)}, {"warm", 12, start}} {
		q := &Queue{Slots: 500}
		q.SetWarmup(start, tc.rate, tc.end, true)
		for range 500 {
			if ticket, decision := q.Arrive(start, request(1, 500, 1000)); ticket != nil || decision.Code != api.OK {
				t.Fatalf("%s: %+v %v", tc.name, ticket, decision)
			}
		}
		if _, limited := q.UntilNextStart(start); limited || q.SustainedSlots(start) != 500 || q.WarmupRate(start) != 0 {
			t.Errorf("%s: the queue is limited", tc.name)
		}
	}
}

// A wait that was estimated by slots alone let requests wait at a cold upstream until
// their deadline. They are refused at once, with the time at which the rate has room.
func TestRequestThatTheRateCannotStartInTimeIsRefusedAtOnce(t *testing.T) {
	q := &Queue{Slots: 100}
	q.SetWarmup(start, 10, at(60_000), true)
	var tickets []*Ticket
	var refused Decision
	for range 60 {
		ticket, decision := q.Arrive(start, request(1, 1000, 1000))
		if ticket != nil {
			tickets = append(tickets, ticket)
		}
		if decision.Code != api.OK {
			refused = decision
		}
	}
	if len(tickets) != 10 || refused.Code != api.CallShed || refused.RetryAfter < time.Second || refused.RetryAfter > 1200*time.Millisecond {
		t.Fatalf("%d wait, refusal %+v", len(tickets), refused)
	}
	for ms := 0; ms <= 1000; ms++ {
		q.AdmitWaiting(at(ms))
		if started, due := q.Running(), ms/100; started < due-1 || started > due {
			t.Fatalf("%d requests started after %d ms, want %d", started, ms, due)
		}
	}
	if q.Running() != 10 {
		t.Errorf("%d requests started", q.Running())
	}
}

// A request that cannot start while the upstream is cold starts after the warm-up, and
// the estimate counts on it.
func TestRequestWaitsForTheEndOfTheWarmup(t *testing.T) {
	q := &Queue{Slots: 100}
	q.SetWarmup(start, 1, at(500), true)
	for range 50 {
		if ticket, decision := q.Arrive(start, request(1, 700, 1000)); ticket == nil {
			t.Fatalf("%+v", decision)
		}
	}
	if delay, limited := q.UntilNextStart(start); !limited || delay != 500*time.Millisecond {
		t.Errorf("the timer is set to %v", delay)
	}
	if q.AdmitWaiting(at(499)); q.Running() != 0 {
		t.Errorf("%d requests started before the end", q.Running())
	}
	if q.AdmitWaiting(at(500)); q.Running() != 50 {
		t.Errorf("%d requests started at the end", q.Running())
	}
}

// A report that the upstream is cold again applies to requests that wait already.
func TestReturnToColdRefusesWaitingRequestsThatCannotStartInTime(t *testing.T) {
	q := busyQueue(100)
	var tickets []*Ticket
	for range 40 {
		if ticket, _ := q.Arrive(start, request(1, 400, 500)); ticket != nil {
			tickets = append(tickets, ticket)
		}
	}
	q.SetWarmup(start, 12, at(3000), false)
	refused := 0
	for _, ticket := range tickets {
		select {
		case decision := <-ticket.Decision:
			if decision.Code != api.CallShed || decision.RetryAfter < 80*time.Millisecond {
				t.Errorf("%+v", decision)
			}
			refused++
		default:
		}
	}
	// Until the latest start, 0.25 s from now, the rate allows three requests.
	if len(tickets) != 40 || q.Waiting() != 3 || refused != 37 {
		t.Errorf("of %d waiting requests %d still wait, %d were refused", len(tickets), q.Waiting(), refused)
	}
}

// coldGate is a gate whose upstream records the times at which requests arrive.
type coldGate struct {
	*testGate
	mu        sync.Mutex
	rate      float64
	arrivals  []time.Time
	announced []int
}

func newColdGate(t *testing.T, rate float64) *coldGate {
	t.Helper()
	g := &coldGate{rate: rate}
	g.testGate, _ = newGate(t, quarantine.NewEventSet(time.Now))
	g.respond = func(net.Conn, *http.Request) bool {
		g.mu.Lock()
		g.arrivals = append(g.arrivals, time.Now())
		g.mu.Unlock()
		return true
	}
	g.wire(g.Gate)
	return g
}

func (g *coldGate) wire(to *Gate) {
	to.ServiceWarmupRate = func(string) float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.rate
	}
	to.Announce = func(_ Instance, slots int) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.announced = append(g.announced, slots)
	}
}

func (g *coldGate) setCold(d time.Duration) {
	g.upstream.set(func(i *Instance) { i.State, i.WarmupEnd = api.UpstreamReady, time.Now().Add(d) })
}

// load sends requests from 40 callers until stop is closed.
func (g *coldGate) load(stop <-chan struct{}) *sync.WaitGroup {
	var callers sync.WaitGroup
	for range 40 {
		callers.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
				}
				now := time.Now()
				r := &hop.Request{Service: "s", Version: "v1", Route: "r", CallerService: "caller", Deadline: now.Add(500 * time.Millisecond), Objective: now.Add(300 * time.Millisecond)}
				g.upstream.gateNow().Handle(context.Background(), r, &h1.Request{Method: "GET", Target: "/x", Host: "a", Header: http.Header{"Id": {"7"}}})
			}
		})
	}
	return &callers
}

// arrivalsSince returns the most arrivals in one second since t, and their number.
func (g *coldGate) arrivalsSince(t time.Time) (most, total int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	i, _ := slices.BinarySearchFunc(g.arrivals, t, time.Time.Compare)
	return mostInOneSecond(g.arrivals[i:]), len(g.arrivals) - i
}

func (g *coldGate) lastAnnounced() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.announced[len(g.announced)-1]
}

func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !done(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting for " + what)
		}
	}
}

// An upstream that returns to the cold state under full load gets no more than its rate
// from the report on, waiting requests are admitted by a timer, entries learn of fewer
// slots, and all of it ends with the warm-up, without a further report.
func TestGateLimitsAnUpstreamThatReturnsToTheColdState(t *testing.T) {
	g := newColdGate(t, 20)
	stop := make(chan struct{})
	callers := g.load(stop)
	waitFor(t, "load at the warm upstream", func() bool { _, n := g.arrivalsSince(time.Time{}); return n > 100 })
	if g.Load().Slots != 4 {
		t.Errorf("load %v before the report", g.Load())
	}
	g.setCold(2 * time.Second)
	// Requests that were sent before the report arrive within some milliseconds.
	time.Sleep(20 * time.Millisecond)
	cold := time.Now()
	if g.Load().Slots >= 4 || g.lastAnnounced() >= 4 || g.WarmupRate() != 20 {
		t.Errorf("load %v, %d slots announced, rate %v", g.Load(), g.lastAnnounced(), g.WarmupRate())
	}
	time.Sleep(1800 * time.Millisecond)
	most, total := g.arrivalsSince(cold)
	if most > allowedInOneSecond(20) || total < 20 {
		t.Errorf("%d requests in one second, %d are allowed; %d in 1.8 s", most, allowedInOneSecond(20), total)
	}
	waitFor(t, "the end of the limit", func() bool {
		most, _ := g.arrivalsSince(time.Now().Add(-time.Second))
		return most > 2*allowedInOneSecond(20) && g.lastAnnounced() == 4 && g.WarmupRate() == 0
	})
	close(stop)
	callers.Wait()
}

// A rate that a new configuration sets or removes applies at once.
func TestWarmupRateFollowsTheConfiguration(t *testing.T) {
	g := newColdGate(t, 0)
	g.setCold(time.Minute)
	for _, rate := range []float64{20, 5, 0} {
		g.mu.Lock()
		g.rate = rate
		g.mu.Unlock()
		g.ConfigurationChanged()
		if g.WarmupRate() != rate || (g.lastAnnounced() < 4) != (rate > 0) {
			t.Errorf("limited to %v instead of %v, %d slots announced", g.WarmupRate(), rate, g.lastAnnounced())
		}
	}
}

// The process of a gate that is killed during a warm-up has no memory of the requests
// that it sent. The next one sends none before a report, and begins without a burst.
func TestGateKilledDuringAWarmupKeepsTheLimit(t *testing.T) {
	g := newColdGate(t, 20)
	g.setCold(time.Minute)
	cold := time.Now()
	stop := make(chan struct{})
	callers := g.load(stop)
	for range 3 {
		time.Sleep(450 * time.Millisecond)
		next := &Gate{Upstream: g.upstream, Client: g.Client, Dialect: g.Dialect, VersionAllowed: g.VersionAllowed, QuarantineEvents: g.QuarantineEvents, PublishCrash: g.PublishCrash}
		g.wire(next)
		g.upstream.replaceGate(next)
		_, before := g.arrivalsSince(cold)
		time.Sleep(50 * time.Millisecond)
		if _, after := g.arrivalsSince(cold); after > before+4 {
			t.Errorf("%d requests without a report", after-before)
		}
		g.setCold(time.Minute)
	}
	time.Sleep(300 * time.Millisecond)
	close(stop)
	callers.Wait()
	if most, total := g.arrivalsSince(cold); most > allowedInOneSecond(20) || total < 20 {
		t.Errorf("%d requests in one second, %d are allowed; %d in all", most, allowedInOneSecond(20), total)
	}
}

// A warm upstream is asked on its health path only on a sign that it may have become
// cold, at most twice a second, and only if its service has a warm-up rate.
func TestHealthIsAskedOnlyOnASignOfCold(t *testing.T) {
	for _, tc := range []struct {
		name    string
		rate    float64
		respond string
		left    time.Duration
		asked   int
		limited float64
	}{
		{"calm", 20, "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", time.Minute, 0, 0},
		{"failures, cold", 20, "HTTP/1.1 500 Failed\r\nId: 7\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", time.Minute, 1, 20},
		{"cut connections, cold", 20, "", time.Minute, 1, 20},
		{"refusals, cold", 20, "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", time.Minute, 1, 20},
		{"refusals, warm", 20, "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", 0, 1, 0},
		{"refusals without a rate", 0, "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", time.Minute, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := newColdGate(t, tc.rate)
			g.respond = func(conn net.Conn, _ *http.Request) bool {
				_, _ = io.WriteString(conn, tc.respond)
				return false
			}
			asked := make(chan struct{}, 100)
			g.AskWarmup = func(context.Context, Instance) (time.Duration, bool) {
				asked <- struct{}{}
				return tc.left, true
			}
			// The mean run time is so long that no delay of this machine is a sign.
			g.Gate.mu.Lock()
			g.queue.runTimes = map[string]float64{"r": 10}
			g.Gate.mu.Unlock()
			g.ready("i-1", 1)
			began := time.Now()
			for range 10 {
				g.sendRequest("v1", "/x")
			}
			for end := time.Now().Add(2 * time.Second); time.Now().Before(end) && (len(asked) < tc.asked || g.WarmupRate() != tc.limited); {
				time.Sleep(time.Millisecond)
			}
			if n := len(asked); n < tc.asked || n > tc.asked*(1+int(time.Since(began)/minHealthInterval)) || g.WarmupRate() != tc.limited {
				t.Errorf("asked %d times, want %d; limited to %v, want %v", n, tc.asked, g.WarmupRate(), tc.limited)
			}
		})
	}
}

func TestSlowRunIsASignOfCold(t *testing.T) {
	ok := hop.Result{Code: api.OK, Ran: api.RanYes, Response: &h1.Response{Status: 200}}
	mean := 20 * time.Millisecond
	if isSignOfCold(ok, 15*time.Millisecond, time.Millisecond) {
		t.Error("a delay of 14 ms is a sign")
	}
	if isSignOfCold(ok, 2*mean, mean) || !isSignOfCold(ok, 4*mean, mean) || isSignOfCold(ok, time.Hour, 0) || isSignOfCold(hop.Refuse(api.CallNotReached, 0, nil), 4*mean, mean) {
		t.Error("a run is a sign from three times the mean run time on, if that is known")
	}
}
