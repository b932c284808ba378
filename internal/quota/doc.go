// Package quota limits how many requests each tenant sends through all routers together. It
// does no I/O and reads no clock.
//
// A Ledger, at the directory's leader, holds a token bucket for each tenant with a limit
// (committed rate and burst as in RFC 2697). A Gate, at each router, decides about requests:
//
//   - While a tenant's bucket is well filled, routers admit its requests at once and report
//     what was spent afterwards, which adds no latency.
//   - Once the bucket is nearly empty the tenant is metered: replies to reports say so, the
//     directory notifies all routers, and they request a token for each request.
//   - A router admits requests without a token only while the ledger has acknowledged all but
//     a few of the earlier ones.
//
// So the number of requests admitted before all routers know of the metering is bounded,
// whatever the delays are. It counts in the window, so that no token is granted until the
// window holds less than the limit again. A quarter of a limit's tolerance is always added to
// the bucket, so that a tenant just below its limit is refused nothing; the rest covers this
// overdraft.
//
// The ledger also counts the requests that passed in the last window. A tenant whose window was
// quiet may have up to maxExtraTime of its rate at once beyond its burst, as far as the window
// holds it. A new ledger asks routers what they admitted within the last window. Once all of
// them have replied, its buckets are those of the ledger before it; until then it grants a part
// of the slack and what the rate refills, and to tenants that were metered nothing at first.
//
// Each refused request is promised the next token that is not promised yet, if its client would
// wait for it. The token is kept for the request until shortly after the time told; then it
// returns to the bucket. Promises are lost with the ledger: a request that comes back to a new
// one is decided like any other.
//
// A router that reaches no leader admits each tenant at a small local share of its limit, so
// that the two sides of a network partition can't each spend a whole limit.
package quota
