// Package directory runs a control node for sites whose servers announce
// themselves by heartbeats. It keeps the routing document and the departures of
// servers in a replicated log, the other servers in a table of soft state, and
// reports both to routers.
//
//	document      the highest version that an operator stored wins; it is
//	              acknowledged once a quorum has synced it, and read only after a
//	              quorum confirmed the leader
//	departures    acknowledged once a quorum has synced them; never reverted; one that
//	              names no incarnation applies to all those known before it
//	              (registry.NameDeparture)
//	heartbeats    soft state: any node accepts them and shares them with the other nodes
//	group         formed by the first nodes; others join as learners, and replace
//	              failed voters (formation.go)
//
// A node reports the age of its state to routers (freshness.go): when it last held everything
// acknowledged, by the index of the log. Routers switch away from a node whose state is stale.
//
// A node that has lost the group answers 503 to whatever must not be stale, so
// that callers move to the next node.
//
// Consensus is implemented by packages consensus, raftlog and voter; this package
// only uses them. See docs/design/0015-registered-sites.md and, for the age of states,
// docs/design/0023-how-old-a-state-may-be.md.
package directory
