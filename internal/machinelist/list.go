// Package machinelist reads the platform's list of live and leaving machines, and contains a
// fake platform that serves one. The list lags behind reality: it can take a machine out of
// use, but it does not prove that a machine is alive.
//
// The list is one JSON document over HTTP, GET PathMachines:
//
//	{"as_of":"2026-01-02T03:04:05Z","machines":[
//	  {"address":"127.1.1.1:7000","state":"leaving","since":"2026-01-02T03:04:00Z"}]}
package machinelist

import (
	"encoding/json"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/settings"
)

// PathMachines is where a platform serves its list.
const PathMachines = "/v1/machines"

// State is the platform's state of a machine.
type State string

// States. A removed machine is in no list.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Machine is one entry of a list.
type Machine struct {
	Address netip.AddrPort `json:"address"`
	State   State          `json:"state"`
	// Since is when the machine entered the state, by the platform's clock.
	Since time.Time `json:"since"`
}

// List is the state of a platform's machines at a past moment.
type List struct {
	// AsOf is the moment, by the platform's clock.
	AsOf     time.Time `json:"as_of"`
	Machines []Machine `json:"machines"`
}

// Bounds of a list. The largest planned fleet has 57,000 servers at about 90 bytes an entry.
const (
	MaxMachines  = 100_000
	MaxListBytes = 16 << 20
)

// ParseList parses and validates a list. A list with one invalid entry is rejected, since its
// other entries can't be trusted either.
func ParseList(text []byte) (List, error) {
	var document struct {
		AsOf     time.Time `json:"as_of"`
		Machines []struct {
			Address string    `json:"address"`
			State   State     `json:"state"`
			Since   time.Time `json:"since"`
		} `json:"machines"`
	}
	if err := json.Unmarshal(text, &document); err != nil {
		return List{}, errors.Wrap(err, "platform list")
	}
	if len(document.Machines) > MaxMachines {
		return List{}, errors.Newf("platform list: %d machines are more than %d", len(document.Machines), MaxMachines)
	}
	list := List{AsOf: document.AsOf, Machines: make([]Machine, 0, len(document.Machines))}
	seen := make(map[netip.AddrPort]bool, len(document.Machines))
	for _, entry := range document.Machines {
		address, err := settings.ParseAddress(entry.Address)
		if err != nil {
			return List{}, errors.Wrap(err, "platform list")
		}
		if seen[address] {
			return List{}, errors.Newf("platform list: machine %s is listed twice", address)
		}
		if entry.State != StateLive && entry.State != StateLeaving {
			return List{}, errors.Newf("platform list: machine %s has unknown state %q", address, entry.State)
		}
		seen[address] = true
		list.Machines = append(list.Machines, Machine{Address: address, State: entry.State, Since: entry.Since})
	}
	return list, nil
}
