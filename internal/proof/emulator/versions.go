package emulator

import (
	"slices"
	"time"

	"github.com/martenstage/martenstage/internal/proof/servicetime"
)

// Roll is the arrival of a new index version of a service. Every server gets
// it at a moment of its own, and keeps the version before for a while.
type Roll struct {
	// Service is the service whose index changes.
	Service string `yaml:"service" json:"service"`
	// At is when the first server may get the version, since the start.
	At time.Duration `yaml:"at" json:"at"`
	// Stagger spreads the servers' moments over [At, At+Stagger).
	Stagger time.Duration `yaml:"stagger" json:"stagger"`
	// Keep is how long a server serves the version before besides the new one.
	Keep time.Duration `yaml:"keep" json:"keep"`
}

// versionSchedule says which index versions a server holds at any time. It is
// immutable; the n-th roll brings version first+n+1.
type versionSchedule struct {
	first uint64
	steps []versionStep
}

// versionStep is one roll as one server sees it.
type versionStep struct {
	version uint64
	arrives time.Duration
	// dropped is when the version before disappears.
	dropped time.Duration
}

// newVersionSchedule computes the schedule of one server from the rolls of its
// service, sorted by time.
func newVersionSchedule(seed uint64, server string, first uint64, rolls []Roll) *versionSchedule {
	schedule := &versionSchedule{first: first}
	for index, roll := range rolls {
		version := first + uint64(index) + 1
		offset := time.Duration(servicetime.Uniform(seed, server, "roll", version) * float64(roll.Stagger))
		arrives := roll.At + offset
		if index > 0 {
			// Versions arrive in order even when rolls overlap.
			arrives = max(arrives, schedule.steps[index-1].arrives)
		}
		schedule.steps = append(schedule.steps, versionStep{version: version, arrives: arrives, dropped: arrives + roll.Keep})
	}
	return schedule
}

// at returns the versions held at a time since the start, oldest first.
func (s *versionSchedule) at(elapsed time.Duration) []uint64 {
	held := []uint64{s.first}
	for _, step := range s.steps {
		if elapsed < step.arrives {
			break
		}
		if elapsed >= step.dropped {
			held = held[:0]
		} else if len(held) > 1 {
			held = held[len(held)-1:]
		}
		held = append(held, step.version)
	}
	return held
}

// holds reports whether a version is held at a time since the start.
func (s *versionSchedule) holds(version uint64, elapsed time.Duration) bool {
	if len(s.steps) == 0 {
		return version == s.first
	}
	return slices.Contains(s.at(elapsed), version)
}

// all returns every version that the schedule names, oldest first.
func (s *versionSchedule) all() []uint64 {
	versions := []uint64{s.first}
	for _, step := range s.steps {
		versions = append(versions, step.version)
	}
	return versions
}
