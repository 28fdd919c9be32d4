// Package rpc makes typed remote procedure calls between nodes: CBOR over the
// HTTP/2 connections that forwarded calls also use.
package rpc

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/dial"
	"github.com/daisytide/daisytide/internal/conn/wire"
	"github.com/daisytide/daisytide/internal/request/call"
)

// PathPrefix is the path prefix of RPC methods on the peer listener.
const PathPrefix = "/daisytide/rpc/"

// MaxBodyBytes bounds the body of a request and of a reply.
const MaxBodyBytes = 1 << 20

// Invoker calls methods of peers. Client implements it; tests use a fake.
type Invoker interface {
	// Call sends in to the peer's method and decodes the reply into out. An error
	// with a result code is returned as *api.Error.
	Call(ctx context.Context, address, method string, in, out any) error
}

// Client is an Invoker over HTTP.
type Client struct {
	HTTP *http.Client
	// PeerKey authenticates the node to its peers.
	PeerKey string
	// Scheme is http or https.
	Scheme string
	// BodyBytes counts the bytes of request and reply bodies.
	BodyBytes atomic.Uint64
}

// Call implements Invoker.
func (c *Client) Call(ctx context.Context, address, method string, in, out any) error {
	body, err := wire.Marshal(in)
	if err != nil {
		return fmt.Errorf("encode the request for %s: %w", method, err)
	}
	url := c.Scheme + "://" + address + PathPrefix + method
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("build a request to peer %s: %w", address, err)
	}
	// With GetBody, net/http would resend the request when the peer's connection
	// is lost, and read the first body while it is still being sent. Retries on
	// other peers are left to the users of this package.
	req.GetBody = nil
	req.Header.Set(call.HeaderPeerKey, c.PeerKey)
	resp, err := dial.Do(c.HTTP, req)
	if err != nil {
		return fmt.Errorf("call peer %s, method %s: %w", address, method, err)
	}
	defer resp.Body.Close()
	reply, err := io.ReadAll(io.LimitReader(resp.Body, MaxBodyBytes))
	if err != nil {
		return fmt.Errorf("read the reply of peer %s: %w", address, err)
	}
	c.BodyBytes.Add(uint64(len(body) + len(reply)))
	if resp.StatusCode != http.StatusOK {
		return decodeRefusal(resp, reply)
	}
	return wire.Unmarshal(reply, out)
}

// decodeRefusal turns an error reply into an *api.Error, or into a plain error
// if it has no result code.
func decodeRefusal(resp *http.Response, reply []byte) error {
	n, err := strconv.ParseUint(resp.Header.Get(call.HeaderCode), 10, 16)
	if err != nil {
		return fmt.Errorf("peer replied with status %s and no result code", resp.Status)
	}
	return api.Errorf(api.Code(n), "%s", bytes.TrimSpace(reply))
}

// Handle returns an HTTP handler that decodes the request, calls fn and encodes
// its reply. It expects that the peer key has been checked.
func Handle[In, Out any](fn func(ctx context.Context, in In) (Out, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
		if err != nil {
			writeRefusal(w, api.Errorf(api.PeerFrame, "read the request: %w", err))
			return
		}
		var in In
		if err := wire.Unmarshal(body, &in); err != nil {
			writeRefusal(w, err)
			return
		}
		out, err := fn(r.Context(), in)
		if err != nil {
			writeRefusal(w, err)
			return
		}
		reply, err := wire.Marshal(out)
		if err != nil {
			writeRefusal(w, err)
			return
		}
		_, _ = w.Write(reply)
	})
}

// writeRefusal writes err with its result code, in a header, and its message.
func writeRefusal(w http.ResponseWriter, err error) {
	code := api.CodeOf(err, api.PeerFrame)
	w.Header().Set(call.HeaderCode, strconv.Itoa(int(code)))
	status := api.Info(code).HTTP
	if status < http.StatusBadRequest {
		status = http.StatusInternalServerError
	}
	http.Error(w, err.Error(), status)
}
