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

// TestPlatformRevivesNoMachine gives the platform's word "live" after each of
// the words that take a machine out of use.
func TestPlatformRevivesNoMachine(t *testing.T) {
	live := map[string]State{backEnd: Live}
	for name, test := range map[string]struct {
		say  func(machines *Machines, now time.Time)
		want State
	}{
		"a router saw it leave": {func(machines *Machines, now time.Time) {
			machines.Observe(now, Observation{Address: backEnd, State: Leaving, Router: "router-1"})
		}, Leaving},
		"two routers saw it gone": {func(machines *Machines, now time.Time) {
			machines.Observe(now, Observation{Address: backEnd, State: Gone, Router: "router-1"})
			machines.Observe(now, Observation{Address: backEnd, State: Gone, Router: "router-2"})
		}, Gone},
		"an operator drained it": {func(machines *Machines, now time.Time) {
			machines.SetOperator(now, backEnd, Leaving)
		}, Leaving},
	} {
		now := time.Unix(1000, 0)
		machines := NewMachines()
		machines.SetPlatform(now, live)
		test.say(machines, now)
		require.Equal(t, test.want, stateOf(machines), name)
		for range 3 {
			now = now.Add(time.Second)
			machines.SetPlatform(now, live)
			machines.Expire(now)
			require.Equal(t, test.want, stateOf(machines), "%s: the list lags behind", name)
		}
		machines.SetPlatform(now, nil)
		require.Equal(t, Gone, stateOf(machines), "%s: it left the list", name)
		machines.SetPlatform(now, live)
		require.Equal(t, test.want, stateOf(machines), "%s: it was listed again", name)
	}
}

// TestOneWitnessProvesNoLoss checks that a router which is itself cut off takes
// no machine out of use for others, and that words end with their witnesses.
func TestOneWitnessProvesNoLoss(t *testing.T) {
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
