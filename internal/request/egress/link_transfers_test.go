package egress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/h1"
	"github.com/daisytide/daisytide/internal/request/hop"
	"github.com/daisytide/daisytide/internal/request/linkqueue"
	"github.com/daisytide/daisytide/internal/request/quarantine"
	"github.com/daisytide/daisytide/internal/version/traffic"
)

// sendHead opens a connection to a gate and sends the header of a request. Its
// body of the given length follows when the gate requests it.
func sendHead(t *testing.T, address string, length int) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	r := &hop.Request{
		Service: "s", Version: "v1", Route: "r", Kind: traffic.Once, CallerService: "caller",
		Deadline: time.Now().Add(5 * time.Second), Objective: time.Now().Add(2 * time.Second),
	}
	h := http.Header{"Id": {"7"}, "Content-Length": {fmt.Sprint(length)}}
	if length > 0 {
		h.Set("Expect", "100-continue")
	}
	r.EncodeHeader(h, time.Now())
	var head strings.Builder
	head.WriteString("POST /x HTTP/1.1\r\nHost: a\r\n")
	if err := h.Write(&head); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, head.String()+"\r\n"); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(4 * time.Second))
	return conn, bufio.NewReader(conn)
}

// awaitStatus reads responses until one has the given status.
func awaitStatus(t *testing.T, br *bufio.Reader, status int) {
	t.Helper()
	for {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatalf("waiting for %d: %v", status, err)
		}
		if resp.StatusCode == status {
			return
		}
		if resp.StatusCode >= 200 {
			t.Fatalf("status %d, want %d", resp.StatusCode, status)
		}
	}
}

// An upload over a slow link must not block the upstream's only slot while it
// waits for its body.
func TestBodyHoldsNoSlotDuringTransfer(t *testing.T) {
	g, _ := newGate(t, quarantine.NewEventSet(time.Now))
	g.upstream.set(func(i *Instance) { i.Slots = 1 })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &h1.Server{
		Handler: g.Serve, DeferContinue: true, MaxBufferedBytes: 1 << 20,
		Limits: func() h1.Limits {
			return h1.Limits{HeaderBytes: 1 << 14, BodyBytes: 1 << 20, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
		},
		RefusalResponse: func(status int, _ string) *h1.Response { return &h1.Response{Status: status, Header: http.Header{}} },
	}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = l.Close() })

	upload, responses := sendHead(t, l.Addr().String(), 1000)
	awaitStatus(t, responses, http.StatusContinue)
	_, second := sendHead(t, l.Addr().String(), 0)
	awaitStatus(t, second, http.StatusOK)
	if _, err := upload.Write(make([]byte, 1000)); err != nil {
		t.Fatal(err)
	}
	awaitStatus(t, responses, http.StatusOK)
	if n := g.runs.Load(); n != 2 {
		t.Errorf("%d runs, want 2", n)
	}
}

// Preview must return what Arrive then decides, in any state of the queue.
func TestPreviewAgreesWithArrive(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	q := busyQueue(4)
	elapsed := 0
	seen := map[api.Code]int{}
	for range 20_000 {
		elapsed += rng.IntN(30)
		info := request(rng.IntN(3), elapsed+rng.IntN(600), elapsed+rng.IntN(1500))
		if rng.IntN(4) == 0 {
			info.Route = "short"
		}
		preview := q.Preview(at(elapsed), info)
		_, arrived := q.Arrive(at(elapsed), info)
		if preview.Code != arrived.Code {
			t.Fatalf("at %d ms: Preview %v, Arrive %v", elapsed, preview, arrived)
		}
		seen[preview.Code]++
		for q.Running() > 0 && rng.IntN(3) == 0 {
			q.Complete(at(elapsed), "r", 100*time.Millisecond, true)
		}
	}
	if seen[api.OK] == 0 || seen[api.CallShed] == 0 || seen[api.CallNoTime] == 0 {
		t.Errorf("not all decisions occurred: %v", seen)
	}
}

const linkRate = 1_250_000 // 10 Mbit/s

// Bodies that would arrive too late are refused before they are sent. A host with few
// peers of its service in its data centre gets more bodies, so its link fills first. A
// request that came back is refused only if it cannot be answered by its deadline.
func TestBodyThatWouldArriveTooLateIsRefusedAtOnce(t *testing.T) {
	for _, tc := range []struct {
		name                string
		objective, deadline int
		// busy and body are milliseconds of the link.
		busy, body int
		returned   bool
		code       api.Code
	}{
		{"in time for the objective", 800, 2000, 200, 200, false, api.OK},
		{"after the objective", 800, 2000, 700, 400, false, api.CallShed},
		{"after the objective, came back", 800, 2000, 700, 400, true, api.OK},
		{"after the deadline, came back", 800, 2000, 1900, 400, true, api.CallShed},
		{"late in any case, in time for the deadline", 100, 2000, 200, 200, false, api.OK},
		{"late in any case, after the deadline", 100, 2000, 2200, 200, false, api.CallShed},
		{"small body on a busy link", 800, 2000, 1900, 3, false, api.OK},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := &Gate{Link: linkqueue.NewLink(linkRate)}
			now := time.Now()
			ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
			busy := &linkqueue.Transfer{Size: int64(tc.busy) * linkRate / 1000, Objective: now.Add(time.Minute), Deadline: now.Add(time.Minute)}
			if _, err := g.Link.In.Acquire(context.Background(), now, busy); err != nil {
				t.Fatal(err)
			}
			time.AfterFunc(ms(tc.busy), func() { g.Link.In.End(time.Now(), busy) })
			r := &hop.Request{Route: "r", Objective: now.Add(ms(tc.objective)), Deadline: now.Add(ms(tc.deadline)), Returned: tc.returned}
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			_, refusal := g.acquireBody(ctx, r, int64(tc.body)*linkRate/1000)
			if tc.code == api.OK {
				if refusal != nil {
					t.Errorf("refused: %+v", refusal)
				}
				return
			}
			if refusal == nil || refusal.Code != tc.code || refusal.Ran != api.RanNo || refusal.RetryAfter < ms(20) || g.Link.In.Refused(linkqueue.Full) != 1 {
				t.Errorf("%+v, %d refused at once", refusal, g.Link.In.Refused(linkqueue.Full))
			}
		})
	}
}

