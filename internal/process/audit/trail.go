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
	gather = 200 * time.Millisecond
	// firstRetry and lastRetry bound the wait after a failed write.
	firstRetry = 500 * time.Millisecond
	lastRetry  = 30 * time.Second
	// lastWrite bounds the write of what is queued when the node stops.
	lastWrite = 2 * time.Second
	// writeTimeout bounds one read and write.
	writeTimeout = 10 * time.Second
)

// maxQueue bounds the entries that wait for the store.
const maxQueue = 1000

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

	kick chan struct{}

	mu    sync.Mutex
	queue []api.AuditEntry
	// lost counts the entries dropped since the last entry that said so.
	lost int
}

// NewTrail returns a trail; Run must be running for it to reach the store.
func NewTrail(store platform.Store, node string) *Trail {
	return &Trail{Store: store, Node: node, kick: make(chan struct{}, 1)}
}

// Record implements Recorder.
func (t *Trail) Record(e api.AuditEntry) {
	if e.At.IsZero() {
		e.At = time.Now().UTC()
	}
	if e.ID == "" {
		e.ID = rand.Text()
	}
	e = bounded(e)
	LogRecorder{}.Record(e)
	t.mu.Lock()
	t.queue = append(t.queue, e)
	if len(t.queue) > maxQueue {
		t.queue = t.queue[1:]
		t.lost++
		t.Dropped.Add(1)
	}
	t.mu.Unlock()
	select {
	case t.kick <- struct{}{}:
	default:
	}
}

// Run writes what is recorded until ctx ends, and then what is still queued.
func (t *Trail) Run(ctx context.Context) error {
	retry := firstRetry
	for {
		select {
		case <-ctx.Done():
			return t.last()
		case <-t.kick:
		}
		pause.For(ctx, gather)
		for ctx.Err() == nil {
			err := t.flush(ctx)
			if err == nil {
				retry = firstRetry
				break
			}
			t.FailedWrites.Add(1)
			klog.V(1).Infof(logPrefix+"%v", err)
			pause.For(ctx, mathrand.N(retry))
			retry = min(2*retry, lastRetry)
		}
	}
}

// last writes what is queued when the node stops, and logs what it could not.
func (t *Trail) last() error {
	ctx, cancel := context.WithTimeout(context.Background(), lastWrite)
	defer cancel()
	if err := t.flush(ctx); err != nil {
		klog.Errorf(logPrefix+"%d entries are in the log alone: %v", len(t.pending()), err)
	}
	return nil
}

// pending returns the entries that are not known to be in the store, with one
// that tells of those dropped.
func (t *Trail) pending() []api.AuditEntry {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lost > 0 {
		t.queue = append(t.queue, api.AuditEntry{
			ID:       rand.Text(),
			At:       time.Now().UTC(),
			Operator: t.Node,
			Action:   "audit-gap",
			Outcome:  fmt.Sprintf("%d entries of this node were dropped while the store was down; its log has them", t.lost),
		})
		t.lost = 0
	}
	return append([]api.AuditEntry(nil), t.queue...)
}

// flush merges the queue into the list in the store. A write whose reply is
// lost is repeated; the IDs make that harmless.
func (t *Trail) flush(ctx context.Context) error {
	entries := t.pending()
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
		var failed *platform.Error
		if !errors.As(err, &failed) || failed.Outcome != platform.OutcomeConflict {
			break
		}
		// Another node has written first: merge into what it wrote.
		pause.For(ctx, mathrand.N(gather))
		if current, err = failed.Current, ctx.Err(); current.Revision == 0 && err == nil {
			current, err = t.Store.Get(ctx, platform.KeyAudit)
		}
	}
	if err != nil {
		return fmt.Errorf("write %d entries: %w", len(entries), err)
	}
	t.done(entries)
	return nil
}

func (t *Trail) write(ctx context.Context, current platform.Entry, entries []api.AuditEntry) error {
	l, err := decode(current.Value)
	if err != nil {
		// A list that cannot be read is replaced: the trail must go on.
		klog.Errorf(logPrefix+"%v", err)
		l = list{}
	}
	value, err := json.Marshal(l.merge(entries))
	if err != nil {
		return fmt.Errorf("encode the trail: %w", err)
	}
	_, err = t.Store.CompareAndSwap(ctx, platform.KeyAudit, current.Revision, value, "")
	return err
}

// done takes written entries off the queue.
func (t *Trail) done(entries []api.AuditEntry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	written := map[string]bool{}
	for _, e := range entries {
		written[e.ID] = true
	}
	var rest []api.AuditEntry
	for _, e := range t.queue {
		if !written[e.ID] {
			rest = append(rest, e)
		}
	}
	t.queue = rest
	t.Written.Add(int64(len(entries)))
}

// List reads the trail from the store and adds what this node has not written
// yet. While the store is down it returns what waits here, with the refusal.
func (t *Trail) List(ctx context.Context) (api.AuditResponse, *api.Error) {
	waiting := t.pending()
	current, err := t.Store.Get(ctx, platform.KeyAudit)
	if err != nil {
		return api.AuditResponse{Entries: waiting, Pending: len(waiting)}, api.Errorf(api.StoreNotReached, "read the trail: %w", err)
	}
	l, err := decode(current.Value)
	if err != nil {
		return api.AuditResponse{Entries: waiting, Pending: len(waiting)}, api.Errorf(api.StoreCorrupt, "%w", err)
	}
	l = l.merge(waiting)
	return api.AuditResponse{Entries: l.Entries, Trimmed: l.Trimmed, Pending: len(waiting)}, nil
}
