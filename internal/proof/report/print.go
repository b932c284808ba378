package report

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/samber/lo"
)

// Print writes the summaries as a table. Times are in milliseconds.
func Print(output io.Writer, rows []Row) error {
	const padding = 2
	table := tabwriter.NewWriter(output, 0, 0, padding, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "route\trequests\trate/s\tp50\tp95\tp99\tp99.9\tcoverage\tcomplete\tattempts/shard\tverdicts\t")
	for _, row := range rows {
		fmt.Fprintf(table, "%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.5f\t%.4f\t%.3f\t%s\t\n",
			row.Route, row.Requests, row.Rate, row.P50Ms, row.P95Ms, row.P99Ms, row.P999Ms,
			row.Coverage, row.Complete, row.AttemptsPerShard, verdictsText(row.Verdicts))
	}
	return table.Flush()
}

func verdictsText(verdicts map[string]int) string {
	names := lo.Keys(verdicts)
	slices.Sort(names)
	return strings.Join(lo.Map(names, func(name string, _ int) string {
		return fmt.Sprintf("%s=%d", name, verdicts[name])
	}), " ")
}
