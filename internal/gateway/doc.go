// Package gateway runs a router of a site whose servers announce themselves: it
// takes the requests of clients, lets package scatter decide, and sends attempts
// by package exchange. What routes and servers there are it follows from the
// directory nodes.
//
// One goroutine each:
//
//	engine      owns the scatter engine; events come in by a bounded channel
//	follower    holds a call at one directory node, and goes on to the next one
//	            when that fails
//	reports     tells the directory of requests that end servers, again until a node
//	            has it
//	request     one for each request, of net/http
//	attempt     one for each attempt that is out
//
// A router that knows no document answers 503. One that loses the directory goes
// on under the last document; it never goes back to an older one.
package gateway
