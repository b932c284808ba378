package httpdrain

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/steadyclock"
)

const (
	// defaultMaxHeaderBytes applies without Config.MaxHeaderBytes.
	defaultMaxHeaderBytes = 64 << 10
	// hardMaxHeaderBytes is the limit of net/http, which is above any that a Conn applies.
	hardMaxHeaderBytes = 1 << 30
	// endingShare is how many connections may be ending beyond Config.MaxConnections, in percent
	// of it.
	endingShare = 25
	// newConnectionGrace is how long the first request of a new connection is awaited during a
	// stop: a client opens a connection to send on it.
	newConnectionGrace = time.Second
	// drainInterval is how often a stop looks for connections that may end.
	drainInterval = 20 * time.Millisecond
)

// Config configures a Server.
type Config struct {
	Handler http.Handler
	// ReadHeaderTimeout is that of http.Server.
	ReadHeaderTimeout time.Duration
	// MaxHeaderBytes returns the largest head of a request, in bytes; nil or 0 for the default
	// of 64 KiB.
	MaxHeaderBytes func() int
	// Intake bounds the memory of requests, of several servers if they share it; nil for none.
	Intake *Intake
	// MaxConnections bounds the open connections; 0 for no bound.
	MaxConnections int
	// OnClosed is called for each closed connection, and again if a read that was pending at
	// the close returns bytes; nil for none. It must not block.
	OnClosed func(Closed)
}

// Limits bound what connections may do without a request. Zero is no bound.
type Limits struct {
	// Idle bounds the wait for a request, Header the time from the first byte of a request
	// until its header is complete.
	Idle   time.Duration
	Header time.Duration
}

// Server serves HTTP/1.1 until it is drained. It is safe for concurrent use.
type Server struct {
	config Config
	http   *http.Server
	// closing is set when each response tells the client that the connection is closed.
	closing  atomic.Bool
	draining atomic.Bool
	accepts  sync.WaitGroup
	mutex    sync.Mutex
	// listeners are those of Serve, connections the open ones.
	listeners   []net.Listener
	connections map[*Conn]struct{}
}

// NewServer returns a server.
func NewServer(config Config) *Server {
	server := &Server{config: config, connections: make(map[*Conn]struct{})}
	server.http = &http.Server{
		Handler: http.HandlerFunc(server.handle), ReadHeaderTimeout: config.ReadHeaderTimeout, MaxHeaderBytes: hardMaxHeaderBytes,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
		ConnState: observeState,
	}
	return server
}

// observeState is the ConnState hook of net/http, which reports StateIdle once a response is
// written.
func observeState(conn net.Conn, state http.ConnState) {
	if tracked, ok := conn.(*Conn); ok && state == http.StateIdle {
		tracked.answered()
	}
}

func (s *Server) handle(writer http.ResponseWriter, request *http.Request) {
	if conn, ok := ConnOf(request.Context()); ok {
		conn.begin()
		defer conn.handled()
		if request.Body == nil || request.Body == http.NoBody {
			conn.read()
		} else {
			request.Body = &trackedBody{ReadCloser: request.Body, conn: conn}
		}
	}
	s.PrepareResponse(writer.Header())
	s.config.Handler.ServeHTTP(writer, request)
}

// trackedBody tells its connection when it has been read.
type trackedBody struct {
	io.ReadCloser
	conn *Conn
}

// Read implements io.Reader.
func (b *trackedBody) Read(into []byte) (int, error) {
	b.conn.setHandlerReads(true)
	count, err := b.ReadCloser.Read(into)
	b.conn.setHandlerReads(false)
	if errors.Is(err, io.EOF) {
		b.conn.read()
	}
	return count, err
}

// maxHeaderBytes returns the largest head of a request that is accepted.
func (s *Server) maxHeaderBytes() int {
	if s.config.MaxHeaderBytes != nil {
		if limit := s.config.MaxHeaderBytes(); limit > 0 {
			return limit
		}
	}
	return defaultMaxHeaderBytes
}

// Serve accepts connections until Drain or Close, after which it returns nil.
func (s *Server) Serve(listener net.Listener) error {
	s.accepts.Add(1)
	defer s.accepts.Done()
	s.mutex.Lock()
	s.listeners = append(s.listeners, listener)
	s.mutex.Unlock()
	err := s.http.Serve(trackingListener{Listener: listener, server: s})
	if s.draining.Load() || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve")
}

