package plan

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	martenstagev1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
)

// drawPlan generates a valid plan. Names come from small sets, so that two plans
// generated in one test share services, shards and routes.
func drawPlan(t *rapid.T, label string) *Plan {
	drawn := &Plan{}
	for _, name := range drawNames(t, label+" services", "s", 1) {
		service := Service{
			Name:        name,
			HedgeBudget: Budget{Ratio: rapid.SampledFrom([]float64{0, 0.05, 1}).Draw(t, "ratio"), Burst: 10},
			CellRouters: rapid.IntRange(0, 2).Draw(t, "cell"),
			ColdStart:   time.Duration(rapid.IntRange(0, 1).Draw(t, "cold start")) * time.Second,
		}
		number := rapid.Uint32Range(1, 2).Draw(t, "generation")
		for range rapid.IntRange(1, 2).Draw(t, "generations") {
			service.Generations = append(service.Generations, Generation{Number: number, Shards: drawShards(t)})
			number++
		}
		drawn.Services = append(drawn.Services, service)
	}
	for _, name := range drawNames(t, label+" routes", "r", 0) {
		service := rapid.SampledFrom(drawn.Services).Draw(t, "service")
		drawn.Routes = append(drawn.Routes, Route{Name: name, Service: service.Name, Target: TargetAll, Policy: drawPolicy(t)})
	}
	drawRegionsAndRemoteRoutes(t, label, drawn)
	return drawn
}

// drawRegionsAndRemoteRoutes adds other regions and, if there are any, routes
// to them.
func drawRegionsAndRemoteRoutes(t *rapid.T, label string, drawn *Plan) {
	for _, name := range drawNames(t, label+" regions", "n", 0) {
		region := Region{Name: name}
		for number := range rapid.IntRange(1, 3).Draw(t, "entries") {
			address := netip.AddrFrom4([4]byte{10, 0, byte(number), rapid.Byte().Draw(t, "host")})
			region.Entries = append(region.Entries, netip.AddrPortFrom(address, 8081))
		}
		drawn.Regions = append(drawn.Regions, region)
	}
	if len(drawn.Regions) == 0 {
		return
	}
	for _, name := range drawNames(t, label+" remote routes", "q", 0) {
		drawn.RemoteRoutes = append(drawn.RemoteRoutes, RemoteRoute{
			Name: name, Region: rapid.SampledFrom(drawn.Regions).Draw(t, "region").Name,
			Deadline:   time.Duration(rapid.IntRange(1, 2).Draw(t, "deadline")) * time.Second,
			Repeatable: rapid.Bool().Draw(t, "repeatable"),
		})
	}
}

func drawNames(t *rapid.T, label, prefix string, minCount int) []string {
	numbers := rapid.SliceOfNDistinct(rapid.IntRange(1, 5), minCount, 4, rapid.ID).Draw(t, label)
	slices.Sort(numbers)
	names := make([]string, 0, len(numbers))
	for _, number := range numbers {
		names = append(names, fmt.Sprintf("%s%d", prefix, number))
	}
	return names
}

func drawShards(t *rapid.T) []Shard {
	var shards []Shard
	for index, name := range drawNames(t, "shards", "g", 1) {
		shard := Shard{ID: uint32(index), Name: name}
		for number := range rapid.IntRange(1, 3).Draw(t, "replicas") {
			address := netip.AddrFrom4([4]byte{127, 0, rapid.Byte().Draw(t, "host"), byte(number + 1)})
			shard.Replicas = append(shard.Replicas, Replica{
				Address: netip.AddrPortFrom(address, 7000), Zone: "z", Slots: 2, Connections: 70,
			})
		}
		shards = append(shards, shard)
	}
	return shards
}

func drawPolicy(t *rapid.T) Policy {
	drawn := Policy{
		Name: "p", Priority: PriorityNormal, Deadline: time.Second, SnapshotCoverage: 1,
		Hedge: Hedge{Quantile: 0.95, MinDelay: time.Millisecond, MaxDelay: time.Second, MaxPerShard: 1},
		Retry: Retry{MaxPerShard: rapid.IntRange(0, 2).Draw(t, "retries")},
		Merge: Merge{Kind: MergeTop, Limit: 3, Field: "f", Descending: true},
	}
	for range rapid.IntRange(0, 2).Draw(t, "statements") {
		drawn.Statements = append(drawn.Statements, Statement{Condition: drawCondition(t, 2), Action: ActionAnswer, Line: 7})
	}
	last := Condition{Kind: ConditionElapsed, Duration: 900 * time.Millisecond}
	drawn.Statements = append(drawn.Statements, Statement{Condition: last, Action: ActionFail})
	return drawn
}

