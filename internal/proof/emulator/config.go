package emulator

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/proof/servicetime"
)

// Defaults of Config.
const (
	DefaultMedian          = 4 * time.Millisecond
	DefaultSigma           = 0.4
	DefaultZoneDelay       = time.Millisecond
	DefaultConnectionSetup = time.Millisecond
	DefaultColdStart       = 3 * time.Second
	DefaultColdFactor      = 5.0
	DefaultQueuePerSlot    = 4
	DefaultFirstVersion    = 1
	// DefaultMaxBody is the largest request body that is read, in bytes.
	DefaultMaxBody = 1 << 20
)

// Config describes an emulated fleet. Zero values of durations, factors and
// counts mean what they say; DefaultConfig fills in the usual ones.
type Config struct {
	// Plans are the configurations whose replicas are served; the fleet serves
	// the shards of all of them. Replicas with port 0 get a free one.
	Plans []*plan.Plan
	// PlannedNames names servers whose planned port is 0 by their planned
	// addresses, which must differ, so that several fleets of a plan have equal
	// names and with them equal service times.
	PlannedNames bool
	// Model gives service times; its seed also drives every other choice.
	Model servicetime.Model
	// ZoneDelay is the delay of each direction between a client of one zone
	// and a server of another.
	ZoneDelay time.Duration
	// ZoneDelays overrides ZoneDelay for single pairs of zones.
	ZoneDelays map[ZonePair]time.Duration
	// ConnectionSetup delays the first byte of every new connection.
	ConnectionSetup time.Duration
	// ColdStart is how long a server warms up after its return from a crash;
	// ColdFactor multiplies its service time at the beginning of that.
	ColdStart  time.Duration
	ColdFactor float64
	// QueuePerSlot bounds the queries that wait for a slot, per slot.
	QueuePerSlot int
	// FirstVersion is the index version that every shard holds at the start.
	FirstVersion uint64
	// Rolls are index versions that appear while the fleet runs.
	Rolls []Roll
	// Script holds faults by time since the start.
	Script []Fault
	// MaxBody is the largest request body, in bytes.
	MaxBody int64
}

// ZonePair names two zones in alphabetical order.
type ZonePair struct{ First, Second string }

// PairOf returns the pair of two zones in alphabetical order.
func PairOf(one, other string) ZonePair {
	if one > other {
		one, other = other, one
	}
	return ZonePair{First: one, Second: other}
}

// DefaultConfig returns the usual behaviour for the replicas of plans.
func DefaultConfig(seed uint64, plans ...*plan.Plan) Config {
	return Config{
		Plans: plans,
		Model: servicetime.Model{
			Seed:    seed,
			Default: servicetime.Distribution{Median: DefaultMedian, Sigma: DefaultSigma},
		},
		ZoneDelay:       DefaultZoneDelay,
		ConnectionSetup: DefaultConnectionSetup,
		ColdStart:       DefaultColdStart,
		ColdFactor:      DefaultColdFactor,
		QueuePerSlot:    DefaultQueuePerSlot,
		FirstVersion:    DefaultFirstVersion,
		MaxBody:         DefaultMaxBody,
	}
}

// Dependencies are the collaborators of a Fleet.
type Dependencies struct {
	// Recorder receives one line per query and departure. It must be safe for
	// concurrent use. Nil records nothing.
	Recorder Recorder
	Logger   logrus.FieldLogger
}

// validate reports the first contradiction of a configuration.
func (c *Config) validate() error {
	if lo.SumBy(c.Plans, func(one *plan.Plan) int { return len(one.Services) }) == 0 {
		return errors.New("the plan has no service to emulate")
	}
	if c.MaxBody <= 0 {
		return errors.New("the largest request body must be positive")
	}
	for index := range c.Script {
		if err := c.Script[index].validate(); err != nil {
			return errors.Wrapf(err, "fault %d of the script", index+1)
		}
	}
	return nil
}

// zoneDelay returns the one-way delay between a client's zone and a server's.
// A client that names no zone is taken to be near.
func (c *Config) zoneDelay(client, server string) time.Duration {
	if client == "" || client == server {
		return 0
	}
	if delay, found := c.ZoneDelays[PairOf(client, server)]; found {
		return delay
	}
	return c.ZoneDelay
}
