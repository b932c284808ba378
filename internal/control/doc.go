// Package control is the server of a control voter and the client that
// operators' commands use.
//
// The parts, each in its own files:
//
//	server.go        the server that joins the parts
//	process.go       startup, listeners, planned shutdown
//	store.go         the applied state, shared by all services
//	config_*.go      ConfigService: changes, history, voters, status, drain marks
//	change_*.go      deltas that encode a change in the log
//	format_*.go      the format of the state, raised once all voters support it
//	claim_*.go       ClaimService: claims, committed in batches
//	journal_*.go     JournalService: events
//	leader.go        forwarding calls to the leader, error codes
//	replication.go   messages between voters, proposals, confirmed leadership
//	client.go        the operators' client with its retries
//
// Any voter accepts operators' calls. Writes and confirmed reads are forwarded to
// the leader, with at most one hop. A leader answers a read only after a quorum
// has confirmed its leadership, so a partitioned leader returns an error rather
// than stale state.
package control
