// Package query decides how a request is processed: admission, snapshot, choice of
// replicas, hedges, retries and the answer. It is a deterministic state machine
// without I/O: Engine.Step takes the time and an event and returns commands for the
// shell to execute. One goroutine owns an engine.
package query
