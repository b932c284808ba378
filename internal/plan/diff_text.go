package plan

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"github.com/samber/lo"
)

// Lines returns a human-readable description, one change per line. Indented
// lines give details of the item above them.
func (d Difference) Lines() []string {
	if d.Empty() {
		return []string{"no change"}
	}
	var lines []string
	for _, service := range d.Services {
		lines = append(lines, service.lines()...)
	}
	lines = append(lines, settingLines("route", d.Routes)...)
	lines = append(lines, settingLines("region", d.Regions)...)
	lines = append(lines, settingLines("remote route", d.RemoteRoutes)...)
	return append(lines, d.summary())
}

func settingLines(kind string, differences []RouteDifference) []string {
	var lines []string
	for _, difference := range differences {
		lines = append(lines, fmt.Sprintf("%s %s %s", kind, difference.Name, difference.Change))
		for _, changed := range difference.Settings {
			lines = append(lines, "  "+changed)
		}
	}
	return lines
}

func (d ServiceDifference) lines() []string {
	lines := []string{fmt.Sprintf("service %s %s", d.Name, d.Change)}
	for _, changed := range d.Settings {
		lines = append(lines, "  "+changed)
	}
	lines = append(lines, d.shardLines()...)
	if d.ConnectionsBefore != d.ConnectionsAfter {
		lines = append(lines, fmt.Sprintf("  connections: %d -> %d", d.ConnectionsBefore, d.ConnectionsAfter))
	}
	if len(d.Routes) > 0 {
		lines = append(lines, "  routes: "+strings.Join(d.Routes, ", "))
	}
	for _, warning := range d.Warnings {
		lines = append(lines, "  warning: "+warning)
	}
	return lines
}

// maxShardLines bounds the lines printed for the groups of one service.
const maxShardLines = 20

// shardLines describes each changed group. For an added or removed service it
// returns only the number of groups.
func (d ServiceDifference) shardLines() []string {
	if d.Change != Changed {
		return []string{fmt.Sprintf("  %d groups", len(d.Shards))}
	}
	var lines []string
	for _, shard := range d.Shards[:min(len(d.Shards), maxShardLines)] {
		lines = append(lines, "  "+shard.line())
	}
	if more := len(d.Shards) - maxShardLines; more > 0 {
		lines = append(lines, fmt.Sprintf("  and %d more groups", more))
	}
	return lines
}

func (d ShardDifference) line() string {
	line := fmt.Sprintf("generation %d group %s %s", d.Generation, d.Name, d.Change)
	for _, part := range []struct {
		sign     string
		replicas []netip.AddrPort
	}{{"+", d.AddedReplicas}, {"-", d.RemovedReplicas}, {"~", d.ChangedReplicas}} {
		for _, address := range part.replicas {
			line += " " + part.sign + address.String()
		}
	}
	return line
}

// summary counts the services, groups, replicas and routes that differ.
func (d Difference) summary() string {
	routes := lo.Map(slices.Concat(d.Routes, d.RemoteRoutes), func(route RouteDifference, _ int) string { return route.Name })
	shards, replicas, connections := 0, 0, 0
	for _, service := range d.Services {
		routes = append(routes, service.Routes...)
		shards += len(service.Shards)
		connections += service.ConnectionsAfter - service.ConnectionsBefore
		for _, shard := range service.Shards {
			replicas += len(shard.AddedReplicas) + len(shard.RemovedReplicas) + len(shard.ChangedReplicas)
		}
	}
	return fmt.Sprintf("touches %d services, %d groups, %d replicas, %d routes; connections %+d",
		len(d.Services), shards, replicas, len(lo.Uniq(routes)), connections)
}
