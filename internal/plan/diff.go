package plan

import (
	"fmt"
	"net/netip"
	"slices"

	"github.com/samber/lo"
)

// Difference lists what differs between two plans.
type Difference struct {
	Services []ServiceDifference
	Routes   []RouteDifference
	// Regions are the other regions that differ, RemoteRoutes the routes to them.
	Regions      []RouteDifference
	RemoteRoutes []RouteDifference
}

// ChangeKind says whether an item was added, removed or changed.
type ChangeKind string

// Change kinds.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// ServiceDifference is a service that differs between two plans.
type ServiceDifference struct {
	Name   string
	Change ChangeKind
	// Settings are the changed settings, each as "name: old -> new".
	Settings []string
	// Shards are the added, removed and changed shards of all generations.
	Shards []ShardDifference
	// ConnectionsBefore and ConnectionsAfter are the sums of the connection
	// limits of the service's back ends.
	ConnectionsBefore int
	ConnectionsAfter  int
	// Routes are the routes of the new plan that use this service.
	Routes []string
	// Warnings describe changes that are valid but rarely intended.
	Warnings []string
}

// ShardDifference is a shard that differs between two plans.
type ShardDifference struct {
	Generation uint32
	Name       string
	Change     ChangeKind
	// Replicas of the shard, by kind of change.
	AddedReplicas   []netip.AddrPort
	RemovedReplicas []netip.AddrPort
	ChangedReplicas []netip.AddrPort
}

// RouteDifference is a route, remote route or other region that differs between
// two plans.
type RouteDifference struct {
	Name   string
	Change ChangeKind
	// Settings are the changed settings, each as "name: old -> new".
	Settings []string
}

// Empty reports whether the plans are equivalent.
func (d Difference) Empty() bool {
	return len(d.Services) == 0 && len(d.Routes) == 0 && len(d.Regions) == 0 && len(d.RemoteRoutes) == 0
}

// Diff returns the differences between two plans, sorted by name.
func Diff(before, after *Plan) Difference {
	var difference Difference
	for _, name := range unionOfNames(before.Services, after.Services, func(service Service) string { return service.Name }) {
		if service, differs := diffService(before, after, name); differs {
			difference.Services = append(difference.Services, service)
		}
	}
	for _, name := range unionOfNames(before.Routes, after.Routes, func(route Route) string { return route.Name }) {
		if route, differs := diffRoute(before, after, name); differs {
			difference.Routes = append(difference.Routes, route)
		}
	}
	difference.addRemoteDifferences(before, after)
	return difference
}

func unionOfNames[Value any](before, after []Value, name func(Value) string) []string {
	names := lo.Map(slices.Concat(before, after), func(value Value, _ int) string { return name(value) })
	slices.Sort(names)
	return slices.Compact(names)
}

func changeKindOf(before, after bool) ChangeKind {
	switch {
	case !before:
		return Added
	case !after:
		return Removed
	default:
		return Changed
	}
}

func diffService(before, after *Plan, name string) (ServiceDifference, bool) {
	earlier, inBefore := before.ServiceNamed(name)
	later, inAfter := after.ServiceNamed(name)
	if inBefore && inAfter && servicesEqual(*earlier, *later) {
		return ServiceDifference{}, false
	}
	earlier, later = lo.CoalesceOrEmpty(earlier, &Service{}), lo.CoalesceOrEmpty(later, &Service{})
	difference := ServiceDifference{
		Name:              name,
		Change:            changeKindOf(inBefore, inAfter),
		Shards:            diffShards(earlier, later),
		ConnectionsBefore: totalConnections(earlier),
		ConnectionsAfter:  totalConnections(later),
		Routes:            routesToService(after, name),
	}
	if difference.Change == Changed {
		difference.Settings = changedSettings(serviceSettings(*earlier), serviceSettings(*later))
		difference.Warnings = generationWarnings(earlier, later)
	}
	return difference, true
}

// totalConnections sums the connection limits of the service's back ends. It
// counts a back end once, even if it belongs to two generations.
func totalConnections(service *Service) int {
	limits := map[netip.AddrPort]int{}
	for _, generation := range service.Generations {
		for _, shard := range generation.Shards {
			for _, replica := range shard.Replicas {
				limits[replica.Address] = replica.Connections
			}
		}
	}
	return lo.Sum(lo.Values(limits))
}

