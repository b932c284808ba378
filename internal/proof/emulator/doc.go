// Package emulator runs the back ends of a fleet in one process, each on an
// address of its own, as docs/BACKENDS.md describes them. It stands in for the
// search servers of a site in tests, experiments and the demonstration.
//
// A Fleet is built from a compiled plan. Every replica of the plan becomes a
// Server with the replica's slots and connection limit. What a server answers
// comes from package dataset and how long it works from package servicetime,
// so both can be recomputed by whoever judges a run. Every query that arrives,
// also one that is refused, ends as one line of the record.
//
// Faults are values: a Fault says what happens, to which servers, when and for
// how long. They come from a script, from the administration listener or from
// Fleet.Inject. The effect of a server's active faults is folded into one
// immutable conditions value, which requests read without a lock.
package emulator
