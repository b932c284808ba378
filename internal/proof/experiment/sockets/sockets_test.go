package sockets

import (
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/proof/emulator"
	"github.com/martenstage/martenstage/internal/proof/experiment/schedule"
	"github.com/martenstage/martenstage/internal/proof/servicetime"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/records"
)

// order notes what is handed over, in order.
type order []string

func (o *order) Execution(execution records.Execution) {
	*o = append(*o, "execution "+execution.Request)
}
func (o *order) Departure(departure records.Departure) {
	*o = append(*o, "departure "+strconv.FormatBool(!departure.Returned.IsZero()))
}
func (o *order) Stop(records.PlannedStop)           { *o = append(*o, "stop") }
func (o *order) Answer(answer records.CallerAnswer) { *o = append(*o, "answer "+answer.Request) }
func (o *order) Admission(admission records.Admission) {
	*o = append(*o, "admissions of "+admission.Node+" "+strconv.Itoa(admission.Count))
}
func (o *order) Closed(request string) { *o = append(*o, "closed "+request) }

func TestRecordsAreHandedOverInOrder(t *testing.T) {
	at := func(second int64) time.Time { return time.Unix(second, 0) }
	var recorder memoryRecorder
	recorder.Answer(records.CallerAnswer{Request: "a"})
	recorder.Answer(records.CallerAnswer{Request: "b"})
	recorder.Answer(records.CallerAnswer{Request: "a"})
	recorder.Departure(records.Departure{Began: at(2)})
	recorder.Departure(records.Departure{Began: at(2), Returned: at(4)})
	recorder.Execution(records.Execution{Request: "b", Arrived: at(5)})
	recorder.Execution(records.Execution{Request: "a", Arrived: at(1)})
	recorder.Execution(records.Execution{Request: "a", Arrived: at(3)})
	recorder.stop(records.PlannedStop{})
	recorder.admissions("router-1").Admitted(at(1), 7)
	var got order
	recorder.replay(&got)
	require.Equal(t, order{
		"stop", "admissions of router-1 1", "execution a", "departure false", "execution a", "departure true", "execution b",
		"answer a", "answer b", "answer a", "closed a", "closed b",
	}, got)
}

// Two fleets of one plan listen on ports of their own, but have equal service
// times.
func TestFleetsOfAPlanHaveEqualServiceTimes(t *testing.T) {
	replica := plan.Replica{Address: netip.MustParseAddrPort("127.3.3.2:0"), Zone: "east", Slots: 1, Connections: 4}
	compiled := &plan.Plan{Services: []plan.Service{{Name: "index",
		Generations: []plan.Generation{{Number: 1, Shards: []plan.Shard{{ID: 0, Replicas: []plan.Replica{replica}}}}}}}}
	var outlooks []emulator.Outlook
	var addresses []netip.AddrPort
	for range 2 {
		world := &World{config: Config{Begin: time.Now(), Seed: 1, Plans: []schedule.PlanStep{{Plan: compiled}}}}
		world.config.Model = servicetime.Model{Seed: 1, Default: servicetime.Distribution{Median: time.Second, Sigma: 1}}
		require.NoError(t, world.startFleet())
		defer world.fleet.Close()
		server := world.fleet.Servers()[0]
		outlook, ok := server.Foresee(servicetime.Query{Service: "index", Request: "r1"}, 1, emulator.DefaultFirstVersion)
		require.True(t, ok)
		outlooks, addresses = append(outlooks, outlook), append(addresses, server.Address())
	}
	require.Equal(t, outlooks[0], outlooks[1])
	require.NotEqual(t, addresses[0], addresses[1])
}

// The foresight counts queued queries: with one slot each waits for those
// before it, and what the queue does not hold would be refused.
func TestForesightCountsTheQueue(t *testing.T) {
	address := netip.MustParseAddrPort("127.3.3.1:0")
	replica := plan.Replica{Address: address, Zone: "east", Slots: 1, Connections: 4}
	compiled := &plan.Plan{Services: []plan.Service{{Name: "index",
		Generations: []plan.Generation{{Number: 1, Shards: []plan.Shard{{ID: 0, Replicas: []plan.Replica{replica}}}}}}}}
	config := emulator.DefaultConfig(1, compiled)
	config.Model.Default = servicetime.Distribution{Median: time.Hour} // none ends during the test
	fleet, err := emulator.New(config, emulator.Dependencies{})
	require.NoError(t, err)
	require.NoError(t, fleet.Start())
	defer fleet.Close()
	world := &World{config: Config{Zones: []string{"east", "west"}}, foresight: newForesight(fleet, time.Minute)}
	bound := fleet.Servers()[0].Address()
	send := query.Send{Service: "index", Generation: 1, Version: emulator.DefaultFirstVersion, CallerID: "r1"}
	for waiting := range 1 + emulator.DefaultQueuePerSlot {
		finish, ok := world.Foresee(0, bound, send)
		require.True(t, ok)
		require.Equal(t, time.Duration(waiting+1), finish.Round(time.Hour)/time.Hour)
		far, ok := world.Foresee(1, bound, send)
		require.True(t, ok)
		require.Greater(t, far, finish, "the other zone is farther")
		world.Sent(0, bound, send)
	}
	_, ok := world.Foresee(0, bound, send)
	require.False(t, ok, "slot and queue are full")
	send.Generation = 2
	_, ok = world.Foresee(0, bound, send)
	require.False(t, ok, "no such shard map")
}
