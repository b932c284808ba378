// Package spool stores events on a node's local disk until the control group's
// journal has them. Record never blocks: it puts events into a bounded ring. A writer
// stores the content of the ring in synced transactions; a deliverer sends stored
// events in order and deletes those that the journal has accepted.
//
// Equal events that are close in time are merged into one with a count and a time
// span, both in the ring and on disk as long as no delivery of them was attempted.
// An event gets an id of source, boot number and sequence before it is stored. The
// journal stores an id once, so an event that is delivered again after a lost
// response or a restart is not duplicated. While the disk fails, events are sent to
// the control group directly. The ring and the store are bounded: they drop the
// oldest events first and report the number of dropped events as an event.
package spool
