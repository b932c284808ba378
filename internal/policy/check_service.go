package policy

import (
	"fmt"
	"net/netip"
	"slices"

	"github.com/alecthomas/participle/v2/lexer"

	"github.com/martenstage/martenstage/internal/plan"
)

// defaultBurst is the burst of a budget that names none.
const defaultBurst = 10

// maxGenerations is how many shard maps of a service may be live: the old and
// the new one of a repartitioning.
const maxGenerations = 2

// serverDefaults are the slots and connections of replicas that name none; 0
// means that the service has no default.
type serverDefaults struct {
	slots       int
	connections int
}

// service checks a service and keeps it for the routes.
func (c *checker) service(node *serviceNode) {
	c.report.name(node.Name, keywordService)
	if !c.declare(keywordService, node.Name) {
		return
	}
	service := &plan.Service{Name: node.Name.Value}
	c.services[service.Name] = service
	defaults := c.serviceSettings(node, service)
	for _, item := range node.Items {
		if item.Generation != nil {
			c.generation(service, item.Generation, defaults)
		}
	}
	if len(service.Generations) == 0 && !c.source.wasDamaged(node.Pos, node.Close.Pos) {
		c.report.add(node.Name.Pos, "service %s has no generation", service.Name)
	}
}

// serviceSettings reads all settings of a service but its generations.
func (c *checker) serviceSettings(node *serviceNode, service *plan.Service) serverDefaults {
	var defaults serverDefaults
	places := settingPlaces{}
	for _, item := range node.Items {
		what := item.setting()
		if what == "" || !places.first(c.report, what, item.Pos) {
			continue
		}
		switch {
		case item.HedgeBudget != nil:
			service.HedgeBudget = c.budget(what, item.HedgeBudget)
		case item.RetryBudget != nil:
			service.RetryBudget = c.budget(what, item.RetryBudget)
		case present(item.ColdStart):
			service.ColdStart, _ = c.report.duration(item.ColdStart, durationBounds{what, shortestDuration, longestColdStart})
		case present(item.CellRouters):
			service.CellRouters = c.count(item.CellRouters, what, maxCellRouters)
		case present(item.Slots):
			defaults.slots = c.count(item.Slots, what, maxSlots)
		case present(item.Connections):
			defaults.connections = c.count(item.Connections, what, maxConnections)
		}
	}
	return defaults
}

// setting names the setting that the item holds; "" for a generation.
func (n *serviceItemNode) setting() string {
	switch {
	case present(n.Slots):
		return "slots"
	case present(n.Connections):
		return "connections"
	case n.HedgeBudget != nil:
		return "hedge budget"
	case n.RetryBudget != nil:
		return "retry budget"
	case present(n.CellRouters):
		return "cell routers"
	case present(n.ColdStart):
		return "cold start"
	default:
		return ""
	}
}

// count reads a whole number from 1 to most.
func (c *checker) count(token lexer.Token, what string, most uint64) int {
	value, ok := c.report.integer(token, integerBounds{what, 1, most})
	if !ok {
		c.limitsUnsure = true
	}
	return int(value)
}

func (c *checker) budget(what string, node *budgetNode) plan.Budget {
	const allowZero = true // a budget of 0% switches the extra attempts off
	ratio, _ := c.report.percent(node.Ratio, what, allowZero)
	budget := plan.Budget{Ratio: ratio, Burst: defaultBurst}
	if present(node.Burst) {
		budget.Burst = float64(c.count(node.Burst, "burst", maxBurst))
	}
	if ratio == 0 {
		return plan.Budget{}
	}
	return budget
}

