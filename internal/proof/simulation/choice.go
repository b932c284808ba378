package simulation

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
)

// Choice selects the world and the faults of a run.
type Choice struct {
	// World is the name of a world; empty for the usual one.
	World string
	// Scenario is the name of a scenario, or several joined by "+"; empty for
	// the world's own.
	Scenario string
}

const defaultWorld = "usual"

// Lengths of the cut between regions.
const (
	shortCut = time.Minute
	longCut  = time.Hour
)

// worldKind is a kind of world.
type worldKind struct {
	// make returns the worlds of one run, which share time and network.
	make func(seed uint64) []*World
	// faults are those of defaultScenario.
	faults scenario
}

// worldKinds are the named ones.
var worldKinds = map[string]worldKind{
	defaultWorld:   {make: alone(usual), faults: randomFaults},
	"small":        {make: alone(small), faults: randomFaults},
	"regions":      {make: regions(shortCut), faults: regionalFaults},
	"regions-hour": {make: regions(longCut), faults: regionalFaults},
	"one-group":    {make: alone(oneGroup(shortCut)), faults: regionalFaults},
}

// alone makes the world of one control group.
func alone(of *layout) func(seed uint64) []*World {
	return func(seed uint64) []*World { return []*World{newWorldOf(seed, of, newShared(seed))} }
}

// Worlds returns the names of the worlds.
func Worlds() []string { return sortedKeys(worldKinds) }

// ErrUnknownWorld is returned for a name that is none.
var ErrUnknownWorld = errors.New("unknown world")

func (c Choice) worldName() string { return lo.CoalesceOrEmpty(c.World, defaultWorld) }

// resolve returns the kind of world and the faults chosen.
func (c Choice) resolve() (worldKind, scenario, error) {
	kind, known := worldKinds[c.worldName()]
	if !known {
		return worldKind{}, nil, errors.Wrapf(ErrUnknownWorld, "%q; there are %s", c.World, strings.Join(Worlds(), ", "))
	}
	if lo.CoalesceOrEmpty(c.Scenario, defaultScenario) == defaultScenario {
		return kind, kind.faults, nil
	}
	chosen, err := scenarioNamed(c.Scenario)
	return kind, chosen, err
}
