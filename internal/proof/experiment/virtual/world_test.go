package virtual

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/backendapi"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/proof/emulator"
	"github.com/martenstage/martenstage/internal/proof/experiment/schedule"
	"github.com/martenstage/martenstage/internal/proof/load"
	"github.com/martenstage/martenstage/internal/proof/servicetime"
	"github.com/martenstage/martenstage/internal/proof/virtualtime"
	"github.com/martenstage/martenstage/internal/query"
	"github.com/martenstage/martenstage/internal/records"
)

const (
	testDelay = time.Millisecond
	testBase  = 10 * time.Millisecond
)

var testAddress = netip.MustParseAddrPort("127.0.0.1:80")

// sender sends every request once to the one server, and cancels the attempts
// of its first request after a time, if that is set.
type sender struct {
	cancelAfter time.Duration
	cancelAt    time.Time
}

func (s *sender) Step(now time.Time, event query.Event) []query.Command {
	switch event := event.(type) {
	case query.RequestArrived:
		request := event.Request
		commands := []query.Command{query.Send{
			Attempt: query.AttemptID(request.ID), Request: request.ID, CallerID: request.CallerID, Address: testAddress,
			Service: "s", Generation: 1, Version: emulator.DefaultFirstVersion, Timeout: time.Second, Body: request.Body,
		}}
		if s.cancelAfter > 0 && s.cancelAt.IsZero() {
			s.cancelAt = now.Add(s.cancelAfter)
			commands = append(commands, query.SetTimer{At: s.cancelAt})
		}
		return commands
	case query.TimerFired:
		return []query.Command{query.Cancel{Attempt: 1, Address: testAddress}}
	case query.PartArrived:
		return []query.Command{query.Respond{Request: query.RequestID(event.Attempt)}}
	case query.AttemptFailed:
		return []query.Command{query.Respond{Request: query.RequestID(event.Attempt)}}
	}
	return nil
}

// memory keeps executions in the order in which they ended.
type memory struct{ executions []records.Execution }

func (m *memory) Execution(execution records.Execution) {
	m.executions = append(m.executions, execution)
}
func (*memory) Departure(records.Departure) {}
func (*memory) Stop(records.PlannedStop)    {}
func (*memory) Answer(records.CallerAnswer) {}
func (*memory) Admission(records.Admission) {}
func (*memory) Closed(string)               {}

// play sends requests at once to a server of one slot, in a world with equal
// service times.
func play(requests, queuePerSlot int, engine *sender, script ...emulator.Fault) []records.Execution {
	installed := &plan.Plan{
		Services: []plan.Service{{Name: "s", Generations: []plan.Generation{{Number: 1, Shards: []plan.Shard{{
			Name: "g", Replicas: []plan.Replica{{Address: testAddress, Zone: "a", Slots: 1, Connections: 10}},
		}}}}}},
		Routes: []plan.Route{{Name: "r", Service: "s"}},
	}
	recorder := &memory{}
	world := New(Config{
		Model: servicetime.Model{Default: servicetime.Distribution{Median: testBase}},
		Plans: []schedule.PlanStep{{Plan: installed}}, Zones: []string{"a"}, LocalDelay: testDelay, ZoneDelay: testDelay,
		QueuePerSlot: queuePerSlot, ProbeEvery: time.Second, Horizon: time.Second, Script: script,
	}, func(*World, int) Engine { return engine }, recorder)
	next := 0
	world.Run(func() (load.Arrival, bool) {
		next++
		id := string(rune('a' + next - 1))
		return load.Arrival{At: time.Millisecond, ID: id, Route: "r", Body: []byte(id)}, next <= requests
	})
	return recorder.executions
}

func TestQueriesBeyondTheSlotsWaitAndThoseBeyondTheQueueAreRefused(t *testing.T) {
	ended := play(3, 1, &sender{})
	require.Len(t, ended, 3)
	require.Equal(t, "c", ended[0].Request)
	require.Equal(t, string(backendapi.RefusalOverloaded), ended[0].Refusal)
	require.Equal(t, "a", ended[1].Request)
	require.Equal(t, testBase, ended[1].Finished.Sub(ended[1].Started))
	require.Equal(t, ended[1].Finished, ended[2].Started, "the next begins when the slot is free")
}

func TestARunEndsThoughQueriesGetNoConnection(t *testing.T) {
	const requests, limit = 12, 10 // play's server has ten connections
	require.Len(t, play(requests, requests, &sender{}), limit)
}

func TestCancellationFreesTheSlotWhenItReachesTheServer(t *testing.T) {
	const after = 4 * time.Millisecond
	ended := play(2, 1, &sender{cancelAfter: after})
	require.Len(t, ended, 2)
	require.Equal(t, "a", ended[0].Request)
	require.True(t, ended[0].Canceled)
	// The query took the way once, and the cancellation takes it, too.
	require.Equal(t, after, ended[0].Finished.Sub(ended[0].Arrived))
	require.Equal(t, ended[0].Finished, ended[1].Started)
	require.True(t, ended[1].Replied)
}

func TestADrainingServerRefusesAndACrashEndsWhatRuns(t *testing.T) {
	ended := play(1, 1, &sender{}, emulator.Fault{Kind: emulator.FaultDrain})
	require.Equal(t, string(backendapi.RefusalDraining), ended[0].Refusal)
	require.False(t, ended[0].Executed)

	ended = play(1, 1, &sender{}, emulator.Fault{Kind: emulator.FaultCrash, At: 5 * time.Millisecond})
	require.True(t, ended[0].Executed)
	require.False(t, ended[0].Replied)
	require.Equal(t, virtualtime.Epoch.Add(5*time.Millisecond), ended[0].Finished)
}

func TestASlowServerTakesItsFactorLonger(t *testing.T) {
	const factor = 3
	ended := play(1, 1, &sender{}, emulator.Fault{Kind: emulator.FaultSlow, Factor: factor})
	require.Equal(t, factor*testBase, ended[0].Finished.Sub(ended[0].Started))
}
