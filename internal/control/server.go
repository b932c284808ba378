package control

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/follower"
	"github.com/martenstage/martenstage/internal/gen/martenstage/v1/martenstagev1connect"
	"github.com/martenstage/martenstage/internal/keys"
	"github.com/martenstage/martenstage/internal/membership"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/rpc"
	"github.com/martenstage/martenstage/internal/state"
	"github.com/martenstage/martenstage/internal/voter"
)

// Compiler turns a configuration text into a plan, or says what is wrong.
type Compiler func(text string) (*plan.Plan, error)

// Config sets up a Server.
type Config struct {
	// ID of the voter.
	ID uint64
	// ClaimBatch is how many claims one commit holds at most.
	ClaimBatch int
	// Lease is how long a granted lease lasts.
	Lease time.Duration
	// Folder is the voter's data folder, which also keeps its own events until
	// the journal has them.
	Folder string
	// Clock stamps commands; time.Now when nil.
	Clock func() time.Time
}

// Dependencies are the parts that a Server joins.
type Dependencies struct {
	Voter   *voter.Voter
	Store   *Store
	Compile Compiler
	// Client calls the other voters.
	Client     *rpc.Client
	Logger     logrus.FieldLogger
	Registerer prometheus.Registerer
}

// Server answers operators, routers, relays and other voters on one voter.
type Server struct {
	config  Config
	voter   *voter.Voter
	store   *Store
	compile Compiler
	client  *rpc.Client
	logger  logrus.FieldLogger

	compiled configurationCache

	confirmer *confirmer
	claims    *claimBatcher
	recorder  *recorder
	root      *follower.Root

	mutex sync.Mutex
	peers map[string]peers
}

// New returns a server. Mount its services, call Run, and Close after it.
func New(config Config, dependencies Dependencies) (*Server, error) {
	if config.Clock == nil {
		config.Clock = time.Now
	}
	if config.ClaimBatch <= 0 {
		config.ClaimBatch = defaultClaimBatch
	}
	server := &Server{
		config:  config,
		voter:   dependencies.Voter,
		store:   dependencies.Store,
		compile: dependencies.Compile,
		client:  dependencies.Client,
		logger:  dependencies.Logger,
		peers:   map[string]peers{},
	}
	server.confirmer = &confirmer{confirm: server.confirmOnce}
	server.claims = newClaimBatcher(config.ClaimBatch, server.propose, dependencies.Registerer)
	var err error
	if server.recorder, err = openRecorder(server, config.Folder, dependencies.Registerer); err != nil {
		return nil, err
	}
	server.root = follower.NewRoot(follower.HandlerConfig{
		Name:  server.name(),
		Lease: config.Lease,
	}, follower.HandlerDeps{
		Plans:      server.store,
		Authority:  follower.NewLeaderAuthority(leadership{server}, config.Lease),
		Events:     server.recorder,
		Logger:     dependencies.Logger,
		Registerer: dependencies.Registerer,
	})
	registerMetrics(server, dependencies.Registerer)
	return server, nil
}

// name is the voter's name in events and to its followers.
func (s *Server) name() string { return fmt.Sprintf("control-%d", s.config.ID) }

// Close closes the voter's own events. Run must have returned.
func (s *Server) Close() error { return s.recorder.close() }

// Mount registers the services, each for the roles that may call it.
func (s *Server) Mount(mux *http.ServeMux, security *rpc.Security) {
	options := rpc.HandlerOptions()
	mount := func(path string, handler http.Handler, roles ...keys.Role) {
		// Other voters pass on calls of every kind.
		mux.Handle(path, rpc.RequireRole(security, handler, append(roles, keys.RoleControl)...))
	}
	path, handler := martenstagev1connect.NewConfigServiceHandler(configService{s}, options)
	mount(path, handler, keys.RoleOperator)
	path, handler = martenstagev1connect.NewClaimServiceHandler(claimService{s}, options)
	mount(path, handler, keys.RoleRouter)
	path, handler = martenstagev1connect.NewJournalServiceHandler(journalService{s}, options)
	mount(path, handler, keys.RoleRouter, keys.RoleRelay, keys.RoleOperator)
	path, handler = martenstagev1connect.NewFollowServiceHandler(s.root, options)
	mount(path, handler, keys.RoleRouter, keys.RoleRelay)
	path, handler = martenstagev1connect.NewConsensusServiceHandler(
		consensusService{s.voter}, options, connect.WithReadMaxBytes(maxDeliverBytes))
	mount(path, handler)
}