// CloseAfterResponses has each response from now on tell the client that the connection is closed.
func (s *Server) CloseAfterResponses() { s.closing.Store(true) }

// PrepareResponse has a response that is about to be written tell the client that the connection
// is closed, if it is. Handlers that take long call it, since the state may have changed.
func (s *Server) PrepareResponse(header http.Header) {
	if s.closing.Load() {
		header.Set("Connection", "close")
	}
}

// Closing reports whether responses tell the client that the connection is closed.
func (s *Server) Closing() bool { return s.closing.Load() }

// Drain stops accepting connections and ends each as soon as nothing has been read from it since
// its last response. It returns nil once all are closed, or cuts the rest and returns the error of
// the context when that ends.
func (s *Server) Drain(ctx context.Context) error {
	s.closing.Store(true)
	s.draining.Store(true)
	s.mutex.Lock()
	for _, listener := range s.listeners {
		_ = listener.Close() // Fails only if it is closed already.
	}
	s.mutex.Unlock()
	s.accepts.Wait()
	err := s.awaitConnections(ctx)
	if err != nil {
		for _, conn := range s.open() {
			conn.closeAtLimit()
		}
	}
	return errors.CombineErrors(err, s.http.Close())
}

func (s *Server) awaitConnections(ctx context.Context) error {
	check := time.NewTicker(drainInterval)
	defer check.Stop()
	for {
		open := s.open()
		if len(open) == 0 {
			return nil
		}
		for _, conn := range open {
			if !conn.isNew(steadyclock.Now(), newConnectionGrace) {
				conn.end(CauseStop)
			}
		}
		select {
		case <-check.C:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%d connections were cut", len(s.open()))
		}
	}
}

// ServeUntil serves until the context ends, and then drains for a time at most.
func (s *Server) ServeUntil(ctx context.Context, listener net.Listener, limit time.Duration) error {
	served := make(chan error, 1)
	go func() { served <- s.Serve(listener) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	draining, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return errors.CombineErrors(s.Drain(draining), <-served)
}

// Close closes the listeners and all connections at once.
func (s *Server) Close() error {
	s.draining.Store(true)
	return s.http.Close()
}

// Enforce ends the connections that exceed a limit at the given time.
func (s *Server) Enforce(now time.Time, limits Limits) {
	for _, conn := range s.open() {
		conn.enforce(now, limits)
	}
}

// open returns the open connections.
func (s *Server) open() []*Conn {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	open := make([]*Conn, 0, len(s.connections))
	for conn := range s.connections {
		open = append(open, conn)
	}
	return open
}

// Phases returns the number of open connections in each phase.
func (s *Server) Phases() map[Phase]int {
	counts := make(map[Phase]int)
	for _, conn := range s.open() {
		conn.mutex.Lock()
		counts[conn.phase]++
		conn.mutex.Unlock()
	}
	return counts
}

func (s *Server) track(accepted net.Conn) *Conn {
	conn := &Conn{Conn: accepted, server: s, since: steadyclock.Now()}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.connections[conn] = struct{}{}
	return conn
}

// makeRoom ends a connection if there are too many: the one that has waited for a request for the
// longest time, or else the one whose request has been arriving for the longest time. It returns
// false if so many are ending that a further one can't be accepted.
func (s *Server) makeRoom() bool {
	limit := s.config.MaxConnections
	s.mutex.Lock()
	count := len(s.connections)
	s.mutex.Unlock()
	if limit == 0 || count <= limit {
		return true
	}
	var oldest *Conn
	var chosen idleness
	for _, conn := range s.open() {
		if idle := conn.idleness(); idle.yields && (oldest == nil || idle.before(chosen)) {
			oldest, chosen = conn, idle
		}
	}
	if oldest != nil {
		oldest.evict(CauseConnections)
	}
	return count <= limit+max(1, limit*endingShare/100)
}

// forget removes a connection that has been closed.
func (s *Server) forget(conn *Conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.connections, conn)
}

// report passes on the description of a closed connection.
func (s *Server) report(record Closed) {
	if s.config.OnClosed != nil {
		s.config.OnClosed(record)
	}
}

// trackingListener accepts connections for a server.
type trackingListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l trackingListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn := l.server.track(accepted)
		if l.server.makeRoom() {
			return conn, nil
		}
		conn.closeFor(CauseConnections)
	}
}
