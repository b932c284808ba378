package losses

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// Layout of the text.
const (
	// barUnit is how many lost requests one sign of a second's bar stands for.
	barUnit = 2.0
	// longestBar bounds a bar, in signs.
	longestBar = 40
	// mostNamed is how many routes, shards and servers are listed.
	mostNamed = 6
	// mostCauses is how many causes are told of each.
	mostCauses = 3
)

// WriteText writes a report for people to read.
func (r Report) WriteText(out io.Writer) error {
	text := &strings.Builder{}
	fmt.Fprintf(text, "%.1f requests lost, of %d that the logs tell of (ordinary answers are sampled)\n", r.Lost, r.Requests)
	fmt.Fprintf(text, "routers started %d times, routers doubted %d times, lines passed over %d\n\nby cause\n", r.Starts, r.Doubts, r.PassedBy)
	for _, cause := range byWeight(r.Causes) {
		fmt.Fprintf(text, "  %-12s %8.1f  %3.0f %%\n", cause, r.Causes[cause], 100*r.Causes[cause]/max(r.Lost, 1e-9))
	}
	text.WriteString("\nby second\n")
	for _, second := range r.Seconds {
		bar := strings.Repeat("#", min(longestBar, int(second.Lost/barUnit)))
		fmt.Fprintf(text, "  %s %7.1f  %-40s %s\n", second.At.Format("15:04:05"), second.Lost, bar, summary(second.Causes))
	}
	for _, table := range []struct {
		title string
		rows  []Named
	}{{"route", r.Routes}, {"shard", r.Shards}, {"server", r.Servers}} {
		fmt.Fprintf(text, "\nby %s\n", table.title)
		for _, row := range table.rows[:min(mostNamed, len(table.rows))] {
			fmt.Fprintf(text, "  %-24s %8.1f  %s\n", row.Name, row.Lost, summary(row.Causes))
		}
	}
	_, err := io.WriteString(out, text.String())
	return err
}

// summary names the causes that lost the most.
func summary(causes map[string]float64) string {
	names := byWeight(causes)
	var told []string
	for _, cause := range names[:min(mostCauses, len(names))] {
		told = append(told, fmt.Sprintf("%s %.1f", cause, causes[cause]))
	}
	return strings.Join(told, ", ")
}

func byWeight(causes map[string]float64) []string {
	return slices.SortedFunc(maps.Keys(causes), func(a, b string) int {
		return cmp.Or(cmp.Compare(causes[b], causes[a]), cmp.Compare(a, b))
	})
}
