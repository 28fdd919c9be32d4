package operated_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against a caller's request whose body runs as a second request, because a blank
// in the name of the field that frames the body hides it: each listener refuses such a
// request and closes the connection.
func TestRequestWithMalformedNameIsRefusedByEachListener(t *testing.T) {
	hosts := startHostPair(t, 0)
	near, far := hosts[0], hosts[1]
	runs := near.totalRuns() + far.totalRuns()
	listeners := map[string]string{
		"callers": near.cfg.Callers.Listen, "peers": near.cfg.Peers.Listen, "operators": near.cfg.Operators.Listen,
		"gate": near.cfg.Operated.Gate, "ready": near.cfg.Operated.Ready,
	}
	for name, address := range listeners {
		for _, target := range []string{"/near/1", "/far/1"} {
			second := "GET " + target + " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: second\r\nDeadline-Ms: 2000\r\n\r\n"
			for _, line := range []string{fmt.Sprintf("Content-Length : %d", len(second)), "Transfer-Encoding : chunked", "X Y: 1", "X : 1"} {
				first := "POST " + target + " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: first\r\nDeadline-Ms: 2000\r\n" + line + "\r\n\r\n"
				statuses, closed := exchangeRaw(t, address, first+second)
				if len(statuses) != 1 || statuses[0] != http.StatusBadRequest || !closed {
					t.Errorf("%s, %q: statuses %v, closed %v; want 400 and a closed connection", name, line, statuses, closed)
				}
			}
		}
	}
	if n := near.totalRuns() + far.totalRuns() - runs; n > 0 {
		t.Errorf("%d requests ran", n)
	}
}

// exchangeRaw sends text on a new connection and returns the statuses of the responses
// to it, and whether the listener closed the connection after them.
func exchangeRaw(t *testing.T, address, text string) (statuses []int, closed bool) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.Copy(conn, strings.NewReader(text)); err != nil {
		t.Fatal(err)
	}
	br := bufio.NewReader(conn)
	for {
		if _, err := br.Peek(1); err != nil {
			return statuses, err == io.EOF
		}
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		statuses = append(statuses, resp.StatusCode)
	}
}