// generation checks one shard map and appends it to the service.
func (c *checker) generation(service *plan.Service, node *generationNode, defaults serverDefaults) {
	number, ok := c.report.integer(node.Number, integerBounds{"generation", 1, maxGeneration})
	if !ok {
		return
	}
	if count := len(service.Generations); count > 0 {
		if last := service.Generations[count-1].Number; uint32(number) <= last {
			c.report.add(node.Number.Pos, "generation %d must be higher than the one before it, %d", number, last)
			return
		}
		if count == maxGenerations {
			c.report.add(node.Number.Pos, "service %s has more than %d live generations", service.Name, maxGenerations)
			return
		}
	}
	generation := plan.Generation{Number: uint32(number), Shards: make([]plan.Shard, 0, len(node.Groups))}
	for _, group := range node.Groups {
		c.report.name(group.Name, "group")
		key := groupKey{service: service.Name, generation: generation.Number, group: group.Name.Value}
		if c.groups[key] {
			c.report.add(group.Name.Pos, "group %s is declared twice in generation %d", group.Name.Value, number)
			continue
		}
		c.groups[key] = true
		shard := plan.Shard{ID: uint32(len(generation.Shards)), Name: group.Name.Value}
		shard.Replicas = c.replicas(group, addressKey{service: service.Name, generation: generation.Number}, defaults)
		generation.Shards = append(generation.Shards, shard)
	}
	if len(node.Groups) == 0 && !c.source.wasDamaged(node.Number.Pos, node.Close.Pos) {
		c.report.add(node.Number.Pos, "generation %d has no group", number)
	}
	service.Generations = append(service.Generations, generation)
}

// replicas checks the servers of a group. They are sorted by address, because
// their order has no meaning.
func (c *checker) replicas(group *groupNode, in addressKey, defaults serverDefaults) []plan.Replica {
	replicas := make([]plan.Replica, 0, len(group.Replicas))
	for _, node := range group.Replicas {
		address, ok := c.report.address(node.Address)
		if !ok {
			continue
		}
		replica := plan.Replica{Address: address, Zone: node.Zone.Value, Slots: defaults.slots, Connections: defaults.connections}
		c.report.name(node.Zone, "zone")
		if present(node.Slots) {
			replica.Slots = c.count(node.Slots, "slots", maxSlots)
		}
		if present(node.Connections) {
			replica.Connections = c.count(node.Connections, "connections", maxConnections)
		}
		c.serverLimits(node, replica)
		in.address = address
		c.useAddress(in, &addressUse{place: node.Address.Pos, replica: replica, shared: present(node.Shared)})
		replicas = append(replicas, replica)
	}
	if len(group.Replicas) == 0 && !c.source.wasDamaged(group.Pos, group.Close.Pos) {
		c.report.add(group.Name.Pos, "group %s has no replica", group.Name.Value)
	}
	slices.SortFunc(replicas, func(a, b plan.Replica) int { return a.Address.Compare(b.Address) })
	return replicas
}

// serverLimits reports a replica without slots or connections. After an error
// in a limit, or a skipped line that may have held one, nothing is missing for
// sure.
func (c *checker) serverLimits(node *replicaNode, replica plan.Replica) {
	c.limitsUnsure = c.limitsUnsure || len(c.source.damaged) > 0
	switch {
	case c.limitsUnsure:
		return
	case replica.Slots == 0:
		c.report.add(node.Pos, "the replica has no slots; give slots here or in the service")
	case replica.Connections == 0:
		c.report.add(node.Pos, "the replica has no connections; give connections here or in the service")
	default:
		return
	}
	c.limitsUnsure = true
}

// addressKey is an address within one generation of a service. The key with
// only the address set stands for its first use anywhere.
type addressKey struct {
	address    netip.AddrPort
	service    string
	generation uint32
}

// addressUse is one replica line.
type addressUse struct {
	place   lexer.Position
	service string
	replica plan.Replica
	shared  bool
}

// useAddress reports an address that is used twice. One server may stand in
// both live generations of a service, with the same limits, and in several
// services when each of them says "shared".
func (c *checker) useAddress(in addressKey, use *addressUse) {
	use.service = in.service
	if earlier, found := c.addresses[in]; found {
		c.report.add(use.place, "address %s is used twice in generation %d of service %s; the first is on line %d",
			in.address, in.generation, in.service, earlier.place.Line)
		return
	}
	c.addresses[in] = use
	anywhere := addressKey{address: in.address}
	first, found := c.addresses[anywhere]
	switch {
	case !found:
		c.addresses[anywhere] = use
	case first.service != use.service && !(first.shared && use.shared):
		c.report.add(use.place, "address %s is already used by service %s on line %d; mark both replicas shared if one server holds both",
			in.address, first.service, first.place.Line)
	case first.replica != use.replica && !c.limitsUnsure:
		c.report.add(use.place, "address %s has %s here and %s on line %d; one server has one zone, slots and connections",
			in.address, limitsText(use.replica), limitsText(first.replica), first.place.Line)
	}
}

func limitsText(replica plan.Replica) string {
	return fmt.Sprintf("zone %s, %d slots and %d connections", replica.Zone, replica.Slots, replica.Connections)
}
