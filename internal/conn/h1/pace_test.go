package h1

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// A large paced message must arrive whole and leave the link free in between, so that
// small ones on other connections do not wait behind all of it.
func TestPacedMessagesAreSpreadAndWhole(t *testing.T) {
	const size = 160 << 10
	pace := &Pace{BytesPerSecond: 1 << 20}
	var written atomic.Int64
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &Server{
		Handler: func(_ context.Context, r *Request) *Response {
			body, err := r.ReadBody()
			if err != nil {
				return nil
			}
			return &Response{Status: 200, Header: http.Header{}, Body: body, Pace: pace, Written: func() { written.Add(1) }}
		},
		Limits: func() Limits {
			return Limits{HeaderBytes: 1 << 14, BodyBytes: 1 << 20, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
		},
		DeferContinue: true, MaxBufferedBytes: 1 << 20,
	}
	go func() { _ = s.Serve(l) }()
	var before, after atomic.Int64
	body := make([]byte, size)
	for i := range body {
		body[i] = byte(i % 251)
	}
	c := &Client{DialTimeout: time.Second, MaxIdleConns: 1}
	began := time.Now()
	resp, err := c.Do(context.Background(), l.Addr().String(), &ClientRequest{
		Method: "POST", Target: "/", Host: "a", Header: http.Header{}, Body: body, ExpectContinue: true, Pace: pace,
		BeforeBody: func(context.Context) error { before.Add(1); return nil }, AfterBody: func() { after.Add(1) },
	})
	if err != nil || string(resp.Body) != string(body) {
		t.Fatalf("%v", err)
	}
	// 160 KiB each way at 1 MiB/s, without the last chunks.
	if took := time.Since(began); took < 250*time.Millisecond {
		t.Errorf("took %v", took)
	}
	// The server calls Written after the last byte is sent, which the client may have
	// read before.
	for end := time.Now().Add(5 * time.Second); written.Load() == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if before.Load() != 1 || after.Load() != 1 || written.Load() != 1 {
		t.Errorf("before %d, after %d, written %d", before.Load(), after.Load(), written.Load())
	}
}

// A body that may not be sent must not be sent, and its request has not run.
func TestBodyIsNotSentIfItsTurnDoesNotCome(t *testing.T) {
	var runs atomic.Int64
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s := &Server{
		Handler: func(_ context.Context, r *Request) *Response {
			if _, err := r.ReadBody(); err == nil {
				runs.Add(1)
			}
			return &Response{Status: 200, Header: http.Header{}}
		},
		Limits: func() Limits {
			return Limits{HeaderBytes: 1 << 14, BodyBytes: 1 << 20, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}
		},
		DeferContinue: true, MaxBufferedBytes: 1 << 20,
	}
	go func() { _ = s.Serve(l) }()
	c := &Client{DialTimeout: time.Second}
	_, err = c.Do(context.Background(), l.Addr().String(), &ClientRequest{
		Method: "POST", Target: "/", Host: "a", Header: http.Header{}, Body: make([]byte, 1000), ExpectContinue: true,
		BeforeBody: func(context.Context) error { return io.ErrClosedPipe },
	})
	var e *Error
	if e, _ = err.(*Error); e == nil || e.FullySent {
		t.Errorf("%v", err)
	}
	time.Sleep(20 * time.Millisecond)
	if runs.Load() != 0 {
		t.Error("the request ran")
	}
}
