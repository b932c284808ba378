package scale

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/follower"
	"github.com/martenstage/martenstage/internal/membership"
	"github.com/martenstage/martenstage/internal/rpc"
	"github.com/martenstage/martenstage/internal/wait"
)

// FleetConfig describes the hollow followers of one process.
type FleetConfig struct {
	// Name begins the names of the followers; it is unique among fleets.
	Name string
	// Followers is how many run at once.
	Followers int
	// Relays are dealt to the zones in turn; each follower is given those of
	// its zone. With ZoneNames each is given all of them.
	Relays []string
	Zones  int
	// ZoneNames are the zones that the followers are dealt to in turn; when
	// empty, they are numbered from 0 to Zones.
	ZoneNames []string
	// Services begins the names of the services that the followers may be told
	// of. A plan with another one is counted as foreign.
	Services string
	// Seed of restarts and jitter.
	Seed uint64
}

// Fleet runs hollow followers.
type Fleet struct {
	config   FleetConfig
	security *rpc.Security
	logger   logrus.FieldLogger
	traffic  traffic
	// churn is how many times faster than the stated rate followers restart.
	churn  atomic.Int64
	boots  atomic.Uint64
	places []*place

	mutex  sync.Mutex
	lives  []*life
	counts Churn
}

// NewFleet returns a fleet; Run starts its followers.
func NewFleet(config FleetConfig, security *rpc.Security, logger logrus.FieldLogger) *Fleet {
	config.Zones = max(config.Zones, 1)
	fleet := &Fleet{config: config, security: security, logger: logger}
	fleet.places = lo.Times(config.Followers, func(index int) *place { return newPlace(index, fleet.zoneOf(index)) })
	fleet.boots.Store(uint64(time.Now().UnixNano()))
	return fleet
}

// SetChurn sets how many times faster than stated followers are restarted;
// 0 stops restarts.
func (f *Fleet) SetChurn(factor int64) { f.churn.Store(factor) }

// Run keeps the followers running until the context ends.
func (f *Fleet) Run(ctx context.Context) {
	var slots sync.WaitGroup
	for _, one := range f.places {
		slots.Go(func() { f.runPlace(ctx, one) })
	}
	slots.Wait()
}

// sources are the random numbers of one follower.
type sources struct {
	jitter, ends *rand.Rand
}

// runPlace runs one follower after another in the place of one router.
func (f *Fleet) runPlace(ctx context.Context, own *place) {
	random := rand.New(rand.NewPCG(f.config.Seed, uint64(own.index)))
	name := fmt.Sprintf("%s-%04d", f.config.Name, own.index)
	// Spread starts over a while, as an orderly start of a fleet does.
	spread := time.Duration(f.config.Followers) * startPace
	if !wait.For(ctx, time.Duration(random.Int64N(int64(spread)))) {
		return
	}
	for replaced, lives := 0, uint64(0); ctx.Err() == nil; {
		lives++
		// The follower draws from its own source, in a goroutine of its own.
		ends := rand.New(rand.NewPCG(f.config.Seed, uint64(own.index)+lives<<32))
		ended := f.runLife(ctx, name, own, sources{jitter: random, ends: ends})
		f.count(ended.kind)
		if ended.kind != endRestart {
			replaced++
			name = fmt.Sprintf("%s-%04d-%d", f.config.Name, own.index, replaced)
		}
		if !wait.For(ctx, ended.absence) {
			return
		}
	}
}

// runLife runs a follower until its end comes by the churn or by a fault.
func (f *Fleet) runLife(ctx context.Context, name string, own *place, random sources) end {
	client := rpc.NewClient(f.security, rpc.ClientConfig{Dial: f.traffic.dial})
	defer client.CloseIdle()
	started := &life{services: f.config.Services}
	upper, err := follower.New(follower.Config{Node: f.node(name, own), Upstreams: f.upstreams(own.index)}, follower.Deps{
		Dial: follower.NewDial(client), Sink: started, Logger: f.logger, Registerer: unregistered{}, Random: random.jitter.Float64,
	})
	if err != nil {
		f.logger.WithField("reason", err).Error("follower not started")
		return endBy(endFailure)
	}
	f.add(started)
	running, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = upper.Run(running)
	}()
	ended := f.awaitEnd(ctx, own, random.ends)
	if ended.kind != endFailure && ctx.Err() == nil {
		f.leave(ctx, upper)
	}
	cancel()
	<-done
	started.end()
	return ended
}

func (f *Fleet) leave(ctx context.Context, upper *follower.Follower) {
	const leaveTimeout = 2 * time.Second
	bounded, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := upper.Release(bounded); err != nil {
		f.logger.WithField("reason", err).Info("lease not given back")
	}
}

func (f *Fleet) node(name string, own *place) membership.Node {
	const firstPort, ports = 20000, 40000
	return membership.Node{
		Name: name, Role: membership.RoleRouter, Zone: own.zone,
		Address: fmt.Sprintf("127.200.%d.%d:%d", own.index>>8&0xff, own.index&0xff, firstPort+own.index%ports),
		Boot:    f.boots.Add(1),
	}
}

func (f *Fleet) zoneOf(index int) string {
	if names := f.config.ZoneNames; len(names) > 0 {
		return names[index%len(names)]
	}
	return zoneName(index % f.config.Zones)
}

// upstreams returns the relays that a follower is given.
func (f *Fleet) upstreams(index int) []string {
	if len(f.config.ZoneNames) > 0 {
		return f.config.Relays
	}
	own := lo.Filter(f.config.Relays, func(_ string, relay int) bool {
		return relay%f.config.Zones == index%f.config.Zones
	})
	if len(own) == 0 {
		return f.config.Relays
	}
	return own
}

func (f *Fleet) add(started *life) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.lives = append(f.lives, started)
}

func (f *Fleet) all() []*life {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.Clone(f.lives)
}

// unregistered is a registerer that keeps nothing, for the metrics of
// followers of which there are thousands in one process.
type unregistered struct{}

// Register implements prometheus.Registerer.
func (unregistered) Register(prometheus.Collector) error { return nil }

// MustRegister implements prometheus.Registerer.
func (unregistered) MustRegister(...prometheus.Collector) {}

// Unregister implements prometheus.Registerer.
func (unregistered) Unregister(prometheus.Collector) bool { return true }
