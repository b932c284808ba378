package scale

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/martenstage/martenstage/internal/plan"
)

func TestSharesAddUpToTheTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total, parts := rapid.IntRange(0, 60000).Draw(t, "total"), rapid.IntRange(1, 30).Draw(t, "parts")
		next := 0
		for part := range parts {
			require.Equal(t, next, firstOf(total, parts, part))
			share := Share(total, parts, part)
			require.InDelta(t, float64(total)/float64(parts), float64(share), 1)
			next += share
		}
		require.Equal(t, total, next)
	})
}

func TestZonesBelongToOneRegion(t *testing.T) {
	const regions, zones = 9, 26
	seen := make(map[string]bool)
	for region := range regions {
		for _, zone := range ZonesOf(region, regions, zones) {
			require.False(t, seen[zone], zone)
			seen[zone] = true
		}
	}
	require.Len(t, seen, zones)
	require.Equal(t, []string{"zone-00", "zone-01"}, ZonesOf(0, 1, 2), "one region has all zones")
	require.Equal(t, []string{"zone-04"}, ZonesOf(4, regions, 1), "no region is without a zone")
}

func TestServersBelongToOneRegion(t *testing.T) {
	config := RunConfig{Regions: 9, Servers: 5000, Zones: 26, CellRouters: 64}
	seen := make(map[netip.AddrPort]bool)
	for region := range config.Regions {
		for _, address := range NewConfiguration(regionShape(config, region)).Addresses() {
			require.False(t, seen[address], address)
			seen[address] = true
		}
	}
	require.Len(t, seen, config.Servers)
}

func TestPlanOfAnotherRegionIsForeign(t *testing.T) {
	own := &life{services: ServicePrefix(1, 2)}
	own.InstallPlan(1, &plan.Plan{Services: []plan.Service{{Name: "region-1-service-00"}}})
	require.Zero(t, own.state(time.Now()).foreign)
	own.InstallPlan(2, &plan.Plan{Services: []plan.Service{{Name: "region-1-service-00"}, {Name: "region-0-service-00"}}})
	require.Equal(t, 1, own.state(time.Now()).foreign)
	any := &life{services: ServicePrefix(0, 1)}
	any.InstallPlan(1, &plan.Plan{Services: []plan.Service{{Name: "service-00"}}})
	require.Zero(t, any.state(time.Now()).foreign)
}

func TestCrossingsAreCountedOnce(t *testing.T) {
	const table = `  sl  local_address rem_address   st tx_queue rx_queue tr tm->when retrnsmt   uid  timeout inode
   0: 0100007F:1000 00000000:0000 0A 00000000:00000000 00:00000000 00000000     0        0 10 1
   1: 0100007F:1000 0100007F:2001 01 00000000:00000000 00:00000000 00000000     0        0 11 1
   2: 0100007F:2001 0100007F:1000 01 00000000:00000000 00:00000000 00000000     0        0 12 1
   3: 0100007F:1000 0100007F:2002 01 00000000:00000000 00:00000000 00000000     0        0 13 1
   4: 0100007F:2002 0100007F:1000 01 00000000:00000000 00:00000000 00000000     0        0 14 1
   5: 0100007F:1000 0100007F:2003 06 00000000:00000000 00:00000000 00000000     0        0 0 1
`
	owners := map[string]int{"10": 0, "11": 0, "12": 0, "13": 0, "14": 1}
	require.Equal(t, 1, countCrossings(table, owners))
	owners["14"] = 0
	require.Zero(t, countCrossings(table, owners))
}

