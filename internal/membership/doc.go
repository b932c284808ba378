// Package membership holds the soft state that nodes know about each other: the routers with a
// live lease, and the states of back-end machines as reported by the platform, by operators
// and by routers.
//
// Tables are versioned, so that a node with version v is sent only the changes since. A
// version has the leader's term in its upper bits: the table of a new leader is newer than any
// of the leader before, without agreement on each change. The package does no I/O; callers
// pass the time.
package membership
