package control

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/machinelist"
	"github.com/martenstage/martenstage/internal/membership"
	"github.com/martenstage/martenstage/internal/settings"
)

// platformReader passes the platform's list of machines to the server. The list
// lags behind, so it is only used to take machines out of use.
type platformReader struct{ client *machinelist.Client }

// newPlatformReader returns a reader of the list at an address. An empty address
// disables it.
func newPlatformReader(address string, logger logrus.FieldLogger, registerer prometheus.Registerer) (*platformReader, error) {
	if address == "" {
		return &platformReader{}, nil
	}
	parsed, err := settings.ParseAddress(address)
	if err != nil {
		return nil, err
	}
	client, err := machinelist.NewClient(machinelist.ClientConfig{Address: parsed}, logger, registerer)
	if err != nil {
		return nil, err
	}
	return &platformReader{client: client}, nil
}

func (r *platformReader) run(ctx context.Context, server *Server) {
	if r.client == nil {
		return
	}
	var states map[string]membership.State
	var known []machinelist.Machine
	r.client.Run(ctx, func(list machinelist.List) {
		// An unchanged list shares its slice of machines with the previous one.
		if states == nil || !sameMachines(known, list.Machines) {
			states, known = platformStates(list), list.Machines
		}
		server.SetPlatform(states)
	})
}

// sameMachines reports whether two lists share the same memory.
func sameMachines(left, right []machinelist.Machine) bool {
	return len(left) == len(right) && (len(left) == 0 || &left[0] == &right[0])
}

func platformStates(list machinelist.List) map[string]membership.State {
	states := make(map[string]membership.State, len(list.Machines))
	for _, machine := range list.Machines {
		states[machine.Address.String()] = membership.Live
		if machine.State == machinelist.StateLeaving {
			states[machine.Address.String()] = membership.Leaving
		}
	}
	return states
}
