// Package rpc carries a typed question from one node to another and brings
// back its answer: CBOR over the HTTP/2 connection that calls use too.
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
	"github.com/daisytide/daisytide/internal/conn/wire"
	"github.com/daisytide/daisytide/internal/request/call"
)

// Prefix is where the peer listener takes questions.
const PathPrefix = "/daisytide/rpc/"

// MaxBodyBytes bounds a question and an answer.
const MaxBodyBytes = 1 << 20

// Caller asks peers. Client implements it; tests use a fake.
type Invoker interface {
	// Call sends in to the peer's method and decodes the answer into out.
	// A numbered refusal of the peer comes back as *api.Error.
	Call(ctx context.Context, address, method string, in, out any) error
}

// Client is a Caller over HTTP.
type Client struct {
	HTTP *http.Client
	// Key is the peer key.
	PeerKey string
	// Scheme is http or https.
	Scheme string
	// Bytes counts the bodies of questions and answers.
	BodyBytes atomic.Uint64
}

// Call implements Caller.
func (c *Client) Call(ctx context.Context, address, method string, in, out any) error {
	body, err := wire.Marshal(in)
	if err != nil {
		return fmt.Errorf("encode %s: %w", method, err)
	}
	url := c.Scheme + "://" + address + PathPrefix + method
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("ask %s: %w", address, err)
	}
	// With GetBody net/http would send a question again when the peer's connection
	// goes away, and look at the first body while it is still being sent. Askers
	// have other peers to turn to.
	req.GetBody = nil
	req.Header.Set(call.HeaderPeerKey, c.PeerKey)
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return fmt.Errorf("ask %s for %s: %w", address, method, err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, MaxBodyBytes))
	if err != nil {
		return fmt.Errorf("read the answer of %s: %w", address, err)
	}
	c.BodyBytes.Add(uint64(len(body) + len(answer)))
	if resp.StatusCode != http.StatusOK {
		return refusal(resp, answer)
	}
	return wire.Unmarshal(answer, out)
}

func refusal(resp *http.Response, answer []byte) error {
	n, err := strconv.ParseUint(resp.Header.Get(call.HeaderCode), 10, 16)
	if err != nil {
		return fmt.Errorf("peer answered %s", resp.Status)
	}
	return api.Errorf(api.Code(n), "%s", bytes.TrimSpace(answer))
}

// Handle makes an HTTP handler of fn. The peer key was checked before it.
func Handle[In, Out any](fn func(ctx context.Context, in In) (Out, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
		if err != nil {
			refuse(w, api.Errorf(api.PeerFrame, "read: %w", err))
			return
		}
		var in In
		if err := wire.Unmarshal(body, &in); err != nil {
			refuse(w, err)
			return
		}
		out, err := fn(r.Context(), in)
		if err != nil {
			refuse(w, err)
			return
		}
		answer, err := wire.Marshal(out)
		if err != nil {
			refuse(w, err)
			return
		}
		_, _ = w.Write(answer)
	})
}

func refuse(w http.ResponseWriter, err error) {
	code := api.CodeOf(err, api.PeerFrame)
	w.Header().Set(call.HeaderCode, strconv.Itoa(int(code)))
	status := api.Info(code).HTTP
	if status < http.StatusBadRequest {
		status = http.StatusInternalServerError
	}
	http.Error(w, err.Error(), status)
}
