package simulation

import (
	"github.com/martenstage/martenstage/internal/backendapi"
	"github.com/martenstage/martenstage/internal/consensus"
)

// mutations are the places at which a test can break what it must then be
// caught at. They are all in the simulation's own glue; nil means unbroken, as
// in every run but those of the tests.
type mutations struct {
	// wrapEngine puts something between a router and its engine.
	wrapEngine func(r *router, engine engine) engine
	// wrapHealth changes what routers hear from health endpoints.
	wrapHealth func(health backendapi.Health) backendapi.Health
	// earlyPromises sends a voter's promises before they are synced.
	earlyPromises bool
	// onStop is called when a planned stop of a router begins.
	onStop func(r *router)
}

func (m *mutations) engine(r *router, engine engine) engine {
	if m.wrapEngine == nil {
		return engine
	}
	return m.wrapEngine(r, engine)
}

func (m *mutations) health(answer any) backendapi.Health {
	health := answer.(backendapi.Health)
	if m.wrapHealth == nil {
		return health
	}
	return m.wrapHealth(health)
}

func (m *mutations) promiseEarly(_ *voter, output consensus.Output) bool {
	return m.earlyPromises && output.Persist != nil
}

func (m *mutations) stopping(r *router) {
	if m.onStop != nil {
		m.onStop(r)
	}
}
