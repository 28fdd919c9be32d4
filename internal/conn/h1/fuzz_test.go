package h1

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// Whatever bytes a caller sends, the server must send only valid HTTP/1.1
// responses. This is not a fuzz target, because each case takes as long as the
// server's lingering close.
func TestMutatedRequestsGetValidResponses(t *testing.T) {
	limits := Limits{HeaderBytes: 4096, BodyBytes: 4096, HeaderTimeout: 50 * time.Millisecond, IdleTimeout: 50 * time.Millisecond}
	address := startServer(t, &Server{
		Handler: func(_ context.Context, r *Request) *Response {
			return &Response{Status: 200, Header: http.Header{}, Body: r.Body}
		},
		Limits: func() Limits { return limits },
	})
	seeds := []string{
		"GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET",
	}
	rng := rand.New(rand.NewPCG(1, 1))
	var cases sync.WaitGroup
	for i := range 300 {
		sent := []byte(seeds[i%len(seeds)])
		for range i / 100 {
			sent[rng.IntN(len(sent))] = byte(rng.IntN(256))
		}
		cases.Go(func() { sendRawBytes(t, address, sent) })
	}
	cases.Wait()
}

func sendRawBytes(t *testing.T, address string, sent []byte) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Error(err)
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	_, _ = conn.Write(sent)
	// A reset may cut off what is received; complete responses must be valid.
	received, _ := io.ReadAll(conn)
	br := bufio.NewReader(bytes.NewReader(received))
	for {
		if _, err := br.Peek(1); err != nil {
			return
		}
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Errorf("sent %q, received an invalid response in %q", sent, received)
			return
		}
		_, _ = io.Copy(io.Discard, resp.Body)
	}
}

// FuzzAnswer checks that the client never accepts a response that echoes another
// request's ID, nor one after a status below 100, whatever bytes an upstream sends.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 3\r\n\r\nabc"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: 6\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK\r\nId: 7\r\n\r\nrest"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 000 Odd\r\n\r\nHTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 3\r\n\r\nabc"))
	f.Fuzz(func(t *testing.T, sent []byte) {
		clientEnd, serverEnd := net.Pipe()
		go func() {
			_, _ = io.CopyN(io.Discard, serverEnd, 1)
			go func() { _, _ = io.Copy(io.Discard, serverEnd) }()
			_, _ = serverEnd.Write(sent)
			_ = serverEnd.Close()
		}()
		_ = clientEnd.SetDeadline(time.Now().Add(5 * time.Second))
		x := &exchange{
			ctx: context.Background(), client: newTestClient(), conn: newClientConn(clientEnd),
			req: &ClientRequest{Method: "GET", Target: "/", Host: "a", Header: http.Header{"Id": {"7"}}, IDHeader: "Id", ID: "7"},
		}
		resp, err := x.run()
		_ = clientEnd.Close()
		if err == nil {
			if id := resp.Header.Get("Id"); id != "" && id != "7" {
				t.Errorf("the client accepted the response to request %q", id)
			}
			if bytes.HasPrefix(sent, []byte("HTTP/1.1 0")) {
				t.Errorf("the client accepted %q", sent)
			}
		}
	})
}
