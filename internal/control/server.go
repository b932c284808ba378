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

// Compiler compiles a configuration text into a plan, or returns why it is
// invalid.
type Compiler func(text string) (*plan.Plan, error)

// Config configures a Server.
type Config struct {
	// ID is the voter's id.
	ID uint64
	// ClaimBatch is the maximum number of claims in one commit.
	ClaimBatch int
	// Lease is the duration of a granted lease.
	Lease time.Duration
	// Folder is the voter's data folder. It also stores the voter's own events until
	// the journal has them.
	Folder string
	// Clock provides the timestamps of commands; time.Now if nil.
	Clock func() time.Time
}

// Dependencies are the components that a Server uses.
type Dependencies struct {
	Voter   *voter.Voter
	Store   *Store
	Compile Compiler
	// Client calls the other voters.
	Client     *rpc.Client
	Logger     logrus.FieldLogger
	Registerer prometheus.Registerer
}

// Server serves operators, routers, relays and other voters on one voter.
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

	mutex        sync.Mutex
	voterClients map[string]voterClients
}

// New returns a server. Call Mount, then Run, and Close after Run has returned.
func New(config Config, dependencies Dependencies) (*Server, error) {
	if config.Clock == nil {
		config.Clock = time.Now
	}
	if config.ClaimBatch <= 0 {
		config.ClaimBatch = defaultClaimBatch
	}
	server := &Server{
		config:       config,
		voter:        dependencies.Voter,
		store:        dependencies.Store,
		compile:      dependencies.Compile,
		client:       dependencies.Client,
		logger:       dependencies.Logger,
		voterClients: map[string]voterClients{},
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

// name returns the voter's name in events and to its followers.
func (s *Server) name() string { return fmt.Sprintf("control-%d", s.config.ID) }

// Close closes the spool of the voter's own events. Run must have returned.
func (s *Server) Close() error { return s.recorder.close() }

// Mount registers the services, each with the roles that may call it.
func (s *Server) Mount(mux *http.ServeMux, security *rpc.Security) {
	options := rpc.HandlerOptions()
	mount := func(path string, handler http.Handler, roles ...keys.Role) {
		// Other voters forward calls of every kind.
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
	tasks := []func(context.Context){
		s.claims.run,
		s.recorder.run,
		newGroupWatcher(s).run,
		newFormatRaiser(s).run,
		s.publishDrains,
		s.root.Run,
	}
	s.recorder.spool.RecordStart(fmt.Sprintf("voter %d started", s.config.ID))
	var running sync.WaitGroup
	for _, task := range tasks {
		running.Go(func() { task(ctx) })
	}
	running.Wait()
}

// SetPlatform replaces the platform's list of machines.
func (s *Server) SetPlatform(list map[string]membership.State) { s.root.SetPlatform(list) }

// publishDrains copies operators' drain marks into the machine table that
// followers receive.
func (s *Server) publishDrains(ctx context.Context) {
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

func (s *Server) recordedResult(id string, hash []byte) (result state.ChangeResult, known bool) {
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

// authenticate checks that the caller may act as an operator and sets the author.
// A voter that forwards a call has already authenticated its author. Without TLS
// keys, the author in the request is accepted as it is.
func authenticate(ctx context.Context, header http.Header, author *string) error {
	identity, authenticated := rpc.IdentityFrom(ctx)
	if !authenticated {
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

// clientsFor returns the clients of the voter at an address.
func (s *Server) clientsFor(address string) voterClients {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known, ok := s.voterClients[address]
	if !ok {
		known = newVoterClients(s.client, address)
		s.voterClients[address] = known
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
