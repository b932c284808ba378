package scatter

import (
	"time"

	"github.com/martenstage/martenstage/internal/evacuation"
	"github.com/martenstage/martenstage/internal/message"
	"github.com/martenstage/martenstage/internal/routing"
	"github.com/martenstage/martenstage/internal/verdict"
)

// RequestID identifies a request within one engine.
type RequestID uint64

// AttemptID identifies an attempt within one engine; it is never reused.
type AttemptID uint64

// Event is an input of Engine.Step.
type Event interface{ isEvent() }

// Arrived submits a request.
type Arrived struct {
	ID RequestID
	// Route is the route of the document in effect at arrival; its shards are those that make
	// up the answer.
	Route *routing.Route
	// Services are the shards, or the single service.
	Services []string
	// Deadline is the latest time for the answer.
	Deadline time.Time
	// Due is when a reply loses part of its value; zero for never.
	Due time.Time
	// PriorAttempts is how many other routers may have sent attempts before: each is assumed to have
	// sent one, and every further attempt needs a budget token.
	PriorAttempts int
	// ClaimExtras says that the requesting router counts the attempts: each one beyond the first of
	// a shard is sent only once it has been granted.
	ClaimExtras bool
}

// Granted answers a Claim: attempts beyond the first may be sent for some shards of a request,
// or, if Refused, may not.
type Granted struct {
	Request RequestID
	// Shards are positions in Arrived.Services.
	Shards  []int
	Refused bool
}

// Ended reports the end of an attempt; there is exactly one for each Send.
type Ended struct {
	Attempt AttemptID
	Outcome Outcome
}

// Abandoned reports that the answer to a request is no longer needed: it was answered with the
// parts that were there, or its client disconnected.
type Abandoned struct{ Request RequestID }

// Withdrawn reports that a request is quarantined: nothing more is sent for it, its attempts
// in flight are aborted, and it ends at once.
type Withdrawn struct{ Request RequestID }

// ServersChanged reports servers that are new or have changed.
type ServersChanged struct{ Servers []Server }

// ServersRemoved reports servers that get no new work and are removed.
type ServersRemoved struct{ IDs []string }

// DocumentChanged reports the services of a new document.
type DocumentChanged struct{ Services []routing.Service }

// RoutersChanged reports how many routers share the servers.
type RoutersChanged struct {
	Count int
	// Rank is the position of this router, from 0, in an order that all routers agree on.
	Rank int
}

// GatherersChanged reports, for services that are shards, how many routers normally send to
// each. All routers send to services that are not listed.
type GatherersChanged struct{ Gatherers map[string]Gatherers }

// Gatherers are the routers that normally send to the servers of a shard: their requests are
// divided by shard (package slicing).
type Gatherers struct {
	Count int
	// Self says that this router is one of them; Rank is then its position among them, from 0.
	Self bool
	Rank int
}

// ZonesEvacuated reports which servers get no work because an operator has their zone
// evacuated.
type ZonesEvacuated struct{ View evacuation.View }

// TimerFired reports that the time of the last Wake has come.
type TimerFired struct{}

func (Arrived) isEvent()          {}
func (Granted) isEvent()          {}
func (Ended) isEvent()            {}
func (Abandoned) isEvent()        {}
func (Withdrawn) isEvent()        {}
func (ServersChanged) isEvent()   {}
func (ServersRemoved) isEvent()   {}
func (DocumentChanged) isEvent()  {}
func (RoutersChanged) isEvent()   {}
func (GatherersChanged) isEvent() {}
func (ZonesEvacuated) isEvent()   {}
func (TimerFired) isEvent()       {}

// Server is one incarnation of a server, from its start to its end.
type Server struct {
	ID string
	// Name is the server's own name, which all its incarnations share; empty if it has only an
	// ID.
	Name    string
	Service string
	Address string
	Zone    string
	// Version is that of the server's software; empty if it reports none.
	Version string
	Slots   int
	// Draining servers are draining and get no new work.
	Draining bool
	// Missing servers no longer report to the directory; they get work only if there is no
	// other.
	Missing bool
	// Replaced servers get no work: another incarnation of the same server is used instead.
	Replaced bool
	// WarmAt is when the server stops being cold. A cold server is slow and can handle few
	// requests.
	WarmAt time.Time
}

// Failure is the way in which an attempt failed.
type Failure uint8

