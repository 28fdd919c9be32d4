package dial

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"

	"github.com/daisytide/daisytide/internal/conn/header"
)

// Do sends a request as client.Do does, and fails if a response is malformed.
func Do(client *http.Client, req *http.Request) (*http.Response, error) {
	checked := *client
	checked.Transport = CheckResponses(client.Transport)
	return checked.Do(req)
}

// CheckResponses returns a transport that sends requests with next, or with
// http.DefaultTransport if that is nil, and fails if a response is malformed.
func CheckResponses(next http.RoundTripper) http.RoundTripper {
	if next == nil {
		next = http.DefaultTransport
	}
	return checkingTransport{next: next}
}

type checkingTransport struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t checkingTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	var used usedConn
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn:        used.set,
		Got1xxResponse: CheckInterimResponse,
	})
	resp, err := t.next.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := CheckResponse(req, resp, used.get()); err != nil {
		return nil, err
	}
	return resp, nil
}

// usedConn is the connection that a request was sent on last.
type usedConn struct {
	mu   sync.Mutex
	conn net.Conn
}

func (u *usedConn) set(info httptrace.GotConnInfo) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.conn = info.Conn
}

func (u *usedConn) get() net.Conn {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.conn
}

// CheckInterimResponse returns an error if an interim response is malformed. It is a hook
// for httptrace.ClientTrace, which gets 101 over HTTP/2 alone: that has no such status (RFC
// 9113, 8.6).
func CheckInterimResponse(status int, h textproto.MIMEHeader) error {
	if status == http.StatusSwitchingProtocols {
		return header.ErrSwitch
	}
	return header.CheckNames(http.Header(h))
}

// CheckResponse returns an error if a response of net/http to req is malformed, and makes
// reads of its body fail if a trailer is. It then closes the body and, if the response came
// over HTTP/1.1 and conn is not nil, conn: the transport may have kept it for reuse already.
func CheckResponse(req *http.Request, resp *http.Response, conn net.Conn) error {
	err := header.CheckStatus(resp, req.Header.Get("Upgrade") != "")
	if err == nil {
		err = header.CheckNames(resp.Header)
	}
	if err != nil {
		closeAfter(resp, conn)
		return err
	}
	if len(resp.TransferEncoding) > 0 && resp.Body != http.NoBody {
		resp.Body = &trailerCheckingBody{ReadCloser: resp.Body, resp: resp, conn: conn}
	}
	return nil
}

// closeAfter ends the connection of a malformed response.
func closeAfter(resp *http.Response, conn net.Conn) {
	if conn != nil && resp.ProtoMajor == 1 {
		_ = conn.Close()
	}
	_ = resp.Body.Close()
}

// trailerCheckingBody is the body of a chunked response. It ends with an error if a
// trailer is malformed.
type trailerCheckingBody struct {
	io.ReadCloser
	resp *http.Response
	conn net.Conn
}

// Read implements io.Reader.
func (b *trailerCheckingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if malformed := header.CheckNames(b.resp.Trailer); malformed != nil {
		closeAfter(b.resp, b.conn)
		return n, malformed
	}
	return n, err
}
