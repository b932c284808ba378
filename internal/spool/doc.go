// Package spool keeps events on a node's own disk until control's journal has
// them. Record never blocks: events wait in a bounded ring for the writer, which
// stores whatever is waiting in one synced transaction; a second goroutine
// delivers stored events in order and deletes those that were taken.
//
// Equal events that are close in time become one with a count and a time span:
// those that wait for the writer, and those on disk that control can't know of
// yet. An event gets its id, of source, boot number and sequence, before it is
// stored, and the journal stores an id once, so an event that is delivered again
// after a lost answer or a restart is not doubled. While the disk fails, events
// go to control without it. Both the ring and the store are bounded. The oldest
// events go first, and how many went is itself delivered as an event.
package spool
