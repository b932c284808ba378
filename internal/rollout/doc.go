// Package rollout decides how a service's requests shift to servers that run a new software
// version, and whether that version is good. It has no I/O and reads no clock.
//
//   - Rule defines for routers which servers a call may go to.
//   - Evidence holds what routers observe of both versions at the same time.
//   - Judge compares the two versions by a sequential test; Decide returns the next step.
//
// Roll-outs and their steps are stored durably by package directory. Evidence is not stored:
// routers report their totals repeatedly, so a new leader soon has them.
package rollout
