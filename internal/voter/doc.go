// Package voter runs one member of the consensus group: it connects the
// deterministic core of package consensus to a clock, a data folder and a
// transport, and applies committed entries to a state machine.
//
// It runs these goroutines:
//
//	core loop      steps the core with messages, proposals, reads and deadlines
//	log writer     makes writes durable, many in one sync, then sends the
//	               messages that depend on them
//	applier        applies committed entries and takes snapshots
//	sender         one for each other member, passes messages to the transport
//
// They are connected by bounded rings. If a ring is full:
//
//	messages in    the newest is dropped; the protocol sends it again
//	proposals      refused with ErrOverloaded, before anything was appended
//	reads          refused with ErrOverloaded
//	writes         the core loop stops accepting messages, proposals and reads
//	               when the ring is half full; a full ring counts as a failed disk
//	applies        the core loop stops accepting these when the ring is half full
//	messages out   the oldest is dropped
package voter
