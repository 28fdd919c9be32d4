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
	"github.com/daisytide/daisytide/internal/conn/platform"
	"github.com/daisytide/daisytide/internal/pause"
)

// Times of the trail.
const (
	// gather is how long a first entry waits for others, to share its write.
	batchDelay = 200 * time.Millisecond
	// firstRetry and lastRetry bound the wait after a failed write.
	minRetryDelay = 500 * time.Millisecond
	maxRetryDelay = 30 * time.Second
	// lastWrite bounds the write of what is queued when the node stops.
	shutdownTimeout = 2 * time.Second
	// writeTimeout bounds one read and write.
	writeTimeout = 10 * time.Second
)

// maxQueue bounds the entries that wait for the store.
const maxQueued = 1000

// Trail keeps the trail in the store. Only the node at which an entry is
// recorded writes it, so the store's cost grows with the changes and not with
// the nodes. While the store is down entries wait in a bounded queue; when it
// overflows the oldest go, they are counted, and the trail gets an entry that
// says how many.
type Trail struct {
	Store platform.Store
	// Node is the address of this node, entered with what it reports itself.
	Node string

	// Written and Dropped count entries; FailedWrites counts failed writes.
	Written, Dropped, FailedWrites expvar.Int

	wake chan struct{}

	mu    sync.Mutex
	queue []api.AuditEntry
	// lost counts the entries dropped since the last entry that said so.
	unreportedDrops int
}

// NewTrail returns a trail; Run must be running for it to reach the store.
func NewTrail(store platform.Store, node string) *Trail {
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

// Run writes what is recorded until ctx ends, and then what is still queued.
func (t *Trail) Run(ctx context.Context) error {
	retry := minRetryDelay
	for {
		select {
		case <-ctx.Done():
			return t.flushOnStop()
		case <-t.wake:
		}
		pause.For(ctx, batchDelay)
		for ctx.Err() == nil {
			err := t.flush(ctx)
			if err == nil {
				retry = minRetryDelay
				break
			}
			t.FailedWrites.Add(1)
			klog.V(1).Infof(logPrefix+"%v", err)
			pause.For(ctx, mathrand.N(retry))
			retry = min(2*retry, maxRetryDelay)
		}
	}
}

// last writes what is queued when the node stops, and logs what it could not.
func (t *Trail) flushOnStop() error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := t.flush(ctx); err != nil {
		klog.Errorf(logPrefix+"%d entries are in the log alone: %v", len(t.pendingEntries()), err)
	}
	return nil
}

// pending returns the entries that are not known to be in the store, with one
// that tells of those dropped.
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

// flush merges the queue into the list in the store. A write whose reply is
// lost is repeated; the IDs make that harmless.
func (t *Trail) flush(ctx context.Context) error {
	entries := t.pendingEntries()
	if len(entries) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	current, err := t.Store.Get(ctx, platform.KeyAudit)
	for {
		if err != nil {
			return fmt.Errorf("write %d entries: %w", len(entries), err)
		}
		err = t.write(ctx, current, entries)
		var storeErr *platform.Error
		if !errors.As(err, &storeErr) || storeErr.Outcome != platform.OutcomeConflict {
			break
		}
		// Another node has written first: merge into what it wrote.
		pause.For(ctx, mathrand.N(batchDelay))
		if current, err = storeErr.Current, ctx.Err(); current.Revision == 0 && err == nil {
			current, err = t.Store.Get(ctx, platform.KeyAudit)
		}
	}
	if err != nil {
		return fmt.Errorf("write %d entries: %w", len(entries), err)
	}
	t.dequeue(entries)
	return nil
}

func (t *Trail) write(ctx context.Context, current platform.Entry, entries []api.AuditEntry) error {
	l, err := decodeList(current.Value)
	if err != nil {
		// A list that cannot be read is replaced: the trail must go on.
		klog.Errorf(logPrefix+"%v", err)
		l = trailList{}
	}
	value, err := json.Marshal(l.merge(entries))
	if err != nil {
		return fmt.Errorf("encode the trail: %w", err)
	}
	_, err = t.Store.CompareAndSwap(ctx, platform.KeyAudit, current.Revision, value, "")
	return err
}

// done takes written entries off the queue.
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

// List reads the trail from the store and adds what this node has not written
// yet. While the store is down it returns what waits here, with the refusal.
func (t *Trail) List(ctx context.Context) (api.AuditResponse, *api.Error) {
	pending := t.pendingEntries()
	current, err := t.Store.Get(ctx, platform.KeyAudit)
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
