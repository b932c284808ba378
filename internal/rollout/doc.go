// Package rollout decides how a service's requests move to servers of another version of
// their software, and whether that version is good. It has no I/O and reads no clock.
//
//   - A Rule says to routers which servers a call may go to.
//   - Evidence is what routers observe of both versions, side by side.
//   - Judge compares the two by a sequential test; Decide takes the next step of a roll-out.
//
// The orders and steps are durable elsewhere (package directory); evidence is not: each router
// tells its sums again, so that a new leader has them within a moment.
package rollout
