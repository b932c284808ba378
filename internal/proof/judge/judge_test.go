package judge

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/proof/dataset"
	"github.com/martenstage/martenstage/internal/records"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(milliseconds int) time.Time { return start.Add(time.Duration(milliseconds) * time.Millisecond) }

// run is the records of a small run without violations.
type run struct {
	executions []records.Execution
	answers    []records.CallerAnswer
	departures []records.Departure
	stops      []records.PlannedStop
	operators  []records.OperatorAnswer
	admissions []records.Admission
}

const shardCount = 3

func testPlan() *plan.Plan {
	shards := lo.Times(shardCount, func(index int) plan.Shard { return plan.Shard{ID: uint32(index)} })
	route := func(name string, target plan.Target, merge plan.Merge) plan.Route {
		return plan.Route{Name: name, Service: "desks", Target: target,
			Policy: plan.Policy{Deadline: 100 * time.Millisecond, Merge: merge}}
	}
	return &plan.Plan{
		Services: []plan.Service{{Name: "desks", Generations: []plan.Generation{{Number: 1, Shards: shards}}}},
		Routes: []plan.Route{
			route("sweep", plan.TargetAll, plan.Merge{Kind: plan.MergeConcat}),
			route("best", plan.TargetAll, plan.Merge{Kind: plan.MergeTop, Limit: 5, Field: "rank", Descending: true}),
			route("send", plan.TargetKey, plan.Merge{Kind: plan.MergeConcat}),
		},
	}
}

func execution(request string, shard uint32, version uint64) records.Execution {
	return records.Execution{
		Backend: fmt.Sprintf("b%d", shard), Service: "desks", Shard: shard, Generation: 1, Version: version,
		Request: request, Attempt: fmt.Sprintf("%s-%d", request, shard), BodyDigest: "body-" + request,
		ItemDigests: dataset.Digests(query(request, shard, version)),
		Arrived:     at(1), Started: at(1), Finished: at(5), Executed: true, Replied: true,
	}
}

func query(request string, shard uint32, version uint64) dataset.Query {
	return dataset.Query{Service: "desks", Shard: shard, Shards: shardCount, Version: version, RequestDigest: "body-" + request}
}

// cleanRun has a sweep, a top-5, a send that runs once, a refusal, a departure,
// a planned stop and a change of configuration.
func cleanRun() *run {
	r := &run{}
	answer := func(request, route string, covered ...uint32) records.CallerAnswer {
		return records.CallerAnswer{
			Request: request, Route: route, Service: "desks", Router: "r1", Intended: at(0), Sent: at(0), Received: at(9),
			BodyDigest: "body-" + request, Status: 200, Verdict: "ran", Generation: 1, Version: 7, Covered: covered,
			Complete: true, ElapsedMs: 8, ConfigRevision: 1,
		}
	}
	sweep, best, send := answer("sweep", "sweep", 0, 1, 2), answer("best", "best", 0, 1, 2), answer("send", "send", 1)
	send.Once = true
	for shard := range uint32(shardCount) {
		r.executions = append(r.executions, execution("sweep", shard, 7), execution("best", shard, 7))
		sweep.ItemDigests = append(sweep.ItemDigests, dataset.Digests(query("sweep", shard, 7))...)
	}
	best.ItemDigests = bestOf("best", 5)
	sent := execution("send", 1, 7)
	sent.Once = true
	send.ItemDigests = slices.Clone(sent.ItemDigests)
	r.executions = append(r.executions, sent, records.Execution{Request: "refused", Backend: "b0", Arrived: at(1)})
	refused := records.CallerAnswer{Request: "refused", Route: "sweep", Router: "r1", Sent: at(0), Received: at(2), Status: 503, Verdict: "not_run"}
	r.answers = []records.CallerAnswer{sweep, best, send, refused}
	r.departures = []records.Departure{{Backend: "b2", Began: at(0)}}
	r.stops = []records.PlannedStop{{Router: "r1", Began: at(5), Exited: at(50)}}
	r.operators = []records.OperatorAnswer{
		{ChangeID: "c1", Received: at(0), Accepted: true, Revision: 1},
		{ChangeID: "c2", Received: at(20), Accepted: true, Revision: 2, InForce: at(40)},
	}
	r.admissions = []records.Admission{{Node: "r1", At: at(30), Revision: 1}, {Node: "r1", At: at(41), Revision: 2}}
	return r
}

