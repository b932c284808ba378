package policy

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/participle/v2/lexer"

	"github.com/martenstage/martenstage/internal/plan"
)

// Bounds of other regions.
const (
	maxRegions = 64
	maxEntries = 64
	// leastRemoteDeadline leaves time to give up an entry router that does not
	// take the connection, and to ask another one.
	leastRemoteDeadline = 10 * time.Millisecond
)

// region checks the declaration of another region and keeps it for the routes.
func (c *checker) region(node *regionNode) {
	c.report.name(node.Name, keywordRegion)
	if !c.declare(keywordRegion, node.Name) {
		return
	}
	region := &plan.Region{Name: node.Name.Value}
	if c.regions[region.Name] = region; len(c.regions) > maxRegions {
		c.report.add(node.Name.Pos, "the text has more than %d regions", maxRegions)
	}
	lines := map[netip.AddrPort]int{}
	for _, entry := range node.Entries {
		address, ok := c.report.address(entry.Address)
		if !ok {
			continue
		}
		if earlier, twice := lines[address]; twice {
			c.report.add(entry.Address.Pos, "router %s is given twice; the first is on line %d", address, earlier)
			continue
		}
		lines[address] = entry.Address.Pos.Line
		region.Entries = append(region.Entries, address)
	}
	slices.SortFunc(region.Entries, netip.AddrPort.Compare)
	switch {
	case len(node.Entries) == 0 && !c.source.wasDamaged(node.Pos, node.Close.Pos):
		c.report.add(node.Name.Pos, "region %s has no router", region.Name)
	case len(node.Entries) > maxEntries:
		c.report.add(node.Entries[maxEntries].Pos, "region %s has more than %d routers", region.Name, maxEntries)
	}
}

// remote reports whether another region owns the route.
func (n *routeNode) remote() bool {
	return slices.ContainsFunc(n.Items, func(item *routeItemNode) bool { return present(item.Region) })
}

// setting names the setting that the item holds.
func (n *routeItemNode) setting() string {
	switch {
	case present(n.Service):
		return keywordService
	case present(n.Policy):
		return keywordPolicy
	case present(n.Target):
		return "target"
	case present(n.Region):
		return keywordRegion
	case present(n.Deadline):
		return "deadline"
	default:
		return "repeatable"
	}
}

// remoteRoute checks a route that another region owns.
func (c *checker) remoteRoute(node *routeNode) (plan.RemoteRoute, bool) {
	route := plan.RemoteRoute{Name: node.Name.Value}
	places := settingPlaces{}
	var region lexer.Token
	for _, item := range node.Items {
		what := item.setting()
		if !places.first(c.report, what, item.Pos) {
			continue
		}
		switch {
		case present(item.Region):
			region = item.Region
		case present(item.Deadline):
			route.Deadline, _ = c.report.duration(item.Deadline, durationBounds{what, leastRemoteDeadline, longestDeadline})
		case present(item.Repeatable):
			route.Repeatable = true
		default:
			c.report.add(item.Pos, "route %s is owned by another region, whose configuration gives its %s", route.Name, what)
		}
	}
	if _, found := places["deadline"]; !found && !c.source.wasDamaged(node.Pos, node.Close.Pos) {
		c.report.add(node.Name.Pos, "route %s names no deadline", route.Name)
	}
	route.Region = region.Value
	if c.regions[route.Region] == nil {
		c.unknownName(keywordRegion, region)
		return route, false
	}
	return route, true
}

// explainRemote describes what is done with the requests of a remote route.
func explainRemote(p *plan.Plan, route *plan.RemoteRoute) string {
	var text strings.Builder
	row := func(what, format string, arguments ...any) {
		fmt.Fprintf(&text, "  %-10s %s\n", what, fmt.Sprintf(format, arguments...))
	}
	fmt.Fprintf(&text, "route %s (region %s)\n", route.Name, route.Region)
	entries := 0
	if region, found := p.RegionNamed(route.Region); found {
		entries = len(region.Entries)
	}
	row("asks", "region %s, which owns the route, through one of %s", route.Region, plural(entries, "entry router"))
	row("deadline", "%s from admission, or the owning route's own if that is shorter", plan.DurationText(route.Deadline))
	row("repetition", "as the owning region says; offered to another entry router %s", plan.ResendText(*route))
	row("when cut", "refused at once with region_unreachable and not_run")
	return text.String()
}

// region looks for regions that no route leads to, or that one failure cuts off.
func (l *linter) region(region plan.Region) {
	place := "region " + region.Name
	if len(l.plan.RemoteRoutesTo(region.Name)) == 0 {
		l.warn(place, "no route leads to it")
	}
	if len(region.Entries) == 1 {
		l.warn(place, "it has a single router; while that is restarted the region can't be reached")
	}
}