// largeRoute makes a gate expect responses of 100 kB, 80 ms of its link.
func largeRoute(t *testing.T) *testGate {
	t.Helper()
	g, _ := newGate(t, quarantine.NewEventSet(time.Now))
	g.Link = linkqueue.NewLink(linkRate)
	g.responseSizes.Observe("r", 100_000)
	return g
}

func (g *testGate) serve(t *testing.T, objective time.Duration, returned bool) *h1.Response {
	t.Helper()
	r := &hop.Request{
		Service: "s", Version: "v1", Route: "r", Kind: traffic.Download, CallerService: "caller", Returned: returned,
		Deadline: time.Now().Add(2 * objective), Objective: time.Now().Add(objective),
	}
	h := http.Header{"Id": {"7"}}
	r.EncodeHeader(h, time.Now())
	return g.Serve(context.Background(), &h1.Request{Method: http.MethodGet, Target: "/x", Host: "a", Header: h, ReceivedAt: time.Now()})
}

// A request whose response cannot cross the link in time must not run. The host's own
// upstream answers the host's own entry without crossing the link.
func TestRequestWhoseResponseWouldCrossTooLateDoesNotRun(t *testing.T) {
	g := largeRoute(t)
	now := time.Now()
	busy := &linkqueue.Transfer{Size: linkRate, Objective: now.Add(time.Minute), Deadline: now.Add(time.Minute)}
	g.Link.Out.Reserve(now, busy, 0)
	res, _, _ := ParseResponse(g.serve(t, 500*time.Millisecond, false))
	if res.Code != api.CallShed || res.Ran != api.RanNo || res.RetryAfter < 20*time.Millisecond || g.runs.Load() != 0 {
		t.Errorf("%+v after %d runs", res, g.runs.Load())
	}
	if res := g.sendRequest("v1", "/x"); res.Code != api.OK {
		t.Errorf("own entry: %+v", res)
	}
	g.Link.Out.End(time.Now(), busy)
	if res, _, _ := ParseResponse(g.serve(t, 500*time.Millisecond, false)); res.Code != api.OK {
		t.Errorf("free link: %+v", res)
	}
	if n := g.Link.Out.Backlog(time.Now()); n > time.Millisecond {
		t.Errorf("%v are still reserved after a small response", n)
	}
}

// On a link that is idle, a route's response runs however large the last ones were:
// otherwise its mean size would never be learnt again.
func TestLargeResponseRunsOnAnIdleLink(t *testing.T) {
	g := largeRoute(t)
	for range 40 {
		g.responseSizes.Observe("r", 1<<30)
	}
	if res, _, _ := ParseResponse(g.serve(t, 500*time.Millisecond, false)); res.Code != api.OK {
		t.Errorf("%+v", res)
	}
}

// A peer that stops sending or reading must not keep the link from others.
func TestStalledPeerReleasesTheLink(t *testing.T) {
	const size = 2_000_000
	body := strings.Repeat("x", size)
	g, _ := newGate(t, quarantine.NewEventSet(time.Now))
	g.Link = linkqueue.NewLink(12_500_000) // 100 Mbit/s: 160 ms
	g.respond = func(conn net.Conn, _ *http.Request) bool {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", size, body)
		return false
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &h1.Server{
		Handler: g.Serve, DeferContinue: true, MaxBufferedBytes: 1 << 30,
		Limits: func() h1.Limits {
			return h1.Limits{HeaderBytes: 1 << 14, BodyBytes: 1 << 30, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
		},
		RefusalResponse: func(status int, _ string) *h1.Response { return &h1.Response{Status: status, Header: http.Header{}} },
	}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = l.Close() })

	_, silent := sendHead(t, l.Addr().String(), size)
	awaitStatus(t, silent, http.StatusContinue)
	_, second := sendHead(t, l.Addr().String(), size)
	awaitStatus(t, second, http.StatusContinue)

	for range 4 {
		// Nothing reads these responses.
		sendHead(t, l.Addr().String(), 0)
	}
	_, reader := sendHead(t, l.Addr().String(), 0)
	awaitStatus(t, reader, http.StatusOK)
}
