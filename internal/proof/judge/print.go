package judge

import (
	"fmt"
	"io"
)

// maxPrinted bounds the violations printed in full.
const maxPrinted = 20

// Print writes the result for people; its last line is "violations: N".
func (r Result) Print(output io.Writer) {
	fmt.Fprintf(output, "judged: executions=%d refusals=%d answers=%d departures=%d planned_stops=%d operator_answers=%d admissions=%d\n",
		r.Counts.Executions-r.Counts.Refusals, r.Counts.Refusals, r.Counts.Answers, r.Counts.Departures,
		r.Counts.Stops, r.Counts.Operators, r.Counts.Admissions)
	for _, invariant := range Invariants() {
		fmt.Fprintf(output, "  %-18s %d\n", invariant, r.ByInvariant[invariant])
	}
	for index, violation := range r.Violations {
		if index == maxPrinted {
			fmt.Fprintf(output, "and %d more\n", r.Total-maxPrinted)
			break
		}
		fmt.Fprintln(output, violation)
	}
	fmt.Fprintf(output, "violations: %d\n", r.Total)
}
