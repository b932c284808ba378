package experiment

import (
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/go-echarts/go-echarts/v2/charts"
	"github.com/go-echarts/go-echarts/v2/components"
	"github.com/go-echarts/go-echarts/v2/opts"
	"github.com/samber/lo"
)

const (
	chartWidth  = "1100px"
	chartHeight = "360px"
)

// WriteHTML draws, for each route, the latency quantiles of the variants, and
// their 99th percentile and coverage over time. The page loads the chart
// library from the network when it is opened.
func (r Result) WriteHTML(output io.Writer) error {
	page := components.NewPage()
	page.PageTitle = fmt.Sprintf("%s, %s", r.Scenario, r.Deployment)
	for _, route := range r.routes() {
		page.AddCharts(
			r.quantileChart(route),
			r.timeChart(route, "99th percentile by second, ms", (*second).p99Ms),
			r.timeChart(route, "coverage by second", (*second).coverage),
		)
	}
	return errors.Wrap(page.Render(output), "charts")
}

func (r Result) newChart(route, what string) *charts.Line {
	chart := charts.NewLine()
	clock := lo.Ternary(r.Virtual, "virtual clock", "sockets")
	chart.SetGlobalOptions(
		charts.WithInitializationOpts(opts.Initialization{Width: chartWidth, Height: chartHeight}),
		charts.WithTitleOpts(opts.Title{Title: route + ": " + what,
			Subtitle: fmt.Sprintf("%s, %s, seed %d, %s", r.Scenario, r.Deployment, r.Seed, clock)}),
		charts.WithTooltipOpts(opts.Tooltip{Show: opts.Bool(true), Trigger: "axis"}),
		charts.WithLegendOpts(opts.Legend{Show: opts.Bool(true), Right: "0"}),
		charts.WithYAxisOpts(opts.YAxis{Scale: opts.Bool(true)}),
	)
	return chart
}

// present returns the variants that ran, in their usual order.
func (r Result) present() []string {
	return lo.Filter(Variants(), func(variant string, _ int) bool {
		_, ok := r.Variants[variant]
		return ok
	})
}

func (r Result) quantileChart(route string) *charts.Line {
	chart := r.newChart(route, "latency quantiles, ms")
	chart.SetXAxis([]string{"50", "95", "99", "99.9"})
	for _, variant := range r.present() {
		row := r.Variants[variant].Routes[route]
		chart.AddSeries(variant, pointsOf([]float64{row.P50Ms, row.P95Ms, row.P99Ms, row.P999Ms}))
	}
	return chart
}

func (r Result) timeChart(route, what string, value func(*second) float64) *charts.Line {
	chart := r.newChart(route, what)
	longest := 0
	for _, variant := range r.present() {
		seconds := r.Variants[variant].timeline.routes[route]
		longest = max(longest, len(seconds))
		chart.AddSeries(variant, pointsOf(lo.Map(seconds, func(one *second, _ int) float64 { return value(one) })))
	}
	chart.SetXAxis(lo.Range(longest))
	return chart
}

func pointsOf(values []float64) []opts.LineData {
	return lo.Map(values, func(value float64, _ int) opts.LineData { return opts.LineData{Value: value} })
}
