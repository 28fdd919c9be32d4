package h1

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
)

// BenchmarkRequest measures one small request on a kept connection, as most callers
// send them, and one with a larger response.
func BenchmarkRequest(b *testing.B) {
	for name, size := range map[string]int{"small": 100, "large": 256 << 10} {
		b.Run(name, func(b *testing.B) {
			l, err := Listen("127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			defer l.Close()
			body := []byte(strings.Repeat("a", size))
			s := &Server{
				Handler: func(context.Context, *Request) *Response {
					return &Response{Status: 200, Header: http.Header{}, Body: body}
				},
				Limits:           func() Limits { return testLimits },
				RefusalResponse:  func(status int, _ string) *Response { return &Response{Status: status, Header: http.Header{}} },
				MaxBufferedBytes: 1 << 20,
			}
			go func() { _ = s.Serve(l) }()
			conn, err := (Dialer(testTimeout)).Dial("tcp", l.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer conn.Close()
			br := bufio.NewReader(conn)
			head := 0
			b.ReportAllocs()
			for b.Loop() {
				if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\nX-Trace: abc\r\n\r\n"); err != nil {
					b.Fatal(err)
				}
				head = 0
				for {
					line, err := br.ReadSlice('\n')
					if err != nil {
						b.Fatal(err)
					}
					if head += len(line); len(line) == 2 {
						break
					}
				}
				if _, err := br.Discard(size); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
