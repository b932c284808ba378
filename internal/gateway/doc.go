// Package gateway implements the router of a site whose servers announce
// themselves. It accepts the requests of clients, leaves routing decisions to
// package scatter, and sends attempts by package exchange. Routes and servers
// are read from the directory nodes.
//
// Goroutines:
//
//	engine      owns the scatter engine; events arrive on a buffered channel
//	follower    long-polls one directory node, and switches to another one when
//	            that fails
//	reports     reports requests that crash servers to the directory, and resends
//	            each report until a node accepts it
//	request     one for each request, of net/http
//	attempt     one for each attempt in flight
//
// A router without a document answers 503. A router that loses the directory
// keeps using its last document, and never returns to an older one.
package gateway
