package plan

import (
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	martenstagev1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
)

// Delta returns what turns base into next; the caller sets BaseRevision. A
// service of which only shards changed is carried as these shards alone, so
// that one replica of a large service costs a few hundred bytes. Routes that
// differ only in source lines are not carried.
func Delta(base, next *Plan) *martenstagev1.PlanDelta {
	delta := &martenstagev1.PlanDelta{}
	before := lo.KeyBy(base.Services, func(service Service) string { return service.Name })
	for _, service := range next.Services {
		addService(delta, before, service)
		delete(before, service.Name)
	}
	delta.RemovedServices = sortedKeys(before)

	routesBefore := lo.KeyBy(base.Routes, func(route Route) string { return route.Name })
	for _, route := range next.Routes {
		earlier, found := routesBefore[route.Name]
		if !found || !routesEqual(earlier, route) {
			delta.ChangedRoutes = append(delta.ChangedRoutes, routeToProto(route))
		}
		delete(routesBefore, route.Name)
	}
	delta.RemovedRoutes = sortedKeys(routesBefore)
	addRemote(delta, base, next)
	return delta
}

func sortedKeys[Value any](values map[string]Value) []string {
	if len(values) == 0 {
		return nil
	}
	keys := lo.Keys(values)
	slices.Sort(keys)
	return keys
}

func addService(delta *martenstagev1.PlanDelta, before map[string]Service, service Service) {
	earlier, found := before[service.Name]
	if !found || !sameFrame(earlier, service) {
		delta.ChangedServices = append(delta.ChangedServices, serviceToProto(service))
		return
	}
	for index, generation := range service.Generations {
		shards := changedShards(earlier.Generations[index].Shards, generation.Shards)
		if len(shards) == 0 {
			continue
		}
		delta.ChangedShards = append(delta.ChangedShards, &martenstagev1.ShardChanges{
			Service:    service.Name,
			Generation: generation.Number,
			Shards:     shardsToProto(shards),
		})
	}
}

// sameFrame reports whether two states of a service differ at most in the
// content of shards that both have.
func sameFrame(left, right Service) bool {
	return settingsEqual(left, right) &&
		slices.EqualFunc(left.Generations, right.Generations, func(a, b Generation) bool {
			return a.Number == b.Number &&
				(sameList(a.Shards, b.Shards) || slices.EqualFunc(a.Shards, b.Shards, func(a, b Shard) bool { return a.ID == b.ID }))
		})
}

func changedShards(before, after []Shard) []Shard {
	var changed []Shard
	if sameList(before, after) {
		return nil
	}
	for index, shard := range after {
		if !shardsEqual(before[index], shard) {
			changed = append(changed, shard)
		}
	}
	return changed
}

// ApplyDelta returns the plan that the delta leads to from base. Base is not
// changed; the new plan shares what did not change. An error means that the
// delta was made for another plan, or is malformed.
func ApplyDelta(base *Plan, delta *martenstagev1.PlanDelta) (*Plan, error) {
	reader := newProtoReader()
	services, err := replaced(base.Services, namedChanges[Service]{
		name:    func(service Service) string { return service.Name },
		changed: mapped(delta.GetChangedServices(), reader.service),
		removed: delta.GetRemovedServices(),
	})
	if err != nil {
		return nil, errors.Wrap(err, "services of the delta")
	}
	routes, err := replaced(base.Routes, namedChanges[Route]{
		name:    func(route Route) string { return route.Name },
		changed: mapped(delta.GetChangedRoutes(), reader.route),
		removed: delta.GetRemovedRoutes(),
	})
	if err != nil {
		return nil, errors.Wrap(err, "routes of the delta")
	}
	next := &Plan{Services: services, Routes: routes}
	if err := applyRemote(next, base, delta, reader); err != nil {
		return nil, err
	}
	for _, changes := range delta.GetChangedShards() {
		if err := replaceShards(next, changes, reader); err != nil {
			return nil, err
		}
	}
	return next, reader.err
}

// namedChanges are the changes of a list that is sorted by name.
type namedChanges[Value any] struct {
	name    func(Value) string
	changed []Value
	removed []string
}

// replaced returns a new sorted list with the changes applied.
func replaced[Value any](values []Value, changes namedChanges[Value]) ([]Value, error) {
	byName := lo.KeyBy(values, changes.name)
	for _, name := range changes.removed {
		if _, found := byName[name]; !found {
			return nil, errors.Newf("%q is removed, but the base does not hold it", name)
		}
		delete(byName, name)
	}
	for _, value := range changes.changed {
		byName[changes.name(value)] = value
	}
	if len(byName) == 0 {
		return nil, nil
	}
	result := lo.Values(byName)
	slices.SortFunc(result, func(a, b Value) int { return strings.Compare(changes.name(a), changes.name(b)) })
	return result, nil
}

// replaceShards puts changed shards into the plan. It copies the lists that it
// changes, because the base still holds them.
func replaceShards(next *Plan, changes *martenstagev1.ShardChanges, reader *protoReader) error {
	service, found := next.ServiceNamed(changes.GetService())
	if !found {
		return errors.Newf("shards of the delta: the base has no service %q", changes.GetService())
	}
	index := slices.IndexFunc(service.Generations, func(generation Generation) bool {
		return generation.Number == changes.GetGeneration()
	})
	if index < 0 {
		return errors.Newf("shards of the delta: the base has no generation %d of service %q",
			changes.GetGeneration(), changes.GetService())
	}
	service.Generations = slices.Clone(service.Generations)
	shards := slices.Clone(service.Generations[index].Shards)
	for _, shard := range mapped(changes.GetShards(), reader.shard) {
		if int(shard.ID) >= len(shards) {
			return errors.Newf("shards of the delta: the base has no shard %d in service %q", shard.ID, changes.GetService())
		}
		shards[shard.ID] = shard
	}
	service.Generations[index].Shards = shards
	return nil
}
