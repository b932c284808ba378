package incident

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/journal"
)

// Request says what a report is about.
type Request struct {
	Since, Until time.Time
	// Service leaves out what is known to be about other services; empty takes
	// all.
	Service string
	// Dropped is how many events the journal had no room for since it began.
	Dropped uint64
}

// Report is what happened in a window.
type Report struct {
	Since   time.Time `json:"since"`
	Until   time.Time `json:"until"`
	Service string    `json:"service,omitempty"`
	// Events is how many journal entries the report is made of.
	Events int `json:"events"`
	// Dropped is how many events the journal had no room for since it began.
	Dropped uint64 `json:"dropped"`
	// Failures are the incidents that hurt, open ones first, then by beginning.
	Failures []*Incident `json:"failures"`
	// Drains are planned departures of back ends.
	Drains  []*Incident `json:"drains"`
	Answers []Answers   `json:"answers"`
	Moments []Moment    `json:"moments"`
	Tasks   []Task      `json:"tasks"`
}

// Answers counts answers and refusals that callers saw, per service and route.
type Answers struct {
	Service string `json:"service"`
	Route   string `json:"route"`
	// Outcome is what the callers got.
	Outcome string `json:"outcome"`
	// Shards are the ones that were missing first, where known.
	Shards []string  `json:"shards,omitempty"`
	Count  uint64    `json:"count"`
	Begun  time.Time `json:"begun"`
	Last   time.Time `json:"last"`
}

// answerClasses are incidents that callers saw as answers or refusals.
var answerClasses = map[Class]string{
	ShortAnswers: "", SurgeRefused: "refused: surge", ClaimRefused: "refused: claim",
}

// New makes the report of a window from the journal's events. Events from
// before the window tell what was already going on when it began.
func New(events []journal.Event, request Request) *Report {
	paired := pair(events, request.Until)
	report := &Report{
		Since: request.Since, Until: request.Until, Service: request.Service, Dropped: request.Dropped,
		Events: lo.CountBy(events, func(event journal.Event) bool { return !lastOf(event).Before(request.Since) }),
	}
	for _, found := range paired.incidents {
		if !found.overlaps(request.Since, request.Until) || !request.concerns(found.Service) {
			continue
		}
		if found.Class == Drain {
			report.Drains = append(report.Drains, found.Incident)
			continue
		}
		report.Failures = append(report.Failures, found.Incident)
	}
	slices.SortStableFunc(report.Failures, func(left, right *Incident) int {
		return -cmp.Compare(lo.Ternary(left.Open(), 1, 0), lo.Ternary(right.Open(), 1, 0))
	})
	report.Moments = lo.Filter(paired.moments, func(moment Moment, _ int) bool {
		return !moment.LastTime.Before(request.Since) && moment.Time.Before(request.Until)
	})
	report.Answers = answersOf(report.Failures)
	report.Tasks = tasksOf(report)
	return report
}

// concerns reports whether a service is asked for. What names no service may
// concern any.
func (r Request) concerns(service string) bool {
	return r.Service == "" || service == "" || r.Service == service
}

// Open returns the incidents that go on.
func (r *Report) Open() []*Incident {
	return lo.Filter(r.Failures, func(found *Incident, _ int) bool { return found.Open() })
}

// AnswerCount is how many answers and refusals callers saw that were short of
// the policies.
func (r *Report) AnswerCount() uint64 {
	return lo.SumBy(r.Answers, func(answers Answers) uint64 { return answers.Count })
}

// answersOf sums up what callers saw. Shards of one route and outcome join.
func answersOf(failures []*Incident) []Answers {
	var all []Answers
	for _, found := range failures {
		outcome, isAnswer := answerClasses[found.Class]
		if !isAnswer {
			continue
		}
		route := found.Detail
		if outcome == "" {
			route, outcome, _ = strings.Cut(found.Detail, ": ")
		}
		if found.Class == ClaimRefused {
			route, outcome = "", "refused: "+found.Detail
		}
		all = addAnswers(all, found, route, outcome)
	}
	slices.SortStableFunc(all, func(left, right Answers) int {
		return cmp.Or(cmp.Compare(left.Service, right.Service), cmp.Compare(right.Count, left.Count))
	})
	return all
}

func addAnswers(all []Answers, found *Incident, route, outcome string) []Answers {
	index := slices.IndexFunc(all, func(known Answers) bool {
		return known.Service == found.Service && known.Route == route && known.Outcome == outcome
	})
	if index < 0 {
		index = len(all)
		all = append(all, Answers{
			Service: found.Service, Route: route, Outcome: outcome, Begun: found.Begun, Last: found.Ended,
		})
	}
	answers := &all[index]
	answers.Count += found.Count
	answers.Begun = lo.Ternary(found.Begun.Before(answers.Begun), found.Begun, answers.Begun)
	answers.Last = lo.Ternary(found.Ended.After(answers.Last), found.Ended, answers.Last)
	if found.Shard != "" && !slices.Contains(answers.Shards, found.Shard) {
		answers.Shards = append(answers.Shards, found.Shard)
		slices.Sort(answers.Shards)
	}
	return all
}
