// Package voter runs one member of the consensus group: it joins the pure core
// of package consensus to a clock, a data folder and a transport, and applies
// committed entries to a state machine.
//
// One goroutine each:
//
//	core loop      steps the core with messages, proposals, reads and deadlines
//	log writer     makes writes durable, many in one sync, then sends the
//	               messages that rest on them
//	applier        applies committed entries and takes snapshots
//	sender         one for each other member, hands messages to the transport
//
// They are joined by bounded rings. What happens when one is full:
//
//	messages in    the newest is dropped; the protocol repeats it
//	proposals      refused with ErrOverloaded, before anything was appended
//	reads          refused with ErrOverloaded
//	writes         the core loop stops taking messages and proposals when the
//	               ring is half full; a full ring counts as a failed disk
//	applies        the core loop stops taking messages and proposals likewise
//	messages out   the oldest is dropped
package voter
