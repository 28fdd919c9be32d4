package egress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/h1"
	"github.com/daisytide/daisytide/internal/request/hop"
	"github.com/daisytide/daisytide/internal/request/quarantine"
	"github.com/daisytide/daisytide/internal/version/traffic"
)

// scriptedUpstream runs every request but those of the path /shed, which it refuses.
// Before the answer to a request it writes what stray returns for the number of the
// request on its connection.
type scriptedUpstream struct {
	stray func(onConn int) string
	runs  atomic.Int64
}

func (u *scriptedUpstream) serve(conn net.Conn) {
	defer conn.Close()
	br := bufio.NewReader(conn)
	for n := 1; ; n++ {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(conn, u.stray(n))
		if r.URL.Path == "/shed" {
			_, _ = io.WriteString(conn, shedResponse)
			continue
		}
		u.runs.Add(1)
		time.Sleep(10 * time.Millisecond)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 3\r\n\r\nown", r.Header.Get("Id"))
	}
}

// shedResponse is the refusal of an upstream, which does not echo the request's ID.
const shedResponse = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"

// A faulty upstream writes an earlier refusal once more, or bytes that are no answer,
// where the next answer is expected. A request that ran was reported as refused, and
// ran at a second upstream; or its caller got the stray bytes as its success.
func TestStrayResponseIsNotTakenForTheOneThatIsDue(t *testing.T) {
	const strayTail = "Content-Length: 5\r\n\r\nstray"
	for name, tc := range map[string]struct {
		stray string
		// paths are requested one after the other; the last one must run and get its
		// own response.
		paths []string
	}{
		"a refusal once more":                          {shedResponse, []string{"/ok", "/shed", "/ok"}},
		"a success without id":                         {"HTTP/1.1 200 OK\r\n" + strayTail, []string{"/ok", "/ok"}},
		"a failure without id":                         {"HTTP/1.1 500 Failed\r\n" + strayTail, []string{"/ok", "/ok"}},
		"a success of another request":                 {"HTTP/1.1 200 OK\r\nId: old\r\n" + strayTail, []string{"/ok", "/ok"}},
		"a success without id, then a refusal without": {"HTTP/1.1 200 OK\r\n" + strayTail + shedResponse, []string{"/ok", "/ok"}},
	} {
		t.Run(name, func(t *testing.T) {
			g, _ := newGate(t, quarantine.NewEventSet(time.Now))
			var shed atomic.Bool
			u := &scriptedUpstream{stray: func(onConn int) string {
				// A refusal is written again after it was written first.
				if onConn == 1 || tc.stray == shedResponse && !shed.Load() {
					return ""
				}
				return tc.stray
			}}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					go u.serve(conn)
				}
			}()
			g.upstream.set(func(i *Instance) { i.Address = l.Addr().String() })
			var res hop.Result
			for n, path := range tc.paths {
				r := &hop.Request{Service: "s", Version: "v1", Route: "r", Kind: traffic.Once, Deadline: time.Now().Add(2 * time.Second), Objective: time.Now().Add(time.Second)}
				in := &h1.Request{Method: "POST", Target: path, Host: "a", Header: http.Header{"Id": {fmt.Sprint("id-", n)}}}
				res = g.Handle(context.Background(), r, in)
				if path == "/shed" {
					shed.Store(true)
					if res.Code != api.CallShed || res.Ran != api.RanNo {
						t.Fatalf("the refused request: %+v", res)
					}
				}
			}
			if res.Code != api.OK || string(res.Response.Body) != "own" {
				t.Errorf("%d runs, the last request ended with %+v", u.runs.Load(), res)
			}
		})
	}
}
