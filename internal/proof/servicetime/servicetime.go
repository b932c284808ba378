// Package servicetime says how long an emulated back end works on a query. The
// time is a pure function of a seed and the query, so that two variants of an
// experiment that send the same request to the same server meet equal service
// times, on the emulator as well as on a virtual clock.
package servicetime

import (
	"encoding/binary"
	"math"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// VariantSeparator ends the part of a request id that service times depend on:
// r17~a and r17~b have equal service times.
const VariantSeparator = "~"

// deviationLimit bounds the standard normal variable below, in standard
// deviations, so that no single query takes for ever.
const deviationLimit = 4

// Distribution is lognormal: Median, and Sigma of the logarithm.
type Distribution struct {
	Median time.Duration `yaml:"median"`
	Sigma  float64       `yaml:"sigma"`
}

// Stragglers makes a share of the servers slow at any time; which ones changes
// every Period.
type Stragglers struct {
	// Fraction of servers that are slow, in [0,1].
	Fraction float64 `yaml:"fraction"`
	// Factor multiplies the service time of a slow server.
	Factor float64 `yaml:"factor"`
	// Period is how long one choice of slow servers lasts.
	Period time.Duration `yaml:"period"`
}

// Model gives the service time of every query.
type Model struct {
	Seed uint64
	// Default holds for services that Services does not name.
	Default    Distribution
	Services   map[string]Distribution
	Stragglers Stragglers
}

// Query is what a service time depends on.
type Query struct {
	Service string
	// Server is the address of the back end.
	Server  string
	Request string
	Shard   uint32
}

// ServiceTime returns how long a server works on a query that begins elapsed
// after the start of the run.
func (m *Model) ServiceTime(query Query, elapsed time.Duration) time.Duration {
	base := m.Base(query)
	if !m.Straggling(query.Server, elapsed) {
		return base
	}
	return time.Duration(float64(base) * m.Stragglers.Factor)
}

// Base returns the service time of a query on a server that is not slow.
func (m *Model) Base(query Query) time.Duration {
	distribution, found := m.Services[query.Service]
	if !found {
		distribution = m.Default
	}
	request, _, _ := strings.Cut(query.Request, VariantSeparator)
	hash := m.hash(query.Server, request, uint64(query.Shard))
	deviation := normal(uniform(hash), uniform(mix(hash)))
	return time.Duration(float64(distribution.Median) * math.Exp(distribution.Sigma*deviation))
}

// Straggling reports whether a server is slow at a time since the start of the
// run.
func (m *Model) Straggling(server string, elapsed time.Duration) bool {
	if m.Stragglers.Fraction <= 0 || m.Stragglers.Period <= 0 {
		return false
	}
	period := uint64(elapsed / m.Stragglers.Period)
	return uniform(m.hash(server, "straggler", period)) < m.Stragglers.Fraction
}

// Uniform returns a number in [0,1) that depends on the seed and the labels
// only.
func Uniform(seed uint64, first, second string, number uint64) float64 {
	model := Model{Seed: seed}
	return uniform(model.hash(first, second, number))
}

// hash digests the seed, two labels and a number.
func (m *Model) hash(first, second string, number uint64) uint64 {
	const sizeHint = 96
	var buffer [sizeHint]byte
	key := binary.LittleEndian.AppendUint64(buffer[:0], m.Seed)
	key = append(key, first...)
	key = append(key, 0)
	key = append(key, second...)
	key = append(key, 0)
	key = binary.LittleEndian.AppendUint64(key, number)
	return xxhash.Sum64(key)
}

// mix derives a second hash from a first (finalizer of SplitMix64, Steele, Lea
// and Flood 2014).
func mix(hash uint64) uint64 {
	hash += 0x9e3779b97f4a7c15
	hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9
	hash = (hash ^ (hash >> 27)) * 0x94d049bb133111eb
	return hash ^ (hash >> 31)
}

// uniform maps a hash to [0,1).
func uniform(hash uint64) float64 {
	const mantissaBits = 53
	return float64(hash>>(64-mantissaBits)) / (1 << mantissaBits)
}

// normal turns two uniform variables into a standard normal one (Box and
// Muller 1958), bounded by deviationLimit.
func normal(first, second float64) float64 {
	radius := math.Sqrt(-2 * math.Log(1-first))
	value := radius * math.Cos(2*math.Pi*second)
	return max(-deviationLimit, min(deviationLimit, value))
}