func drawCondition(t *rapid.T, depth int) Condition {
	simple := []Condition{
		{Kind: ConditionSettled},
		{Kind: ConditionCoverage, Ratio: 0.5},
		{Kind: ConditionElapsed, Duration: 20 * time.Millisecond},
	}
	if depth == 0 || rapid.Bool().Draw(t, "simple") {
		return rapid.SampledFrom(simple).Draw(t, "condition")
	}
	operands := []Condition{drawCondition(t, depth-1), drawCondition(t, depth-1)}
	return Condition{Kind: rapid.SampledFrom([]ConditionKind{ConditionAll, ConditionAny}).Draw(t, "kind"), Operands: operands}
}

// encodeAndDecode decodes the encoding of a message into target, as happens
// between the control group and routers.
func encodeAndDecode[Message proto.Message](t require.TestingT, message, target Message) Message {
	encoded, err := proto.Marshal(message)
	require.NoError(t, err)
	require.NoError(t, proto.Unmarshal(encoded, target))
	return target
}

func TestProtoRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drawn := drawPlan(t, "plan")
		require.NoError(t, Validate(drawn))
		read, err := FromProto(encodeAndDecode(t, ToProto(drawn), &martenstagev1.Plan{}))
		require.NoError(t, err)
		require.Equal(t, drawn, read)
	})
}

// TestApplyDeltaGivesNextPlan checks that applying the delta to base gives the next
// plan, that base is not modified, and that a delta between equal plans is empty.
func TestApplyDeltaGivesNextPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, next := drawPlan(t, "base"), drawPlan(t, "next")
		before := proto.Clone(ToProto(base))
		delta := encodeAndDecode(t, Delta(base, next), &martenstagev1.PlanDelta{})
		applied, err := ApplyDelta(base, delta)
		require.NoError(t, err)
		require.True(t, Equal(next, applied))
		require.Equal(t, next.Services, applied.Services)
		require.True(t, proto.Equal(before, ToProto(base)))
		require.Zero(t, proto.Size(Delta(next, applied)))
		require.Equal(t, Equal(base, next), Diff(base, next).Empty())
	})
}

func TestApplyDeltaRejectsAnotherBase(t *testing.T) {
	base := &Plan{Services: []Service{{Name: "s", Generations: []Generation{{Number: 3}}}}}
	shards := func(changes *martenstagev1.ShardChanges) *martenstagev1.PlanDelta {
		return &martenstagev1.PlanDelta{ChangedShards: []*martenstagev1.ShardChanges{changes}}
	}
	cases := map[string]*martenstagev1.PlanDelta{
		`"x" is removed, but the base does not hold it`: {RemovedServices: []string{"x"}},
		`"y" is removed, but the base does not hold it`: {RemovedRoutes: []string{"y"}},
		`"n" is removed, but the base does not hold it`: {RemovedRegions: []string{"n"}},
		`"q" is removed, but the base does not hold it`: {RemovedRemoteRoutes: []string{"q"}},
		`entry router "a.b:81"`:                         {ChangedRegions: []*martenstagev1.Region{{Name: "n", Entries: []string{"a.b:81"}}}},
		`no service "x"`:                                shards(&martenstagev1.ShardChanges{Service: "x"}),
		`no generation 2`:                               shards(&martenstagev1.ShardChanges{Service: "s", Generation: 2}),
		`no shard 0`:                                    shards(&martenstagev1.ShardChanges{Service: "s", Generation: 3, Shards: []*martenstagev1.Shard{{}}}),
		`address "a.b:80"`:                              {ChangedServices: []*martenstagev1.Service{{Name: "s", Generations: []*martenstagev1.Generation{{Shards: []*martenstagev1.Shard{{Replicas: []*martenstagev1.Replica{{Address: "a.b:80"}}}}}}}}},
	}
	for want, delta := range cases {
		_, err := ApplyDelta(base, delta)
		require.ErrorContains(t, err, want)
	}
}

