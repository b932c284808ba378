package slicing_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/martenstage/martenstage/internal/slicing"
)

func TestEveryShardIsInExactlyOneSlice(t *testing.T) {
	zoneNames := []string{"a", "b", "c", "d"}
	rapid.Check(t, func(t *rapid.T) {
		var routers []slicing.Router
		for number := range rapid.IntRange(0, 20).Draw(t, "routers") {
			zone := rapid.SampledFrom(zoneNames).Draw(t, "zone")
			routers = append(routers, slicing.Router{
				Name: fmt.Sprint("r", number), Zone: zone, Address: "x", Unavailable: rapid.Bool().Draw(t, "absent"),
			})
		}
		self := slicing.Router{Name: "self", Zone: rapid.SampledFrom(zoneNames).Draw(t, "own")}
		places := map[string][]string{}
		var shards []string
		for number := range rapid.IntRange(1, 120).Draw(t, "shards") {
			shard := fmt.Sprint("s", number)
			shards = append(shards, shard)
			places[shard] = rapid.SliceOfNDistinct(rapid.SampledFrom(zoneNames), 0, 3, rapid.ID[string]).Draw(t, "places")
		}
		assigned := slicing.NewLayout(self, shards, slicing.Inputs{
			Zones: func(shard string) []string { return places[shard] }, Routers: routers, Calls: rapid.Float64Range(0, 1e5).Draw(t, "calls"),
		}).Assign("id", shards)
		var all []string
		own := 0
		for _, slice := range assigned {
			require.NotEmpty(t, slice.Shards)
			all = append(all, slice.Shards...)
			if slice.Router.Name == "" {
				own++
				continue
			}
			require.NotEqual(t, "self", slice.Router.Name)
			require.False(t, slice.Router.Unavailable)
			for _, shard := range slice.Shards {
				require.Contains(t, places[shard], slice.Router.Zone)
			}
		}
		require.LessOrEqual(t, own, 1)
		slices.Sort(all)
		slices.Sort(shards)
		require.Equal(t, shards, all)
	})
}

func TestShardsWithAServerInTheOwnZoneStay(t *testing.T) {
	self := slicing.Router{Name: "self", Zone: "a"}
	routers := []slicing.Router{{Name: "other", Zone: "b"}}
	shards := []string{"near", "far", "nowhere"}
	assigned := slicing.NewLayout(self, shards, slicing.Inputs{Routers: routers, Zones: func(shard string) []string {
		return map[string][]string{"near": {"b", "a"}, "far": {"b"}, "nowhere": {"c"}}[shard]
	}}).Assign("id", shards)
	require.Equal(t, []slicing.Slice{
		{Shards: []string{"nowhere", "near"}}, {Router: routers[0], Shards: []string{"far"}},
	}, assigned)
}

func TestFewRoutersOfALargeZoneGatherEachShard(t *testing.T) {
	var routers []slicing.Router
	for number := range 16 {
		routers = append(routers, slicing.Router{Name: fmt.Sprintf("r%02d", number), Zone: "b"})
	}
	var shards []string
	for number := range 42 {
		shards = append(shards, fmt.Sprint("s", number))
	}
	gatherers := map[string]map[string]bool{}
	for request := range 500 {
		self := slicing.Router{Name: "self", Zone: "a"}
		for _, slice := range slicing.NewLayout(self, shards, slicing.Inputs{Zones: func(string) []string { return []string{"b"} }, Routers: routers}).Assign(fmt.Sprint(request), shards) {
			for _, shard := range slice.Shards {
				if gatherers[shard] == nil {
					gatherers[shard] = map[string]bool{}
				}
				gatherers[shard][slice.Router.Name] = true
			}
		}
	}
	for shard, by := range gatherers {
		require.LessOrEqual(t, len(by), 6, shard)
	}
}

