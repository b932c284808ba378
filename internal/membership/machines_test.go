package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const backEnd = "10.1.0.1:7000"

func stateOf(machines *Machines) State {
	machine, listed := machines.Table().Get(backEnd)
	if !listed {
		return Live
	}
	return machine.State
}

// TestPlatformListDoesNotReviveAMachine has the platform list a machine as live after each
// kind of report that takes it out of use.
func TestPlatformListDoesNotReviveAMachine(t *testing.T) {
	live := map[string]State{backEnd: Live}
	for name, test := range map[string]struct {
		apply func(machines *Machines, now time.Time)
		want  State
	}{
		"a router saw it leave": {func(machines *Machines, now time.Time) {
			machines.Observe(now, Observation{Address: backEnd, State: Leaving, Router: "router-1"})
		}, Leaving},
		"two routers saw it gone": {func(machines *Machines, now time.Time) {
			machines.Observe(now, Observation{Address: backEnd, State: Gone, Router: "router-1"})
			machines.Observe(now, Observation{Address: backEnd, State: Gone, Router: "router-2"})
		}, Gone},
		"an operator drained it": {func(machines *Machines, now time.Time) {
			machines.SetOperatorState(now, backEnd, Leaving)
		}, Leaving},
	} {
		now := time.Unix(1000, 0)
		machines := NewMachines()
		machines.SetPlatformList(now, live)
		test.apply(machines, now)
		require.Equal(t, test.want, stateOf(machines), name)
		for range 3 {
			now = now.Add(time.Second)
			machines.SetPlatformList(now, live)
			machines.Expire(now)
			require.Equal(t, test.want, stateOf(machines), "%s: the platform list lags behind", name)
		}
		machines.SetPlatformList(now, nil)
		require.Equal(t, Gone, stateOf(machines), "%s: it is no longer listed", name)
		machines.SetPlatformList(now, live)
		require.Equal(t, test.want, stateOf(machines), "%s: it was listed again", name)
	}
}

// TestSingleRouterTakesNoMachineOutOfUse checks that a single router, which may itself be
// partitioned, takes no machine out of use for others, and that observations expire.
func TestSingleRouterTakesNoMachineOutOfUse(t *testing.T) {
	now := time.Unix(1000, 0)
	machines := NewMachines()
	machines.Observe(now, Observation{Address: backEnd, State: Gone, Router: "router-1"})
	require.Equal(t, Live, stateOf(machines))
	machines.Observe(now, Observation{Address: backEnd, State: Gone, Router: "router-2"})
	require.Equal(t, Gone, stateOf(machines))
	machines.Observe(now, Observation{Address: backEnd, State: Live, Router: "router-2"})
	require.Equal(t, Live, stateOf(machines))
	machines.Observe(now, Observation{Address: backEnd, State: Leaving, Router: "router-1"})
	machines.Expire(now.Add(ObservationLifetime - time.Nanosecond))
	require.Equal(t, Leaving, stateOf(machines))
	machines.Expire(now.Add(ObservationLifetime))
	require.Equal(t, Live, stateOf(machines))
}
