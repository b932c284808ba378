package emulator

import (
	"io"
	"log"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/backendapi"
	"github.com/martenstage/martenstage/internal/plan"
)

// holding names one shard that a server holds.
type holding struct {
	service    string
	generation uint32
	shard      uint32
}

// Server is one emulated back end.
type Server struct {
	fleet *Fleet
	// planned is the address in the plan, bound the one listened on; they
	// differ when the plan's port is 0.
	planned netip.AddrPort
	bound   netip.AddrPort
	name    string
	zone    string
	limit   int
	slots   *slots
	// holdings gives for each shard held the number of shards of its
	// generation; services and groups name them for selectors.
	holdings map[holding]uint32
	services map[string]bool
	groups   map[string]bool

	schedules  atomic.Pointer[map[string]*versionSchedule]
	conditions atomic.Pointer[conditions]
	attempts   attempts
	reports    reports
	counters   counters
	open       atomic.Int64
	// requestNumber counts the requests whose beginning was read.
	requestNumber atomic.Int64
	// activity is read-held by every handler, so that close can wait for them.
	activity sync.RWMutex
	isClosed bool

	mutex       sync.Mutex
	http        *http.Server
	connections map[*connection]bool
	// pause is closed when the freeze ends; nil while not frozen.
	pause atomic.Pointer[chan struct{}]
	// coldSince is when warming up began, in nanoseconds since the start of
	// the fleet plus one; 0 when warm.
	coldSince atomic.Int64
	// drainCalled is set by the drain call, besides drain faults.
	drainCalled atomic.Bool
	departed    time.Time
}

func newServer(fleet *Fleet, replica *plan.Replica) *Server {
	server := &Server{
		fleet:       fleet,
		planned:     replica.Address,
		bound:       replica.Address,
		name:        replica.Address.String(),
		zone:        replica.Zone,
		limit:       replica.Connections,
		slots:       newSlots(replica.Slots, replica.Slots*fleet.config.QueuePerSlot),
		holdings:    map[holding]uint32{},
		services:    map[string]bool{},
		groups:      map[string]bool{},
		connections: map[*connection]bool{},
	}
	server.conditions.Store(noConditions)
	return server
}

// Address returns the address that the server listens on.
func (s *Server) Address() netip.AddrPort { return s.bound }

// hold adds a shard to those of the server.
func (s *Server) hold(placement plan.Placement) {
	held := holding{service: placement.Service.Name, generation: placement.Generation.Number, shard: placement.Shard.ID}
	s.holdings[held] = uint32(len(placement.Generation.Shards))
	s.services[placement.Service.Name] = true
	s.groups[placement.Shard.Name] = true
}

// listen opens the listener and serves on it. After a crash it listens on the
// address that it had before.
func (s *Server) listen() error {
	opened, err := net.Listen("tcp4", s.bound.String())
	if err != nil {
		return errors.Wrapf(err, "back end %s", s.bound)
	}
	if s.bound.Port() == 0 {
		s.bound = opened.Addr().(*net.TCPAddr).AddrPort()
		if !s.fleet.config.PlannedNames {
			s.name = s.bound.String()
		}
	}
	server := &http.Server{
		Handler:     s.handler(),
		ConnContext: withConnection,
		// Clients that vanish in mid-handshake are part of what is emulated.
		ErrorLog: log.New(io.Discard, "", 0),
	}
	s.mutex.Lock()
	s.http = server
	s.mutex.Unlock()
	go func() { _ = server.Serve(&listener{Listener: opened, server: s}) }()
	return nil
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+backendapi.PathQuery, s.whileOpen(s.serveQuery))
	mux.HandleFunc("POST "+backendapi.PathCancel, s.whileOpen(s.serveCancel))
	mux.HandleFunc("GET "+backendapi.PathHealth, s.whileOpen(s.serveHealth))
	mux.HandleFunc("POST "+backendapi.PathDrain, s.whileOpen(s.serveDrain))
	mux.HandleFunc("DELETE "+backendapi.PathDrain, s.whileOpen(s.serveDrainEnd))
	return mux
}

// whileOpen keeps close from returning before a handler has ended.
func (s *Server) whileOpen(next http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		s.activity.RLock()
		defer s.activity.RUnlock()
		if s.isClosed {
			return
		}
		next(writer, request)
	}
}

// stopListening closes the listener and all connections, by a reset if asked.
func (s *Server) stopListening(withReset bool) {
	s.mutex.Lock()
	server := s.http
	s.http = nil
	var open []*connection
	for connection := range s.connections {
		open = append(open, connection)
	}
	s.mutex.Unlock()
	if withReset {
		for _, connection := range open {
			connection.reset()
		}
	}
	if server != nil {
		_ = server.Close()
	}
}

// close ends the server for good and waits for its handlers.
func (s *Server) close() {
	s.stopListening(false)
	s.activity.Lock()
	s.isClosed = true
	s.activity.Unlock()
}

func (s *Server) track(connection *connection) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.connections[connection] = true
}

func (s *Server) untrack(connection *connection) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.connections, connection)
}

// connectionLimit returns how many connections may be open; no limit in the
// plan means any number.
func (s *Server) connectionLimit() int {
	const unlimited = 1 << 30
	if fault := s.conditions.Load().first(FaultConnectionLimit); fault != nil {
		return fault.Connections
	}
	if s.limit <= 0 {
		return unlimited
	}
	return s.limit
}

// waitWhilePaused blocks while the process is frozen or until done is closed.
func (s *Server) waitWhilePaused(done <-chan struct{}) {
	for {
		gate := s.pause.Load()
		if gate == nil {
			return
		}
		select {
		case <-*gate:
		case <-done:
			return
		}
	}
}

// isDraining reports whether the server is leaving.
func (s *Server) isDraining() bool {
	return s.drainCalled.Load() || s.conditions.Load().has(FaultDrain)
}
