package soak

import (
	"context"
	"sync"
	"time"
)

const (
	// stallTick is how often the harness wakes up to see whether it can.
	stallTick = 20 * time.Millisecond
	// stallLeast is how late it wakes up when the machine stood still: callers
	// wait callerLimit, and nodes give each other up after a second.
	stallLeast = 400 * time.Millisecond
)

// stalls notes when nothing ran on the machine, nodes included.
type stalls struct {
	// told hears of each span in which it did.
	told func(from time.Time, d time.Duration)

	mu   sync.Mutex
	last time.Time
	sum  time.Duration
}

// watch looks until ctx ends.
func (s *stalls) watch(ctx context.Context) {
	for before := time.Now(); ctx.Err() == nil; {
		sleep(ctx, stallTick)
		now := time.Now()
		s.note(before, now)
		before = now
	}
}

// note takes two moments at which the harness ran, one after the other.
func (s *stalls) note(before, now time.Time) {
	late := now.Sub(before) - stallTick
	if late < stallLeast {
		return
	}
	s.told(before, now.Sub(before))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last = now
	s.sum += late
}

// since tells whether the machine stood still after a moment.
func (s *stalls) since(t time.Time) bool { return s.latest().After(t) }

// latest is when the machine stood still last.
func (s *stalls) latest() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last
}

// total is for how long it stood still in all.
func (s *stalls) total() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sum.Round(time.Millisecond)
}
