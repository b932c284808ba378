// Package lease decides who may admit work, until when, and under which configuration. It is
// deterministic and does no I/O: callers pass the time.
//
// A Grantor (a control leader or a relay) grants leases to its children. A Holder (a router or
// a relay) keeps the lease granted to it. Three rules make a reported revision safe:
//
//  1. A lease is bound to a revision, and the holder accepts it only after it
//     has installed that revision or a higher one.
//  2. The holder counts the lease from when it sent its call, shortened by a
//     bound on clock drift; the grantor counts it from the later moment at
//     which it replies, lengthened by the same bound. So the grantor never
//     considers a lease expired while its holder considers it valid.
//  3. A grantor never grants a revision lower than one it has reported in
//     effect below itself, and a relay never grants beyond its own lease.
//
// By these rules the revision that the root Grantor reports in effect is the lowest that any
// holder admits work under. The method is that of Gray and Cheriton, "Leases: an efficient
// fault-tolerant mechanism for distributed file cache consistency" (SOSP 1989), applied to a
// tree.
package lease

import "time"

// DefaultDuration is how long a lease lasts.
const DefaultDuration = 10 * time.Second

// RenewInterval is how often a holder requests a new lease.
const RenewInterval = time.Second

// driftDivisor is the bound on clock drift: within the duration of a lease, no clock of the
// fleet runs faster or slower than true time by more than one part in driftDivisor (0.5 %).
// Crystal oscillators stay within 0.02 %, and time daemons slew clocks by at most 0.05 %.
const driftDivisor = 200

// shortened returns the part of a duration that has surely not passed on another clock when it
// has passed on this one.
func shortened(duration time.Duration) time.Duration {
	return duration - duration/driftDivisor
}

// Lengthened returns the time after which a duration has surely passed on another clock.
func Lengthened(duration time.Duration) time.Duration {
	return duration + duration/driftDivisor
}
