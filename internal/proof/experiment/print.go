package experiment

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/samber/lo"
)

// Print writes the result as a table. Times are in milliseconds.
func (r Result) Print(output io.Writer) error {
	const padding = 2
	table := tabwriter.NewWriter(output, 0, 0, padding, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "route\tvariant\trequests\tp50\tp99\tp99.9\tcoverage\tattempts/shard\trefused\tfailed\twhole/s 1st half\t2nd half\tattempts 1st half\t2nd half\tviolations\t")
	for _, route := range r.routes() {
		for _, variant := range Variants() {
			row, ok := r.Variants[variant].Routes[route]
			if !ok {
				continue
			}
			fmt.Fprintf(table, "%s\t%s\t%d\t%.1f\t%.1f\t%.1f\t%.5f\t%.3f\t%d\t%d\t%.1f\t%.1f\t%.3f\t%.3f\t%d\t\n",
				route, variant, row.Requests, row.P50Ms, row.P99Ms, row.P999Ms, row.Coverage, row.AttemptsPerShard,
				row.Refused, row.Failed, row.FirstHalf.Goodput, row.SecondHalf.Goodput,
				row.FirstHalf.AttemptsPerShard, row.SecondHalf.AttemptsPerShard, row.Violations)
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	slots := lo.Ternary(r.Slots > 0, fmt.Sprint(r.Slots), "as configured")
	fmt.Fprintf(output, "back ends: service time median %.0fms, slots %s\n", r.MedianMs, slots)
	if r.DisturbedSeconds > 0 {
		fmt.Fprintf(output, "%d of %.0f seconds left out of all rows: the machine was too busy\n", r.DisturbedSeconds, r.Seconds)
	}
	for _, variant := range Variants() {
		if result, ok := r.Variants[variant]; ok {
			fmt.Fprintf(output, "%s: violations=%d last_work_after_leaving=%.0fms\n", variant, result.Violations, result.LastWorkAfterLeavingMs)
			for _, violation := range result.First {
				fmt.Fprintln(output, "  ", violation)
			}
		}
	}
	return nil
}

func (r Result) routes() []string {
	names := lo.Uniq(lo.FlatMap(lo.Values(r.Variants), func(variant VariantResult, _ int) []string {
		return lo.Keys(variant.Routes)
	}))
	slices.Sort(names)
	return names
}
