package linkqueue

import "sync"

const (
	// sizeWeight is the weight of one response in the mean size of its route, the same
	// as that of a run in the mean run time.
	sizeWeight = 1.0 / 16
	// maxRoutes bounds the routes with a known size. At more, all are learnt anew.
	maxRoutes = 4096
)

// Sizes holds the moving average of the sizes of responses by route.
type Sizes struct {
	mu    sync.RWMutex
	means map[string]float64
}

// Observe adds a response.
func (s *Sizes) Observe(route string, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.means == nil || len(s.means) >= maxRoutes {
		s.means = map[string]float64{}
	}
	mean, known := s.means[route]
	if !known {
		mean = float64(bytes)
	}
	s.means[route] = mean + sizeWeight*(float64(bytes)-mean)
}

// Mean returns the mean size of a route's responses; 0 if none is known.
func (s *Sizes) Mean(route string) int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return int64(s.means[route])
}
