package hostile

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/daisytide/daisytide/internal/request/hop"
	"github.com/daisytide/daisytide/internal/version/traffic"
	"github.com/daisytide/daisytide/platform"
)

// attackTime is how long the attackers act before ordinary requests are sent. They go
// on until those are answered.
const attackTime = 4 * time.Second

// reconnectDelay is the wait of an attacker whose connection has ended.
const reconnectDelay = 10 * time.Millisecond

// attack describes clients of one kind. act runs on one connection until ctx ends or
// the connection fails, and is repeated on a new connection.
type attack struct {
	listener int
	clients  int
	act      func(ctx context.Context, conn net.Conn)
}

// requestHead returns the head of a request for target without its empty line.
func requestHead(method, target string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: attack\r\n", method, target, routeHost, platform.HeaderRequestID)
}

func get(target string) string { return requestHead("GET", target) + "\r\n" }

// gateRequest returns a request as another node sends it.
func gateRequest(target string) string {
	h, now := http.Header{}, time.Now()
	r := &hop.Request{
		ID: "attack", Service: service, Version: "v1", Route: "all", Kind: traffic.Idempotent, Priority: 1,
		Deadline: now.Add(10 * time.Second), Objective: now.Add(5 * time.Second), CallerService: "other", ConfigNumber: 1,
	}
	r.EncodeHeader(h, now)
	var b strings.Builder
	_ = h.Write(&b)
	return requestHead("GET", target) + b.String() + "\r\n"
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// sendAndRead sends text and reads a byte of the response each interval. A response
// that is no success ends it.
func sendAndRead(text string, interval time.Duration) func(context.Context, net.Conn) {
	return func(ctx context.Context, conn net.Conn) {
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		start := make([]byte, len(successStart))
		if _, err := io.ReadFull(conn, start); err != nil || string(start) != successStart {
			return
		}
		var one [1]byte
		for ctx.Err() == nil {
			if _, err := conn.Read(one[:]); err != nil {
				return
			}
			sleep(ctx, interval)
		}
	}
}

// sendAndHold sends text and keeps the connection open without reading. It returns
// when the node has closed the connection, which it learns by waiting only.
func sendAndHold(text string) func(context.Context, net.Conn) {
	return func(ctx context.Context, conn net.Conn) {
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		<-ctx.Done()
	}
}

// sendAndWait sends text, reads what comes and returns when the connection ends.
func sendAndWait(text string) func(context.Context, net.Conn) {
	return func(_ context.Context, conn net.Conn) {
		if _, err := io.WriteString(conn, text); err == nil {
			_, _ = io.Copy(io.Discard, conn)
		}
	}
}

// sendEndlessly sends head and then part without end, and reads what comes.
func sendEndlessly(head, part string) func(context.Context, net.Conn) {
	return func(ctx context.Context, conn net.Conn) {
		go func() { _, _ = io.Copy(io.Discard, conn) }()
		_, err := io.WriteString(conn, head)
		for err == nil && ctx.Err() == nil {
			_, err = io.WriteString(conn, part)
		}
	}
}

// sendBytewise sends head and then a byte each interval without end.
func sendBytewise(head string, interval time.Duration) func(context.Context, net.Conn) {
	return func(ctx context.Context, conn net.Conn) {
		_, err := io.WriteString(conn, head)
		for err == nil && ctx.Err() == nil {
			sleep(ctx, interval)
			_, err = io.WriteString(conn, "x")
		}
	}
}

// run attacks the node, sends ordinary requests meanwhile and afterwards, and checks
// the bounds.
func (a attack) run(t *testing.T) {
	n := startNode(t, memoryMB, descriptors)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var attackers sync.WaitGroup
	for range a.clients {
		attackers.Go(func() {
			for ctx.Err() == nil {
				a.connect(ctx, n.addresses[a.listener])
				sleep(ctx, reconnectDelay)
			}
		})
	}
	time.Sleep(attackTime)
	if err := n.requestUntilAnswered(); err != nil {
		t.Errorf("an ordinary request during the attack: %v", err)
	}
	cancel()
	attackers.Wait()
	if err := n.requestUntilAnswered(); err != nil {
		t.Errorf("an ordinary request after the attack: %v", err)
	}
	n.check(maxPeakKB, maxDescriptors)
}

// connect runs the attack on one connection.
func (a attack) connect(ctx context.Context, address string) {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer conn.Close()
	// The kernel should hold little of a response in place of the node.
	_ = conn.(*net.TCPConn).SetReadBuffer(attackerReadBuffer)
	a.act(ctx, conn)
}

// resetAtOnce makes Close send a reset.
func resetAtOnce(text string) func(context.Context, net.Conn) {
	return func(_ context.Context, conn net.Conn) {
		_, _ = io.WriteString(conn, text)
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// halfClose sends text, closes the writing side and reads nothing.
func halfClose(text string) func(context.Context, net.Conn) {
	return func(ctx context.Context, conn net.Conn) {
		_, _ = io.WriteString(conn, text)
		_ = conn.(*net.TCPConn).CloseWrite()
		<-ctx.Done()
	}
}

const (
	attackerReadBuffer = 4 << 10
	successStart       = "HTTP/1.1 200"
	longResponse       = "/bytes/4194304"
	mediumResponse     = "/bytes/1048576"
	// silentClients is more than the descriptors of the node.
	silentClients = 400
	fewClients    = 32
	slowClients   = 64
)

// In a trial, callers that read long responses slowly or not at all took a process
// out of memory: each response was held whole, with an encoded copy.
func TestResponsesThatAreNotRead(t *testing.T) {
	for name, a := range map[string]attack{
		"read slowly":                    {callers, slowClients, sendAndRead(get(longResponse), 200*time.Millisecond)},
		"pipelined and not read":         {callers, 16, sendAndHold(strings.Repeat(get(mediumResponse), 64))},
		"pipelined small, not read":      {callers, 48, sendAndHold(strings.Repeat(get("/bytes/65536"), 500))},
		"read slowly at the gate":        {gate, slowClients, sendAndRead(gateRequest(longResponse), 200*time.Millisecond)},
		"pipelined, not read, at a gate": {gate, 16, sendAndHold(strings.Repeat(gateRequest(mediumResponse), 64))},
		"half-closed":                    {callers, slowClients, halfClose(get(longResponse))},
		"reset":                          {callers, fewClients, resetAtOnce(get(longResponse))},
	} {
		t.Run(name, a.run)
	}
}

// In the same trial, heads beyond the limit, heads without end and empty lines before
// a request took part in the loss of the process.
func TestHeadsOutsideTheLimits(t *testing.T) {
	line := "X-Line: " + strings.Repeat("a", 100) + "\r\n"
	for name, a := range map[string]attack{
		"over the limit":                {callers, fewClients, sendAndWait(requestHead("GET", "/") + "X: " + strings.Repeat("a", 64<<10) + "\r\n\r\n")},
		"lines without end":             {callers, fewClients, sendEndlessly(requestHead("GET", "/"), strings.Repeat(line, 100))},
		"one line without end":          {callers, fewClients, sendEndlessly(requestHead("GET", "/")+"X: ", strings.Repeat("a", 16<<10))},
		"thousands of short lines":      {callers, fewClients, sendEndlessly(requestHead("GET", "/"), strings.Repeat("A:\r\n", 4000))},
		"a byte at a time":              {callers, 200, sendBytewise("GET / HTTP/1.1\r\nX: ", 100*time.Millisecond)},
		"empty lines":                   {callers, fewClients, sendEndlessly("", strings.Repeat("\r\n", 8<<10))},
		"empty lines after a request":   {callers, fewClients, sendEndlessly(get("/"), strings.Repeat("\r\n", 8<<10))},
		"empty lines after many":        {callers, fewClients, sendEndlessly(strings.Repeat(get("/"), 64), strings.Repeat("\n", 8<<10))},
		"lines without end at the gate": {gate, fewClients, sendEndlessly(requestHead("GET", "/"), strings.Repeat(line, 100))},
		"short lines at the gate":       {gate, 200, sendBytewise(requestHead("GET", "/")+strings.Repeat("A:\r\n", 15000), 100*time.Millisecond)},
	} {
		t.Run(name, a.run)
	}
}

// Bodies that exceed their framing or never come must not keep the memory for bodies
// from ordinary requests.
func TestBodiesOutsideTheLimits(t *testing.T) {
	chunked := requestHead("POST", "/") + "Transfer-Encoding: chunked\r\n"
	for name, a := range map[string]attack{
		"chunk size without end":      {callers, fewClients, sendEndlessly(chunked+"\r\n", strings.Repeat("0", 8<<10))},
		"chunk extension without end": {callers, fewClients, sendEndlessly(chunked+"\r\n1;x=", strings.Repeat("a", 8<<10))},
		"chunks of a byte":            {callers, fewClients, sendEndlessly(chunked+"\r\n", strings.Repeat("1;"+strings.Repeat("a", 200)+"\r\na\r\n", 20))},
		"trailers without end":        {callers, fewClients, sendEndlessly(chunked+"Trailer: X\r\n\r\n0\r\n", strings.Repeat("X: "+strings.Repeat("a", 100)+"\r\n", 50))},
		"chunks without end":          {callers, fewClients, sendEndlessly(chunked+"\r\n", "1000\r\n"+strings.Repeat("a", 4096)+"\r\n")},
		"chunks that stop":            {callers, fewClients, sendAndHold(chunked + "\r\n" + strings.Repeat("10000\r\n"+strings.Repeat("a", 65536)+"\r\n", 16))},
		"declared and never sent":     {callers, fewClients, sendAndWait(requestHead("POST", "/") + "Content-Length: 16000000\r\n\r\n")},
		"declared and sent in part":   {callers, fewClients, sendAndWait(requestHead("POST", "/") + "Content-Length: 16000000\r\n\r\n" + strings.Repeat("a", 256<<10))},
		"100 Continue not followed":   {callers, fewClients, sendAndWait(requestHead("POST", "/") + "Content-Length: 16000000\r\nExpect: 100-continue\r\n\r\n")},
		"100 Continue at the gate":    {gate, fewClients, sendAndWait(strings.Replace(strings.TrimSuffix(gateRequest("/"), "\r\n"), "GET", "POST", 1) + "Content-Length: 16000000\r\nExpect: 100-continue\r\n\r\n")},
		"never sent to the gate":      {gate, fewClients, sendAndWait(strings.Replace(strings.TrimSuffix(gateRequest("/"), "\r\n"), "GET", "POST", 1) + "Content-Length: 16000000\r\n\r\n")},
	} {
		t.Run(name, a.run)
	}
}

// Connections that take all descriptors must not keep the node from its upstream, its
// peers and the store, nor ordinary callers and heartbeats from the node.
func TestConnectionsOutsideTheLimits(t *testing.T) {
	for name, a := range map[string]attack{
		"silent callers":              {callers, silentClients, sendAndWait("")},
		"callers after a request":     {callers, silentClients, sendAndWait(get("/"))},
		"callers with half a request": {callers, silentClients, sendAndWait("GET / HT")},
		"opened and reset":            {callers, silentClients, resetAtOnce("")},
		"half-closed":                 {callers, silentClients, halfClose("")},
		"silent at the gate":          {gate, silentClients, sendAndWait("")},
		"silent at the peers":         {peers, silentClients, sendAndWait("")},
		"peers without the secret":    {peers, silentClients, sendAndWait(get("/link"))},
		"silent operators":            {operators, silentClients, sendAndWait("")},
		"operators without the token": {operators, silentClients, sendAndWait(get("/v1/status"))},
		"metrics":                     {operators, 100, sendAndHold(strings.Repeat(get("/metrics"), 200))},
		"heads without end, peers":    {peers, 100, sendEndlessly(requestHead("GET", "/"), strings.Repeat("X: "+strings.Repeat("a", 100)+"\r\n", 100))},
		"heads that stop, operators":  {operators, 150, sendAndHold(requestHead("GET", "/") + strings.Repeat("X: "+strings.Repeat("a", 1000)+"\r\n", 900))},
		"bodies at the operators":     {operators, 48, sendEndlessly(requestHead("POST", platform.PathHeartbeat+"i-2")+"Content-Length: 60000000\r\n\r\n{", strings.Repeat(" ", 64<<10))},
		"silent at ready":             {ready, silentClients, sendAndWait("")},
	} {
		t.Run(name, a.run)
	}
}
