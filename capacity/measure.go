package capacity

import (
	"runtime"
	"syscall"

	"github.com/juju/errors"
)

// Measure is one cost and the sizes it is measured at.
type Measure struct {
	// Role is the part of a node that bears the cost.
	Role string
	Name string
	// Unit is that of the cost, Against what the size counts.
	Unit    string
	Against string
	Sizes   []int
	// Target is the size to design for, 0 if the page works it out otherwise.
	Target float64
	// Curve says that the cost follows no line, so that only its points count.
	Curve bool
	// Cost measures one size.
	Cost func(size int) (float64, error)
}

// Result is a measure's points and the line through them, if it isn't a curve.
type Result struct {
	Measure

	Points []Point
	Line   Line
}

// Run measures every size. It returns the first error of a cost, or ErrPoints.
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
		return r, errors.Annotatef(err, "fitting %s", m.Name)
	}
	r.Line = line
	return r, nil
}

// Units of costs.
const (
	unitBytes   = "B"
	unitMicros  = "µs"
	unitCount   = "count"
	unitPercent = "%"
)

// besideNode is the size of what grows with a node's own upstreams.
const besideNode = "upstreams beside the node"

// retainedBytes returns the bytes, on heap and stacks, that what build returns keeps.
func retainedBytes(build func() (any, error)) (float64, error) {
	before := liveBytes()
	kept, err := build()
	if err != nil {
		return 0, err
	}
	after := liveBytes()
	runtime.KeepAlive(kept)
	runtime.KeepAlive(build) // with what it uses, which was there before
	return float64(after - before), nil
}

// liveBytes returns the bytes of live heap and stacks. Finalizers and pools let go
// of theirs one collection after another; what was left to them by the measure
// before would be taken from the next one.
func liveBytes() int64 {
	const (
		steady = 1 << 10
		most   = 20
	)
	last := int64(0)
	for range most {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		now := int64(stats.HeapAlloc + stats.StackInuse)
		if now > last-steady && now < last+steady {
			return now
		}
		last = now
	}
	return last
}

// cpuTimeOnce returns the processor time of work in microseconds.
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

// cpuTime returns the processor time of work in microseconds per run, of all
// threads and of garbage collection with it. Time on the wall would count what
// other programs on the machine take. The run is repeated until the time is
// long against the steps in which processor time is counted.
func cpuTime(work func() error) (float64, error) {
	const enough = 100_000
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
		if used >= enough {
			return used / float64(runs), nil
		}
	}
}

// processCPUTime returns the processor time that this process took, in
// microseconds.
func processCPUTime() (float64, error) {
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		return 0, errors.Annotate(err, "reading the processor time")
	}
	const perSecond = 1e6
	seconds := used.Utime.Sec + used.Stime.Sec
	return float64(seconds)*perSecond + float64(used.Utime.Usec+used.Stime.Usec), nil
}
