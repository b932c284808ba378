package scale

import (
	"fmt"

	"github.com/samber/lo"
)

// Share returns how many of a total fall to one of several parts. The first
// parts take what doesn't divide evenly.
func Share(total, parts, part int) int {
	share := total / parts
	if part < total%parts {
		share++
	}
	return share
}

// firstOf returns how many of a total fall to the parts before one.
func firstOf(total, parts, part int) int {
	return total/parts*part + min(part, total%parts)
}

// ZonesOf returns the names of a region's zones: all zones are dealt to the
// regions in turn. There is one at least.
func ZonesOf(region, regions, zones int) []string {
	var names []string
	for zone := region; zone < max(zones, region+1); zone += regions {
		names = append(names, zoneName(zone))
	}
	return names
}

func zoneName(zone int) string { return fmt.Sprintf("zone-%02d", zone) }

// ServicePrefix begins the names of all services of a region, so that a plan
// shows whose it is. It is empty when there is one region only.
func ServicePrefix(region, regions int) string {
	if regions <= 1 {
		return ""
	}
	return fmt.Sprintf("region-%d-", region)
}

// inRegion picks the processes of a region.
func inRegion(processes []Process, region int) []Process {
	return lo.Filter(processes, func(process Process, _ int) bool { return process.Region == region })
}

// withRole picks the processes of a role.
func withRole(processes []Process, role Role) []Process {
	return lo.Filter(processes, func(process Process, _ int) bool { return process.Role == role })
}

// followersOf counts the hollow followers of processes.
func followersOf(processes []Process) int {
	return lo.SumBy(processes, func(process Process) int { return process.Followers })
}
