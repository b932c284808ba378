package httpdrain

// Phase is the stage that a connection has reached with its current request.
type Phase uint8

// Phases, in the order in which a connection passes through them. After Waiting comes Receiving
// again.
const (
	// Opened: nothing has been read yet.
	Opened Phase = iota
	// Receiving: a part of a request's header has been read.
	Receiving
	// Serving: a handler runs.
	Serving
	// Handled: the handler has returned, but its response may not be written completely.
	Handled
	// Answered: the response is complete. net/http may hold bytes of the next request.
	Answered
	// Waiting: nothing of a next request has been read.
	Waiting
)

// String returns the name of the phase in logs and metrics.
func (p Phase) String() string {
	return [...]string{"opened", "receiving", "serving", "handled", "answered", "waiting"}[p]
}

// Cause is why a connection was closed.
type Cause string

// Causes.
const (
	// CauseServer: net/http closed the connection after a response or an invalid request.
	CauseServer Cause = "server"
	// CauseClient: reading failed, since the client closed or reset the connection.
	CauseClient Cause = "client"
	// CauseWrite: a response could not be written.
	CauseWrite Cause = "write_failed"
	// CauseStop: the server is stopping, and no request was being received.
	CauseStop Cause = "stop"
	// CauseStopLimit: the time for the stop ran out.
	CauseStopLimit Cause = "stop_limit"
	// CauseIdleTime and CauseHeaderTime: the connection exceeded one of Limits.
	CauseIdleTime   Cause = "idle_time"
	CauseHeaderTime Cause = "header_time"
	// CauseHeaderSize: the head of a request is larger than Config.MaxHeaderBytes.
	CauseHeaderSize Cause = "header_size"
	// CauseMemory: the Intake has reached its limit. CauseConnections: there are too many
	// connections.
	CauseMemory      Cause = "memory"
	CauseConnections Cause = "connections"
)

// Closed describes a connection at its close.
type Closed struct {
	Cause Cause
	Phase Phase
	// Unanswered is the number of bytes read since the last response.
	Unanswered int64
	// Refused is set if the connection has refused the request that was being read.
	Refused bool
	// Remote is the address of the client.
	Remote string
}

// Lost reports whether the close dropped something that had been read and was not answered.
func (c Closed) Lost() bool {
	return c.Cause == CauseWrite || !c.Refused && c.Unanswered > 0 && (c.Phase == Receiving || c.Phase == Serving)
}
