// Package scatter decides how the requests of registered sites are answered:
// which server of a service gets a request, when a second one is tried, and when
// the answer is given. A request to one service has one call; a request that
// gathers has one call for each shard.
//
// It is a deterministic state machine without I/O: Engine.Step takes the time
// and an event and returns commands for the caller to carry out. One goroutine
// owns an engine.
//
//	first attempt  at once, to the server with the least expected delay
//	queue          a server without a free slot gets little more work; calls are queued
//	               here, by due time (with Config.ClassOrder by class first), and those that can't
//	               be in time any more come last
//	conditions     servers that other routers find in trouble are avoided until this router has
//	               heard from them, if Config.SharedConditions is set
//	hedge          to another server once an attempt is in flight for longer than most
//	               are, or for half of the time until its part is due
//	retry          after a failure, if the request may run again or provably has
//	               not run; with Config.ResendRefused a call that all its servers refused may go to
//	               one of them again
//	end            nothing is sent or claimed for a request after its answer, or once its
//	               deadline has passed (Engine.mayAttempt)
//	budget         hedges and retries of a service spend tokens that first
//	               attempts earn, so that over all routers the extra attempts
//	               stay below a share of the requests
//	answer         the reply of the service, or a failure as soon as success is
//	               impossible; parts are delivered as they come, and the router that
//	               gathers them decides when they suffice (package slicing)
package scatter
