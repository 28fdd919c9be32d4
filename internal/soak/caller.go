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
	host    *host
	checker *checker
	client  *http.Client
	ids     *atomic.Int64
}

func newCaller(h *host, c *checker, ids *atomic.Int64) *caller {
	return &caller{host: h, checker: c, ids: ids, client: &http.Client{Transport: &http.Transport{}}}
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
	prefix := c.checker.recentPrefix(rng)
	if rng.IntN(2) == 0 {
		prefix = fixedPrefixes[rng.IntN(len(fixedPrefixes))]
	}
	method, body := http.MethodGet, 0
	switch prefix {
	case prefixOnce:
		method, body = http.MethodPost, 100
	case prefixUpload:
		method, body = http.MethodPost, uploadBytes
	}
	start, stopping := c.host.state()
	observed := call{
		id: fmt.Sprintf("%x", c.ids.Add(1)), path: prefix + "1", host: c.host.number, start: start, atMostOnce: method == http.MethodPost,
		sentAt: time.Now(), stopping: stopping,
	}
	// The end of the run does not cancel a request in flight.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callerTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.host.callers+observed.path, bytes.NewReader(make([]byte, body)))
	if err != nil {
		c.checker.addViolation("create a request: %v", err)
		return
	}
	r.Host = routeHost
	r.Header.Set(platform.HeaderRequestID, observed.id)
	r.Header.Set(platform.HeaderDeadlineMillis, fmt.Sprint(callerTimeout.Milliseconds()))
	resp, err := c.client.Do(r)
	var text []byte
	if err == nil {
		text, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	observed.endedAt = time.Now()
	if at, _ := c.host.state(); at != start {
		observed.start = 0
	}
	if err != nil {
		observed.err = err.Error()
		c.checker.addCall(observed, nil, "")
		return
	}
	observed.status = resp.StatusCode
	c.checker.addCall(observed, resp, string(text))
}