func routesToService(p *Plan, service string) []string {
	return lo.FilterMap(p.Routes, func(route Route, _ int) (string, bool) { return route.Name, route.Service == service })
}

// generationWarnings warns about shard maps that changed under the same
// generation number, about a newest number that decreases, and about changes
// that keep no generation. With the same number for two shard maps, requests for
// a key would go to the back ends of another shard unnoticed.
func generationWarnings(before, after *Service) []string {
	var warnings []string
	for _, earlier := range before.Generations {
		later, found := findGeneration(after, earlier.Number)
		if found && !slices.EqualFunc(earlier.Shards, later.Shards, func(a, b Shard) bool { return a.Name == b.Name }) {
			warnings = append(warnings, fmt.Sprintf(
				"generation %d has other groups than before under the same number; give a repartitioned index a new generation",
				earlier.Number))
		}
	}
	if len(before.Generations) > 0 && len(after.Generations) > 0 {
		newest := before.Generations[len(before.Generations)-1].Number
		if after.Generations[len(after.Generations)-1].Number < newest {
			warnings = append(warnings, fmt.Sprintf("the newest generation decreases from %d to %d",
				newest, after.Generations[len(after.Generations)-1].Number))
		}
		if !slices.ContainsFunc(before.Generations, func(earlier Generation) bool {
			_, kept := findGeneration(after, earlier.Number)
			return kept
		}) {
			warnings = append(warnings, "no generation is kept; requests in flight finish on the old one, but a new one can't answer requests until it is loaded")
		}
	}
	return warnings
}

func findGeneration(service *Service, number uint32) (Generation, bool) {
	return lo.Find(service.Generations, func(generation Generation) bool { return generation.Number == number })
}

// shardKey identifies a shard across plans.
type shardKey struct {
	generation uint32
	name       string
}

func diffShards(before, after *Service) []ShardDifference {
	earlier, order := shardsByKey(before, nil)
	later, order := shardsByKey(after, order)
	var differences []ShardDifference
	for _, key := range lo.Uniq(order) {
		oldShard, inBefore := earlier[key]
		newShard, inAfter := later[key]
		if inBefore && inAfter && slices.Equal(oldShard.Replicas, newShard.Replicas) {
			continue
		}
		difference := ShardDifference{Generation: key.generation, Name: key.name, Change: changeKindOf(inBefore, inAfter)}
		difference.addReplicaDifferences(oldShard.Replicas, newShard.Replicas)
		differences = append(differences, difference)
	}
	return differences
}

func shardsByKey(service *Service, order []shardKey) (map[shardKey]Shard, []shardKey) {
	shards := map[shardKey]Shard{}
	for _, generation := range service.Generations {
		for _, shard := range generation.Shards {
			key := shardKey{generation: generation.Number, name: shard.Name}
			shards[key] = shard
			order = append(order, key)
		}
	}
	return shards, order
}

func (d *ShardDifference) addReplicaDifferences(before, after []Replica) {
	earlier := lo.KeyBy(before, func(replica Replica) netip.AddrPort { return replica.Address })
	for _, replica := range after {
		previous, found := earlier[replica.Address]
		switch {
		case !found:
			d.AddedReplicas = append(d.AddedReplicas, replica.Address)
		case previous != replica:
			d.ChangedReplicas = append(d.ChangedReplicas, replica.Address)
		}
		delete(earlier, replica.Address)
	}
	for _, replica := range before {
		if _, removed := earlier[replica.Address]; removed {
			d.RemovedReplicas = append(d.RemovedReplicas, replica.Address)
		}
	}
}

func diffRoute(before, after *Plan, name string) (RouteDifference, bool) {
	earlier, inBefore := before.RouteNamed(name)
	later, inAfter := after.RouteNamed(name)
	difference := RouteDifference{Name: name, Change: changeKindOf(inBefore, inAfter)}
	if difference.Change != Changed {
		return difference, true
	}
	if routesEqual(*earlier, *later) {
		return RouteDifference{}, false
	}
	difference.Settings = changedSettings(routeSettings(*earlier), routeSettings(*later))
	return difference, true
}
