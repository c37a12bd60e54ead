// Package capacity measures what the parts of a node cost by their size: bytes,
// processor time and memory at four sizes or more, with a straight line
// through them. docs/CAPACITY.md works out from these lines what the size to
// design for takes.
package capacity

import (
	"math"

	"github.com/juju/errors"
	"gonum.org/v1/gonum/stat"
)

// ErrPoints reports fewer points than a line may be drawn through.
const ErrPoints = errors.ConstError("too few points for a line")

// minPoints of a line. Through three a curve still passes for a line.
const minPoints = 4

// Point is one measured cost.
type Point struct {
	Size float64
	Cost float64
}

// Line is the least-squares line through points.
type Line struct {
	// Base is the cost at size 0, Slope what each unit of size adds.
	Base  float64
	Slope float64
	// Residual is the root mean square distance of the points from the line, as
	// a share of their mean cost.
	Residual float64
}

// At returns the line's cost of a size.
func (l Line) At(size float64) float64 {
	return l.Base + l.Slope*size
}

// Fit draws the line through points. It returns ErrPoints for fewer than four.
func Fit(points []Point) (Line, error) {
	if len(points) < minPoints {
		return Line{}, errors.Annotatef(ErrPoints, "%d, want %d at least", len(points), minPoints)
	}
	sizes := make([]float64, 0, len(points))
	costs := make([]float64, 0, len(points))
	for _, p := range points {
		sizes = append(sizes, p.Size)
		costs = append(costs, p.Cost)
	}
	var l Line
	l.Base, l.Slope = stat.LinearRegression(sizes, costs, nil, false)
	squares := 0.0
	for _, p := range points {
		off := p.Cost - l.At(p.Size)
		squares += off * off
	}
	if mean := stat.Mean(costs, nil); mean != 0 {
		l.Residual = math.Sqrt(squares/float64(len(points))) / math.Abs(mean)
	}
	return l, nil
}
