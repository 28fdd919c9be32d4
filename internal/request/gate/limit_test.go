package gate

import (
	"fmt"
	"testing"
	"time"
)

// A route beyond the bound must not cost the others their baselines: with one route
// too many, no run would ever be compared.
func TestRouteBeyondTheBoundKeepsTheOtherBaselines(t *testing.T) {
	var l ConcurrencyLimit
	l.SetCeiling(10, false)
	for i := range maxRoutes + 1 {
		l.RecordRun(fmt.Sprint("route-", i), 100*time.Millisecond, Answered, 1)
	}
	known := 0
	for i := range maxRoutes + 1 {
		if l.BaselineTime(fmt.Sprint("route-", i)) > 0 {
			known++
		}
	}
	if known != maxRoutes {
		t.Errorf("%d routes have a baseline, want %d", known, maxRoutes)
	}
}
