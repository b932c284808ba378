package query

import (
	"time"

	"github.com/martenstage/martenstage/internal/balancer"
)

// Defaults of Config and Tuning.
const (
	DefaultMaxInFlight     = 4096
	DefaultFixedHedgeDelay = 20 * time.Millisecond
	DefaultMaxRestarts     = 2
	DefaultOverloadHold    = 500 * time.Millisecond
	DefaultEventInterval   = 10 * time.Second
)

// Config holds the tunables of an engine. Zero values mean the defaults.
type Config struct {
	// Zone is the router's own zone.
	Zone string
	// Seed fixes the engine's random source (PCG): equal seeds and events give
	// equal commands.
	Seed uint64
	// MaxInFlight bounds the requests in flight in this engine.
	MaxInFlight int
	// Owns selects the services that this engine serves; nil means all.
	Owns func(service string) bool
	// Tuning selects the decision rules.
	Tuning Tuning
}

// Variant names a set of decision rules, so that experiments can compare them on one
// engine.
type Variant string

// Variants.
const (
	// VariantMartenstage is the production rule set.
	VariantMartenstage Variant = "martenstage"
	// VariantNaive picks a random replica, sends no extra attempts, has no limits and
	// waits for all shards until the deadline.
	VariantNaive Variant = "naive"
	// VariantHedgeFixed extends VariantNaive with a hedge after a fixed delay and
	// immediate retries, both without a budget.
	VariantHedgeFixed Variant = "hedge-fixed"
)

// Tuning holds the decision rules. Zero values mean VariantMartenstage and the
// defaults.
type Tuning struct {
	Variant Variant
	// FixedHedgeDelay is the delay of VariantHedgeFixed.
	FixedHedgeDelay time.Duration
	// MaxRestarts bounds how often a request restarts on another snapshot.
	MaxRestarts int
	// OverloadHold is how long extra attempts stay disabled after a request was
	// refused for load.
	OverloadHold time.Duration
	// EventInterval is the minimum time between two equal journal events; those in
	// between are counted in the next one.
	EventInterval time.Duration
	// Balancer holds the rules of replica selection; its zone, random source and
	// selection are set by the engine.
	Balancer balancer.Config
}

func (c Config) withDefaults() Config {
	if c.MaxInFlight <= 0 {
		c.MaxInFlight = DefaultMaxInFlight
	}
	if c.Owns == nil {
		c.Owns = func(string) bool { return true }
	}
	c.Tuning = c.Tuning.withDefaults()
	return c
}

func (t Tuning) withDefaults() Tuning {
	if t.Variant == "" {
		t.Variant = VariantMartenstage
	}
	for _, entry := range []struct {
		value    *time.Duration
		fallback time.Duration
	}{
		{&t.FixedHedgeDelay, DefaultFixedHedgeDelay},
		{&t.OverloadHold, DefaultOverloadHold},
		{&t.EventInterval, DefaultEventInterval},
	} {
		if *entry.value <= 0 {
			*entry.value = entry.fallback
		}
	}
	if t.MaxRestarts <= 0 {
		t.MaxRestarts = DefaultMaxRestarts
	}
	return t
}

// limited reports whether concurrency limits, queues and admission by load
// apply.
func (t Tuning) limited() bool { return t.Variant == VariantMartenstage }

// waitsForAll reports whether policy statements are ignored in favor of the rule "all
// shards, or the parts received by the deadline".
func (t Tuning) waitsForAll() bool { return t.Variant != VariantMartenstage }

// unbudgeted reports whether extra attempts bypass the budgets.
func (t Tuning) unbudgeted() bool { return t.Variant == VariantHedgeFixed }

// extraAttempts reports whether hedges and retries are enabled.
func (t Tuning) extraAttempts() bool { return t.Variant != VariantNaive }
