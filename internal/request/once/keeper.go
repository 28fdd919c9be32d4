package once

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/daisytide/daisytide/internal/conn/platform"
	"github.com/daisytide/daisytide/internal/conn/rpc"
)

// Backoff of the keeper's tries, with full jitter.
const (
	backoffFirst = 100 * time.Millisecond
	backoffMost  = 10 * time.Second
)

var errFull = errors.New("no room for more records")

// joinTimeout bounds one question of a joining gate.
const joinTimeout = time.Second

// Keeper enters a gate in the rosters of its services before it lets keyed
// calls through, and takes what is past the window out of them.
type Keeper struct {
	Keys   *Keys
	Store  platform.Store
	Caller rpc.Caller

	names chan string
}

// NewKeeper returns a keeper; Run must be called.
func NewKeeper(k *Keys, s platform.Store, c rpc.Caller) *Keeper {
	return &Keeper{Keys: k, Store: s, Caller: c, names: make(chan string, 16)}
}

// Serve tells the keeper that the gate's upstream serves a service. It never
// blocks; an announcement that finds the queue full comes again.
func (k *Keeper) Serve(service string) {
	if service == "" || k.Keys.find(service) != nil {
		return
	}
	select {
	case k.names <- service:
	default:
	}
}

// Run enters services as they are announced, until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for {
		select {
		case <-ctx.Done():
			return g.Wait()
		case name := <-k.names:
			if k.Keys.find(name) != nil {
				continue
			}
			s := k.Keys.open(name, time.Now())
			g.Go(func() error {
				k.keep(ctx, name, s)
				return nil
			})
		}
	}
}

// keep brings one service from entering the roster to ready, and clears the
// dead incarnations of this address away when the window has passed.
func (k *Keeper) keep(ctx context.Context, name string, s *service) {
	roster, ok := k.enter(ctx, name)
	if !ok {
		return
	}
	entered := time.Now()
	if !k.learn(ctx, name, s, roster, entered) {
		return
	}
	s.mu.Lock()
	s.ready = true
	s.mu.Unlock()
	klog.Infof(logPrefix+"ready for keyed calls of %s", name)
	if !sleep(ctx, time.Until(entered.Add(k.Keys.Limits.Window))) {
		return
	}
	k.clear(ctx, name)
}

// enter writes the gate into the roster, and returns the one that has it.
func (k *Keeper) enter(ctx context.Context, name string) (Roster, bool) {
	var out Roster
	ok := retry(ctx, func() error {
		roster, err := changeRoster(ctx, k.Store, name, func(r Roster) Roster {
			if r.Has(k.Keys.Self) {
				return r
			}
			return r.With(k.Keys.Self)
		})
		out = roster
		return err
	})
	return out, ok
}

// learn asks a ready gate of the roster for its fences. Where there is none,
// it waits until the window has passed since the gate entered the roster:
// whatever was fenced before that is past by then. The first gate of a roster
// has nothing to learn.
func (k *Keeper) learn(ctx context.Context, name string, s *service, roster Roster, entered time.Time) bool {
	others := roster.Without(k.Keys.Self).Gates
	backoff := backoffFirst
	for len(others) > 0 && time.Since(entered) < k.Keys.Limits.Window {
		for _, i := range rand.Perm(len(others)) {
			if err := k.learnFrom(ctx, name, s, roster.Revision, others[i]); err == nil {
				return true
			}
		}
		if !sleep(ctx, rand.N(backoff)) {
			return false
		}
		backoff = min(2*backoff, backoffMost)
	}
	return ctx.Err() == nil
}

func (k *Keeper) learnFrom(ctx context.Context, name string, s *service, revision uint64, g Gate) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	question := Join{Service: name, Gate: g.Instance, Revision: revision}
	for {
		var page Joined
		if err := k.Caller.Call(ctx, g.Address, MethodJoin, question, &page); err != nil {
			return err
		}
		for _, known := range page.Known {
			if !s.book.Merge(known, time.Now()) {
				return errFull
			}
			question.After = known.Key
		}
		if !page.More {
			return nil
		}
	}
}

// clear takes the older incarnations of this address out of the roster. They
// were dead before this one listened here, and the window has passed since.
func (k *Keeper) clear(ctx context.Context, name string) {
	retry(ctx, func() error {
		_, err := changeRoster(ctx, k.Store, name, func(r Roster) Roster {
			var gone []Gate
			for _, g := range r.Gates {
				if g.Address == k.Keys.Self.Address && g != k.Keys.Self {
					gone = append(gone, g)
				}
			}
			return r.Without(gone...)
		})
		return err
	})
}

// retry calls fn until it succeeds; false when ctx ended.
func retry(ctx context.Context, fn func() error) bool {
	backoff := backoffFirst
	for {
		err := fn()
		if err == nil {
			return true
		}
		klog.V(1).Infof(logPrefix+"table of gates: %v", err)
		if !sleep(ctx, rand.N(backoff)) {
			return false
		}
		backoff = min(2*backoff, backoffMost)
	}
}

// sleep waits; false when ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
