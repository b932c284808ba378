// Package directory runs a control node for sites whose servers announce
// themselves: it keeps the routing document and the servers that said they leave
// in a replicated log, the other servers in a soft table, and tells both to
// routers.
//
//	document      the highest version that an operator gave wins; it is
//	              acknowledged once a quorum has it synced, and read only after a
//	              quorum confirmed the leader
//	leaving       acknowledged once a quorum has it synced; never taken back; without a
//	              start it holds for all that were heard of before (registry.NameDeparture)
//	heartbeats    soft: any node takes them and tells the other nodes
//	group         the first nodes form it; others follow as learners, and take the
//	              place of voters that are gone (formation.go)
//
// A node tells routers how old its state is (freshness.go): as of when it held all that was
// acknowledged, by the index of the log. One that is out of date is left by its routers.
//
// A node that has lost the group answers 503 to whatever must not be stale, so
// that callers go on to the next node.
//
// The consensus itself is packages consensus, raftlog and voter; this package
// uses them as they are. See docs/design/0015-registered-sites.md and, for how old a state may be,
// docs/design/0023-how-old-a-state-may-be.md.
package directory
