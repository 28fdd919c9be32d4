package capacity

import (
	"math"
	"testing"
)

func TestFitFindsTheLine(t *testing.T) {
	l := Fit([]Point{{10, 25}, {20, 45}, {50, 105}})
	if math.Abs(l.Slope-2) > 1e-9 || math.Abs(l.Intercept-5) > 1e-9 || l.RMSE > 1e-9 {
		t.Errorf("line: %+v, want 5 + 2x", l)
	}
	if got := l.At(1000); math.Abs(got-2005) > 1e-6 {
		t.Errorf("at 1000: %v, want 2005", got)
	}
}

func TestBoundAllowsForTheSpread(t *testing.T) {
	flat := Fit([]Point{{10, 9}, {20, 11}, {30, 9}, {40, 11}})
	if flat.UpperBound(1000) <= flat.At(1000) {
		t.Errorf("bound %v is not above the line's %v", flat.UpperBound(1000), flat.At(1000))
	}
	falling := Fit([]Point{{10, 100}, {100, 10}})
	if falling.UpperBound(1000) < 10 {
		t.Errorf("a falling line gives %v at 1000, below all that was measured", falling.UpperBound(1000))
	}
}
