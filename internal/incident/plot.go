package incident

import (
	"fmt"
	"slices"
	"time"
)

// Sizes of the plots, in pixels of their own coordinate system.
const (
	plotWidth   = 1000
	labelWidth  = 330
	rowHeight   = 18
	barHeight   = 12
	barsHeight  = 120
	leastWidth  = 2.0
	mostRows    = 40
	tickCount   = 8
	barsPerPlot = 54
	tickMargin  = 4
)

// span is a horizontal bar of the timeline.
type span struct {
	X, Width float64
	Y        int
	Label    string
	Title    string
	Open     bool
}

// tick is a mark on the axis of time.
type tick struct {
	X     float64
	Label string
}

// timeline shows each incident over the window.
type timeline struct {
	Width, Height int
	Rows          []span
	Ticks         []tick
	// TickY is the base line of the ticks' labels.
	TickY int
	// Hidden is how many incidents had no room.
	Hidden int
}

// scale maps times of the window to horizontal positions.
type scale struct {
	since, until time.Time
	left, width  float64
}

func (s scale) at(moment time.Time) float64 {
	share := moment.Sub(s.since).Seconds() / max(s.until.Sub(s.since).Seconds(), 1)
	return s.left + s.width*min(max(share, 0), 1)
}

func (s scale) ticks(location *time.Location) []tick {
	ticks := make([]tick, 0, tickCount+1)
	for number := range tickCount + 1 {
		moment := s.since.Add(s.until.Sub(s.since) * time.Duration(number) / tickCount)
		ticks = append(ticks, tick{X: s.at(moment), Label: moment.In(location).Format("15:04")})
	}
	return ticks
}

func timelineOf(report *Report, location *time.Location) timeline {
	axis := scale{since: report.Since, until: report.Until, left: labelWidth, width: plotWidth - labelWidth - rowHeight}
	plot := timeline{Width: plotWidth, Ticks: axis.ticks(location)}
	shown := map[Class]int{}
	for _, one := range slices.Concat(report.Failures, report.Drains) {
		if shown[one.Class]++; shown[one.Class] > shownPerClass || len(plot.Rows) == mostRows {
			plot.Hidden++
			continue
		}
		until := one.Ended
		if one.Open() {
			until = report.Until
		}
		begin := axis.at(one.Begun)
		plot.Rows = append(plot.Rows, span{
			X: begin, Width: max(axis.at(until)-begin, leastWidth), Y: len(plot.Rows) * rowHeight,
			Label: fmt.Sprintf("%s: %s", one.Class, one.About()), Open: one.Open(),
			Title: fmt.Sprintf("%s, %d events", one.Lasted(report.Until).Round(time.Second), one.Count),
		})
	}
	plot.Height = (len(plot.Rows)+1)*rowHeight + barHeight
	plot.TickY = plot.Height - tickMargin
	return plot
}

// bar is a vertical bar: answers in one part of the window.
type bar struct {
	X, Y, Width, Height float64
	Title               string
}

// bars shows how many answers were short of the policies over the window.
type bars struct {
	Width, Height int
	Bars          []bar
	Ticks         []tick
	// Most is the number that the highest bar stands for.
	Most float64
}

// barsOf spreads each count evenly over its time span, as the journal knows no
// more of it.
func barsOf(report *Report, location *time.Location) bars {
	axis := scale{since: report.Since, until: report.Until, left: 0, width: plotWidth}
	plot := bars{Width: plotWidth, Height: barsHeight, Ticks: axis.ticks(location)}
	counts := make([]float64, barsPerPlot)
	for _, one := range report.Failures {
		if _, isAnswer := answerClasses[one.Class]; isAnswer {
			spread(counts, axis, one)
		}
	}
	for _, count := range counts {
		plot.Most = max(plot.Most, count)
	}
	const width = float64(plotWidth) / barsPerPlot
	for number, count := range counts {
		if count == 0 {
			continue
		}
		height := count / plot.Most * barsHeight
		begun := report.Since.Add(report.Until.Sub(report.Since) * time.Duration(number) / barsPerPlot)
		plot.Bars = append(plot.Bars, bar{
			X: float64(number) * width, Y: barsHeight - height, Width: width - 1, Height: height,
			Title: fmt.Sprintf("%s: %.0f", begun.In(location).Format("15:04"), count),
		})
	}
	return plot
}

func spread(counts []float64, axis scale, one *Incident) {
	first := min(int(axis.at(one.Begun)/plotWidth*barsPerPlot), barsPerPlot-1)
	last := min(int(axis.at(one.Ended)/plotWidth*barsPerPlot), barsPerPlot-1)
	share := float64(one.Count) / float64(last-first+1)
	for number := first; number <= last; number++ {
		counts[number] += share
	}
}
