// Package client calls the operator listener of a node.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/daisytide/daisytide/api"
)

// maxAnswerBytes bounds an answer of the operator listener.
const maxAnswerBytes = 8 << 20

// headerBase carries the configuration number that an operator started from.
const headerBase = "Daisytide-Base"

// Client calls one node.
type Client struct {
	// Base is the URL of the operator listener.
	Base     string
	Token    string
	Operator string
	HTTP     *http.Client
}

// Apply takes a document to the node. base is the configuration number that
// the operator started from, 0 for whichever is in force. Whatever the
// outcome, it stands in the response; err means that no answer came, so that
// the outcome is unknown.
func (c *Client) Apply(ctx context.Context, text []byte, base uint64) (api.ApplyResponse, error) {
	var out api.ApplyResponse
	err := c.do(ctx, http.MethodPost, api.PathConfig, text, base, &out)
	if refusal, ok := err.(*api.Error); ok {
		return api.ApplyResponse{Outcome: api.ApplyRefused, Error: refusal}, nil
	}
	return out, err
}

// Validate checks a document against the configuration in force.
func (c *Client) Validate(ctx context.Context, text []byte) error {
	var out api.ApplyResponse
	return c.do(ctx, http.MethodPost, api.PathValidate, text, 0, &out)
}

// Get reads path into out.
func (c *Client) Get(ctx context.Context, path string, out any) error {
	return c.do(ctx, http.MethodGet, path, nil, 0, out)
}

// Order sends an operator's order to a move.
func (c *Client) Order(ctx context.Context, o api.RolloutOrder) (api.RolloutsResponse, error) {
	var out api.RolloutsResponse
	b, err := json.Marshal(o)
	if err != nil {
		return out, fmt.Errorf("encode the order: %w", err)
	}
	return out, c.do(ctx, http.MethodPost, api.PathRollouts, b, 0, &out)
}

func (c *Client) do(ctx context.Context, method, path string, in []byte, base uint64, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.Base+path, bytes.NewReader(in))
	if err != nil {
		return fmt.Errorf("ask the node: %w", err)
	}
	req.Header.Set(api.HeaderToken, c.Token)
	req.Header.Set(api.HeaderOperator, c.Operator)
	if base != 0 {
		req.Header.Set(headerBase, strconv.FormatUint(base, 10))
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return fmt.Errorf("ask the node: %w", err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return fmt.Errorf("read the node's answer: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return refusal(resp, b, out)
	}
	return decode(b, out)
}

// refusal reads an answer that is not 200: an apply's outcome or an error.
func refusal(resp *http.Response, b []byte, out any) error {
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

func decode(b []byte, out any) error {
	if err := json.Unmarshal(b, out); err != nil {
		return fmt.Errorf("decode the node's answer: %w", err)
	}
	return nil
}
