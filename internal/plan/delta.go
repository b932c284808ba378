package plan

import (
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	martenstagev1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
)

// Delta returns the changes that turn base into next; the caller sets
// BaseRevision. If only shards of a service changed, the delta contains just
// these shards, so that changing one replica of a large service costs a few
// hundred bytes. Routes that differ only in source lines are left out.
func Delta(base, next *Plan) *martenstagev1.PlanDelta {
	delta := &martenstagev1.PlanDelta{}
	before := lo.KeyBy(base.Services, func(service Service) string { return service.Name })
	for _, service := range next.Services {
		addServiceChanges(delta, before, service)
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
	addRemoteChanges(delta, base, next)
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

func addServiceChanges(delta *martenstagev1.PlanDelta, before map[string]Service, service Service) {
	earlier, found := before[service.Name]
	if !found || !sameStructure(earlier, service) {
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

// sameStructure reports whether two versions of a service have the same
// settings, generations and shard IDs, and differ at most in shard contents.
func sameStructure(left, right Service) bool {
	return serviceSettingsEqual(left, right) &&
		slices.EqualFunc(left.Generations, right.Generations, func(a, b Generation) bool {
			return a.Number == b.Number &&
				(sameBackingArray(a.Shards, b.Shards) || slices.EqualFunc(a.Shards, b.Shards, func(a, b Shard) bool { return a.ID == b.ID }))
		})
}

func changedShards(before, after []Shard) []Shard {
	var changed []Shard
	if sameBackingArray(before, after) {
		return nil
	}
	for index, shard := range after {
		if !shardsEqual(before[index], shard) {
			changed = append(changed, shard)
		}
	}
	return changed
}

// ApplyDelta returns the plan that results from applying the delta to base.
// Base is not modified; the new plan shares its unchanged parts. An error means
// that the delta was made for another base plan or is malformed.
func ApplyDelta(base *Plan, delta *martenstagev1.PlanDelta) (*Plan, error) {
	reader := newProtoReader()
	services, err := applyNamedChanges(base.Services, namedChanges[Service]{
		name:    func(service Service) string { return service.Name },
		changed: convertList(delta.GetChangedServices(), reader.service),
		removed: delta.GetRemovedServices(),
	})
	if err != nil {
		return nil, errors.Wrap(err, "services of the delta")
	}
	routes, err := applyNamedChanges(base.Routes, namedChanges[Route]{
		name:    func(route Route) string { return route.Name },
		changed: convertList(delta.GetChangedRoutes(), reader.route),
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

// namedChanges holds the changes to a list that is sorted by name.
type namedChanges[Value any] struct {
	name    func(Value) string
	changed []Value
	removed []string
}

// applyNamedChanges returns a new sorted list with the changes applied.
func applyNamedChanges[Value any](values []Value, changes namedChanges[Value]) ([]Value, error) {
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

// replaceShards replaces the changed shards in next. It copies the slices that
// it modifies, because the base plan shares them.
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
	for _, shard := range convertList(changes.GetShards(), reader.shard) {
		if int(shard.ID) >= len(shards) {
			return errors.Newf("shards of the delta: the base has no shard %d in service %q", shard.ID, changes.GetService())
		}
		shards[shard.ID] = shard
	}
	service.Generations[index].Shards = shards
	return nil
}