func bestOf(request string, limit int) []string {
	type ranked struct {
		digest string
		rank   float64
	}
	var all []ranked
	for shard := range uint32(shardCount) {
		digests := dataset.Digests(query(request, shard, 7))
		for index, item := range dataset.Items(query(request, shard, 7)) {
			all = append(all, ranked{digests[index], ranksOf([]json.RawMessage{item}, "rank")[0]})
		}
	}
	var best []string
	for range limit {
		top := lo.MaxBy(all, func(left, right ranked) bool { return left.rank > right.rank })
		best = append(best, top.digest)
		all = lo.Without(all, top)
	}
	return best
}

func (r *run) judge() *Judge {
	judged := New(Config{Items: dataset.Items})
	judged.AddPlan(testPlan())
	lo.ForEach(r.executions, func(item records.Execution, _ int) { judged.AddExecution(item) })
	lo.ForEach(r.answers, func(item records.CallerAnswer, _ int) { judged.AddAnswer(item) })
	lo.ForEach(r.departures, func(item records.Departure, _ int) { judged.AddDeparture(item) })
	lo.ForEach(r.stops, func(item records.PlannedStop, _ int) { judged.AddPlannedStop(item) })
	lo.ForEach(r.operators, func(item records.OperatorAnswer, _ int) { judged.AddOperatorAnswer(item) })
	lo.ForEach(r.admissions, func(item records.Admission, _ int) { judged.AddAdmission(item) })
	return judged
}

func TestCleanRunHasNoViolations(t *testing.T) {
	require.Empty(t, cleanRun().judge().Violations())
}

