// Package directory runs a control node for sites whose servers announce
// themselves: it keeps the routing document and the servers that said they leave
// in a replicated log, the other servers in a soft table, and tells both to
// routers.
//
//	document      the highest version that an operator gave wins; it is
//	              acknowledged once a quorum has it synced, and read only after a
//	              quorum confirmed the leader
//	leaving       acknowledged once a quorum has it synced; never taken back
//	heartbeats    soft: any node takes them and tells the other nodes
//	group         the first nodes form it; others join, and take the place of
//	              voters that are gone (formation.go)
//
// A node that has lost the group answers 503 to whatever must not be stale, so
// that callers go on to the next node.
//
// The consensus itself is packages consensus, raftlog and voter; this package
// uses them as they are. See docs/design/0015-registered-sites.md.
package directory
