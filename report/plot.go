package report

import (
	"cmp"
	"math"

	"fuchsiapick.example/fuchsiapick/burn"
	"fuchsiapick.example/fuchsiapick/clock"
)

// plot is one chart in the units of its view box; the page renders it as inline SVG. It
// uses no charting library: these bring fonts and scripts for axes that three simple charts
// don't need, and the page must escape names that callers chose by the same rules as in its
// tables.
type plot struct {
	Title  string
	Note   string
	Width  int
	Height int
	Boxes  []box
	Labels []label
	Legend []legend
}

// box is a filled rectangle. Class is the CSS class that sets its colour, Hint the text that
// is shown on hovering.
type box struct {
	X, Y, W, H int
	Class      string
	Hint       string
}

// label is a text at a position. Anchor is start, middle or end.
type label struct {
	X, Y   int
	Anchor string
	Text   string
}

// legend is one entry of a chart's legend.
type legend struct {
	Class string
	Text  string
}

// Dimensions of the charts, in units of the view box, and the number of charts on a page.
const (
	plotWidth   = 760
	plotLeft    = 190
	rowHeight   = 26
	barHeight   = 16
	textOffset  = 12
	maxPlots    = 12
	minBarWidth = 2
)

func (r *Report) plots() []plot {
	all := make([]plot, 0, 2+maxPlots)
	if len(r.Services) > 0 {
		all = append(all, r.outcomePlot())
	}
	if len(r.Ejections)+len(r.Paths) > 0 {
		all = append(all, r.historyPlot())
	}
	for _, b := range r.Burn {
		rate, ok := b.plottedWindow()
		if ok && len(all) < cap(all) {
			all = append(all, burnPlot(b, rate))
		}
	}
	return all
}

// outcomePlot draws a bar for each service, divided by outcome. An outcome that occurred is
// at least minBarWidth wide, so that three requests of a million are visible.
func (r *Report) outcomePlot() plot {
	const width, right = 290, plotLeft + 290 + 10
	p := plot{
		Title: "How requests ended, by service",
		Note:  "Each bar is all of a service's finished requests. Thin slices are drawn wider than they are, so that they can be seen.",
		Width: plotWidth,
		Legend: []legend{
			{"served", "served"}, {"failed", "served with an upstream's error"}, {"notrun", "refused and not run"}, {"unknown", "unknown outcome"},
		},
	}
	for _, s := range r.Services {
		y := p.Height
		p.Height += rowHeight
		name := cmp.Or(s.Name, "(no service)")
		p.Labels = append(p.Labels, label{plotLeft - 8, y + textOffset, "end", name})
		x := plotLeft
		end := plotLeft + width
		for _, part := range []struct {
			n     uint64
			class string
		}{{s.Unknown, "unknown"}, {s.NotRun, "notrun"}, {s.Errors, "failed"}, {s.Served - s.Errors, "served"}} {
			if part.n == 0 {
				continue
			}
			w := max(int(math.Round(float64(part.n)/float64(s.Sum())*width)), minBarWidth)
			if part.class == "served" {
				w = end - x
			}
			p.Boxes = append(p.Boxes, box{x, y, w, barHeight, part.class, name + ": " + formatCount(part.n)})
			x += w
		}
		text := formatCount(s.Served) + " served, " + formatCount(s.NotRun) + " not run, " + formatCount(s.Unknown) + " unknown"
		p.Labels = append(p.Labels, label{right, y + textOffset, "start", text})
	}
	return p
}

// historyPlot draws the times when upstreams were ejected and paths were lost.
func (r *Report) historyPlot() plot {
	p := plot{
		Title: "Set aside and lost paths over time",
		Width: plotWidth,
		Legend: []legend{
			{"out", "out of use"}, {"trial", "on trial"}, {"ramp", "coming back slowly"}, {"path", "path lost"},
		},
	}
	var oldest clock.Millis
	for _, e := range r.Ejections {
		oldest = max(oldest, e.Age)
	}
	for _, path := range r.Paths {
		oldest = max(oldest, path.Age)
	}
	axis := timeAxis{oldest: oldest + oldest/20 + 1}
	rows := make(map[string]int)
	row := func(name string) int {
		y, ok := rows[name]
		if !ok {
			y = p.Height
			rows[name] = y
			p.Height += rowHeight
			p.Boxes = append(p.Boxes, box{plotLeft, y, axis.width(), barHeight, "ground", name})
			p.Labels = append(p.Labels, label{plotLeft - 8, y + textOffset, "end", name})
		}
		return y
	}
	for i := range r.Ejections {
		e := &r.Ejections[i]
		y := row(r.upstreamLabel(e.Service, e.Upstream))
		hint := e.Upstream + ": " + formatEvidence(e.Evidence, e.Reason)
		for _, phase := range e.phases() {
			p.Boxes = append(p.Boxes, axis.box(phase.from, phase.to, y, phase.class, hint))
		}
	}
	for _, path := range r.Paths {
		y := row(path.From + " to " + path.To)
		p.Boxes = append(p.Boxes, axis.box(path.Age, max(path.Back, 0), y, "path", "path lost"))
	}
	p.Labels = append(p.Labels, axis.labels(p.Height+textOffset)...)
	p.Height += rowHeight
	return p
}

