// Package client calls the operator listener of a node.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/dial"
)

// maxResponseBytes is the maximum size of a response that is read.
const maxResponseBytes = 8 << 20

// Client calls the operator listener of one node.
type Client struct {
	// BaseURL is the URL of the operator listener.
	BaseURL  string
	Token    string
	Operator string
	HTTP     *http.Client
}

// Apply sends a document to the node once. base is the configuration number
// that the document is based on, 0 for any. The response holds the outcome if
// the node replied. After an error with the code api.OperatorNoAnswer, nothing
// was sent; after any other error the outcome is unknown. ApplyOnce resolves
// such an outcome.
func (c *Client) Apply(ctx context.Context, text []byte, base uint64) (api.ApplyResponse, error) {
	return c.applySession(ctx, text, base, "")
}

func (c *Client) applySession(ctx context.Context, text []byte, base uint64, session string) (api.ApplyResponse, error) {
	var out api.ApplyResponse
	h := http.Header{}
	if base != 0 {
		h.Set(api.HeaderBase, strconv.FormatUint(base, 10))
	}
	if session != "" {
		h.Set(api.HeaderSession, session)
	}
	err := c.send(ctx, http.MethodPost, api.PathConfig, text, h, &out)
	var refusal *api.Error
	if errors.As(err, &refusal) && refusal.Code != api.OperatorNoAnswer {
		return api.ApplyResponse{Outcome: api.ApplyRefused, Error: refusal}, nil
	}
	return out, err
}

// Validate checks a document against the configuration in force and returns
// its number.
func (c *Client) Validate(ctx context.Context, text []byte) (uint64, error) {
	var out api.ApplyResponse
	err := c.send(ctx, http.MethodPost, api.PathValidate, text, nil, &out)
	return out.Number, err
}

// Get requests path and decodes the response into out.
func (c *Client) Get(ctx context.Context, path string, out any) error {
	return c.send(ctx, http.MethodGet, path, nil, nil, out)
}

// SendOrder sends an operator's order for a rollout.
func (c *Client) SendOrder(ctx context.Context, o api.RolloutOrder) (api.RolloutsResponse, error) {
	var out api.RolloutsResponse
	b, err := json.Marshal(o)
	if err != nil {
		return out, fmt.Errorf("encode the order: %w", err)
	}
	return out, c.send(ctx, http.MethodPost, api.PathRollouts, b, nil, &out)
}

// send sends one request. If no connection to the node could be opened, the
// error is api.OperatorNoAnswer; after any other error without a result code
// the request may have taken effect.
func (c *Client) send(ctx context.Context, method, path string, in []byte, h http.Header, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.BaseURL+path, bytes.NewReader(in))
	if err != nil {
		return fmt.Errorf("request to the node: %w", err)
	}
	if h != nil {
		req.Header = h
	}
	req.Header.Set(api.HeaderToken, c.Token)
	req.Header.Set(api.HeaderOperator, c.Operator)
	resp, err := dial.Do(c.HTTP, req)
	var dialError *net.OpError
	if errors.As(err, &dialError) && dialError.Op == "dial" {
		return api.Errorf(api.OperatorNoAnswer, "%w", err)
	}
	if err != nil {
		return fmt.Errorf("request to the node: %w", err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("read the node's response: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return decodeRefusal(resp, b, out)
	}
	return decodeResponse(b, out)
}

// decodeRefusal decodes a response with a status other than 200: the outcome of
// an apply, or an error.
func decodeRefusal(resp *http.Response, b []byte, out any) error {
	if apply, ok := out.(*api.ApplyResponse); ok {
		if err := json.Unmarshal(b, apply); err == nil && apply.Outcome != "" {
			return nil
		}
	}
	var e api.Error
	if err := json.Unmarshal(b, &e); err != nil || e.Code == 0 {
		return fmt.Errorf("the node answered %s", resp.Status)
	}
	return &e
}

func decodeResponse(b []byte, out any) error {
	if err := json.Unmarshal(b, out); err != nil {
		return fmt.Errorf("decode the node's response: %w", err)
	}
	return nil
}
