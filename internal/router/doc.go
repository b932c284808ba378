// Package router runs the query engines: it owns the sockets, timers and goroutines
// that the engines of package query must not touch.
//
// A request arrives through Router.Query, waits in the bounded admission ring of the
// engine that owns its service, and is decided there. The engine's commands are
// executed by senders (attempts), by the prober (health), by the claim registry
// (requests that run at most once) and by the event sink. The decisions of control
// (configuration, lease, machine states, live routers) arrive through a ConfigSource.
package router
