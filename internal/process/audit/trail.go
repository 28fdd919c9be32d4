package audit

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	mathrand "math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/api"
	"github.com/daisytide/daisytide/internal/conn/kvstore"
	"github.com/daisytide/daisytide/internal/ctxtime"
)

// Timing of writes to the store.
const (
	// batchDelay is how long the first queued entry waits for others, so that they
	// share one write.
	batchDelay = 200 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay after a failed write.
	minRetryDelay = 500 * time.Millisecond
	maxRetryDelay = 30 * time.Second
	// shutdownTimeout bounds the write of queued entries when the node stops.
	shutdownTimeout = 2 * time.Second
	// writeTimeout bounds a flush, with its reads, writes and retries after
	// conflicts.
	writeTimeout = 10 * time.Second
)

// maxQueued limits the entries waiting for the store.
const maxQueued = 1000

// Trail keeps the audit trail in the store. Each node writes only the entries
// recorded on it, so the load on the store grows with the number of changes and
// not with the number of nodes. While the store is down, entries wait in a bounded
// queue. When the queue overflows, the oldest entries are dropped and counted, and
// an audit-gap entry with their number is added to the trail.
type Trail struct {
	Store kvstore.Store
	// Node is this node's address, used as the operator of audit-gap entries.
	Node string

	// Written and Dropped count entries; FailedWrites counts failed writes.
	Written, Dropped, FailedWrites expvar.Int

	wake chan struct{}

	mu    sync.Mutex
	queue []api.AuditEntry
	// unreportedDrops counts the entries dropped since the last audit-gap entry.
	unreportedDrops int
}

// NewTrail returns a trail; entries reach the store only while Run is running.
func NewTrail(store kvstore.Store, node string) *Trail {
	return &Trail{Store: store, Node: node, wake: make(chan struct{}, 1)}
}

// Record implements Recorder.
func (t *Trail) Record(e api.AuditEntry) {
	if e.At.IsZero() {
		e.At = time.Now().UTC()
	}
	if e.ID == "" {
		e.ID = rand.Text()
	}
	e = sanitize(e)
	LogRecorder{}.Record(e)
	t.mu.Lock()
	t.queue = append(t.queue, e)
	if len(t.queue) > maxQueued {
		t.queue = t.queue[1:]
		t.unreportedDrops++
		t.Dropped.Add(1)
	}
	t.mu.Unlock()
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// Run writes recorded entries until ctx ends, and then those still queued.
func (t *Trail) Run(ctx context.Context) error {
	retry := minRetryDelay
	for {
		select {
		case <-ctx.Done():
			return t.flushOnStop()
		case <-t.wake:
		}
		ctxtime.Sleep(ctx, batchDelay)
		for ctx.Err() == nil {
			err := t.flush(ctx)
			if err == nil {
				retry = minRetryDelay
				break
			}
			t.FailedWrites.Add(1)
			klog.V(1).Infof(logPrefix+"%v", err)
			ctxtime.Sleep(ctx, mathrand.N(retry))
			retry = min(2*retry, maxRetryDelay)
		}
	}
}

// flushOnStop writes the entries queued when the node stops, and logs a failure.
func (t *Trail) flushOnStop() error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := t.flush(ctx); err != nil {
		klog.Errorf(logPrefix+"%d entries were not stored and are only in the log: %v", len(t.pendingEntries()), err)
	}
	return nil
}

// pendingEntries returns the queued entries. If entries were dropped, it first
// queues an audit-gap entry.
func (t *Trail) pendingEntries() []api.AuditEntry {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.unreportedDrops > 0 {
		t.queue = append(t.queue, api.AuditEntry{
			ID:       rand.Text(),
			At:       time.Now().UTC(),
			Operator: t.Node,
			Action:   "audit-gap",
			Outcome:  fmt.Sprintf("%d entries of this node were dropped while the store was down; its log has them", t.unreportedDrops),
		})
		t.unreportedDrops = 0
	}
	return append([]api.AuditEntry(nil), t.queue...)
}

// flush merges the queue into the stored list. It is safe to repeat after a lost
// reply because entries are deduplicated by ID.
func (t *Trail) flush(ctx context.Context) error {
	entries := t.pendingEntries()
	if len(entries) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	current, err := t.Store.Get(ctx, kvstore.KeyAudit)
	for {
		if err != nil {
			return fmt.Errorf("write %d entries: %w", len(entries), err)
		}
		err = t.write(ctx, current, entries)
		var storeErr *kvstore.Error
		if !errors.As(err, &storeErr) || storeErr.Outcome != kvstore.OutcomeConflict {
			break
		}
		// Another node wrote first: merge into its list.
		ctxtime.Sleep(ctx, mathrand.N(batchDelay))
		if current, err = storeErr.Current, ctx.Err(); current.Revision == 0 && err == nil {
			current, err = t.Store.Get(ctx, kvstore.KeyAudit)
		}
	}
	if err != nil {
		return fmt.Errorf("write %d entries: %w", len(entries), err)
	}
	t.dequeue(entries)
	return nil
}

func (t *Trail) write(ctx context.Context, current kvstore.Entry, entries []api.AuditEntry) error {
	l, err := decodeList(current.Value)
	if err != nil {
		// Replace a list that cannot be decoded, so that the trail can continue.
		klog.Errorf(logPrefix+"replace the stored trail: %v", err)
		l = trailList{}
	}
	value, err := json.Marshal(l.merge(entries))
	if err != nil {
		return fmt.Errorf("encode the trail: %w", err)
	}
	_, err = t.Store.CompareAndSwap(ctx, kvstore.KeyAudit, current.Revision, value, "")
	return err
}

// dequeue removes written entries from the queue.
func (t *Trail) dequeue(entries []api.AuditEntry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	written := map[string]bool{}
	for _, e := range entries {
		written[e.ID] = true
	}
	var remaining []api.AuditEntry
	for _, e := range t.queue {
		if !written[e.ID] {
			remaining = append(remaining, e)
		}
	}
	t.queue = remaining
	t.Written.Add(int64(len(entries)))
}

// List returns the stored trail merged with the entries that this node has not
// written yet. While the store is unreachable it returns only these entries,
// together with an error.
func (t *Trail) List(ctx context.Context) (api.AuditResponse, *api.Error) {
	pending := t.pendingEntries()
	current, err := t.Store.Get(ctx, kvstore.KeyAudit)
	if err != nil {
		return api.AuditResponse{Entries: pending, Pending: len(pending)}, api.Errorf(api.StoreNotReached, "read the trail: %w", err)
	}
	l, err := decodeList(current.Value)
	if err != nil {
		return api.AuditResponse{Entries: pending, Pending: len(pending)}, api.Errorf(api.StoreCorrupt, "%w", err)
	}
	l = l.merge(pending)
	return api.AuditResponse{Entries: l.Entries, Trimmed: l.Trimmed, Pending: len(pending)}, nil
}
