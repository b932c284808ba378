package overview

import "github.com/samber/lo"

// Zone counts the nodes of one role in one zone.
type Zone struct {
	Role, Name   string
	Live, Lapsed int
	// Lowest is the lowest revision that a live one has.
	Lowest uint64
}

// Zones counts the nodes by role and zone, by which they are sorted.
func (o *Overview) Zones() []Zone {
	var zones []Zone
	for _, nodes := range lo.PartitionBy(o.Nodes, func(node Node) string { return node.Role + "\x00" + node.Zone }) {
		counted := Zone{Role: nodes[0].Role, Name: nodes[0].Zone, Lowest: o.Group.Revision}
		for _, node := range nodes {
			if node.Lapsed {
				counted.Lapsed++
				continue
			}
			counted.Live++
			counted.Lowest = min(counted.Lowest, node.Revision)
		}
		zones = append(zones, counted)
	}
	return zones
}
