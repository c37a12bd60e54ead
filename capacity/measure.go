package capacity

import (
	"runtime"
	"syscall"

	"github.com/juju/errors"
)

// Measure defines a cost and the sizes at which it is measured.
type Measure struct {
	// Role is the part of a node that causes the cost.
	Role string
	Name string
	// Unit is the unit of the cost. Against says what the size counts.
	Unit    string
	Against string
	Sizes   []int
	// Target is the design size; 0 means that docs/CAPACITY.md calculates the cost at the
	// design size in another way.
	Target float64
	// Curve is true if the cost is not linear in the size, so that no line is fitted.
	Curve bool
	// Cost measures the cost at one size.
	Cost func(size int) (float64, error)
}

// Result holds the points of a measure and the line through them. Line is the zero value
// if the measure is a curve.
type Result struct {
	Measure

	Points []Point
	Line   Line
}

// Run measures the cost at every size. It returns the first error of Cost, or ErrPoints
// if a measure that isn't a curve has fewer than four sizes.
func (m Measure) Run() (Result, error) {
	r := Result{Measure: m, Points: make([]Point, 0, len(m.Sizes))}
	for _, size := range m.Sizes {
		cost, err := m.Cost(size)
		if err != nil {
			return r, errors.Annotatef(err, "measuring %s at %d %s", m.Name, size, m.Against)
		}
		r.Points = append(r.Points, Point{Size: float64(size), Cost: cost})
	}
	if m.Curve {
		return r, nil
	}
	line, err := Fit(r.Points)
	if err != nil {
		return r, errors.Annotatef(err, "fitting a line to %s", m.Name)
	}
	r.Line = line
	return r, nil
}

// Units of measured costs.
const (
	unitBytes   = "B"
	unitMicros  = "µs"
	unitCount   = "count"
	unitPercent = "%"
)

// localUpstreams is the Against of costs that grow with a node's own upstreams.
const localUpstreams = "upstreams beside the node"

// retainedBytes returns the heap and stack memory in bytes that the result of build
// retains.
func retainedBytes(build func() (any, error)) (float64, error) {
	before := liveBytes()
	retained, err := build()
	if err != nil {
		return 0, err
	}
	after := liveBytes()
	runtime.KeepAlive(retained)
	runtime.KeepAlive(build) // before includes the values that build captures, so after must too
	return float64(after - before), nil
}

// liveBytes returns the bytes of live heap objects and of stacks. It collects garbage
// until the number is stable, because finalizers and pools release memory only over
// several collections. Memory left over from one measurement would be subtracted from the
// next one.
func liveBytes() int64 {
	const (
		tolerance      = 1 << 10
		maxCollections = 20
	)
	last := int64(0)
	for range maxCollections {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		now := int64(stats.HeapAlloc + stats.StackInuse)
		if now > last-tolerance && now < last+tolerance {
			return now
		}
		last = now
	}
	return last
}

// cpuTimeOnce returns the CPU time in microseconds that the process takes while work runs
// once.
func cpuTimeOnce(work func() error) (float64, error) {
	runtime.GC()
	before, err := processCPUTime()
	if err != nil {
		return 0, err
	}
	if err := work(); err != nil {
		return 0, err
	}
	after, err := processCPUTime()
	return after - before, err
}

// cpuTime returns the CPU time in microseconds per run of work, including all threads and
// garbage collection. It doesn't use wall-clock time, which would include the time that
// other programs on the machine take. It repeats work until the total is long compared
// with the resolution of the CPU time.
func cpuTime(work func() error) (float64, error) {
	const minMicros = 100_000
	for runs := 1; ; runs *= 2 {
		used, err := cpuTimeOnce(func() error {
			for range runs {
				if err := work(); err != nil {
					return err
				}
			}
			return nil
		})
		if err != nil {
			return 0, err
		}
		if used >= minMicros {
			return used / float64(runs), nil
		}
	}
}

// processCPUTime returns the CPU time in microseconds that this process has taken.
func processCPUTime() (float64, error) {
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		return 0, errors.Annotate(err, "reading the process's CPU time")
	}
	const perSecond = 1e6
	seconds := used.Utime.Sec + used.Stime.Sec
	return float64(seconds)*perSecond + float64(used.Utime.Usec+used.Stime.Usec), nil
}