// Failures.
const (
	// NoFailure is a complete reply of the server, whatever its status.
	NoFailure Failure = iota
	// NotConnected: no connection was established; nothing was sent.
	NotConnected
	// Refused: the server reports that it did not run the request.
	Refused
	// OtherInstance: another server answers at the address.
	OtherInstance
	// Unaccepted: a new connection was reset before anything was answered, as
	// servers do beyond their limit of connections.
	Unaccepted
	// Broken: the connection or the answer was cut off, or the answer was invalid.
	Broken
	// TimedOut: the attempt's deadline passed.
	TimedOut
	// Aborted: the engine aborted it.
	Aborted
	// NotSent: the router was suspended between the choice of the server and the sending, so
	// that the choice is outdated; nothing was sent.
	NotSent
)

// String returns the failure in lower case, for logs.
func (f Failure) String() string {
	return [...]string{"none", "not_connected", "refused", "other_instance", "unaccepted", "broken", "timed_out", "aborted", "not_sent"}[f]
}

// Outcome is the result of an attempt.
type Outcome struct {
	Failure Failure
	Verdict verdict.Verdict
	// Reply is set when the server's answer is complete.
	Reply *message.Reply
	Load  message.Load
	// ColdFor is how much longer the server reports to be cold; 0 if it reports nothing.
	ColdFor time.Duration
}

// Command is an output of Engine.Step; the caller carries them out in order.
type Command interface{ isCommand() }

// Send sends one attempt.
type Send struct {
	Attempt AttemptID
	Request RequestID
	Server  Server
	// Deadline is until when the server may work on the request.
	Deadline time.Time
	// Extra says that it is not the first attempt of its call.
	Extra bool
}

// Claim requests permission for another attempt at a shard beyond the first. One Granted
// follows.
type Claim struct {
	Request RequestID
	// Shard is the position in Arrived.Services.
	Shard int
}

// Abort ends an attempt whose answer is no longer needed. Its Ended follows.
type Abort struct{ Attempt AttemptID }

// Part delivers one part of a gathering request. Respond follows once no more can come.
type Part struct {
	Request RequestID
	// Shard is the position in Arrived.Services.
	Shard int
	Reply *message.Reply
}

// Respond ends a request: with the answer of its service, or, for a gathering request, with
// the shards that have no part.
type Respond struct {
	Request RequestID
	Result  Result
}

// Dropped reports the progress of a request that was abandoned.
type Dropped struct {
	Request RequestID
	Result  Result
}

// Overdue reports which parts of a request are missing when they are due.
type Overdue struct {
	Request RequestID
	Result  Result
}

// Wake requests a TimerFired at a time; each replaces the previous one.
type Wake struct{ At time.Time }

// LogServer reports a change in the state of a server, for the log.
type LogServer struct {
	Server Server
	Event  string
	Detail string
}

func (Send) isCommand()      {}
func (Claim) isCommand()     {}
func (Abort) isCommand()     {}
func (Part) isCommand()      {}
func (Respond) isCommand()   {}
func (Dropped) isCommand()   {}
func (Overdue) isCommand()   {}
func (Wake) isCommand()      {}
func (LogServer) isCommand() {}

// Result is the result of a request.
type Result struct {
	// Reply is that of the service; nil for failures of the router itself and for gathering
	// requests.
	Reply *message.Reply
	// Missing are the positions of shards without a part.
	Missing []int
	// Verdict and Reason are set when there is no reply.
	Verdict verdict.Verdict
	Reason  verdict.Reason
	// RetryAfter is the delay after which a client may retry a request that has not run.
	RetryAfter time.Duration
	// Attempts and Extras count the attempts sent, and those beyond the first of each call.
	Attempts int
	Extras   int
	// Denied counts the extra attempts that the budget denied.
	Denied int
	// MissingCount counts the calls without a part; MissingParts describes the first few.
	MissingCount int
	MissingParts []MissingPart
}

// StepKind is the kind of a step of a call.
type StepKind uint8

// Step kinds.
const (
	StepSent StepKind = iota
	StepHedged
	StepRetried
	StepEnded
	// StepQueued: no server had capacity, or none was known.
	StepQueued
	// StepDenied: the budget denied another attempt.
	StepDenied
	// StepClaims: another attempt was claimed.
	StepClaims
	// StepHeld: attempts of the request broke off, and no server has answered it yet.
	StepHeld
)

// String returns the kind in lower case, for logs.
func (k StepKind) String() string {
	return [...]string{"sent", "hedged", "retried", "ended", "waits", "denied", "claims", "held"}[k]
}

// Step is one step in the processing of a call, for diagnostics.
type Step struct {
	Kind StepKind
	// After is the time since the arrival of the request.
	After  time.Duration
	Server string
	// Failure is set for StepEnded.
	Failure Failure
}
