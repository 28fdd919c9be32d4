package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/daisytide/daisytide/platform"
)

const (
	// callerTimeout is how long a caller waits for a response. It is also sent as
	// the request's deadline.
	callerTimeout = 1500 * time.Millisecond
	// meanRequestInterval is the mean time between two requests of one caller.
	meanRequestInterval = 60 * time.Millisecond
	// uploadBytes is the size of a large body.
	uploadBytes     = 200_000
	routeHost       = "soak.example"
	signatureHeader = platform.HeaderSignature
)

// caller sends requests to its own host over persistent connections.
type caller struct {
	host         *host
	checker      *checker
	latestConfig func() int
	client       *http.Client
	ids          *atomic.Int64
}

func (c *caller) run(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 5))
	for ctx.Err() == nil {
		c.sendOne(ctx, rng)
		sleep(ctx, time.Duration(rng.ExpFloat64()*float64(meanRequestInterval)))
	}
}

// sendOne sends one request of a random kind and records its result.
func (c *caller) sendOne(ctx context.Context, rng *rand.Rand) {
	method, path, body := http.MethodGet, "/read/1", 0
	switch rng.IntN(8) {
	case 0, 1, 2:
		method, path, body = http.MethodPost, "/once/1", 100
	case 3:
		method, path, body = http.MethodPost, "/up/1", uploadBytes
	case 4, 5:
		path = fmt.Sprintf("/v%d/1", max(1, c.latestConfig()-rng.IntN(3)))
	}
	start, stopping := c.host.state()
	observed := call{
		id: fmt.Sprintf("%x", c.ids.Add(1)), path: path, host: c.host.number, start: start, atMostOnce: method == http.MethodPost,
		sentAt: time.Now(), stopping: stopping,
	}
	// The end of the run does not cancel a request in flight.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callerTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.host.callers+path, bytes.NewReader(make([]byte, body)))
	if err != nil {
		c.checker.addViolation("create a request: %v", err)
		return
	}
	r.Host = routeHost
	r.Header.Set(platform.HeaderRequestID, observed.id)
	r.Header.Set(platform.HeaderDeadlineMillis, fmt.Sprint(callerTimeout.Milliseconds()))
	resp, err := c.client.Do(r)
	if err != nil {
		observed.err = err.Error()
		c.checker.addCall(observed, nil, "")
		return
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		observed.err = err.Error()
		c.checker.addCall(observed, nil, "")
		return
	}
	observed.status = resp.StatusCode
	c.checker.addCall(observed, resp, string(text))
}
