package rawserver

import (
	"io"
	"net"
	"testing"
)

// Frames of HTTP/2 (RFC 9113, 4.1 and 6).
const (
	clientPreface  = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
	frameHeaderLen = 9
	frameData      = 0
	frameHeaders   = 1
	frameSettings  = 4
	flagEndStream  = 1
	flagEndHeaders = 4
	// indexOfStatus stands for the name ":status" (RFC 7541, appendix A).
	indexOfStatus = 8
)

// StartHTTP2 starts a server that answers each request over HTTP/2 in cleartext with a
// header of each status in turn, and with body. It returns its address.
func StartHTTP2(t testing.TB, body string, statuses ...string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serveHTTP2(conn, body, statuses)
		}
	}()
	return l.Addr().String()
}

func serveHTTP2(conn net.Conn, body string, statuses []string) {
	defer conn.Close()
	if _, err := io.CopyN(io.Discard, conn, int64(len(clientPreface))); err != nil {
		return
	}
	write := func(kind, flags byte, stream [4]byte, payload string) {
		frame := append([]byte{0, 0, byte(len(payload)), kind, flags}, stream[:]...)
		_, _ = io.WriteString(conn, string(frame)+payload)
	}
	write(frameSettings, 0, [4]byte{}, "")
	for {
		var head [frameHeaderLen]byte
		if _, err := io.ReadFull(conn, head[:]); err != nil {
			return
		}
		if _, err := io.CopyN(io.Discard, conn, int64(head[0])<<16|int64(head[1])<<8|int64(head[2])); err != nil {
			return
		}
		if head[3] != frameHeaders {
			continue
		}
		stream := [4]byte(head[5:])
		for _, status := range statuses {
			write(frameHeaders, flagEndHeaders, stream, string([]byte{indexOfStatus, byte(len(status))})+status)
		}
		write(frameData, flagEndStream, stream, body)
	}
}
