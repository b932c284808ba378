package scale

import (
	"fmt"
	"net/netip"
	"strings"

	"github.com/samber/lo"
)

const (
	// shardsPerService and replicasPerShard shape large services: a query goes
	// to 270 servers, one of each shard.
	shardsPerService = 270
	replicasPerShard = 3
	serverPort       = 9
)

// ConfigurationShape says what a Configuration declares.
type ConfigurationShape struct {
	// First is the number of servers of other regions before these; no two
	// regions have a server with the same address.
	First   int
	Servers int
	// Zones that the servers are dealt to in turn.
	Zones []string
	// CellRouters is how many routers connect to the servers of a service.
	CellRouters int
	// Prefix begins the names of services, policies and routes.
	Prefix string
}

// Configuration generates texts for a number of servers. Each text differs
// from the one before by the address of one replica, the commonest change of a
// running fleet. All addresses lie in 127.0.0.0/8, where nothing listens.
type Configuration struct {
	shape ConfigurationShape
	// moved counts how often each server's address was replaced.
	moved map[int]int
	next  int
}

// NewConfiguration returns the first configuration of a shape.
func NewConfiguration(shape ConfigurationShape) *Configuration {
	shape.Servers = max(shape.Servers, replicasPerShard)
	shape.CellRouters = max(shape.CellRouters, 1)
	if len(shape.Zones) == 0 {
		shape.Zones = []string{zoneName(0)}
	}
	return &Configuration{shape: shape, moved: make(map[int]int)}
}

// regionShape is the part of a run's configuration that a region owns.
func regionShape(config RunConfig, region int) ConfigurationShape {
	shape := ConfigurationShape{
		First: firstOf(config.Servers, config.Regions, region), Servers: Share(config.Servers, config.Regions, region),
		Zones: ZonesOf(region, config.Regions, config.Zones), CellRouters: config.CellRouters,
		Prefix: ServicePrefix(region, config.Regions),
	}
	return shape
}

// Addresses returns the present addresses of all servers.
func (c *Configuration) Addresses() []netip.AddrPort {
	return lo.Times(c.shape.Servers, c.address)
}

// Change replaces the address of one server.
func (c *Configuration) Change() {
	// A prime step spreads changes over services.
	const step = 7919
	c.moved[c.next%c.shape.Servers]++
	c.next += step
}

// Text returns the configuration in the policy language.
func (c *Configuration) Text() string {
	const bytesPerServer = 64
	var text strings.Builder
	text.Grow(c.shape.Servers * bytesPerServer)
	services := 0
	for first := 0; first < c.shape.Servers; first += shardsPerService * replicasPerShard {
		c.writeService(&text, services, first)
		services++
	}
	prefix := c.shape.Prefix
	for service := range services {
		fmt.Fprintf(&text, "policy %spolicy-%02d {\n\tdeadline 100ms\n\trepeatable\n\tanswer when coverage >= 99%%\n\tat 90ms answer\n}\n\n", prefix, service)
		fmt.Fprintf(&text, "route %sall-%02d {\n\tservice %sservice-%02d\n\tpolicy %spolicy-%02d\n\ttarget all\n}\n\n",
			prefix, service, prefix, service, prefix, service)
	}
	return text.String()
}

func (c *Configuration) writeService(text *strings.Builder, service, first int) {
	fmt.Fprintf(text, "service %sservice-%02d {\n\tslots 5\n\tconnections 70\n\tcell routers %d\n\tgeneration 1 {\n",
		c.shape.Prefix, service, c.shape.CellRouters)
	last := min(first+shardsPerService*replicasPerShard, c.shape.Servers)
	for shard := first; shard < last; shard += replicasPerShard {
		fmt.Fprintf(text, "\t\tgroup g%03d {\n", (shard-first)/replicasPerShard)
		for server := shard; server < min(shard+replicasPerShard, last); server++ {
			fmt.Fprintf(text, "\t\t\treplica %s zone %s\n", c.address(server), c.shape.Zones[server%len(c.shape.Zones)])
		}
		text.WriteString("\t\t}\n")
	}
	text.WriteString("\t}\n}\n\n")
}

// address differs between servers and between moves of one server.
func (c *Configuration) address(server int) netip.AddrPort {
	const firstNetwork, networks = 64, 128
	network := firstNetwork + c.moved[server]%networks
	number := c.shape.First + server
	address := netip.AddrFrom4([4]byte{127, byte(network), byte(number >> 8), byte(number)})
	return netip.AddrPortFrom(address, serverPort)
}