// TestShardIsGatheredOnlyByItsCells guards the limit on connections to a server: only the
// routers of a shard's cell in each of its zones gather it, also for routers of zones without
// a server of it.
func TestShardIsGatheredOnlyByItsCells(t *testing.T) {
	zoneNames := []string{"a", "b", "c", "d"}
	var routers []slicing.Router
	for number := range 64 {
		routers = append(routers, slicing.Router{Name: fmt.Sprintf("r%02d", number), Zone: zoneNames[number%4]})
	}
	var shards []string
	zones := func(shard string) []string {
		var number int
		_, _ = fmt.Sscanf(shard, "s%d", &number)
		return slices.Concat(zoneNames[:number%4], zoneNames[number%4+1:])
	}
	for number := range 90 {
		shards = append(shards, fmt.Sprint("s", number))
	}
	gatherers := map[string]map[string]bool{}
	for request := range 800 {
		self := routers[request%len(routers)]
		for _, slice := range slicing.NewLayout(self, shards, slicing.Inputs{Zones: zones, Routers: routers}).Assign(fmt.Sprint(request), shards) {
			for _, shard := range slice.Shards {
				if gatherers[shard] == nil {
					gatherers[shard] = map[string]bool{}
				}
				name := slice.Router.Name
				if name == "" {
					name = self.Name
				}
				gatherers[shard][name] = true
			}
		}
	}
	for shard, by := range gatherers {
		require.LessOrEqual(t, len(by), 3*4, shard)
	}
	sharing := map[string]int{}
	for _, self := range routers {
		counted := slicing.NewLayout(self, shards, slicing.Inputs{Zones: zones, Routers: routers}).Gatherers()
		for shard, by := range gatherers {
			require.False(t, by[self.Name] && !counted[shard].Self, "%s gathers %s without a share", self.Name, shard)
			if counted[shard].Self {
				sharing[shard]++
			}
		}
	}
	counted := slicing.NewLayout(routers[0], shards, slicing.Inputs{Zones: zones, Routers: routers}).Gatherers()
	for shard := range gatherers {
		require.Equal(t, counted[shard].Count, sharing[shard], "the count equals the number of routers with a share")
	}
}

// TestRemoteShardsAreGatheredInFewZones keeps the number of messages between zones low and
// evenly distributed.
func TestRemoteShardsAreGatheredInFewZones(t *testing.T) {
	self := slicing.Router{Name: "self", Zone: "a"}
	routers := []slicing.Router{{Name: "other-b", Zone: "b"}, {Name: "other-c", Zone: "c"}}
	times := map[string]int{}
	shards := namedShards(3)
	for request := range 1000 {
		assigned := slicing.NewLayout(self, shards, slicing.Inputs{Zones: func(string) []string { return []string{"b", "c"} }, Routers: routers}).Assign(fmt.Sprint(request), shards)
		require.Len(t, assigned, 1)
		times[assigned[0].Router.Zone]++
	}
	require.InDelta(t, 500, times["b"], 75)
}

// TestUnavailableRouterDoesNotMoveShardsOfOthers makes each router unavailable in turn, as in
// a rolling restart. One other router of its cell must take over its shards; all other
// assignments, and with them the connections, must stay.
func TestUnavailableRouterDoesNotMoveShardsOfOthers(t *testing.T) {
	shards := namedShards(60)
	site := slicing.Inputs{Zones: func(string) []string { return []string{"b"} }}
	self := slicing.Router{Name: "self", Zone: "a"}
	gathered := func(absent int) map[string]map[string]bool {
		site.Routers = routersOf("b", 16)
		if absent >= 0 {
			site.Routers[absent].Unavailable = true
		}
		return observedGatherers(slicing.NewLayout(self, shards, site), shards)
	}
	baseline := gathered(-1)
	for absent := range 16 {
		unavailable := fmt.Sprintf("r%02d", absent)
		replacements := map[string]bool{}
		for shard, by := range gathered(absent) {
			require.NotContains(t, by, unavailable)
			for name := range by {
				if baseline[shard][name] {
					continue
				}
				require.True(t, baseline[shard][unavailable], "%s gathers %s only while %s is unavailable, which does not gather it", name, shard, unavailable)
				replacements[name] = true
			}
		}
		require.LessOrEqual(t, len(replacements), 1, "more than one router replaces %s", unavailable)
	}
}

func namedShards(count int) []string {
	shards := make([]string, count)
	for number := range shards {
		shards[number] = fmt.Sprint("s", number)
	}
	return shards
}

