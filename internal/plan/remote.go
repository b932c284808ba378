package plan

import (
	"net/netip"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"

	martenstagev1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
)

func regionName(region Region) string { return region.Name }

func remoteRouteName(route RemoteRoute) string { return route.Name }

// validateRemote checks the other regions and the routes to them.
func validateRemote(p *Plan) error {
	if !hasSortedUniqueNames(p.Regions, regionName) || !hasSortedUniqueNames(p.RemoteRoutes, remoteRouteName) {
		return errors.New("regions or remote routes are not sorted by unique names")
	}
	for _, region := range p.Regions {
		if err := validateRegion(region); err != nil {
			return errors.Wrapf(err, "region %q", region.Name)
		}
	}
	for _, route := range p.RemoteRoutes {
		_, known := p.RegionNamed(route.Region)
		_, local := p.RouteNamed(route.Name)
		switch {
		case !known:
			return errors.Newf("remote route %q: unknown region %q", route.Name, route.Region)
		case local:
			return errors.Newf("route %q is both remote and this region's own", route.Name)
		case route.Deadline <= 0:
			return errors.Newf("remote route %q: no deadline", route.Name)
		}
	}
	return nil
}

func validateRegion(region Region) error {
	if len(region.Entries) == 0 {
		return errors.New("no entry router")
	}
	for index, entry := range region.Entries {
		if !entry.Addr().Is4() || entry.Port() == 0 {
			return errors.Newf("entry router %s is not IPv4 with a port", entry)
		}
		if index > 0 && entry.Compare(region.Entries[index-1]) <= 0 {
			return errors.Newf("entry router %s is not sorted or stands twice", entry)
		}
	}
	return nil
}

func regionToProto(region Region) *martenstagev1.Region {
	return &martenstagev1.Region{
		Name:    region.Name,
		Entries: lo.Map(region.Entries, func(entry netip.AddrPort, _ int) string { return entry.String() }),
	}
}

func remoteRouteToProto(route RemoteRoute) *martenstagev1.RemoteRoute {
	return &martenstagev1.RemoteRoute{
		Name: route.Name, Region: route.Region, Deadline: durationToProto(route.Deadline), Repeatable: route.Repeatable,
	}
}

func (r *protoReader) region(message *martenstagev1.Region) Region {
	return Region{
		Name: message.GetName(),
		Entries: convertList(message.GetEntries(), func(text string) netip.AddrPort {
			entry, err := netip.ParseAddrPort(text)
			if err != nil {
				r.fail(errors.Newf("entry router %q is not an IP address with a port", text))
			}
			return entry
		}),
	}
}

func remoteRouteFromProto(message *martenstagev1.RemoteRoute) RemoteRoute {
	return RemoteRoute{
		Name: message.GetName(), Region: message.GetRegion(), Deadline: message.GetDeadline().AsDuration(),
		Repeatable: message.GetRepeatable(),
	}
}

// addRemoteChanges adds the changes of other regions and remote routes to the
// delta.
func addRemoteChanges(delta *martenstagev1.PlanDelta, base, next *Plan) {
	regions := lo.KeyBy(base.Regions, regionName)
	for _, region := range next.Regions {
		if earlier, found := regions[region.Name]; !found || !regionsEqual(earlier, region) {
			delta.ChangedRegions = append(delta.ChangedRegions, regionToProto(region))
		}
		delete(regions, region.Name)
	}
	delta.RemovedRegions = sortedKeys(regions)
	routes := lo.KeyBy(base.RemoteRoutes, remoteRouteName)
	for _, route := range next.RemoteRoutes {
		if earlier, found := routes[route.Name]; !found || earlier != route {
			delta.ChangedRemoteRoutes = append(delta.ChangedRemoteRoutes, remoteRouteToProto(route))
		}
		delete(routes, route.Name)
	}
	delta.RemovedRemoteRoutes = sortedKeys(routes)
}

// applyRemote sets the regions and remote routes of next to those of base with
// the delta applied.
func applyRemote(next, base *Plan, delta *martenstagev1.PlanDelta, reader *protoReader) (err error) {
	next.Regions, err = applyNamedChanges(base.Regions, namedChanges[Region]{
		name: regionName, changed: convertList(delta.GetChangedRegions(), reader.region), removed: delta.GetRemovedRegions(),
	})
	if err != nil {
		return errors.Wrap(err, "regions of the delta")
	}
	next.RemoteRoutes, err = applyNamedChanges(base.RemoteRoutes, namedChanges[RemoteRoute]{
		name:    remoteRouteName,
		changed: convertList(delta.GetChangedRemoteRoutes(), remoteRouteFromProto),
		removed: delta.GetRemovedRemoteRoutes(),
	})
	return errors.Wrap(err, "remote routes of the delta")
}

// addRemoteDifferences adds the other regions and remote routes that differ.
func (d *Difference) addRemoteDifferences(before, after *Plan) {
	d.Regions = append(d.Regions, diffSettings(before.Regions, after.Regions, regionName, regionSettings)...)
	d.RemoteRoutes = append(d.RemoteRoutes,
		diffSettings(before.RemoteRoutes, after.RemoteRoutes, remoteRouteName, remoteSettings)...)
}

// diffSettings compares the items of two lists by name.
func diffSettings[T any](before, after []T, nameOf func(T) string, settingsOf func(T) []setting) []RouteDifference {
	earlier, later := lo.KeyBy(before, nameOf), lo.KeyBy(after, nameOf)
	var differences []RouteDifference
	for _, name := range unionOfNames(before, after, nameOf) {
		_, inBefore := earlier[name]
		_, inAfter := later[name]
		difference := RouteDifference{Name: name, Change: changeKindOf(inBefore, inAfter)}
		if difference.Change == Changed {
			difference.Settings = changedSettings(settingsOf(earlier[name]), settingsOf(later[name]))
		}
		if difference.Change != Changed || len(difference.Settings) > 0 {
			differences = append(differences, difference)
		}
	}
	return differences
}

func regionSettings(region Region) []setting {
	entries := lo.Map(region.Entries, func(entry netip.AddrPort, _ int) string { return entry.String() })
	return []setting{{"routers", strings.Join(entries, " ")}}
}

func remoteSettings(route RemoteRoute) []setting {
	return []setting{
		{"region", route.Region},
		{"deadline", DurationText(route.Deadline)},
		{"offered again", ResendText(route)},
	}
}

// ResendText describes when a request of a remote route is resent to another entry
// router.
func ResendText(route RemoteRoute) string {
	if route.Repeatable {
		return "also when it may have run"
	}
	return "only when it was not run"
}

// RemoteRoutesTo returns the names of the remote routes that a region owns.
func (p *Plan) RemoteRoutesTo(region string) []string {
	return lo.FilterMap(p.RemoteRoutes, func(route RemoteRoute, _ int) (string, bool) {
		return route.Name, route.Region == region
	})
}
