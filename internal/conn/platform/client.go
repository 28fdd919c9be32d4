package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"
)

// Paths of the store's protocol.
const (
	PathGet   = "/kv"
	PathList  = "/list"
	PathWatch = "/watch"
	PathSwap  = "/swap"
	PathLease = "/lease"
)

// SwapRequest is the body of PathSwap.
type SwapRequest struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	Value    []byte `json:"value"`
	Lease    string `json:"lease,omitempty"`
}

// LeaseOp is what a LeaseRequest asks for.
type LeaseOp string

// The operations on leases.
const (
	LeaseGrant     LeaseOp = "grant"
	LeaseKeepAlive LeaseOp = "keep-alive"
	LeaseRevoke    LeaseOp = "revoke"
)

// LeaseRequest is the body of PathLease.
type LeaseRequest struct {
	Op        LeaseOp `json:"op"`
	ID        string  `json:"id,omitempty"`
	TTLMillis int64   `json:"ttl_millis,omitempty"`
}

// Reply is every answer of the store.
type Reply struct {
	Entry    Entry   `json:"entry"`
	Entries  []Entry `json:"entries,omitempty"`
	Revision uint64  `json:"revision,omitempty"`
	Lease    Lease   `json:"lease,omitzero"`
	Message  string  `json:"message,omitempty"`
}

// maxReplyBytes bounds an answer: a few values in base64.
const maxReplyBytes = 8 * MaxValueBytes

// Client is a Store over HTTP.
type Client struct {
	// Base is the store's URL.
	Base string
	HTTP *http.Client
	// Timeout bounds each call but a watch.
	Timeout time.Duration
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	out, err := c.read(ctx, "get", key, PathGet+"?key="+url.QueryEscape(key))
	return out.Entry, err
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, error) {
	out, err := c.read(ctx, "list", prefix, PathList+"?prefix="+url.QueryEscape(prefix))
	return out.Entries, err
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64) ([]Entry, uint64, error) {
	path := PathWatch + "?prefix=" + url.QueryEscape(prefix) + "&after=" + strconv.FormatUint(after, 10)
	out, err := c.do(ctx, "watch", prefix, http.MethodGet, path, nil)
	return out.Entries, out.Revision, err
}

// CompareAndSwap implements Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte, lease string) (Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	in := SwapRequest{Key: key, Revision: revision, Value: value, Lease: lease}
	out, err := c.do(ctx, "cas", key, http.MethodPost, PathSwap, in)
	return out.Entry, err
}

// Grant implements Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (Lease, error) {
	out, err := c.lease(ctx, LeaseRequest{Op: LeaseGrant, TTLMillis: ttl.Milliseconds()})
	return out.Lease, err
}

// KeepAlive implements Store.
func (c *Client) KeepAlive(ctx context.Context, id string) error {
	_, err := c.lease(ctx, LeaseRequest{Op: LeaseKeepAlive, ID: id})
	return err
}

// Revoke implements Store.
func (c *Client) Revoke(ctx context.Context, id string) error {
	_, err := c.lease(ctx, LeaseRequest{Op: LeaseRevoke, ID: id})
	return err
}

func (c *Client) lease(ctx context.Context, in LeaseRequest) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	return c.do(ctx, string(in.Op), in.ID, http.MethodPost, PathLease, in)
}

func (c *Client) read(ctx context.Context, op, key, path string) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	return c.do(ctx, op, key, http.MethodGet, path, nil)
}

// do makes one call. An error before the request was written means that it
// was not reached; any later one leaves the outcome unknown.
func (c *Client) do(ctx context.Context, op, key, method, path string, in any) (Reply, error) {
	var wrote atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaders: func() { wrote.Store(true) },
	})
	fail := func(o Outcome, err error) (Reply, error) {
		return Reply{}, &Error{Op: op, Key: key, Outcome: o, Err: err}
	}
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return fail(OutcomeRefused, err)
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.Base+path, body)
	if err != nil {
		return fail(OutcomeRefused, err)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		if wrote.Load() {
			return fail(OutcomeUnknown, err)
		}
		return fail(OutcomeNotReached, err)
	}
	defer resp.Body.Close()
	var out Reply
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReplyBytes)).Decode(&out); err != nil {
		return fail(OutcomeUnknown, err)
	}
	if resp.StatusCode == http.StatusOK {
		return out, nil
	}
	return out, statusError(op, key, resp.StatusCode, out)
}

func statusError(op, key string, status int, out Reply) error {
	e := &Error{Op: op, Key: key, Outcome: OutcomeUnknown, Err: fmt.Errorf("status %d", status)}
	switch status {
	case http.StatusConflict:
		e.Outcome, e.Current, e.Err = OutcomeConflict, out.Entry, nil
	case http.StatusTooManyRequests:
		e.Outcome = OutcomeLimited
	case http.StatusBadRequest:
		e.Outcome, e.Err = OutcomeRefused, errors.New(out.Message)
	case http.StatusServiceUnavailable:
		e.Outcome = OutcomeNotReached
	}
	return e
}
