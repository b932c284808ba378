package simulation

import (
	"time"

	"github.com/martenstage/martenstage/internal/membership"
)

// platform is the list of machines, which lags behind reality.
type platform struct {
	process
	list map[string]membership.State
}

const (
	usualPlatformLag = 3 * time.Second
	platformInterval = time.Second
)

func newPlatform(world *World) *platform {
	return &platform{process: newProcess(world, seat{world.layout.prefix + "platform", world.layout.zones[0]}), list: map[string]membership.State{}}
}

// publish writes the list of a while ago.
func (p *platform) publish() {
	current := map[string]membership.State{}
	for _, b := range p.world.backends {
		switch {
		case !b.process.running:
		case b.departing:
			current[b.name()] = membership.Leaving
		default:
			current[b.name()] = membership.Live
		}
	}
	p.world.queue.After(p.world.platformLag, func() { p.list = current })
	p.world.queue.After(platformInterval, p.publish)
}
