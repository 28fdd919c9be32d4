package h1

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
)

// smuggled is a request that stands in the body of another one.
const smuggled = "POST /smuggled HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"

// A caller's request with a blank in the name of a field that frames the body was taken
// for one without a body, and its body ran as a second request. It must be refused, its
// connection closed, and a request ahead of it answered.
func TestRequestWithMalformedNameIsRefusedAndNotHandled(t *testing.T) {
	lines := map[string]string{"length of the body with a blank": "Content-Length : " + strconv.Itoa(len(smuggled))}
	for name, line := range malformedNames {
		lines[name] = line
	}
	for name, line := range lines {
		for i, format := range []string{
			"POST / HTTP/1.1\r\nHost: a\r\n%s\r\n\r\n" + smuggled,
			"POST / HTTP/1.1\r\n%s\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello" + smuggled,
			"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n%s\r\n\r\nhello" + smuggled,
			"POST / HTTP/1.1\r\nHost: a\r\n%s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled,
			"GET / HTTP/1.1\r\nHost: a\r\n%s\r\nExpect: 100-continue\r\n\r\n",
			"GET / HTTP/1.1\r\nHost: a\r\n%s\r\nConnection: close\r\n\r\n" + smuggled,
		} {
			t.Run(fmt.Sprintf("%s, %d", name, i), func(t *testing.T) {
				t.Parallel()
				sent := fmt.Sprintf(format, line)
				var handled atomic.Int64
				address := startServer(t, &Server{DeferContinue: true, Handler: func(_ context.Context, r *Request) *Response {
					handled.Add(1)
					return textResponse(http.StatusOK, r.Target)
				}})
				conn, br := dialServer(t, address)
				_, _ = io.WriteString(conn, "GET /first HTTP/1.1\r\nHost: a\r\n\r\n"+sent)
				if _, text := readTestResponse(t, br); text != "/first" {
					t.Errorf("%q: the request ahead got %q", sent, text)
				}
				if resp, _ := readTestResponse(t, br); resp.StatusCode != http.StatusBadRequest || !resp.Close {
					t.Errorf("%q: status %d, close %v; want 400 and close", sent, resp.StatusCode, resp.Close)
				}
				if rest, _ := io.ReadAll(br); len(rest) > 0 || handled.Load() != 1 {
					t.Errorf("%q: %d requests handled, then %q", sent, handled.Load(), rest)
				}
			})
		}
	}
}

// A blank in the name of a trailer is refused too.
func TestRequestWithMalformedTrailerIsRefusedAndNotHandled(t *testing.T) {
	for line, want := range map[string]int{"X-Y: 1": http.StatusOK, "X Y: 1": http.StatusBadRequest, "Content-Length : 5": http.StatusBadRequest} {
		address := startServer(t, &Server{Handler: func(context.Context, *Request) *Response { return textResponse(http.StatusOK, "") }})
		conn, br := dialServer(t, address)
		fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n%s\r\n\r\n", line)
		if resp, _ := readTestResponse(t, br); resp.StatusCode != want || resp.Close != (want != http.StatusOK) {
			t.Errorf("%q: status %d, close %v", line, resp.StatusCode, resp.Close)
		}
	}
}

// A deferred body with a malformed trailer is not given to the handler.
func TestDeferredBodyWithMalformedTrailerIsAnError(t *testing.T) {
	address := startServer(t, &Server{DeferContinue: true, Handler: func(_ context.Context, r *Request) *Response {
		body, err := r.ReadBody()
		return textResponse(http.StatusOK, fmt.Sprintf("%s %v", body, err))
	}})
	conn, br := dialServer(t, address)
	fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX Y: 1\r\n\r\n")
	for {
		resp, text := readTestResponse(t, br)
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if !strings.Contains(text, "malformed") {
			t.Errorf("the handler got %q", text)
		}
		return
	}
}
