// Package quota bounds how many requests each tenant sends over all routers together. It
// has no I/O and reads no clock.
//
// A Ledger, at the directory's leader, holds a token bucket for each tenant with a limit
// (RFC 2697's committed rate and burst). A Gate, at each router, decides about requests:
//
//   - While the bucket of a tenant is well filled, routers let its requests pass at once
//     and report afterwards what was spent. That costs them nothing.
//   - Once a bucket is nearly empty the tenant is metered: the answer to a report says so, and
//     the directory tells all routers, which then ask for a token for each request.
//   - A router lets a request pass unasked only while the ledger has confirmed all but a few
//     of those before.
//
// So what passes before all routers know is bounded by a count, whatever the delays are; the
// bucket goes below zero by that, and is filled up again before a token is granted, within a
// window. A quarter of the tolerance of a limit is given away on
// purpose, so that a tenant just below it is refused nothing; the rest is for that
// debt.
//
// A router that reaches no leader lets each tenant pass at its own small share, so that no
// two sides of a cut may spend a limit each.
package quota