func TestPhaseSumsRegionsUp(t *testing.T) {
	accepted := time.Now()
	region := func(number int, processorTime float64, delay time.Duration) observation {
		seen := observation{gaps: number, state: State{Running: 5, Holding: 4, Lapsed: 1}}
		seen.sent = submitted{accepted: []Accepted{{Revision: 2, At: accepted}}, took: []float64{0.1}}
		delays := newDelays()
		require.NoError(t, delays.RecordValue(delay.Microseconds()))
		seen.observeReports([]Report{{Delays: delays.Export(), Last: []time.Time{accepted.Add(delay)}}})
		seen.gaps = number
		seen.usages = usages{
			processes: []Process{{Role: RoleControl, Region: number}, {Role: RoleHollow, Region: number, Followers: 5}},
			used:      []Usage{{CorePercent: processorTime, MB: 40}, {CorePercent: 10, MB: 20}},
		}
		return seen
	}
	all := []observation{region(0, 3, time.Second), region(1, 7, 2*time.Second)}
	phase := Phase{Seconds: 10}
	phase.set(together(all))
	require.Equal(t, 2, phase.Accepted)
	require.InDelta(t, 0.2, phase.AcceptedPerSecond, 1e-9)
	require.InDelta(t, 7, phase.ControlCorePercent, 1e-9, "the busiest voter of all regions")
	require.InDelta(t, 10, phase.ControlCorePercentAll, 1e-9)
	require.InDelta(t, 2, phase.FollowerCorePercent, 1e-9, "20 %% over 10 followers")
	require.InDelta(t, 4, phase.FollowerMB, 1e-9)
	require.InDelta(t, 2, phase.InForceMax, 0.01)
	require.InDelta(t, 1, phase.InForceP50, 0.01)

	here, elsewhere := lostLeases(FaultLoseControl, 1, all)
	require.Equal(t, []int{2, 1}, []int{here, elsewhere})
	here, elsewhere = lostLeases(FaultLoseOthers, 1, all)
	require.Equal(t, []int{1, 2}, []int{here, elsewhere}, "all but the named region are struck")
}

func TestJoinIsWhatWasUsedSinceTheStart(t *testing.T) {
	processes := []Process{{Role: RoleControl}, {Role: RoleControl}, {Role: RoleHollow, Followers: 4}, {Role: RoleSingle}}
	used := joined(processes, []sample{
		{cpu: 2, written: 1024}, {cpu: 3, written: 512}, {cpu: 8, received: 4096, sent: 4096}, {cpu: 100, received: 1 << 20},
	})
	require.Equal(t, Join{FollowerCPUSeconds: 2, FollowerKB: 2, ControlCPUSeconds: 3, ControlKB: 1}, used)
}

func TestFaultPicksItsRegionOnly(t *testing.T) {
	var processes []Process
	add := func(role Role, region int, name, zone string) {
		processes = append(processes, Process{Role: role, Region: region, Name: name, Zone: zone})
	}
	for region, zones := range [][]string{{"zone-00", "zone-02"}, {"zone-01", "zone-03"}} {
		prefix := ServicePrefix(region, 2)
		for id, zone := range []string{zones[0], zones[1], zones[0]} {
			add(RoleControl, region, prefix+"control-"+string(rune('1'+id)), zone)
		}
		for index, zone := range zones {
			add(RoleRelay, region, prefix+"relay-"+string(rune('0'+index)), zone)
		}
	}
	run := &Run{processes: processes, dead: newDeaths(), config: RunConfig{Regions: 2}}
	run.groups = []*group{{run: run, processes: inRegion(processes, 0)}, {run: run, region: 1, processes: inRegion(processes, 1)}}
	for fault, expected := range map[Fault][]string{
		FaultKillRelay:   {"region-1-relay-1"},
		FaultLoseRack:    {},
		FaultLoseZone:    {"region-1-control-2", "region-1-relay-1"},
		FaultLoseControl: {"region-1-control-1", "region-1-control-2", "region-1-control-3"},
		FaultCutRegion:   {},
		FaultLoseOthers: {
			"region-0-control-1", "region-0-control-2", "region-0-control-3", "region-0-relay-0", "region-0-relay-1",
		},
	} {
		struck, err := run.victims(t.Context(), fault, 1)
		require.NoError(t, err)
		names := []string{}
		for _, process := range struck.processes {
			names = append(names, process.Name)
		}
		require.Equal(t, expected, names, fault)
	}
}

func TestFollowersOfAZoneVanish(t *testing.T) {
	fleet := NewFleet(FleetConfig{Name: "hollow", Followers: 10, ZoneNames: []string{"zone-01", "zone-03"}}, nil, nil)
	require.Equal(t, 3, fleet.Fail(failRequest{Zone: "zone-03", Count: 3, Absence: time.Second}))
	require.Equal(t, 2, fleet.Fail(failRequest{Zone: "zone-03", Count: 10, Absence: time.Second}), "five are of the zone")
	require.Zero(t, fleet.Fail(failRequest{Zone: "zone-02", Count: 10}))
	for index, own := range fleet.places {
		require.Len(t, own.struck, index%2, "place %d", index)
	}
}
