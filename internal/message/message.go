// Package message holds the requests and replies that pass through a router
// unchanged, as plain data without a connection.
package message

// Header maps canonical header names to their values.
type Header = map[string][]string

// Request is a complete request of a client.
type Request struct {
	Method string
	// Target is the path and query as the client sent them.
	Target string
	Host   string
	// Header holds the headers that are forwarded.
	Header Header
	Body   []byte
	// Tenant is the name of the sending tenant; empty without tenants. Header passes it to
	// servers.
	Tenant string
	// ID is the client's id for this attempt of its request.
	ID string
}

// Reply is a complete reply of a server.
type Reply struct {
	Status int
	Header Header
	Body   []byte
	// Stamp is the server's signature of the reply; empty for none.
	Stamp string
}

// Succeeded reports whether the server answered with a 2xx status.
func (r *Reply) Succeeded() bool { return r.Status >= 200 && r.Status < 300 }

// firstServerFailure is the lowest server error status (RFC 9110, section 15.6).
const firstServerFailure = 500

// ServerFailed reports whether the reply is a server error, not a client error.
func (r *Reply) ServerFailed() bool { return r.Status >= firstServerFailure }

// Load is the load that a server reports.
type Load struct {
	// Known is false if the server reported no load.
	Known   bool
	Running int
	Waiting int
	Slots   int
	// Slowness is the current duration of work relative to the usual one; 0 if not reported.
	Slowness float64
}