// Each case breaks the records in one way and must be caught as a breach of
// exactly that invariant.
func TestBrokenRecordsAreCaught(t *testing.T) {
	const sweep, best, send, refused = 0, 1, 2, 3
	cases := []struct {
		name      string
		invariant Invariant
		breakRun  func(*run)
	}{
		{"item of another version", OneSnapshot, func(r *run) {
			other := execution("sweep", 1, 8)
			r.executions = append(r.executions, other)
			r.answers[sweep].ItemDigests[25] = other.ItemDigests[2]
		}},
		{"generation never configured", OneSnapshot, func(r *run) {
			for index := range r.executions {
				r.executions[index].Generation = 9
			}
			r.answers[sweep].Generation = 9
			r.answers = r.answers[:1]
		}},
		{"covered without execution", CoverageTrue, func(r *run) { r.executions = r.executions[1:] }},
		{"covered by a run that was cut short", CoverageTrue, func(r *run) {
			r.executions[0].Canceled, r.executions[0].ItemDigests = true, nil
		}},
		{"covered by a run that failed", CoverageTrue, func(r *run) {
			r.executions[0].Failed, r.executions[0].ItemDigests = true, nil
		}},
		{"missing shard silently in", CoverageTrue, func(r *run) {
			r.answers[sweep].Covered, r.answers[sweep].Missing, r.answers[sweep].Complete = []uint32{0, 1}, []uint32{2}, false
		}},
		{"shard not mentioned", CoverageTrue, func(r *run) { r.answers[best].Covered = []uint32{0, 1} }},
		{"partial marked complete", CoverageTrue, func(r *run) {
			r.answers[sweep].Covered, r.answers[sweep].Missing = []uint32{0, 1}, []uint32{2}
			r.answers[sweep].ItemDigests = bestOfParts(0, 1)
		}},
		{"late by the router's clock", CoverageTrue, func(r *run) { r.answers[sweep].ElapsedMs = 101 }},
		{"late by the caller's clock", CoverageTrue, func(r *run) { r.answers[refused-1].Received = at(2000) }},
		{"later than the caller's lag explains", CoverageTrue, func(r *run) {
			r.answers[send].Received, r.answers[send].CallerLagMs = at(2000), 800
		}},
		{"answer to another body", WholeAnswer, func(r *run) {
			for index := range r.executions {
				if r.executions[index].Request == "send" {
					r.executions[index].BodyDigest = "body-other"
				}
			}
			r.answers[send].Covered, r.answers[send].Missing, r.answers[send].Complete = nil, []uint32{1}, false
		}},
		{"item lost from a covered part", WholeAnswer, func(r *run) {
			r.answers[sweep].ItemDigests = r.answers[sweep].ItemDigests[1:]
		}},
		{"parts out of order", WholeAnswer, func(r *run) { r.answers[sweep].ItemDigests = bestOfParts(1, 0, 2) }},
		{"not the best items", WholeAnswer, func(r *run) { r.answers[best].ItemDigests = bestOf("best", 6)[1:] }},
		{"invented item", WholeAnswer, func(r *run) { r.answers[send].ItemDigests[0] = "0" }},
		{"not_run was run", NotRunTrue, func(r *run) { r.executions = append(r.executions, execution("refused", 1, 7)) }},
		{"not_run was run afterwards", NotRunTrue, func(r *run) {
			late := execution("refused", 1, 7)
			late.Arrived = at(500)
			r.executions = append(r.executions, late)
		}},
		{"once ran twice", AtMostOnce, func(r *run) {
			again := execution("send", 1, 7)
			again.Backend, again.Attempt = "b9", "from another router"
			r.executions = append(r.executions, again)
		}},
		{"once ran on two shards", AtMostOnce, func(r *run) { r.executions = append(r.executions, execution("send", 2, 7)) }},
		{"work to a leaver", NoWorkToLeaver, func(r *run) { r.departures[0].Began = at(-3000) }},
		{"connection cut by a planned stop", StopCutsNothing, func(r *run) {
			r.answers[refused].Status, r.answers[refused].Verdict = 0, "may_have_run"
			r.answers[refused].Received = at(8)
		}},
		{"revision went back", AcceptedInForce, func(r *run) {
			r.admissions = append(r.admissions, records.Admission{Node: "r1", At: at(60), Revision: 1})
			r.operators = r.operators[:1]
		}},
		{"old revision after in force", AcceptedInForce, func(r *run) {
			r.admissions = append(r.admissions, records.Admission{Node: "r2", At: at(60), Revision: 1})
		}},
		{"old revision until after in force", AcceptedInForce, func(r *run) {
			r.admissions = append(r.admissions, records.Admission{Node: "r2", At: at(30), Until: at(60), Count: 9, Revision: 1})
		}},
		{"old revision after the bound", AcceptedInForce, func(r *run) {
			r.operators[1].InForce = time.Time{}
			r.admissions = append(r.admissions, records.Admission{Node: "r2", At: at(20_000), Revision: 1})
		}},
		{"one revision for two changes", AcceptedInForce, func(r *run) { r.operators[0].Revision = 2 }},
	}
	seen := map[Invariant]bool{}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			broken := cleanRun()
			test.breakRun(broken)
			found := broken.judge().Violations()
			require.NotEmpty(t, found)
			for _, violation := range found {
				require.Equal(t, test.invariant, violation.Invariant, violation.String())
			}
			seen[test.invariant] = true
		})
	}
	require.Len(t, seen, len(Invariants()), "every invariant has a case")
}

// A router's record sums up many admissions. All of them are counted, and the old
// revision may be used until the new one is in force.
func TestSummedUpAdmissionsAreCounted(t *testing.T) {
	r := cleanRun()
	before := r.judge().Result().Counts.Admissions
	r.admissions = append(r.admissions,
		records.Admission{Node: "r2", At: at(20), Until: at(40), Count: 5, Revision: 1},
		records.Admission{Node: "r2", At: at(40), Until: at(90), Count: 7, Revision: 2})
	result := r.judge().Result()
	require.Empty(t, result.Violations)
	require.Equal(t, before+12, result.Counts.Admissions)
}

func bestOfParts(shards ...uint32) []string {
	return lo.FlatMap(shards, func(shard uint32, _ int) []string { return dataset.Digests(query("sweep", shard, 7)) })
}

// A run that was cut short or failed leaves a record without items beside that
// of the run whose part is in the answer.
func TestRunWithoutPartIsNoPart(t *testing.T) {
	r := cleanRun()
	for _, request := range []string{"sweep", "best"} {
		cutShort, failed := execution(request, 1, 7), execution(request, 2, 7)
		cutShort.Canceled, cutShort.ItemDigests = true, nil
		failed.Failed, failed.ItemDigests = true, nil
		r.executions = append([]records.Execution{cutShort, failed}, r.executions...)
	}
	require.Empty(t, r.judge().Violations())
}

