// Package capacity measures what a node costs at several fleet sizes, fits a
// line through the figures and works out what it costs at the target.
package capacity

import "math"

// Point is one measured figure: y at x, for instance bytes at a fleet size.
type Point struct {
	X float64
	Y float64
}

// Line is a least-squares fit of y = Intercept + Slope*x.
type Line struct {
	Intercept float64
	Slope     float64
	// Spread is the root mean square distance of the points from the line.
	RMSE float64
	// Low and High are the smallest and largest x measured.
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
	l.RMSE = spread(points, l)
	return l
}

func spread(points []Point, l Line) float64 {
	var sum float64
	for _, p := range points {
		d := p.Y - l.Intercept - l.Slope*p.X
		sum += d * d
	}
	return math.Sqrt(sum / float64(len(points)))
}

// At returns the line's value at x. A cost does not fall as the fleet grows,
// so a falling line is taken as flat beyond the middle of what was measured.
func (l Line) At(x float64) float64 {
	middle := (l.MaxX + l.MinX) / 2
	if l.Slope < 0 && x > middle {
		x = middle
	}
	return l.Intercept + l.Slope*x
}

// Bound returns a value at x that the spread of the points allows for: the
// line with a slope steeper by what twice the spread could hide over the
// measured range, and never less than the line through zero slope.
func (l Line) UpperBound(x float64) float64 {
	if l.MaxX <= l.MinX {
		return l.At(x)
	}
	steeper := max(l.Slope, 0) + 2*l.RMSE/(l.MaxX-l.MinX)
	middle := (l.MaxX + l.MinX) / 2
	return l.At(middle) + steeper*(x-middle)
}