// examplePlan returns a small valid plan for tests that modify one part of it.
func examplePlan() *Plan {
	replica := func(address string) Replica {
		return Replica{Address: netip.MustParseAddrPort(address), Zone: "a", Slots: 2, Connections: 70}
	}
	return &Plan{
		Services: []Service{{Name: "s", Generations: []Generation{{Number: 1, Shards: []Shard{
			{ID: 0, Name: "g0", Replicas: []Replica{replica("127.0.0.1:1"), replica("127.0.0.2:1")}},
			{ID: 1, Name: "g1", Replicas: []Replica{replica("127.0.0.3:1")}},
		}}}}},
		Routes: []Route{{Name: "r", Service: "s", Target: TargetAll, Policy: Policy{
			Name: "p", Priority: PriorityNormal, Deadline: time.Second, SnapshotCoverage: 1,
			Statements: []Statement{
				{Action: ActionAnswer, Condition: Condition{Kind: ConditionCovered, Shards: []string{"g1"}}},
				{Action: ActionFail, Condition: Condition{Kind: ConditionElapsed, Duration: 900 * time.Millisecond}},
			},
			Merge: Merge{Kind: MergeConcat},
		}}},
		Regions: []Region{{Name: "n", Entries: []netip.AddrPort{
			netip.MustParseAddrPort("10.0.0.1:8081"), netip.MustParseAddrPort("10.0.0.2:8081"),
		}}},
		RemoteRoutes: []RemoteRoute{{Name: "q", Region: "n", Deadline: time.Second}},
	}
}

func TestValidateRejectsInvalidPlans(t *testing.T) {
	cases := map[string]func(*Plan){
		"sorted by unique names":    func(p *Plan) { p.Services = append(p.Services, p.Services[0]) },
		"0 generations":             func(p *Plan) { p.Services[0].Generations = nil },
		"does not come after":       func(p *Plan) { p.Services[0].Generations[0].Number = 0 },
		"stands in place":           func(p *Plan) { p.Services[0].Generations[0].Shards[1].ID = 7 },
		"no replica":                func(p *Plan) { p.Services[0].Generations[0].Shards[1].Replicas = nil },
		"is not IPv4":               func(p *Plan) { p.Services[0].Generations[0].Shards[0].Replicas[0].Address = netip.AddrPort{} },
		"no slots":                  func(p *Plan) { p.Services[0].Generations[0].Shards[0].Replicas[0].Slots = 0 },
		`unknown service "x"`:       func(p *Plan) { p.Routes[0].Service = "x" },
		"might not decide":          func(p *Plan) { p.Routes[0].Policy.Deadline = 900 * time.Millisecond },
		"without a claim expiry":    func(p *Plan) { p.Routes[0].Policy.Once = true },
		`has no shard "g9"`:         func(p *Plan) { p.Routes[0].Policy.Statements[0].Condition.Shards[0] = "g9" },
		"unknown condition":         func(p *Plan) { p.Routes[0].Policy.Statements[0].Condition.Kind = 99 },
		"unknown action":            func(p *Plan) { p.Routes[0].Policy.Statements[0].Action = 0 },
		"ratio outside":             func(p *Plan) { p.Services[0].HedgeBudget.Ratio = 2 },
		"snapshot coverage":         func(p *Plan) { p.Routes[0].Policy.SnapshotCoverage = 0 },
		"hedge out of bounds":       func(p *Plan) { p.Routes[0].Policy.Hedge = Hedge{Quantile: 0.5, MinDelay: 2, MaxDelay: 1} },
		"without exactly one":       func(p *Plan) { p.Routes[0].Policy.Statements[0].Condition = Condition{Kind: ConditionNot} },
		"negative cell size":        func(p *Plan) { p.Services[0].CellRouters = -1 },
		"is empty or used twice":    func(p *Plan) { p.Services[0].Generations[0].Shards[1].Name = "g0" },
		"retry out of bounds":       func(p *Plan) { p.Routes[0].Policy.Retry.Backoff = -1 },
		"unknown target 0":          func(p *Plan) { p.Routes[0].Target = 0 },
		"unknown merge 0":           func(p *Plan) { p.Routes[0].Policy.Merge = Merge{} },
		"routes are not sorted":     func(p *Plan) { p.Routes[0].Name = "" },
		"regions or remote routes":  func(p *Plan) { p.Regions = append(p.Regions, p.Regions[0]) },
		`unknown region "x"`:        func(p *Plan) { p.RemoteRoutes[0].Region = "x" },
		"both remote and this":      func(p *Plan) { p.RemoteRoutes[0].Name = "r" },
		`route "q": no deadline`:    func(p *Plan) { p.RemoteRoutes[0].Deadline = 0 },
		"no entry router":           func(p *Plan) { p.Regions[0].Entries = nil },
		"not sorted or stands":      func(p *Plan) { p.Regions[0].Entries[1] = p.Regions[0].Entries[0] },
		"entry router invalid":      func(p *Plan) { p.Regions[0].Entries[0] = netip.AddrPort{} },
		"condition nested too deep": func(p *Plan) { p.Routes[0].Policy.Statements[0].Condition = nestedCondition(maxConditionDepth + 1) },
	}
	require.NoError(t, Validate(examplePlan()))
	for want, change := range cases {
		changed := examplePlan()
		change(changed)
		require.ErrorContains(t, Validate(changed), want)
	}
}

