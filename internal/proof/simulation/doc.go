// Package simulation runs a whole fleet (voters of control, relays, routers,
// back ends, callers, operators and the platform's list of machines) as one
// discrete-event world on a virtual clock, in one goroutine, under faults that
// are drawn from a seed. Equal seeds give equal runs, whose trace digests agree.
//
// What decides is the product's own code: consensus.Core, state.Machine,
// lease.Grantor and lease.Holder, the tables of package membership, cell.Ledger
// and query.Engine. What this package adds stands in for the shells around
// them: it carries commands out and events in, in the order that the shells
// keep, over a network (package network), disks (package disk) and clocks
// (package virtualtime) that fail.
//
// Package judge decides from the records of back ends, callers, operators and
// routers whether the invariants held; raftChecks checks the safety properties
// of Raft on the voters; and at the end of a run, when all faults are over, the
// fleet must work again.
package simulation
