// Package rawserver is a stand-in HTTP server that sends given bytes as its responses.
package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// Server is the stand-in. It keeps its connections open after its responses.
type Server struct {
	// Address is host and port.
	Address string
	conns   atomic.Int64
}

// Conns returns the number of connections that were opened so far.
func (s *Server) Conns() int64 { return s.conns.Load() }

// Start starts a server until the test ends. respond returns the bytes that answer a
// request, and whether to close the connection after them.
func Start(t testing.TB, respond func(r *http.Request) (text string, closeConn bool)) *Server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &Server{Address: l.Addr().String()}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go serve(conn, respond)
		}
	}()
	return s
}

func serve(conn net.Conn, respond func(*http.Request) (string, bool)) {
	defer conn.Close()
	br := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		text, closeConn := respond(r)
		if _, err := io.WriteString(conn, text); err != nil || closeConn {
			return
		}
	}
}
