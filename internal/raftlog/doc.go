// Package raftlog keeps the durable state of one voter in its data folder: the
// hard state and log entries in a bbolt file, snapshots in files of their own.
//
//	<folder>/consensus.db          hard state, log entries, their bounds
//	<folder>/snapshots/<index>     state machine snapshots, the newest two
//
// Many units of writing share one transaction and so one sync (group commit).
// A transaction that a crash cut short is not there after the restart; that is
// the torn tail, and nothing in it was promised to anybody. Everything that a
// finished transaction wrote was promised, so that any damage to it, be it a
// checksum that does not match, a missing entry or a file that is too short,
// makes Open refuse with the file and the index or offset: a voter that goes on
// without entries that it acknowledged can lose committed changes. Such a
// machine is replaced (docs/operate/replacing-a-control-machine.md).
package raftlog
