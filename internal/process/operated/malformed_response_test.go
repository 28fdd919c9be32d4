package operated_test

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/daisytide/daisytide/internal/standin/store"
	"github.com/daisytide/daisytide/platform"
)

// rawHead begins a response to the request with the ID "ID".
const rawHead = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Signature: s\r\n"

// serveRaw sends the text that the query of the request holds and closes the connection.
// It reports whether the query holds one.
func serveRaw(w http.ResponseWriter, r *http.Request) bool {
	text := r.URL.Query().Get("raw")
	if text == "" {
		return false
	}
	sendRaw(w, strings.Replace(text, "ID", r.Header.Get(platform.HeaderRequestID), 1))
	return true
}

// sendRaw sends text in place of a response and closes the connection.
func sendRaw(w http.ResponseWriter, text string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, text)
}

// expectNoSuccess has an upstream respond with text to requests through one node and
// through two, and checks that callers get a failure, and not one that says that the
// request was not run.
func expectNoSuccess(t *testing.T, hosts []*host, text string) {
	t.Helper()
	for _, from := range hosts {
		for _, to := range hosts {
			status, body, id := send(http.MethodGet, from.url("/"+to.service+"/1?raw="+url.QueryEscape(text)), nil)
			if status != http.StatusBadGateway || to.runsOf(id) == 0 {
				t.Errorf("%s to %s, %q: status %d, body %q, ran %d times", from.service, to.service, text, status, body, to.runsOf(id))
			}
			if status, _, _ := send(http.MethodGet, from.url("/"+to.service+"/1"), nil); status != http.StatusOK {
				t.Errorf("%s to %s, after %q: status %d of an ordinary request", from.service, to.service, text, status)
			}
		}
	}
}

// startHostPair starts two hosts, of the services "near" and "far", that reach each other.
// The second one has a link of the given rate in Mbit/s; 0 sets no limit.
func startHostPair(t *testing.T, mbps int) []*host {
	t.Helper()
	s := store.New(1)
	hosts := []*host{startHost(t, s, "near", "i-near"), startHostWithLink(t, s, "far", "i-far", mbps)}
	writeConfig(t, s, 3)
	for _, from := range hosts {
		for _, path := range []string{"/near/1", "/far/1"} {
			waitFor(t, "a response", func() bool { status, _, _ := send("GET", from.url(path), nil); return status == http.StatusOK })
		}
	}
	return hosts
}

// Guards against a response with a malformed name in its head that reaches a caller, with
// that line or with a body that the upstream did not send.
func TestResponseWithMalformedNameIsNoSuccessForTheCaller(t *testing.T) {
	hosts := startHostPair(t, 0)
	for _, line := range []string{"X Y: 1", "X : 1", "Content-Length : 5", "Transfer-Encoding : chunked", "X\tY: 1", "X\x01: 1", "X(1): 1", ": 1"} {
		for _, text := range []string{
			rawHead + line + "\r\nContent-Length: 5\r\n\r\nhello",
			rawHead + line + "\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
			rawHead + line + "\r\n\r\nhello, world",
			"HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n" + rawHead + "Content-Length: 5\r\n\r\nhello",
		} {
			expectNoSuccess(t, hosts, text)
		}
	}
	for _, text := range []string{rawHead + "X-Y: 1\r\nContent-Length: 5\r\n\r\nhello", rawHead + "X-Y: 1\r\n\r\nhello"} {
		for _, to := range hosts {
			status, body, _ := send(http.MethodGet, hosts[0].url("/"+to.service+"/1?raw="+url.QueryEscape(text)), nil)
			if status != http.StatusOK || body != "hello" {
				t.Errorf("%q: status %d, body %q", text, status, body)
			}
		}
	}
}

// Guards against a status below 100, or a switch of protocols that nobody asked for, that is
// skipped like an interim response, so that what follows it reaches a caller.
func TestResponseWithMalformedStatusIsNoSuccessForTheCaller(t *testing.T) {
	hosts := startHostPair(t, 0)
	const whole = rawHead + "Content-Length: 5\r\n\r\nhello"
	for _, head := range []string{"000 Odd\r\n", "001\r\nContent-Length: 0\r\n", "101 Switching Protocols\r\n", "101 Switching Protocols\r\nUpgrade: other\r\nConnection: Upgrade\r\n"} {
		expectNoSuccess(t, hosts, "HTTP/1.1 "+head+"\r\n"+whole)
		expectNoSuccess(t, hosts, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 "+head+"\r\n"+whole)
	}
	for _, to := range hosts {
		status, body, _ := send(http.MethodGet, hosts[0].url("/"+to.service+"/1?raw="+url.QueryEscape("HTTP/1.1 103 Early Hints\r\n\r\n"+whole)), nil)
		if status != http.StatusOK || body != "hello" {
			t.Errorf("after an interim response: status %d, body %q", status, body)
		}
	}
}

// Guards against a malformed health response that is believed: here it says that a warm
// upstream is cold, and would limit its requests for a minute.
func TestMalformedHealthResponseIsNotBelieved(t *testing.T) {
	for name, head := range map[string]string{"name": "200 OK\r\nX Y: 1", "status": "000 Odd\r\n\r\nHTTP/1.1 200 OK"} {
		t.Run(name, func(t *testing.T) { expectHealthNotBelieved(t, head) })
	}
}

// expectHealthNotBelieved has a warm upstream send a health response with the given
// beginning that says that it is cold, and checks that its requests are not limited.
func expectHealthNotBelieved(t *testing.T, head string) {
	t.Helper()
	s := store.New(1)
	near, far := startHost(t, s, "near", "i-near"), startHost(t, s, "far", "i-far")
	far.workTime = 20 * time.Millisecond
	writeConfigWithWarmup(t, s, 3, 12)
	waitFor(t, "a response", func() bool { status, _, _ := send("GET", near.url("/far/1"), nil); return status == http.StatusOK })
	for range 20 {
		send("GET", near.url("/far/1"), nil)
	}
	health := fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\n%s: 60000\r\nContent-Length: 0\r\n\r\n", head, platform.HeaderInstanceID, far.id, platform.HeaderWarmupMillis)
	far.rawHealth.Store(&health)
	far.extraWork.Store(int64(100 * time.Millisecond))
	stop := loadFar(near)
	defer stop()
	waitFor(t, "a health request", func() bool { return far.healthRequests.Load() >= 1 })
	// The response is believed, if at all, within some milliseconds.
	time.Sleep(200 * time.Millisecond)
	if got := far.warmupRate(); got != "0" {
		t.Errorf("the upstream is limited to %q", got)
	}
}
