package operated_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/kvstore"
	"github.com/daisytide/daisytide/internal/process/operator/client"
	"github.com/daisytide/daisytide/internal/standin/store"
)

// storeMode is how the store treats the calls of one node.
type storeMode int32

const (
	storeServes storeMode = iota
	// storeRefuses fails new calls at once. Watches in progress hear nothing more.
	storeRefuses
	// storeSilent never replies.
	storeSilent
	// storeLimits rejects new calls with 429. Watches in progress end as usual.
	storeLimits
)

// Timeouts of the platform's client, which a modalStore applies as well.
const (
	storeCallTimeout = time.Second
	watchReplyMargin = 700 * time.Millisecond
)

var errNoReply = errors.New("no reply")

// modalStore is the store as one node reaches it.
type modalStore struct {
	*store.Store
	mode atomic.Int32
}

func (m *modalStore) setMode(mode storeMode) { m.mode.Store(int32(mode)) }

// call makes a call unless the store refuses it, and holds its result back until the
// timeout while the store is silent.
func (m *modalStore) call(ctx context.Context, timeout time.Duration, op, key string, fn func(context.Context) error) error {
	if storeMode(m.mode.Load()) == storeRefuses {
		return &kvstore.Error{Op: op, Key: key, Outcome: kvstore.OutcomeNotReached, Err: errNoReply}
	}
	if storeMode(m.mode.Load()) == storeLimits {
		return &kvstore.Error{Op: op, Key: key, Outcome: kvstore.OutcomeRateLimited, Err: errNoReply}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := fn(ctx)
	if mode := storeMode(m.mode.Load()); mode == storeServes || mode == storeLimits {
		return err
	}
	<-ctx.Done()
	return &kvstore.Error{Op: op, Key: key, Outcome: kvstore.OutcomeUnknown, Err: ctx.Err()}
}

func (m *modalStore) Get(ctx context.Context, key string) (e kvstore.Entry, err error) {
	err = m.call(ctx, storeCallTimeout, "get", key, func(ctx context.Context) error {
		e, err = m.Store.Get(ctx, key)
		return err
	})
	return e, err
}

func (m *modalStore) List(ctx context.Context, prefix string, stale bool) (entries []kvstore.Entry, revision uint64, err error) {
	err = m.call(ctx, storeCallTimeout, "list", prefix, func(ctx context.Context) error {
		entries, revision, err = m.Store.List(ctx, prefix, stale)
		return err
	})
	return entries, revision, err
}

func (m *modalStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (entries []kvstore.Entry, revision uint64, err error) {
	err = m.call(ctx, wait+watchReplyMargin, "watch", prefix, func(ctx context.Context) error {
		entries, revision, err = m.Store.Watch(ctx, prefix, after, wait)
		return err
	})
	return entries, revision, err
}

func (m *modalStore) KeepAlive(ctx context.Context, id string) error {
	return m.call(ctx, storeCallTimeout, "keep-alive", id, func(ctx context.Context) error { return m.Store.KeepAlive(ctx, id) })
}

// watches reports whether the node watches the store.
func (h *host) watches() bool {
	c := &client.Client{BaseURL: "http://" + h.cfg.Operators.Listen, Token: h.cfg.Operators.Token, Operator: "ann", HTTP: http.DefaultClient}
	var out api.StatusResponse
	return c.Get(context.Background(), api.PathStatus, &out) == nil && out.Watcher
}

func (h *host) configuration() int {
	n, err := strconv.Atoi(h.gauge("configuration"))
	if err != nil {
		return 0
	}
	return n
}

// Guards against a fleet that stays on an old configuration because the nodes that watch
// the store are those that it does not serve.
func TestNodeThatTheStoreServesHasChangesInTimeWhileItServesNoOther(t *testing.T) {
	const (
		applyLimit = 2 * time.Second
		changes    = 12
		interval   = 300 * time.Millisecond
	)
	for name, mode := range map[string]storeMode{"refuses": storeRefuses, "silent": storeSilent, "limits": storeLimits} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := store.New(1)
			var fleet []*host
			stores := map[*host]*modalStore{}
			for n := range 12 {
				m := &modalStore{Store: s}
				h := startHostIn(t, m, string(rune('a'+n%3)), "near", fmt.Sprint("i-", n))
				fleet, stores[h] = append(fleet, h), m
			}
			t.Cleanup(func() {
				for _, h := range fleet {
					h.stop()
				}
			})
			writeConfig(t, s, 1)
			var served *host
			waitFor(t, "a settled fleet", func() bool {
				watchers := 0
				for _, h := range fleet {
					if h.configuration() != 1 {
						return false
					}
					if h.watches() {
						watchers++
					} else {
						served = h
					}
				}
				return watchers == 9
			})
			for _, h := range fleet {
				if h != served {
					stores[h].setMode(mode)
				}
			}
			ackedAt := map[int]time.Time{}
			inForce, next := 1, 2
			for end := time.Now().Add(changes*interval + applyLimit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				if next <= changes && (next == 2 || time.Since(ackedAt[next-1]) >= interval) {
					writeConfig(t, s, next)
					ackedAt[next] = time.Now()
					next++
				}
				for number := served.configuration(); inForce < number; {
					inForce++
					t.Logf("configuration %d in force after %v", inForce, time.Since(ackedAt[inForce]).Round(time.Millisecond))
				}
				if inForce+1 < next && time.Since(ackedAt[inForce+1]) > applyLimit {
					t.Fatalf("configuration %d is not in force %v after its acknowledgement", inForce+1, time.Since(ackedAt[inForce+1]))
				}
			}
		})
	}
}
