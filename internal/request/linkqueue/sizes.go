package linkqueue

import "sync"

const (
	// sizeWeight is the weight of one response in the mean size of its route, the same
	// as that of a run in the mean run time.
	sizeWeight = 1.0 / 16
	// maxSizeFactor times the mean is the most that one response counts. A single one
	// of 32 MB would else keep a route of 90 kB from links of 10 Mbit/s.
	maxSizeFactor = 4
	// minMeanSize is the mean above which maxSizeFactor applies.
	minMeanSize = 64 << 10
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
	size := float64(bytes)
	if !known {
		mean = size
	}
	// A mean of nearly nothing must still be able to grow.
	size = min(size, maxSizeFactor*max(mean, minMeanSize))
	s.means[route] = mean + sizeWeight*(size-mean)
}

// Mean returns the mean size of a route's responses; 0 if none is known.
func (s *Sizes) Mean(route string) int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return int64(s.means[route])
}
