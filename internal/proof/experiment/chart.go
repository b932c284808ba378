package experiment

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
)

// Size of a chart in units of its drawing, and the room for labels in it.
const (
	chartWidth  = 1100.0
	chartHeight = 300.0
	chartLeft   = 70.0
	chartBottom = 30.0
	// chartLines is the number of horizontal lines, chartLabels about that of
	// labels below.
	chartLines  = 5
	chartLabels = 12
)

//go:embed chart.html
var chartPage string

var chartTemplate = template.Must(template.New("charts").Parse(chartPage))

// chart is one drawing: lines over common points of the horizontal axis.
type chart struct {
	Title  string
	Labels []string
	Lines  []chartLine
}

type chartLine struct {
	Name   string
	Values []float64
}

// WriteHTML draws, for each route, the latency quantiles of the variants, and
// their 99th percentile and coverage over time, as a page that needs nothing
// else.
func (r Result) WriteHTML(output io.Writer) error {
	clock := lo.Ternary(r.Virtual, "virtual clock", "sockets")
	return errors.Wrap(chartTemplate.Execute(output, map[string]any{
		"Title": fmt.Sprintf("%s, %s, seed %d, %s", r.Scenario, r.Deployment, r.Seed, clock),
		"Charts": lo.FlatMap(r.routes(), func(route string, _ int) []chart {
			return []chart{
				r.quantileChart(route),
				r.timeChart(route, "99th percentile by second, ms", (*second).p99Ms),
				r.timeChart(route, "coverage by second", (*second).coverage),
			}
		}),
	}), "charts")
}

// present returns the variants that ran, in their usual order.
func (r Result) present() []string {
	return lo.Filter(Variants(), func(variant string, _ int) bool {
		_, ok := r.Variants[variant]
		return ok
	})
}

func (r Result) quantileChart(route string) chart {
	made := chart{Title: route + ": latency quantiles, ms", Labels: []string{"50", "95", "99", "99.9"}}
	for _, variant := range r.present() {
		row := r.Variants[variant].Routes[route]
		made.Lines = append(made.Lines, chartLine{variant, []float64{row.P50Ms, row.P95Ms, row.P99Ms, row.P999Ms}})
	}
	return made
}

func (r Result) timeChart(route, what string, value func(*second) float64) chart {
	made := chart{Title: route + ": " + what}
	for _, variant := range r.present() {
		seconds := r.Variants[variant].timeline.routes[route]
		made.Lines = append(made.Lines, chartLine{variant, lo.Map(seconds, func(one *second, _ int) float64 { return value(one) })})
	}
	longest := lo.Max(lo.Map(made.Lines, func(line chartLine, _ int) int { return len(line.Values) }))
	made.Labels = lo.Times(longest, func(index int) string { return fmt.Sprint(index) })
	return made
}

// bounds returns the values at the bottom and at the top of the drawing.
func (c chart) bounds() (least, most float64) {
	values := lo.FlatMap(c.Lines, func(line chartLine, _ int) []float64 { return line.Values })
	least, most = lo.Min(values), lo.Max(values)
	if least == most {
		return least - 1, most + 1
	}
	return least, most
}

func (c chart) x(index int) float64 {
	return chartLeft + (chartWidth-chartLeft)*float64(index)/float64(max(len(c.Labels)-1, 1))
}

func (c chart) y(value float64) float64 {
	least, most := c.bounds()
	return (chartHeight - chartBottom) * (most - value) / (most - least)
}

// chartMark is a label of an axis, with its place.
type chartMark struct {
	At    string
	Label string
}

// Marks returns the labels below the drawing.
func (c chart) Marks() []chartMark {
	every := max(1, len(c.Labels)/chartLabels)
	return lo.FilterMap(c.Labels, func(label string, index int) (chartMark, bool) {
		return chartMark{At: fmt.Sprintf("%.1f", c.x(index)), Label: label}, index%every == 0
	})
}

// Levels returns the horizontal lines.
func (c chart) Levels() []chartMark {
	least, most := c.bounds()
	return lo.Times(chartLines, func(index int) chartMark {
		value := least + (most-least)*float64(index)/(chartLines-1)
		return chartMark{At: fmt.Sprintf("%.1f", c.y(value)), Label: fmt.Sprintf("%.4g", value)}
	})
}

// chartPath is one line as drawn: its points, and the text that a pointer over
// it shows.
type chartPath struct {
	Index  int
	Name   string
	Points string
	Values string
}

// Paths returns the lines as drawn.
func (c chart) Paths() []chartPath {
	return lo.Map(c.Lines, func(line chartLine, index int) chartPath {
		points := lo.Map(line.Values, func(value float64, at int) string {
			return fmt.Sprintf("%.1f,%.1f", c.x(at), c.y(value))
		})
		values := lo.Map(line.Values, func(value float64, _ int) string { return fmt.Sprintf("%.4g", value) })
		return chartPath{index, line.Name, strings.Join(points, " "), strings.Join(values, " ")}
	})
}