func routersOf(zone string, count int) []slicing.Router {
	routers := make([]slicing.Router, count)
	for number := range routers {
		routers[number] = slicing.Router{Name: fmt.Sprintf("r%02d", number), Zone: zone}
	}
	return routers
}

// observedGatherers returns the routers that gather each shard over many requests.
func observedGatherers(layout *slicing.Layout, shards []string) map[string]map[string]bool {
	met := map[string]map[string]bool{}
	for request := range 200 {
		for _, slice := range layout.Assign(fmt.Sprint(request), shards) {
			for _, shard := range slice.Shards {
				if met[shard] == nil {
					met[shard] = map[string]bool{}
				}
				met[shard][slice.Router.Name] = true
			}
		}
	}
	return met
}

// TestAsManyRoutersGatherAsTheCallsNeed expects few gatherers for each shard at a low call
// rate, never fewer than two if as many routers are available, and more as the rate rises.
func TestAsManyRoutersGatherAsTheCallsNeed(t *testing.T) {
	shards := namedShards(84)
	site := slicing.Inputs{Zones: func(string) []string { return []string{"b"} }, Routers: routersOf("b", 48)}
	var before int
	for _, calls := range []float64{0, 300, 2500, 10_000} {
		site.Calls = calls
		met := map[string]map[string]bool{}
		for sender := range 40 {
			self := slicing.Router{Name: fmt.Sprint("asker", sender), Zone: "a"}
			for shard, by := range observedGatherers(slicing.NewLayout(self, shards, site), shards) {
				met[shard] = lo.Assign(met[shard], by)
			}
		}
		total := 0
		for shard, by := range met {
			require.GreaterOrEqual(t, len(by), 2, shard)
			require.LessOrEqual(t, len(by), 8, "more than the routers of a cell")
			total += len(by)
		}
		require.GreaterOrEqual(t, total, before, "fewer gatherers at %v calls a second", calls)
		before = total
	}
	require.Equal(t, 8*len(shards), before, "not all routers gather although the call rate needs them")
}

// TestRoutersWithLittleTrafficUseFewPeers has 200 routers send slices for 84 shards. At a low
// call rate each must send to the same few gatherers whatever the request, with the load
// spread evenly over all gatherers; at a high rate assignments must depend on the request.
func TestRoutersWithLittleTrafficUseFewPeers(t *testing.T) {
	shards := namedShards(84)
	site := slicing.Inputs{Zones: func(string) []string { return []string{"b", "c"} }, Calls: 1000}
	for _, zone := range []string{"b", "c"} {
		for _, router := range routersOf(zone, 50) {
			router.Name = zone + router.Name
			site.Routers = append(site.Routers, router)
		}
	}
	slicesPerRouter := map[string]int{}
	for number := range 200 {
		self := slicing.Router{Name: fmt.Sprint("asker", number), Zone: "a"}
		layout := slicing.NewLayout(self, shards, site)
		first := layout.Assign("first", shards)
		require.Equal(t, first, layout.Assign("second", shards))
		for _, slice := range first {
			slicesPerRouter[slice.Router.Name]++
		}
	}
	for name, times := range slicesPerRouter {
		require.InDelta(t, 200*6/24, times, 25, name)
	}
	site.Calls = 1e6
	layout := slicing.NewLayout(slicing.Router{Name: "asker", Zone: "a"}, shards, site)
	require.NotEqual(t, layout.Assign("first", shards), layout.Assign("second", shards))
}

