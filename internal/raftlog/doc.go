// Package raftlog stores the durable state of one voter in its data folder: the
// hard state and log entries in a bbolt file, snapshots in separate files.
//
//	<folder>/consensus.db          hard state, log entries and the log's bounds
//	<folder>/snapshots/<index>     state machine snapshots, the newest two
//
// Many write units share one transaction and so one sync (group commit). A
// transaction interrupted by a crash is absent after the restart (a torn tail);
// no message that depends on it was sent. Completed transactions may have been
// acknowledged to other voters, so on any damage to them, such as a checksum
// mismatch, a missing entry or a truncated file, Open fails and names the file
// and the index or offset: a voter that continues without entries that it
// acknowledged can lose committed changes. Such a machine must be replaced
// (docs/operate/replacing-a-control-machine.md).
package raftlog
