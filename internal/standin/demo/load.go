package demo

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/request/call"
	"github.com/daisytide/daisytide/internal/standin/cluster"
)

// callsPerSecond is the rate of calls to each service.
const callsPerSecond = 150

// Retries of a caller.
const (
	maxAttempts = 3
	retryDelay  = 50 * time.Millisecond
)

// maxUploadBytes is the size of the largest upload.
const maxUploadBytes = 64 << 10

// load sends calls at a steady rate through random hosts, as callers would.
type load struct {
	cluster *cluster.Cluster
	client  *http.Client
	seed    uint64

	calls           atomic.Uint64
	failed          atomic.Uint64
	wrongResponses  atomic.Uint64
	unknownOutcomes atomic.Uint64

	mu            sync.Mutex
	failedExample string
}

func newLoad(c *cluster.Cluster, seed uint64) *load {
	transport := &http.Transport{MaxIdleConnsPerHost: connections}
	return &load{cluster: c, client: &http.Client{Transport: transport}, seed: seed}
}

// run sends calls until ctx ends, then waits for those in progress.
func (l *load) run(ctx context.Context) {
	var wg sync.WaitGroup
	for i, s := range services {
		wg.Add(1)
		go func() {
			defer wg.Done()
			l.runService(ctx, s, rand.New(rand.NewPCG(l.seed, uint64(i))))
		}()
	}
	wg.Wait()
	l.client.CloseIdleConnections()
}

func (l *load) runService(ctx context.Context, s service, rng *rand.Rand) {
	ticker := time.NewTicker(time.Second / callsPerSecond)
	defer ticker.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for id := 0; ; id++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		size := 0
		if s.method == http.MethodPost {
			size = rng.IntN(maxUploadBytes)
		}
		first := rng.IntN(len(l.cluster.Hosts))
		wg.Add(1)
		go func() {
			defer wg.Done()
			l.call(s, id, size, first)
		}()
	}
}

// call makes one call. After a failed attempt it retries through another host, as
// a caller may.
func (l *load) call(s service, id, size, first int) {
	l.calls.Add(1)
	key := ""
	if !s.idempotent {
		key = fmt.Sprintf("%s-%d", s.name, id)
	}
	var lastCode string
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		host := l.cluster.Hosts[(first+attempt)%len(l.cluster.Hosts)]
		code, done := l.attempt(s, host, id, size, key, attempt)
		if done {
			return
		}
		lastCode = code
		time.Sleep(retryDelay)
	}
	if lastCode == strconv.Itoa(int(api.CallOutcomeUnknown)) {
		l.unknownOutcomes.Add(1)
	}
	l.failed.Add(1)
	l.keepExample(fmt.Sprintf("%s%s: %s", s.name, s.path, lastCode))
}

// attempt sends one attempt. done means that the caller has a response and does
// not retry; otherwise code describes the failure.
func (l *load) attempt(s service, host *cluster.Host, id, size int, key string, attempt int) (code string, done bool) {
	path := fmt.Sprintf("%s/%d", s.path, id)
	req, err := http.NewRequest(s.method, host.CallerBase()+path, bytes.NewReader(make([]byte, size)))
	if err != nil {
		return err.Error(), false
	}
	if key != "" {
		req.Header.Set(call.HeaderIdempotencyKey, key)
		req.Header.Set(call.HeaderAttempt, strconv.Itoa(attempt))
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return err.Error(), false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error(), false
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Sprintf("%d code %s", resp.StatusCode, resp.Header.Get(call.HeaderCode)), false
	}
	if !strings.HasSuffix(string(body), fmt.Sprintf(" %s key=%s body=%d\n", path, key, size)) {
		l.wrongResponses.Add(1)
		l.keepExample(fmt.Sprintf("%s answered %q", path, body))
	}
	return "", true
}

// keepExample keeps the latest failed call or wrong response as an example for the
// report.
func (l *load) keepExample(example string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failedExample = example
}

// addToReport copies the load's counts into the report.
func (l *load) addToReport(r *Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Calls = l.calls.Load()
	r.CallsFailed = l.failed.Load()
	r.CallsWrong = l.wrongResponses.Load()
	r.CallsUnknown = l.unknownOutcomes.Load()
	r.FailedExample = l.failedExample
}
