package report

import (
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/proof/recordfile"
	"github.com/martenstage/martenstage/internal/records"
)

// Folder sums up the record files of a run. Attempts are counted as back ends
// saw them, refused ones included, and not by the routers' word. The plans tell
// how many shards a request without an answer was meant for.
func Folder(folder string, plans []*plan.Plan) ([]Row, error) {
	last := map[string]*records.CallerAnswer{}
	err := recordfile.EachIn(folder, recordfile.PrefixAnswers, func(answer records.CallerAnswer) {
		answer.ItemDigests = nil // not needed for the sums, and most of the memory
		last[answer.Request] = &answer
	})
	if err != nil {
		return nil, err
	}
	attempts := map[string]int{}
	err = recordfile.EachIn(folder, recordfile.PrefixBackends, func(line records.BackendLine) {
		if line.Execution != nil {
			attempts[line.Execution.Request]++
		}
	})
	if err != nil {
		return nil, err
	}
	collector := New()
	for request, answer := range last {
		collector.AddAnswer(answer)
		if attempts[request] > 0 {
			collector.AddLoad(answer.Route, attempts[request], Targets(answer, plans))
		}
	}
	return collector.Rows(), nil
}

// Targets returns how many shards a request was meant for: those that its
// answer names, or else those of its route in the first plan that has it.
func Targets(answer *records.CallerAnswer, plans []*plan.Plan) int {
	if count := len(answer.Covered) + len(answer.Missing); count > 0 {
		return count
	}
	for _, known := range plans {
		route, ok := known.RouteNamed(answer.Route)
		if !ok {
			continue
		}
		if service, ok := known.ServiceNamed(route.Service); ok && route.Target != plan.TargetKey {
			return len(service.Generations[0].Shards)
		}
	}
	return 1
}
