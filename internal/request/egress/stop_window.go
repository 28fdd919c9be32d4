package egress

import (
	"sync/atomic"
	"time"
)

// StopWindow decides which requests a stopping node still takes. One that is running
// when the process ends gets no answer, and may not be repeated, so a request that
// cannot be expected to finish is refused before it is sent: another node can run it.
type StopWindow struct {
	// RefuseFrom is when no further request is taken.
	RefuseFrom time.Time
	// End is when the requests in progress are no longer waited for.
	End time.Time
}

// refuses reports whether a request with the mean run time of its route, 0 if
// unknown, is refused.
func (w StopWindow) refuses(now time.Time, meanRunTime time.Duration) bool {
	return !now.Before(w.RefuseFrom) || w.endsBefore(now, meanRunTime)
}

// endsBefore reports whether a request that starts now is not expected to finish.
func (w StopWindow) endsBefore(now time.Time, meanRunTime time.Duration) bool {
	return now.Add(meanRunTime).After(w.End)
}

// Stopping holds the window of a planned stop; its zero value refuses nothing.
type Stopping struct{ window atomic.Pointer[StopWindow] }

// Begin sets the window.
func (s *Stopping) Begin(w StopWindow) { s.window.Store(&w) }

// Refuses reports whether a request that arrives now is refused. meanRunTime is the
// mean run time of its route, 0 if unknown.
func (s *Stopping) Refuses(now time.Time, meanRunTime time.Duration) bool {
	w := s.window.Load()
	return w != nil && w.refuses(now, meanRunTime)
}

// EndsBefore reports whether a request that has waited must not be sent any more.
func (s *Stopping) EndsBefore(now time.Time, meanRunTime time.Duration) bool {
	w := s.window.Load()
	return w != nil && w.endsBefore(now, meanRunTime)
}
