// Package capacity measures how the cost of a node's parts grows with their size. It
// takes bytes, CPU time and memory at four sizes or more and fits a straight line to
// them. docs/CAPACITY.md extrapolates from these lines to the design size.
package capacity

import (
	"math"

	"github.com/juju/errors"
	"gonum.org/v1/gonum/stat"
)

// ErrPoints reports that there are too few points to fit a line.
const ErrPoints = errors.ConstError("too few points for a line")

// minPoints is the minimum number of points for a line. With three points a curve still
// looks like a line.
const minPoints = 4

// Point is the measured cost at one size.
type Point struct {
	Size float64
	Cost float64
}

// Line is a least-squares line.
type Line struct {
	// Base is the cost at size 0, Slope the additional cost per unit of size.
	Base  float64
	Slope float64
	// Residual is the root mean square distance of the points from the line, as a fraction
	// of their mean cost.
	Residual float64
}

// At returns the cost that the line gives for a size.
func (l Line) At(size float64) float64 {
	return l.Base + l.Slope*size
}

// Fit returns the least-squares line through the points. It returns ErrPoints for fewer
// than four points.
func Fit(points []Point) (Line, error) {
	if len(points) < minPoints {
		return Line{}, errors.Annotatef(ErrPoints, "%d points, want at least %d", len(points), minPoints)
	}
	sizes := make([]float64, 0, len(points))
	costs := make([]float64, 0, len(points))
	for _, p := range points {
		sizes = append(sizes, p.Size)
		costs = append(costs, p.Cost)
	}
	var l Line
	l.Base, l.Slope = stat.LinearRegression(sizes, costs, nil, false)
	squareSum := 0.0
	for _, p := range points {
		residual := p.Cost - l.At(p.Size)
		squareSum += residual * residual
	}
	if mean := stat.Mean(costs, nil); mean != 0 {
		l.Residual = math.Sqrt(squareSum/float64(len(points))) / math.Abs(mean)
	}
	return l, nil
}
