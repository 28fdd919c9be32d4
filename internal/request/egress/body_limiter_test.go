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

	upload, answers := sendHead(t, l.Addr().String(), 1000)
	awaitStatus(t, answers, http.StatusContinue)
	_, second := sendHead(t, l.Addr().String(), 0)
	awaitStatus(t, second, http.StatusOK)
	if _, err := upload.Write(make([]byte, 1000)); err != nil {
		t.Fatal(err)
	}
	awaitStatus(t, answers, http.StatusOK)
	if n := g.runs.Load(); n != 2 {
		t.Errorf("%d runs, want 2", n)
	}
}

func TestBodiesInTransferAreBoundedByTheLinkRate(t *testing.T) {
	const rate = 1_250_000 // 10 Mbit/s
	for _, tc := range []struct {
		name  string
		rate  int64
		sizes []int64
		all   bool
	}{
		{"a quarter of a second of transfer", rate, []int64{150_000, 150_000}, true},
		{"above a quarter of a second", rate, []int64{150_000, 150_000, 60_000}, false},
		{"one body above the capacity", rate, []int64{5_000_000}, true},
		{"a second body beside it", rate, []int64{5_000_000, 1}, false},
		{"unknown length", rate, []int64{-1, 1}, false},
		{"unknown link rate", 0, []int64{5_000_000, 5_000_000}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var limiter bodyLimiter
			all := true
			for _, size := range tc.sizes {
				ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
				_, err := limiter.acquire(ctx, size, tc.rate)
				cancel()
				all = all && err == nil
			}
			if all != tc.all {
				t.Errorf("all acquired: %v", all)
			}
		})
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
		preview := q.Preview(at(elapsed), info, 0)
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

// Bodies that would arrive too late are refused before they are sent. A host
// with few peers of its service in its data centre gets more bodies, so its
// link fills first.
func TestBodyThatWouldArriveTooLateIsRefusedAtOnce(t *testing.T) {
	for _, tc := range []struct {
		name                string
		objective, deadline int
		body                time.Duration
		code                api.Code
	}{
		{"in time for the objective", 800, 2000, 400 * time.Millisecond, api.OK},
		{"after the objective", 800, 2000, 700 * time.Millisecond, api.CallShed},
		{"late in any case, short transfer", 100, 2000, 300 * time.Millisecond, api.OK},
		{"late in any case, long transfer", 100, 2000, 600 * time.Millisecond, api.CallShed},
		{"none", 800, 2000, 0, api.OK},
	} {
		t.Run(tc.name, func(t *testing.T) {
			q := busyQueue(10)
			q.running = 0
			v := q.Preview(start, request(1, tc.objective, tc.deadline), tc.body)
			if v.Code != tc.code || v.Code == api.CallShed && v.RetryAfter < tc.body {
				t.Errorf("%v", v)
			}
		})
	}
}

func TestBacklogCountsBodiesInTransferAndWaiting(t *testing.T) {
	const rate = 1_250_000
	var limiter bodyLimiter
	release, err := limiter.acquire(context.Background(), 250_000, rate)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	waited := make(chan error, 1)
	go func() {
		_, err := limiter.acquire(ctx, 1_000_000, rate)
		waited <- err
	}()
	for limiter.backlog(rate) != time.Second {
		time.Sleep(time.Millisecond)
	}
	cancel()
	if err := <-waited; err == nil || limiter.backlog(rate) != 200*time.Millisecond {
		t.Errorf("%v, backlog %v", err, limiter.backlog(rate))
	}
	release()
	if limiter.backlog(rate) != 0 {
		t.Errorf("backlog %v", limiter.backlog(rate))
	}
}