// Run commits claims, records events and serves leases until the context ends.
func (s *Server) Run(ctx context.Context) {
	duties := []func(context.Context){
		s.claims.run,
		s.recorder.run,
		newGroupWatcher(s).run,
		newFormatRaiser(s).run,
		s.spreadDrains,
		s.root.Run,
	}
	s.recorder.spool.RecordStart(fmt.Sprintf("voter %d started", s.config.ID))
	var running sync.WaitGroup
	for _, duty := range duties {
		running.Go(func() { duty(ctx) })
	}
	running.Wait()
}

// SetPlatform replaces the platform's list of machines.
func (s *Server) SetPlatform(list map[string]membership.State) { s.root.SetPlatform(list) }

// spreadDrains tells the followers' tables of operators' drain marks.
func (s *Server) spreadDrains(ctx context.Context) {
	marked := map[string]bool{}
	for {
		drains, _, changed := s.store.Drains()
		current := map[string]bool{}
		for _, drain := range drains {
			current[drain.Address] = true
			s.root.SetOperator(drain.Address, membership.Leaving)
		}
		for address := range marked {
			if !current[address] {
				s.root.SetOperator(address, membership.Live)
			}
		}
		marked = current
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (s *Server) firstResult(id string, hash []byte) (result state.ChangeResult, known bool) {
	s.store.read(func(machine *state.Machine) { result, known = machine.ChangeResult(id, hash) })
	return result, known
}

func (s *Server) latest() (latest state.Revision) {
	s.store.read(func(machine *state.Machine) { latest = machine.Latest() })
	return latest
}

func (s *Server) revision(number uint64) (revision state.Revision, kept bool) {
	s.store.read(func(machine *state.Machine) { revision, kept = machine.Revision(number) })
	return revision, kept
}

// authenticate checks that the caller may act as an operator and sets the
// author. A voter that passes a call on has authenticated its author already;
// without keys, operators are taken at their word.
func authenticate(ctx context.Context, header http.Header, author *string) error {
	identity, proved := rpc.IdentityFrom(ctx)
	if !proved {
		return nil
	}
	if identity.Role == keys.RoleControl && header.Get(headerForwarded) != "" {
		*author = header.Get(headerAuthor)
		return nil
	}
	if identity.Role != keys.RoleOperator {
		return refuse(connect.CodePermissionDenied, "%s has role %s, not %s", identity.Name, identity.Role, keys.RoleOperator)
	}
	*author = identity.Name
	return nil
}

// peersAt returns the clients of the voter at an address.
func (s *Server) peersAt(address string) peers {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known, ok := s.peers[address]
	if !ok {
		known = newPeers(s.client, address)
		s.peers[address] = known
	}
	return known
}

func registerMetrics(server *Server, registerer prometheus.Registerer) {
	registerer.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "martenstage_configuration_revision_count",
			Help: "Latest configuration revision that is applied here.",
		}, func() float64 { return float64(server.latest().Number) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "martenstage_claims_live_count",
			Help: "Claims before their expiry.",
		}, func() float64 { live, _ := server.claimCounts(); return float64(live) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "martenstage_claims_expired_count",
			Help: "Expired claim ids that are remembered.",
		}, func() float64 { _, expired := server.claimCounts(); return float64(expired) }),
	)
}

func (s *Server) claimCounts() (live, expired int) {
	s.store.read(func(machine *state.Machine) { live, expired = machine.ClaimCounts() })
	return live, expired
}
