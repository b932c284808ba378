package experiment

import (
	"net/http"
	"time"

	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/proof/dataset"
	"github.com/martenstage/martenstage/internal/proof/experiment/schedule"
	"github.com/martenstage/martenstage/internal/proof/judge"
	"github.com/martenstage/martenstage/internal/proof/load"
	"github.com/martenstage/martenstage/internal/proof/report"
	"github.com/martenstage/martenstage/internal/records"
)

// recorder judges and sums up the records of one variant while it runs.
type recorder struct {
	judge     *judge.Judge
	collector *report.Collector
	timeline  *timeline
	plans     []schedule.PlanStep
	begin     time.Time
	half      time.Duration
	halves    [2]map[string]*halfSum
	last      map[string]*records.CallerAnswer
	attempts  map[string]int
	// leavers gives the last query that each departed server got, counted from
	// its departure.
	departed  map[string]time.Time
	worstLeft time.Duration
	// disturbed says, for each second of the run, that requests of it are
	// judged but not summed up. It is nil on the virtual clock.
	disturbed []bool
}

func newRecorder(s *setting, begin time.Time) *recorder {
	made := &recorder{
		judge:     judge.New(judge.Config{Items: dataset.Items}),
		collector: report.New(), timeline: newTimeline(begin),
		plans: s.plans, begin: begin, half: s.duration / 2,
		halves:   [2]map[string]*halfSum{{}, {}},
		last:     map[string]*records.CallerAnswer{},
		attempts: map[string]int{}, departed: map[string]time.Time{},
	}
	for _, step := range s.plans {
		made.judge.AddPlan(step.Plan)
	}
	return made
}

// Execution implements schedule.Recorder.
func (r *recorder) Execution(execution records.Execution) {
	r.judge.AddExecution(execution)
	r.attempts[execution.Request]++
	if began, ok := r.departed[execution.Backend]; ok && execution.Arrived.After(began) {
		r.worstLeft = max(r.worstLeft, execution.Arrived.Sub(began))
	}
}

// Departure implements schedule.Recorder.
func (r *recorder) Departure(departure records.Departure) {
	r.judge.AddDeparture(departure)
	if departure.Returned.IsZero() {
		r.departed[departure.Backend] = departure.Began
	} else {
		delete(r.departed, departure.Backend)
	}
}

// Stop implements schedule.Recorder.
func (r *recorder) Stop(stop records.PlannedStop) { r.judge.AddPlannedStop(stop) }

// Admission implements schedule.Recorder.
func (r *recorder) Admission(admission records.Admission) { r.judge.AddAdmission(admission) }

// Answer implements schedule.Recorder.
func (r *recorder) Answer(answer records.CallerAnswer) {
	r.judge.AddAnswer(answer)
	r.last[answer.Request] = &answer
}

// Closed implements schedule.Recorder: the last answer is what the request
// counts for.
func (r *recorder) Closed(request string) {
	r.judge.CloseRequest(request)
	answer := r.last[request]
	if answer == nil {
		return
	}
	delete(r.last, request)
	if r.isDisturbed(answer) {
		delete(r.attempts, request)
		return
	}
	r.collector.AddAnswer(answer)
	r.timeline.add(answer)
	sum := r.halfOf(answer)
	if answer.Status == http.StatusOK && answer.Complete && !answer.Late {
		sum.good++
	}
	if attempts := r.attempts[request]; attempts > 0 {
		targets := r.targets(answer)
		r.collector.AddLoad(answer.Route, attempts, targets)
		sum.attempts += attempts
		sum.targets += targets
	}
	delete(r.attempts, request)
}

func (r *recorder) isDisturbed(answer *records.CallerAnswer) bool {
	second := int(answer.Intended.Sub(r.begin) / time.Second)
	return second >= 0 && second < len(r.disturbed) && r.disturbed[second]
}

// undisturbed returns how much of a span of the run is summed up.
func (r *recorder) undisturbed(from, to time.Duration) time.Duration {
	left := to - from
	for second, disturbed := range r.disturbed {
		begin := max(from, time.Duration(second)*time.Second)
		end := min(to, time.Duration(second+1)*time.Second)
		if disturbed {
			left -= max(0, end-begin)
		}
	}
	return left
}

// halfSum is the sums of a route over one half of the run.
type halfSum struct{ good, attempts, targets int }

func (r *recorder) halfOf(answer *records.CallerAnswer) *halfSum {
	half := r.halves[0]
	if answer.Intended.Sub(r.begin) >= r.half {
		half = r.halves[1]
	}
	if half[answer.Route] == nil {
		half[answer.Route] = &halfSum{}
	}
	return half[answer.Route]
}

func (h *halfSum) result(duration time.Duration) HalfResult {
	if h == nil || duration <= 0 {
		return HalfResult{}
	}
	return HalfResult{
		Goodput:          float64(h.good) / duration.Seconds(),
		AttemptsPerShard: float64(h.attempts) / float64(max(h.targets, 1)),
	}
}

// targets is the number of shards that a request was meant for.
func (r *recorder) targets(answer *records.CallerAnswer) int {
	if count := len(answer.Covered) + len(answer.Missing); count > 0 {
		return count
	}
	route, ok := r.plans[0].Plan.RouteNamed(answer.Route)
	if !ok || route.Target == plan.TargetKey {
		return 1
	}
	service, _ := r.plans[0].Plan.ServiceNamed(route.Service)
	return len(service.Generations[0].Shards)
}

// result sums the variant up.
func (r *recorder) result(duration time.Duration) VariantResult {
	judged := r.judge.Result()
	violations := map[string]int{}
	for _, violation := range judged.Violations {
		violations[load.RouteOf(violation.Request)]++
	}
	result := VariantResult{
		Routes: map[string]RouteResult{}, Violations: judged.Total, First: firstViolations(judged.Violations),
		LastWorkAfterLeavingMs: float64(r.worstLeft) / float64(time.Millisecond),
		timeline:               r.timeline,
	}
	for _, row := range r.collector.Rows() {
		result.Routes[row.Route] = RouteResult{
			Row: row, Violations: violations[row.Route],
			FirstHalf:  r.halves[0][row.Route].result(r.undisturbed(0, r.half)),
			SecondHalf: r.halves[1][row.Route].result(r.undisturbed(r.half, duration)),
		}
	}
	return result
}

func firstViolations(violations []judge.Violation) []judge.Violation {
	const shown = 5
	return violations[:min(shown, len(violations))]
}
