package soak

import (
	"context"
	"sync"
	"time"
)

const (
	// stallTick is how often the harness wakes up to see whether it can.
	stallCheckInterval = 20 * time.Millisecond
	// stallLeast is how late it wakes up when the machine stood still: callers
	// wait callerLimit, and nodes give each other up after a second.
	minStall = 400 * time.Millisecond
)

// stalls notes when nothing ran on the machine, nodes included.
type stallDetector struct {
	// told hears of each span in which it did.
	onStall func(from time.Time, d time.Duration)

	mu        sync.Mutex
	lastStall time.Time
	totalTime time.Duration
}

// watch looks until ctx ends.
func (s *stallDetector) watch(ctx context.Context) {
	for before := time.Now(); ctx.Err() == nil; {
		sleep(ctx, stallCheckInterval)
		now := time.Now()
		s.observe(before, now)
		before = now
	}
}

// note takes two moments at which the harness ran, one after the other.
func (s *stallDetector) observe(before, now time.Time) {
	late := now.Sub(before) - stallCheckInterval
	if late < minStall {
		return
	}
	s.onStall(before, now.Sub(before))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastStall = now
	s.totalTime += late
}

// since tells whether the machine stood still after a moment.
func (s *stallDetector) stalledSince(t time.Time) bool { return s.lastStallTime().After(t) }

// latest is when the machine stood still last.
func (s *stallDetector) lastStallTime() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastStall
}

// total is for how long it stood still in all.
func (s *stallDetector) totalStalled() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.totalTime.Round(time.Millisecond)
}
