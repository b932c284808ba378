// Package consensus is one voter of a Raft group as a deterministic state
// machine without I/O. The method is that of D. Ongaro, "Consensus: Bridging
// Theory and Practice" (dissertation, Stanford 2014); sections are cited as
// "§" where they are implemented:
//
//   - elections with randomized timeouts (§3.4), pre-vote (§9.6) and a leader
//     that steps down when it cannot reach a quorum (§6.2);
//   - log replication (§3.5) with batches, a bounded number of messages in
//     flight and back-off by conflict term (§10.2.1, §3.5);
//   - a leader writes to its disk while it replicates (§10.2.1);
//   - single-server membership changes with learners (§4.1, §4.2.1);
//   - leadership transfer (§3.10);
//   - log compaction by snapshots (§5.1);
//   - reads confirmed by a quorum, without clock assumptions (§6.4).
//
// The caller hands each event to Step with the present time and carries out
// the returned Output in its stated order. The order is what makes the
// protocol safe: a promise to another voter (a vote, an acknowledgement) may
// only leave once the state that it rests on is synced. Core never reads a
// clock, starts a goroutine or depends on the order of a map, so that equal
// events give equal outputs.
//
// The whole log behind the last compaction is held in memory; the caller
// bounds it by taking snapshots. A snapshot travels in one message, whose size
// Config.MaxSnapshotBytes bounds: the state that the group keeps is meant to be
// small.
package consensus
