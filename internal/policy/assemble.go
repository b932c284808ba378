package policy

import (
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/plan"
)

// parsedDeclaration is what is kept of a declaration that is right by itself:
// a checked service, policy or region, or a route, which has no meaning alone.
type parsedDeclaration struct {
	service *plan.Service
	// servers are those of the service: by its groups when it has one generation,
	// otherwise all in one list.
	servers [][]serverUse
	policy  *checkedPolicy
	region  *plan.Region
	route   *routeNode
	// words counts the tokens.
	words int
}

// serverUse is one server that a service uses, in however many generations.
type serverUse struct {
	key     serverKey
	replica plan.Replica
	// shared is true when every line of the server says so.
	shared bool
}

// serverKey is an IPv4 address with its port, as a number.
type serverKey uint64

func keyOf(address netip.AddrPort) serverKey {
	const portBits = 16
	four := address.Addr().As4()
	return serverKey(binary.BigEndian.Uint32(four[:]))<<portBits | serverKey(address.Port())
}

// servers returns the servers of the one service that was checked.
func (c *checker) servers(service *plan.Service) [][]serverUse {
	uses := make(map[serverKey]serverUse, len(c.addresses))
	for in, use := range c.addresses {
		if in.service == "" {
			continue // stands for the first use anywhere
		}
		key := keyOf(in.address)
		earlier, found := uses[key]
		uses[key] = serverUse{key: key, replica: use.replica, shared: use.shared && (!found || earlier.shared)}
	}
	if len(service.Generations) != 1 {
		return [][]serverUse{lo.Values(uses)}
	}
	return lo.Map(service.Generations[0].Shards, func(shard plan.Shard, _ int) []serverUse {
		return lo.Map(shard.Replicas, func(replica plan.Replica, _ int) serverUse { return uses[keyOf(replica.Address)] })
	})
}

// assemble joins declarations to a plan and checks everything that concerns more
// than one of them, each time as a whole. It returns false when there may be
// something to report.
func assemble(segments []segment) (*plan.Plan, bool) {
	report := &reporter{}
	src := &source{report: report, declared: map[string][]string{}}
	check := newChecker(report, src)
	var routes []*routeNode
	words, servers, namesGroups := 0, 0, false
	for _, part := range segments {
		parsed := part.parsed
		words += parsed.words
		servers += lo.SumBy(parsed.servers, func(group []serverUse) int { return len(group) })
		namesGroups = namesGroups || parsed.policy != nil && len(parsed.policy.covered) > 0
		if parsed.route != nil {
			routes = append(routes, parsed.route)
		} else if !check.take(part) {
			return nil, false
		}
	}
	if words > maxTokens || len(check.regions) > maxRegions || !serversAgree(segments, servers) {
		return nil, false
	}
	if namesGroups {
		check.declareGroups()
	}
	compiled := check.join(routes)
	return compiled, len(report.found) == 0
}

// take keeps a declaration for the routes, as the checks of whole declarations
// do. It returns false when one of its name is there.
func (c *checker) take(part segment) bool {
	taken := false
	switch parsed := part.parsed; {
	case parsed.service != nil:
		service := *parsed.service
		_, taken = c.services[service.Name]
		c.services[service.Name] = &service
	case parsed.policy != nil:
		policy := parsed.policy.atLine(part.line)
		_, taken = c.policies[policy.compiled.Name]
		c.policies[policy.compiled.Name] = policy
	case parsed.region != nil:
		name := parsed.region.Name
		_, taken = c.regions[name]
		c.regions[name] = parsed.region
		c.source.declared[keywordRegion] = append(c.source.declared[keywordRegion], name)
	}
	return !taken
}

// atLine returns the policy of a declaration that starts at a line. It was
// parsed as if it started at line 1.
func (p *checkedPolicy) atLine(line int) *checkedPolicy {
	moved := *p
	moved.compiled.Statements = slices.Clone(p.compiled.Statements)
	for index := range moved.compiled.Statements {
		moved.compiled.Statements[index].Line += line - 1
	}
	return &moved
}

// declareGroups notes all groups, for the policies that name some.
func (c *checker) declareGroups() {
	for _, service := range c.services {
		for _, generation := range service.Generations {
			for _, shard := range generation.Shards {
				c.groups[groupKey{service: service.Name, generation: generation.Number, group: shard.Name}] = true
			}
		}
	}
}

// serversAgree reports whether each server stands once in a service, and whether
// each that several services use is shared by all of them and has the same
// limits in each.
func serversAgree(segments []segment, count int) bool {
	table := newServerTable(count)
	for number, part := range segments {
		for _, group := range part.parsed.servers {
			for index := range group {
				first, taken := table.add(group[index].key, number)
				if taken && (first == number || !mayShare(segments[first].parsed, &group[index])) {
					return false
				}
			}
		}
	}
	return true
}

// mayShare reports whether a server may also be used as another service says.
func mayShare(by *parsedDeclaration, use *serverUse) bool {
	for _, group := range by.servers {
		for index := range group {
			if earlier := &group[index]; earlier.key == use.key {
				return earlier.shared && use.shared && earlier.replica == use.replica
			}
		}
	}
	return false
}
