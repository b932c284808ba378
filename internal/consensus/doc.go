// Package consensus implements one voter of a Raft group as a deterministic
// state machine without I/O. It follows D. Ongaro, "Consensus: Bridging Theory
// and Practice" (dissertation, Stanford 2014); comments cite its sections as
// "§":
//
//   - elections with randomized timeouts (§3.4), pre-vote (§9.6) and a leader
//     that steps down when it cannot reach a quorum (§6.2);
//   - log replication (§3.5) with batches, a bounded number of messages in
//     flight and back-off by conflict term (§10.2.1, §3.5);
//   - leader disk writes in parallel with replication (§10.2.1);
//   - single-server membership changes with learners (§4.1, §4.2.1);
//   - leadership transfer (§3.10);
//   - log compaction by snapshots (§5.1);
//   - reads confirmed by a quorum, without clock assumptions (§6.4).
//
// The caller passes each event to Step with the current time and carries out
// the returned Output in its stated order. Safety depends on that order: a vote
// or an acknowledgement may only be sent once the state that it depends on is
// synced. Core never reads a clock, starts a goroutine or depends on map
// iteration order, so that equal events give equal outputs.
//
// The whole log after the last compaction is held in memory; the caller bounds
// it by taking snapshots. A snapshot is sent in one message, whose size is
// bounded by Config.MaxSnapshotBytes: the replicated state is meant to be small.
package consensus
