package slicing_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

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
				Name: fmt.Sprint("r", number), Zone: zone, Address: "x", Absent: rapid.Bool().Draw(t, "absent"),
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
		assigned := slicing.NewLayout(self, shards, func(shard string) []string { return places[shard] }, routers).Assign("id")
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
			require.False(t, slice.Router.Absent)
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
	assigned := slicing.NewLayout(self, []string{"near", "far", "nowhere"}, func(shard string) []string {
		return map[string][]string{"near": {"b", "a"}, "far": {"b"}, "nowhere": {"c"}}[shard]
	}, routers).Assign("id")
	require.Equal(t, []slicing.Slice{
		{Shards: []string{"nowhere", "near"}}, {Router: routers[0], Shards: []string{"far"}},
	}, assigned)
}

func TestFewRoutersOfALargeZoneMeetEachShard(t *testing.T) {
	var routers []slicing.Router
	for number := range 16 {
		routers = append(routers, slicing.Router{Name: fmt.Sprintf("r%02d", number), Zone: "b"})
	}
	var shards []string
	for number := range 42 {
		shards = append(shards, fmt.Sprint("s", number))
	}
	met := map[string]map[string]bool{}
	for request := range 500 {
		self := slicing.Router{Name: "self", Zone: "a"}
		for _, slice := range slicing.NewLayout(self, shards, func(string) []string { return []string{"b"} }, routers).Assign(fmt.Sprint(request)) {
			for _, shard := range slice.Shards {
				if met[shard] == nil {
					met[shard] = map[string]bool{}
				}
				met[shard][slice.Router.Name] = true
			}
		}
	}
	for shard, by := range met {
		require.LessOrEqual(t, len(by), 6, shard)
	}
}

// TestAShardIsMetByItsCellsWhoeverAsks holds the connections to a server down: a
// shard is gathered by the routers of its cell in each of its zones, also for
// routers of zones without a server of it.
func TestAShardIsMetByItsCellsWhoeverAsks(t *testing.T) {
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
	met := map[string]map[string]bool{}
	for request := range 800 {
		self := routers[request%len(routers)]
		for _, slice := range slicing.NewLayout(self, shards, zones, routers).Assign(fmt.Sprint(request)) {
			for _, shard := range slice.Shards {
				if met[shard] == nil {
					met[shard] = map[string]bool{}
				}
				name := slice.Router.Name
				if name == "" {
					name = self.Name
				}
				met[shard][name] = true
			}
		}
	}
	for shard, by := range met {
		require.LessOrEqual(t, len(by), 3*4, shard)
	}
	for _, self := range routers {
		counted := slicing.NewLayout(self, shards, zones, routers).Gatherers()
		for shard, by := range met {
			require.Equal(t, slicing.Gatherers{Count: len(by), Self: by[self.Name]}, counted[shard], shard)
		}
	}
}

// TestFarShardsAreAskedForInFewZones holds messages between zones down, and
// spreads them evenly.
func TestFarShardsAreAskedForInFewZones(t *testing.T) {
	self := slicing.Router{Name: "self", Zone: "a"}
	routers := []slicing.Router{{Name: "other-b", Zone: "b"}, {Name: "other-c", Zone: "c"}}
	times := map[string]int{}
	for request := range 1000 {
		assigned := slicing.NewLayout(self, []string{"s1", "s2", "s3"}, func(string) []string { return []string{"b", "c"} }, routers).Assign(fmt.Sprint(request))
		require.Len(t, assigned, 1)
		times[assigned[0].Router.Zone]++
	}
	require.InDelta(t, 500, times["b"], 75)
}

// TestRoutersThatAreAwayMoveNoOther has routers away, one after the other, as when
// all are restarted in turn: the shards of the others stay where they are, and with
// them the connections.
func TestRoutersThatAreAwayMoveNoOther(t *testing.T) {
	var shards []string
	for number := range 60 {
		shards = append(shards, fmt.Sprint("s", number))
	}
	zones := func(string) []string { return []string{"b"} }
	self := slicing.Router{Name: "self", Zone: "a"}
	gathered := func(absent int) map[string]map[string]bool {
		var routers []slicing.Router
		for number := range 16 {
			routers = append(routers, slicing.Router{Name: fmt.Sprintf("r%02d", number), Zone: "b", Absent: number == absent})
		}
		met := map[string]map[string]bool{}
		layout := slicing.NewLayout(self, shards, zones, routers)
		for request := range 200 {
			for _, slice := range layout.Assign(fmt.Sprint(request)) {
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
	whole := gathered(-1)
	for absent := range 16 {
		for shard, by := range gathered(absent) {
			for name := range by {
				require.True(t, whole[shard][name], "%s gathers %s only while router %d is away", name, shard, absent)
			}
		}
	}
}

func TestAnswerIsDueAtTheCutIfPartsSufficedBefore(t *testing.T) {
	cut := time.Unix(1000, 0)
	for name, sample := range map[string]struct {
		parts []time.Duration
		want  bool
	}{
		"none":               {nil, false},
		"too few":            {[]time.Duration{-2}, false},
		"enough before":      {[]time.Duration{-2, -1}, true},
		"more after":         {[]time.Duration{-2, -1, 1}, true},
		"enough at the cut":  {[]time.Duration{-2, 0}, true},
		"enough only later":  {[]time.Duration{-2, 1}, false},
		"all of them later":  {[]time.Duration{1, 1, 1}, false},
		"enough and one too": {[]time.Duration{-3, -2, -1}, true},
	} {
		collection := slicing.Collection{Total: 3, Least: 0.6, Cut: cut, Deadline: cut.Add(time.Second)}
		for _, after := range sample.parts {
			collection.Add(cut.Add(after * time.Millisecond))
		}
		require.Equal(t, len(sample.parts), collection.In, name)
		require.Equal(t, sample.want, collection.DueAtCut(), name)
	}
	without := slicing.Collection{Total: 1, Least: 1}
	without.Add(cut)
	require.False(t, without.DueAtCut())
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
		"whole":                     {10, 0, time.Millisecond, slicing.Answer},
		"whole but for the lost":    {9, 1, time.Millisecond, slicing.Answer},
		"enough, before the cut":    {9, 0, 99 * time.Millisecond, slicing.Wait},
		"enough, at the cut":        {9, 0, 100 * time.Millisecond, slicing.Answer},
		"too few at the cut":        {8, 0, 100 * time.Millisecond, slicing.Wait},
		"out of reach":              {5, 2, time.Millisecond, slicing.FailCoverage},
		"too few at the deadline":   {8, 0, time.Second, slicing.FailTimeout},
		"enough at the deadline":    {9, 0, time.Second, slicing.Answer},
		"nothing at the deadline":   {0, 0, time.Second, slicing.FailTimeout},
		"all lost":                  {0, 10, 0, slicing.FailCoverage},
		"late, the last one it has": {9, 0, 500 * time.Millisecond, slicing.Answer},
	} {
		collection := slicing.Collection{Total: 10, In: sample.in, Out: sample.out, Least: 0.9, Cut: cut, Deadline: deadline}
		require.Equal(t, sample.want, collection.Decide(start.Add(sample.at)), name)
	}
	collection := slicing.Collection{Total: 1, Cut: cut, Deadline: deadline}
	require.Equal(t, cut, collection.Next(start))
	require.Equal(t, deadline, collection.Next(cut))
}
