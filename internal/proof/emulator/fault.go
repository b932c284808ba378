package emulator

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/backendapi"
	"github.com/martenstage/martenstage/internal/proof/servicetime"
)

// FaultKind says what a fault does.
type FaultKind string

// Fault kinds. docs/BACKENDS.md lists them with their parameters.
const (
	// FaultSlow multiplies service times by Factor.
	FaultSlow FaultKind = "slow"
	// FaultPause freezes the process: connections open, nothing is answered.
	FaultPause FaultKind = "pause"
	// FaultCrash closes the listener and resets every connection. The end of
	// the fault is the server's return, cold.
	FaultCrash FaultKind = "crash"
	// FaultDrain makes the server leave as planned.
	FaultDrain FaultKind = "drain"
	// FaultCold makes the server warm up as after a return.
	FaultCold FaultKind = "cold"
	// FaultShed refuses Fraction of the queries as overloaded.
	FaultShed FaultKind = "shed"
	// FaultError runs Fraction of the queries and answers them with status 500.
	FaultError FaultKind = "error"
	// FaultResetReply resets the connection after Byte bytes of the reply to
	// Fraction of the queries.
	FaultResetReply FaultKind = "reset_reply"
	// FaultResetRequest resets the connection after Byte bytes of Fraction of
	// the queries, before they run.
	FaultResetRequest FaultKind = "reset_request"
	// FaultWrongEcho falsifies Field in the replies to Fraction of the queries.
	FaultWrongEcho FaultKind = "wrong_echo"
	// FaultHealthLag makes reported health and load Delay old.
	FaultHealthLag FaultKind = "health_lag"
	// FaultHealthFrozen repeats the health and load of the fault's beginning.
	FaultHealthFrozen FaultKind = "health_frozen"
	// FaultHealthLie reports State, no load and every version that was ever
	// there, whatever the truth is.
	FaultHealthLie FaultKind = "health_lie"
	// FaultConnectionLimit sets the connection limit to Connections.
	FaultConnectionLimit FaultKind = "connection_limit"
)

// EchoField names the part of a reply that FaultWrongEcho falsifies.
type EchoField string

// Echo fields.
const (
	EchoRequest       EchoField = "request"
	EchoAttempt       EchoField = "attempt"
	EchoShard         EchoField = "shard"
	EchoGeneration    EchoField = "generation"
	EchoVersion       EchoField = "version"
	EchoRequestDigest EchoField = "request_digest"
	EchoDigest        EchoField = "digest"
)

// Selector chooses servers. Conditions that are set must all hold; the zero
// value chooses every server.
type Selector struct {
	Service string
	// Group is the name of a shard.
	Group   string
	Zone    string
	Address netip.AddrPort
	// Fraction, in (0,1), takes that share of the servers chosen so far, by a
	// choice that depends on the seed and the fault's id. 0 takes them all.
	Fraction float64
}

// Fault is one disturbance of some servers for some time.
type Fault struct {
	// ID names the fault; Fleet.Inject gives one to a fault without.
	ID      string
	Kind    FaultKind
	Servers Selector
	// At is when the fault begins, since the start of the fleet; Fleet.Inject
	// ignores it and begins at once.
	At time.Duration
	// For is how long it lasts; 0 means until it is cleared.
	For time.Duration
	// Fraction of the queries that are hit; 0 means all.
	Fraction    float64
	Factor      float64
	Byte        int
	Field       EchoField
	Delay       time.Duration
	State       backendapi.ReadyState
	Connections int
}

// validate checks that the parameters that the kind needs are there.
func (f *Fault) validate() error {
	if f.At < 0 || f.For < 0 || f.Delay < 0 || f.Byte < 0 || f.Connections < 0 {
		return errors.Newf("fault %q has a negative time, byte or count", f.Kind)
	}
	if !isShare(f.Fraction) || !isShare(f.Servers.Fraction) {
		return errors.Newf("fault %q has a fraction outside [0,1]", f.Kind)
	}
	switch f.Kind {
	case FaultSlow:
		return needs(f, f.Factor > 0, "a positive factor")
	case FaultWrongEcho:
		return needs(f, lo.Contains(echoFields, f.Field), "a field: one of request, attempt, shard, generation, version, request_digest, digest")
	case FaultHealthLag:
		return needs(f, f.Delay > 0, "a positive delay")
	case FaultHealthLie:
		return needs(f, lo.Contains(readyStates, f.State), "a state: one of ready, warming, draining")
	case FaultPause, FaultCrash, FaultDrain, FaultCold, FaultShed, FaultError,
		FaultResetReply, FaultResetRequest, FaultHealthFrozen, FaultConnectionLimit:
		return nil
	default:
		return errors.Newf("unknown fault %q", f.Kind)
	}
}

var (
	echoFields = []EchoField{EchoRequest, EchoAttempt, EchoShard, EchoGeneration,
		EchoVersion, EchoRequestDigest, EchoDigest}
	readyStates = []backendapi.ReadyState{backendapi.StateReady, backendapi.StateWarming,
		backendapi.StateDraining}
)

func isShare(value float64) bool { return value >= 0 && value <= 1 }

func needs(fault *Fault, held bool, what string) error {
	if held {
		return nil
	}
	return errors.Newf("fault %q needs %s", fault.Kind, what)
}

// hits reports whether the fault hits one query, named by a key.
func (f *Fault) hits(seed uint64, key string) bool {
	return f.Fraction == 0 || servicetime.Uniform(seed, f.ID, key, 0) < f.Fraction
}

// conditions are the active faults of one server. A value is never changed
// once requests can see it.
type conditions struct {
	byKind map[FaultKind][]*Fault
}

var noConditions = &conditions{}

// with returns the conditions and one fault more.
func (c *conditions) with(fault *Fault) *conditions {
	next := &conditions{byKind: make(map[FaultKind][]*Fault, len(c.byKind)+1)}
	for kind, faults := range c.byKind {
		next.byKind[kind] = faults
	}
	next.byKind[fault.Kind] = append(append([]*Fault(nil), c.byKind[fault.Kind]...), fault)
	return next
}

// without returns the conditions and one fault less.
func (c *conditions) without(fault *Fault) *conditions {
	next := &conditions{byKind: make(map[FaultKind][]*Fault, len(c.byKind))}
	for kind, faults := range c.byKind {
		left := lo.Without(faults, fault)
		if len(left) > 0 {
			next.byKind[kind] = left
		}
	}
	return next
}

// ids returns the ids of the faults, sorted.
func (c *conditions) ids() []string {
	ids := lo.FlatMap(lo.Values(c.byKind), func(faults []*Fault, _ int) []string {
		return lo.Map(faults, func(fault *Fault, _ int) string { return fault.ID })
	})
	slices.Sort(ids)
	return ids
}

// has reports whether a fault of the kind is active.
func (c *conditions) has(kind FaultKind) bool { return len(c.byKind[kind]) > 0 }

// first returns the oldest active fault of a kind, or nil.
func (c *conditions) first(kind FaultKind) *Fault {
	if faults := c.byKind[kind]; len(faults) > 0 {
		return faults[0]
	}
	return nil
}

// hit returns the oldest active fault of a kind that hits a query, or nil.
func (c *conditions) hit(kind FaultKind, seed uint64, key string) *Fault {
	for _, fault := range c.byKind[kind] {
		if fault.hits(seed, key) {
			return fault
		}
	}
	return nil
}

// slowFactor is the product of the active FaultSlow factors.
func (c *conditions) slowFactor() float64 {
	factor := 1.0
	for _, fault := range c.byKind[FaultSlow] {
		factor *= fault.Factor
	}
	return factor
}
