// Package lease decides who may admit work, until when, and under which
// configuration. It is deterministic and does no I/O: callers pass the time.
//
// A Grantor (a control leader or a relay) grants leases to its children. A
// Holder (a router or a relay) keeps the lease that it was granted. Three rules
// make a reported revision safe:
//
//  1. A lease is bound to a revision, and the holder takes it only after it
//     has installed that revision or a higher one.
//  2. The holder counts the lease from the moment it sent its call, shortened
//     by a bound on clock drift; the grantor counts it from the later moment at
//     which it answers, lengthened by the same bound. So the grantor never
//     takes a lease for lapsed that its holder still believes in.
//  3. A grantor never grants a revision lower than one it has reported to be in
//     force below itself, and a relay never grants beyond its own lease.
//
// By these rules a revision that the Grantor at the root reports in force is
// the lowest that any holder admits work under. The method is that of Gray and
// Cheriton, "Leases: an efficient fault-tolerant mechanism for distributed file
// cache consistency" (SOSP 1989), applied along a tree.
package lease

import "time"

// DefaultDuration is how long a lease lasts.
const DefaultDuration = 10 * time.Second

// RenewInterval is how often a holder asks for a new lease.
const RenewInterval = time.Second

// driftDivisor states the bound on clock drift: within the duration of a
// lease, no clock of the fleet runs faster or slower than true time by more
// than one part in driftDivisor (0.5 %). Crystal oscillators stay within
// 0.02 %, and time daemons slew clocks by at most 0.05 %.
const driftDivisor = 200

// shortened is the part of a duration that has surely not passed elsewhere
// when it has passed here.
func shortened(duration time.Duration) time.Duration {
	return duration - duration/driftDivisor
}

// Lengthened is the time after which a duration has surely passed elsewhere.
func Lengthened(duration time.Duration) time.Duration {
	return duration + duration/driftDivisor
}
