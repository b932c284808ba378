// Package control is the server of a control voter and the client that
// operators' commands use.
//
// The parts, each in its own files:
//
//	server.go        wiring, listening, planned stop
//	store.go         the applied state, shared by all services
//	config_*.go      ConfigService: changes, history, voters, status, drain marks
//	change_*.go      a change as differences for the log
//	format_*.go      the format of the state, raised when all voters know it
//	claim_*.go       ClaimService: claims, committed in groups
//	journal_*.go     JournalService: events
//	leader.go        confirmed reads, and the one hop to the leader
//	transport.go     messages between voters
//	client.go        the operators' client with its resends
//
// Any voter answers operators. Writes and confirmed reads are passed on to the
// leader, at most one hop. A leader answers a read only after a quorum has
// confirmed it, so one that was cut off answers with an error, never from an
// old state.
package control
