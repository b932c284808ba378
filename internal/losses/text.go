package losses

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// Layout of the text report.
const (
	// barUnit is the number of lost requests per character of a second's bar.
	barUnit = 2.0
	// maxBarLength is the maximum length of a bar, in characters.
	maxBarLength = 40
	// maxRows is the maximum number of routes, shards and servers listed.
	maxRows = 6
	// maxCauses is the maximum number of causes shown for each.
	maxCauses = 3
)

// WriteText writes the report as text for operators.
func (r Report) WriteText(out io.Writer) error {
	text := &strings.Builder{}
	fmt.Fprintf(text, "%.1f requests lost, of %d in the logs (ordinary answers are sampled)\n", r.Lost, r.Requests)
	fmt.Fprintf(text, "routers started %d times, routers suspected %d times, lines skipped %d\n\nby cause\n", r.Starts, r.Suspicions, r.SkippedLines)
	for _, cause := range sortedCauses(r.Causes) {
		fmt.Fprintf(text, "  %-12s %8.1f  %3.0f %%\n", cause, r.Causes[cause], 100*r.Causes[cause]/max(r.Lost, 1e-9))
	}
	text.WriteString("\nby second\n")
	for _, second := range r.Seconds {
		bar := strings.Repeat("#", min(maxBarLength, int(second.Lost/barUnit)))
		fmt.Fprintf(text, "  %s %7.1f  %-40s %s\n", second.At.Format("15:04:05"), second.Lost, bar, summary(second.Causes))
	}
	for _, table := range []struct {
		title string
		rows  []Group
	}{{"route", r.Routes}, {"shard", r.Shards}, {"server", r.Servers}} {
		fmt.Fprintf(text, "\nby %s\n", table.title)
		for _, row := range table.rows[:min(maxRows, len(table.rows))] {
			fmt.Fprintf(text, "  %-24s %8.1f  %s\n", row.Name, row.Lost, summary(row.Causes))
		}
	}
	_, err := io.WriteString(out, text.String())
	return err
}

// summary lists the causes with the largest losses.
func summary(causes map[string]float64) string {
	names := sortedCauses(causes)
	var parts []string
	for _, cause := range names[:min(maxCauses, len(names))] {
		parts = append(parts, fmt.Sprintf("%s %.1f", cause, causes[cause]))
	}
	return strings.Join(parts, ", ")
}

func sortedCauses(causes map[string]float64) []string {
	return slices.SortedFunc(maps.Keys(causes), func(a, b string) int {
		return cmp.Or(cmp.Compare(causes[b], causes[a]), cmp.Compare(a, b))
	})
}
