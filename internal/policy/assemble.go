package policy

import (
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/plan"
)

// parsedDeclaration is what is kept of a declaration that is right by itself:
// a checked service, a checked policy, or a route, which has no meaning alone.
type parsedDeclaration struct {
	service *plan.Service
	servers []serverUse
	policy  *checkedPolicy
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

// servers returns the servers of the one service that was checked, in the order
// of their addresses.
func (c *checker) servers() []serverUse {
	uses := make(map[serverKey]serverUse, len(c.addresses))
	for in, use := range c.addresses {
		if in.service == "" {
			continue // stands for the first use anywhere
		}
		key := keyOf(in.address)
		earlier, found := uses[key]
		uses[key] = serverUse{key: key, replica: use.replica, shared: use.shared && (!found || earlier.shared)}
	}
	servers := lo.Values(uses)
	slices.SortFunc(servers, func(a, b serverUse) int { return int(int64(a.key) - int64(b.key)) })
	return servers
}

// assemble joins declarations to a plan and checks everything that concerns more
// than one of them, each time as a whole. It returns false when there may be
// something to report.
func assemble(segments []segment) (*plan.Plan, bool) {
	report := &reporter{}
	check := newChecker(report, &source{report: report})
	var routes []*routeNode
	words, servers, namesGroups := 0, 0, false
	for _, part := range segments {
		parsed := part.parsed
		words += parsed.words
		switch {
		case parsed.service != nil:
			service := *parsed.service
			if _, taken := check.services[service.Name]; taken {
				return nil, false
			}
			check.services[service.Name] = &service
			servers += len(parsed.servers)
		case parsed.policy != nil:
			policy := parsed.policy.atLine(part.line)
			if _, taken := check.policies[policy.compiled.Name]; taken {
				return nil, false
			}
			check.policies[policy.compiled.Name] = policy
			namesGroups = namesGroups || len(policy.covered) > 0
		default:
			routes = append(routes, parsed.route)
		}
	}
	if words > maxTokens || !serversAgree(segments, servers) {
		return nil, false
	}
	if namesGroups {
		check.declareGroups()
	}
	compiled := check.join(routes)
	return compiled, len(report.found) == 0
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

// serversAgree reports whether each server that several services use is shared
// by all of them and has the same limits in each.
func serversAgree(segments []segment, count int) bool {
	first := make(map[serverKey]*serverUse, count)
	for _, part := range segments {
		for index := range part.parsed.servers {
			use := &part.parsed.servers[index]
			earlier, found := first[use.key]
			if !found {
				first[use.key] = use
				continue
			}
			if !earlier.shared || !use.shared || earlier.replica != use.replica {
				return false
			}
		}
	}
	return true
}