func nestedCondition(depth int) Condition {
	condition := Condition{Kind: ConditionSettled}
	for range depth {
		condition = Condition{Kind: ConditionNot, Operands: []Condition{condition}}
	}
	return condition
}

func TestDiffLines(t *testing.T) {
	after := examplePlan()
	shards := after.Services[0].Generations[0].Shards
	shards[1].Replicas = append(shards[1].Replicas, Replica{Address: netip.MustParseAddrPort("127.0.0.4:1"), Slots: 2, Connections: 30})
	shards[0].Replicas[0].Slots = 3
	after.Services[0].ColdStart = 20 * time.Second
	after.Routes[0].Policy.Deadline = 2 * time.Second
	after.Routes[0].Policy.Statements[0].Line = 99
	require.Equal(t, strings.Split(strings.TrimSpace(`
service s changed
  cold start: 0ms -> 20s
  generation 1 group g0 changed ~127.0.0.1:1
  generation 1 group g1 changed +127.0.0.4:1
  connections: 210 -> 240
  routes: r
route r changed
  deadline: 1s -> 2s
touches 1 services, 2 groups, 2 replicas, 1 routes; connections +30`), "\n"), Diff(examplePlan(), after).Lines())
	after = examplePlan()
	after.Services[0].Generations[0].Shards[1].Name = "g2"
	require.Contains(t, Diff(examplePlan(), after).Services[0].Warnings[0], "under the same number")
	after = examplePlan()
	after.Routes[0].Policy.Statements[0].Line = 99
	require.Equal(t, []string{"no change"}, Diff(examplePlan(), after).Lines())
}

func TestDiffLinesOfRegionsAndRemoteRoutes(t *testing.T) {
	after := examplePlan()
	after.Regions[0].Entries = after.Regions[0].Entries[:1]
	after.RemoteRoutes[0].Repeatable = true
	after.RemoteRoutes = append(after.RemoteRoutes, RemoteRoute{Name: "t", Region: "n", Deadline: time.Second})
	require.Equal(t, strings.Split(strings.TrimSpace(`
region n changed
  routers: 10.0.0.1:8081 10.0.0.2:8081 -> 10.0.0.1:8081
remote route q changed
  offered again: only when it was not run -> also when it may have run
remote route t added
touches 0 services, 0 groups, 0 replicas, 2 routes; connections +0`), "\n"), Diff(examplePlan(), after).Lines())
}

// TestPlanEncodedWithoutRegions checks that a plan encoded by a version that did
// not support regions decodes correctly, and that a plan without regions still
// has the same encoding.
func TestPlanEncodedWithoutRegions(t *testing.T) {
	encoded, err := hex.DecodeString(encodedPlanWithoutRegions)
	require.NoError(t, err)
	message := &martenstagev1.Plan{}
	require.NoError(t, proto.Unmarshal(encoded, message))
	read, err := FromProto(message)
	require.NoError(t, err)
	want := examplePlan()
	want.Regions, want.RemoteRoutes = nil, nil
	require.Equal(t, want, read)
	written, err := proto.MarshalOptions{Deterministic: true}.Marshal(ToProto(want))
	require.NoError(t, err)
	require.Equal(t, encoded, written)
}
