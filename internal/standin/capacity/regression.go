// Package capacity measures the resources that a node uses at several fleet sizes,
// fits lines through the results and extrapolates them to the target size.
package capacity

import "math"

// Point is one measured value: y at x, for instance bytes at a fleet size.
type Point struct {
	X float64
	Y float64
}

// Line is a least-squares fit of y = Intercept + Slope*x.
type Line struct {
	Intercept float64
	Slope     float64
	// RMSE is the root mean square error: that of the points' distances from the
	// line.
	RMSE float64
	// MinX and MaxX are the smallest and largest x measured.
	MinX, MaxX float64
}

// Fit fits a line through the points; no points give the zero line.
func Fit(points []Point) Line {
	n := float64(len(points))
	if n == 0 {
		return Line{}
	}
	l := Line{MinX: math.Inf(1), MaxX: math.Inf(-1)}
	var sx, sy, sxx, sxy float64
	for _, p := range points {
		sx += p.X
		sy += p.Y
		sxx += p.X * p.X
		sxy += p.X * p.Y
		l.MinX = min(l.MinX, p.X)
		l.MaxX = max(l.MaxX, p.X)
	}
	if d := n*sxx - sx*sx; d != 0 {
		l.Slope = (n*sxy - sx*sy) / d
	}
	l.Intercept = (sy - l.Slope*sx) / n
	l.RMSE = rmse(points, l)
	return l
}

func rmse(points []Point, l Line) float64 {
	var sum float64
	for _, p := range points {
		d := p.Y - l.Intercept - l.Slope*p.X
		sum += d * d
	}
	return math.Sqrt(sum / float64(len(points)))
}

// At returns the line's value at x. Costs do not fall as the fleet grows, so a
// falling line is taken as constant beyond the middle of the measured range.
func (l Line) At(x float64) float64 {
	middle := (l.MaxX + l.MinX) / 2
	if l.Slope < 0 && x > middle {
		x = middle
	}
	return l.Intercept + l.Slope*x
}

// UpperBound returns a pessimistic estimate at x. The slope, at least 0, is raised
// by twice the RMSE over the width of the measured range, as much as the scatter of
// the points could hide; the line is rotated around the middle of that range.
func (l Line) UpperBound(x float64) float64 {
	if l.MaxX <= l.MinX {
		return l.At(x)
	}
	steeper := max(l.Slope, 0) + 2*l.RMSE/(l.MaxX-l.MinX)
	middle := (l.MaxX + l.MinX) / 2
	return l.At(middle) + steeper*(x-middle)
}
