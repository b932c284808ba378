package main

import (
	"sync"
	"time"
)

// soakRequest is one request of a client with its answer.
type soakRequest struct {
	id      string
	route   soakRoute
	router  int
	sent    time.Time
	ended   time.Time
	status  int
	stamps  []string
	missing int
	body    []byte
	// broken says that the connection ended without an answer, failure how; unconnected that
	// there was none, since nobody listened.
	broken, unconnected bool
	failure             string
	// version is that of the route asked for, of soakVersion, and age how long before it was
	// sent that version was acknowledged; newest is the highest one that had been proposed when
	// the request ended.
	version, newest int
	age             time.Duration
	// path is asked for if it is not that of the route, key is that of a tenant, and retryAfter
	// the header of the answer.
	path, key, retryAfter string
	// late says that the client comes with little time, and left how much; others have
	// soakDeadline.
	late bool
	left time.Duration
	// sentTo counts the starts of the router when the request was sent; incarnation is that,
	// or of no known start where the router was started again until the answer.
	sentTo, incarnation int
}

// soakArrival is one request at a server.
type soakArrival struct {
	id      string
	service string
	server  string
	at      time.Time
	ran     bool
}

// soakLeave is an acknowledged departure.
type soakLeave struct {
	server string
	acked  time.Time
}

// soakRead is an answered read of the document; acked is the highest version that
// was acknowledged before it was sent.
type soakRead struct{ version, acked int }

// soakStop is a planned stop of one start of a router, which nothing else ended.
type soakStop struct {
	router, start int
	began, end    time.Time
}

// soakRecords are what clients, servers and the operator saw.
type soakRecords struct {
	mutex    sync.Mutex
	requests []soakRequest
	arrivals []soakArrival
	leaves   []soakLeave
	reads    []soakRead
	stops    []soakStop
	// demanded are the requests of surges.
	demanded []soakDemanded
	// ends are the servers that a marked request ended, troubles what befell processes.
	ends     []soakEnd
	troubles []soakTroubled
	// reached are the starts of servers that a request has reached, disks counts the faults of
	// disks, passings the addresses that passed to another process.
	reached  map[string]bool
	disks    int
	passings int
	// restarts counts the servers that started again and left.
	restarts int
}

func (r *soakRecords) note(take func(*soakRecords)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	take(r)
}
