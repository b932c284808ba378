package gateway

import (
	"time"

	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/registry"
	"github.com/martenstage/martenstage/internal/scatter"
	"github.com/martenstage/martenstage/internal/steadyclock"
)

// serverUpdate is a change of the known servers.
type serverUpdate struct {
	instances []registry.Instance
	removed   []string
	// complete says that other servers than instances do not exist.
	complete bool
}

func (f *follower) applyServers(update serverUpdate) {
	listed := make(map[string]bool, len(update.instances))
	removed, now := update.removed, steadyclock.Now()
	var changed []scatter.Server
	var instances []registry.Instance
	for _, instance := range update.instances {
		listed[instance.ID] = true
		if f.departed.Includes(instance) {
			continue
		}
		f.servers[instance.ID] = instance
		changed = append(changed, toServer(now, instance))
		instances = append(instances, instance)
	}
	if update.complete {
		removed = append(removed, lo.Reject(lo.Keys(f.servers), func(id string, _ int) bool { return listed[id] })...)
	}
	for _, id := range removed {
		delete(f.servers, id)
	}
	f.gateway.peers.setServers(instances, removed)
	if len(changed) > 0 {
		f.gateway.loop.events <- scatter.ServersChanged{Servers: changed}
	}
	if len(removed) > 0 {
		f.gateway.loop.events <- scatter.ServersRemoved{IDs: removed}
	}
}

// applyDepartures records the departed servers and returns the ids of those that were known.
func (f *follower) applyDepartures(reply directory.FollowReply) (removed []string) {
	for _, id := range reply.Departed {
		f.departed.Add(id)
	}
	for _, departure := range reply.DepartedNames {
		f.departed.AddName(departure)
		f.request.DepartedNames = max(f.request.DepartedNames, departure.LogIndex)
	}
	if len(reply.Departed)+len(reply.DepartedNames) == 0 {
		return nil
	}
	for id, known := range f.servers {
		if f.departed.Includes(known) {
			removed = append(removed, id)
		}
	}
	return removed
}

func toServer(now time.Time, instance registry.Instance) scatter.Server {
	return scatter.Server{
		ID: instance.ID, Name: registry.NameOf(instance.ID), Service: instance.Service, Address: instance.Address, Zone: instance.Zone, Version: instance.Version, Slots: instance.Slots,
		Draining: instance.State == registry.Leaving, Missing: instance.State == registry.Missing, Replaced: instance.Replaced,
		WarmAt: now.Add(instance.WarmLeft),
	}
}