// TestGatherersOfAllRoutersAddUp draws random sites. Every router must compute the same number
// of gatherers for a shard, at least one where its zones have any, and exactly those routers
// must count themselves.
func TestGatherersOfAllRoutersAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zoneNames := []string{"a", "b", "c"}
		var routers []slicing.Router
		for number := range rapid.IntRange(1, 40).Draw(t, "routers") {
			zone := rapid.SampledFrom(zoneNames).Draw(t, "zone")
			routers = append(routers, slicing.Router{Name: fmt.Sprint("r", number), Zone: zone, Unavailable: rapid.Bool().Draw(t, "absent")})
		}
		shards := namedShards(rapid.IntRange(1, 60).Draw(t, "shards"))
		places := map[string][]string{}
		for _, shard := range shards {
			places[shard] = rapid.SliceOfNDistinct(rapid.SampledFrom(zoneNames), 1, 3, rapid.ID[string]).Draw(t, "places")
		}
		site := slicing.Inputs{
			Zones: func(shard string) []string { return places[shard] }, Routers: routers,
			Calls: rapid.Float64Range(0, 20_000).Draw(t, "calls"),
		}
		selves := map[string]int{}
		var counted map[string]slicing.Gatherers
		for _, self := range routers {
			counted = slicing.NewLayout(self, shards, site).Gatherers()
			for shard, gatherers := range counted {
				if gatherers.Self {
					selves[shard]++
				}
			}
		}
		for _, shard := range shards {
			here := 0
			for _, router := range routers {
				if slices.Contains(places[shard], router.Zone) {
					here++
				}
			}
			require.Equal(t, counted[shard].Count, selves[shard], shard)
			require.LessOrEqual(t, counted[shard].Count, here, shard)
			require.True(t, here == 0 || counted[shard].Count >= 1, shard)
		}
	})
}

func TestAnswerIsDueAtTheCutoffIfCoverageWasReached(t *testing.T) {
	cut := time.Unix(1000, 0)
	for name, sample := range map[string]struct {
		parts []time.Duration
		want  bool
	}{
		"none":                 {nil, false},
		"too few":              {[]time.Duration{-2}, false},
		"enough before":        {[]time.Duration{-2, -1}, true},
		"more after":           {[]time.Duration{-2, -1, 1}, true},
		"enough at the cutoff": {[]time.Duration{-2, 0}, true},
		"enough only later":    {[]time.Duration{-2, 1}, false},
		"all of them later":    {[]time.Duration{1, 1, 1}, false},
		"enough and one too":   {[]time.Duration{-3, -2, -1}, true},
	} {
		collection := slicing.Collection{Total: 3, MinCoverage: 0.6, Cutoff: cut, Deadline: cut.Add(time.Second)}
		for _, after := range sample.parts {
			collection.Add(cut.Add(after * time.Millisecond))
		}
		require.Equal(t, len(sample.parts), collection.Received, name)
		require.Equal(t, sample.want, collection.DueAtCutoff(), name)
	}
	without := slicing.Collection{Total: 1, MinCoverage: 1}
	without.Add(cut)
	require.False(t, without.DueAtCutoff())
}

func TestCollectionDecides(t *testing.T) {
	start := time.Unix(1000, 0)
	cut, deadline := start.Add(100*time.Millisecond), start.Add(time.Second)
	for name, sample := range map[string]struct {
		in, out int
		at      time.Duration
		want    slicing.Decision
	}{
		"nothing yet":               {0, 0, 0, slicing.Wait},
		"complete":                  {10, 0, time.Millisecond, slicing.Answer},
		"complete but for failed":   {9, 1, time.Millisecond, slicing.Answer},
		"enough, before the cutoff": {9, 0, 99 * time.Millisecond, slicing.Wait},
		"enough, at the cutoff":     {9, 0, 100 * time.Millisecond, slicing.Answer},
		"too few at the cutoff":     {8, 0, 100 * time.Millisecond, slicing.Wait},
		"out of reach":              {5, 2, time.Millisecond, slicing.FailCoverage},
		"too few at the deadline":   {8, 0, time.Second, slicing.FailTimeout},
		"enough at the deadline":    {9, 0, time.Second, slicing.Answer},
		"nothing at the deadline":   {0, 0, time.Second, slicing.FailTimeout},
		"all failed":                {0, 10, 0, slicing.FailCoverage},
		"enough, after the cutoff":  {9, 0, 500 * time.Millisecond, slicing.Answer},
	} {
		collection := slicing.Collection{Total: 10, Received: sample.in, Failed: sample.out, MinCoverage: 0.9, Cutoff: cut, Deadline: deadline}
		require.Equal(t, sample.want, collection.Decide(start.Add(sample.at)), name)
	}
	collection := slicing.Collection{Total: 1, Cutoff: cut, Deadline: deadline}
	require.Equal(t, cut, collection.Next(start))
	require.Equal(t, deadline, collection.Next(cut))
}
