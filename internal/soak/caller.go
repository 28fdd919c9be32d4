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
	// callerLimit is how long a caller waits; it tells the node so.
	callerLimit = 1500 * time.Millisecond
	// callerPause is the mean time between two requests of one caller.
	callerPause = 60 * time.Millisecond
	// uploadBytes is the size of a large body.
	uploadBytes = 200_000
	hostName    = "soak.example"
	signature   = platform.HeaderSignature
)

// caller sends requests to its own host over connections that it keeps.
type caller struct {
	host   *host
	record *record
	latest func() int
	client *http.Client
	ids    *atomic.Int64
}

func (c *caller) run(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 5))
	for ctx.Err() == nil {
		c.one(ctx, rng)
		sleep(ctx, time.Duration(rng.ExpFloat64()*float64(callerPause)))
	}
}

// one sends a request of a random kind.
func (c *caller) one(ctx context.Context, rng *rand.Rand) {
	method, path, body := http.MethodGet, "/read/1", 0
	switch rng.IntN(8) {
	case 0, 1, 2:
		method, path, body = http.MethodPost, "/once/1", 100
	case 3:
		method, path, body = http.MethodPost, "/up/1", uploadBytes
	case 4, 5:
		path = fmt.Sprintf("/v%d/1", max(1, c.latest()-rng.IntN(3)))
	}
	start, stopping := c.host.state()
	s := sent{
		id: fmt.Sprintf("%x", c.ids.Add(1)), path: path, host: c.host.number, start: start, once: method == http.MethodPost,
		at: time.Now(), stopping: stopping,
	}
	// A call that was sent is waited for, also at the end of the run.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callerLimit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.host.callers+path, bytes.NewReader(make([]byte, body)))
	if err != nil {
		c.record.find("a request cannot be made: %v", err)
		return
	}
	r.Host = hostName
	r.Header.Set(platform.HeaderRequestID, s.id)
	r.Header.Set(platform.HeaderDeadlineMillis, fmt.Sprint(callerLimit.Milliseconds()))
	resp, err := c.client.Do(r)
	if err != nil {
		s.err = err.Error()
		c.record.done(s, nil, "")
		return
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		s.err = err.Error()
		c.record.done(s, nil, "")
		return
	}
	s.status = resp.StatusCode
	c.record.done(s, resp, string(text))
}