// A caller whose own process came late read an answer that was there in time.
func TestLagOfTheCallerIsNoLateness(t *testing.T) {
	r := cleanRun()
	r.answers[0].Received, r.answers[0].CallerLagMs = at(2000), 1000
	require.Empty(t, r.judge().Violations())
}

// A resend of the same id owns an execution that an earlier refusal does not.
func TestExecutionOfResendIsNotHeldAgainstRefusal(t *testing.T) {
	r := cleanRun()
	resent := execution("refused", 1, 7)
	resent.Arrived = at(500)
	r.executions = append(r.executions, resent)
	r.answers = append(r.answers, records.CallerAnswer{Request: "refused", Sent: at(400), Received: at(600), Verdict: "may_have_run", Status: 504})
	require.Empty(t, r.judge().Violations())
}

func TestFolderInPartsFindsWhatMemoryFinds(t *testing.T) {
	r := cleanRun()
	r.executions = append(r.executions, execution("send", 1, 7), execution("refused", 1, 7))
	folder := t.TempDir()
	lines := lo.Map(r.executions, func(item records.Execution, _ int) records.BackendLine { return records.BackendLine{Execution: &item} })
	lines = append(lines, records.BackendLine{Departure: &r.departures[0]})
	backends := []string{writeLines(t, folder, "backends-1.jsonl", lines)}
	answers := []string{writeLines(t, folder, "answers.jsonl", r.answers)}
	want := r.judge().Result()
	whole := New(Config{Items: dataset.Items})
	whole.AddPlan(testPlan())
	require.NoError(t, whole.Folder(folder))
	require.Equal(t, want.ByInvariant, whole.Result().ByInvariant)
	divided := New(Config{Items: dataset.Items})
	divided.AddPlan(testPlan())
	require.NoError(t, divided.judgeDivided(backends, answers, 40))
	require.Equal(t, want.ByInvariant, divided.Result().ByInvariant)
	require.Equal(t, map[Invariant]int{AtMostOnce: 1, NotRunTrue: 1}, want.ByInvariant)
}

func writeLines[T any](t *testing.T, folder, name string, lines []T) string {
	t.Helper()
	path := filepath.Join(folder, name)
	file, err := os.Create(path)
	require.NoError(t, err)
	encoder := json.NewEncoder(file)
	for _, line := range lines {
		require.NoError(t, encoder.Encode(line))
	}
	require.NoError(t, file.Close())
	return path
}

func TestRanksAreReadFromAnyItem(t *testing.T) {
	first, last := json.RawMessage(`{"rank":9}`), json.RawMessage(`{"rank":8}`)
	for item, want := range map[string]float64{
		`{"a":"x","rank":7.5,"b":1}`:  7.5,
		`{"rank": -3 }`:               -3,
		`{"b":{"rank":1},"rank":2}`:   2,
		`{"b":["rank",1],"rank":3}`:   3,
		`{"b":"\"rank\":9","rank":4}`: 4,
		`{"rank":1,"rank":5}`:         5,
		`{"rank":"6"}`:                0,
		`{"other":6}`:                 0,
		`{"rank":null,"b":"c"}`:       0,
	} {
		require.Equal(t, []float64{9, want, 8}, ranksOf([]json.RawMessage{first, []byte(item), last}, "rank"), item)
	}
}

// The answer to a scattered request that failed names only the missing shards,
// and none when it was lost. Each shard may have run once all the same.
func TestFailedScatteredOnceRequestMayRunOnEachShard(t *testing.T) {
	for _, missing := range [][]uint32{{1}, nil} {
		r := cleanRun()
		r.answers = append(r.answers, records.CallerAnswer{Request: "failed", Route: "sweep", Service: "desks", Once: true,
			Sent: at(0), Received: at(9), Verdict: "ran", Status: 503, Missing: missing})
		r.executions = append(r.executions, execution("failed", 0, 7), execution("failed", 1, 7))
		require.Empty(t, r.judge().Violations())
		r.executions = append(r.executions, execution("failed", 1, 7))
		require.Equal(t, map[Invariant]int{AtMostOnce: 1}, r.judge().Result().ByInvariant)
	}
}