// phase is a part of an ejection between two ages.
type phase struct {
	from, to clock.Millis
	class    string
}

// phases divides an ejection into the times out of use, on trial and ramping up. It skips
// phases that the ejection did not reach.
func (e *Ejection) phases() []phase {
	all := []phase{{from: e.Age, class: "out"}, {from: e.Trial, class: "trial"}, {from: e.Ramp, class: "ramp"}}
	end := max(e.Back, 0)
	var reached []phase
	for _, p := range all {
		if p.from == noAge {
			continue
		}
		if len(reached) > 0 {
			reached[len(reached)-1].to = p.from
		}
		p.to = end
		reached = append(reached, p)
	}
	return reached
}

// timeAxis maps ages to horizontal positions, from the oldest age at the left to now at the
// right.
type timeAxis struct {
	oldest clock.Millis
}

func (timeAxis) width() int { return plotWidth - plotLeft - 10 }

func (t timeAxis) position(age clock.Millis) int {
	fraction := float64(t.oldest-age) / float64(t.oldest)
	return plotLeft + int(math.Round(fraction*float64(t.width())))
}

func (t timeAxis) box(from, to clock.Millis, y int, class, hint string) box {
	x := t.position(from)
	return box{x, y, max(t.position(to)-x, minBarWidth), barHeight, class, hint + " (" + formatAge(from) + ")"}
}

func (t timeAxis) labels(y int) []label {
	return []label{
		{t.position(t.oldest), y, "start", formatAge(t.oldest)},
		{t.position(t.oldest / 2), y, "middle", formatAge(t.oldest / 2)},
		{t.position(0), y, "end", "now"},
	}
}

// plottedWindow returns the window that the service's chart shows: the longest window of up
// to six hours that is fully covered, or else the shortest. It returns false if there is no
// window or the window has no bad requests.
func (b *Burn) plottedWindow() (burn.Rate, bool) {
	if len(b.Rates) == 0 {
		return burn.Rate{}, false
	}
	rate := b.Rates[0]
	for _, r := range b.Rates {
		if r.Covered >= r.Span && r.Span <= 6*clock.Hour {
			rate = r
		}
	}
	return rate, rate.Failed+rate.Slow > 0
}

// burnPlot draws the share of bad requests in each time slice of a window.
func burnPlot(b Burn, rate burn.Rate) plot {
	const height, top, slices = 90, 14, 13
	p := plot{
		Title:  "Bad requests of " + b.Service + ", last " + formatDuration(rate.Span),
		Note:   "Share of the requests in each " + formatDuration(rate.Span/12) + ". Grey: no requests.",
		Width:  plotWidth,
		Height: top + height + rowHeight,
		Legend: []legend{{"failed", "not served well"}, {"slow", "slow"}},
	}
	worst := 0.0
	for _, point := range rate.Series {
		worst = max(worst, badShare(point))
	}
	scale := roundScale(max(worst, 1-b.Objective.Availability))
	step := (plotWidth - plotLeft - 10) / slices
	for i := range slices {
		p.Boxes = append(p.Boxes, box{plotLeft + i*step, top + height, step - 2, 2, "ground", "no requests"})
	}
	for _, point := range rate.Series {
		left, y := plotLeft+(slices-1-point.Slice)*step, top+height
		p.Boxes = append(p.Boxes, box{left, y, step - 2, 2, "served", formatCount(point.Total) + " requests"})
		for _, part := range []struct {
			n     uint64
			class string
		}{{point.Failed, "failed"}, {point.Slow, "slow"}} {
			if part.n == 0 {
				continue
			}
			h := max(int(math.Round(float64(part.n)/float64(point.Total)/scale*height)), minBarWidth)
			y -= h
			hint := formatCount(part.n) + " of " + formatCount(point.Total) + " " + part.class
			p.Boxes = append(p.Boxes, box{left, y, step - 2, h, part.class, hint})
		}
	}
	p.Labels = append(
		p.Labels,
		label{plotLeft - 8, top + 8, "end", formatPercent(scale)},
		label{plotLeft - 8, top + height, "end", "0%"},
		label{plotLeft, p.Height - 8, "start", formatAge(rate.Span)},
		label{plotWidth - 10, p.Height - 8, "end", "now"},
	)
	return p
}

// badShare returns the share of bad requests in a time slice, from 0 to 1.
func badShare(p burn.Point) float64 {
	if p.Total == 0 {
		return 0
	}
	return float64(p.Failed+p.Slow) / float64(p.Total)
}

// roundScale rounds a share up to 1, 2 or 5 times a power of ten, at most 1. It returns
// 0.01 for a share of 0.
func roundScale(share float64) float64 {
	if share <= 0 {
		return 0.01
	}
	power := math.Pow(10, math.Floor(math.Log10(share)))
	for _, step := range []float64{1, 2, 5, 10} {
		if share <= step*power*(1+1e-9) {
			return min(step*power, 1)
		}
	}
	return 1
}
