// Package membership holds what nodes know about each other that need not
// survive a restart: the routers with a live lease, and the states of back-end
// machines by the word of the platform, of operators and of routers.
//
// Tables are versioned, so that a node that holds version v is sent only what
// changed since. A version has the leader's term in its upper bits: the table
// of a new leader is newer than any of the leader before, without agreement on
// each change. The package does no I/O; callers pass the time.
package membership
