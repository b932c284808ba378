package sockets

import (
	"context"
	"io"
	"net"
	"net/netip"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/backend"
	"github.com/martenstage/martenstage/internal/callers"
	"github.com/martenstage/martenstage/internal/proof/testaddress"
	"github.com/martenstage/martenstage/internal/records"
	"github.com/martenstage/martenstage/internal/router"
	"github.com/martenstage/martenstage/internal/wait"
)

const (
	maxReplyBytes = 8 << 20
	dialTimeout   = time.Second
)

// stopPace is how a router stops as planned: as by default, but with a shorter
// notice, since callers ask for readiness more often.
func stopPace() callers.StopConfig {
	const notice, quiet, quietLimit, limit = 500 * time.Millisecond, 2 * time.Second, 10 * time.Second, 30 * time.Second
	return callers.StopConfig{Notice: notice, Quiet: quiet, QuietLimit: quietLimit, Limit: limit}
}

// node is one router of the run, over its restarts.
type node struct {
	world   *World
	index   int
	address netip.AddrPort
}

// newNode reserves the address of a router.
func newNode(world *World, index int) (*node, net.Listener, error) {
	// A router that restarts must get its address back.
	address := testaddress.Next()
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, nil, errors.Wrap(err, "address for a router")
	}
	return &node{world: world, index: index, address: address}, listener, nil
}

// run serves until the context ends, with the planned stops of the script.
func (n *node) run(ctx context.Context, listener net.Listener) error {
	for _, stop := range n.world.config.Stops {
		if stop.Router != n.index {
			continue
		}
		stopping, cancel := context.WithDeadline(ctx, n.world.config.Begin.Add(stop.At))
		err := n.serve(stopping, listener)
		cancel()
		if err != nil || ctx.Err() != nil {
			return err
		}
		began := n.world.config.Begin.Add(stop.At)
		n.world.recorder.stop(records.PlannedStop{Router: n.address.String(), Began: began, Exited: time.Now()})
		if !wait.For(ctx, stop.Away) {
			return nil
		}
		if listener, err = net.Listen("tcp4", n.address.String()); err != nil {
			return errors.Wrap(err, "return of a router")
		}
	}
	return n.serve(ctx, listener)
}

// serve is one life of the router: until the context ends, and then its
// planned stop.
func (n *node) serve(stopping context.Context, listener net.Listener) error {
	made := n.newRouter()
	running, end := context.WithCancel(context.Background())
	defer end()
	ended := make(chan error, 1)
	go func() { ended <- made.Run(running) }()
	handler := callers.NewHandler(callers.Config{}, made, silent())
	err := callers.NewServer(stopPace(), handler, made, silent()).Run(stopping, listener)
	end()
	return errors.CombineErrors(err, <-ended)
}

func (n *node) newRouter() *router.Router {
	config := n.world.config
	registry := prometheus.NewRegistry()
	name := "router-" + strconv.Itoa(n.index)
	logger := silent()
	return router.New(router.Config{
		Name: name, Zone: config.Zones[n.index], Boot: uint64(time.Now().UnixNano()), Standalone: true,
		Engines: engines, ProbeInterval: config.ProbeInterval,
	}, router.Dependencies{
		Logger: logger, Registerer: registry,
		Backends: backend.New(backend.Config{Zone: config.Zones[n.index], MaxReplyBytes: maxReplyBytes, DialTimeout: dialTimeout},
			backend.Dependencies{Logger: logger, Registerer: registry}),
		Claims: n.world.claims, Events: router.EventLog{Logger: logger},
		Admissions: n.world.recorder.admissions(name),
		Source:     &scriptedSource{begin: config.Begin, plans: config.Plans},
		NewEngine:  func(engine int) router.Engine { return n.world.newEngine(n.world, n.index, engine) },
	})
}

func silent() *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	logger.SetLevel(logrus.ErrorLevel)
	return logger
}
