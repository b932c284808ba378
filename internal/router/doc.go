// Package router is the shell around the query engines: it owns the sockets,
// timers and goroutines that the engines of package query must not touch.
//
// A request arrives through Router.Query, waits in the bounded admission ring
// of the engine that owns its service, and is decided there. The engine's
// commands are carried out by senders (attempts), by the prober (health), by
// the claim registry (requests that run at most once) and by the event sink.
// What control decides (configuration, lease, machine states, live routers)
// comes in through a ConfigSource.
package router
