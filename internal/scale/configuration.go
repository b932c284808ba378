package scale

import (
	"fmt"
	"net/netip"
	"strings"
)

const (
	// shardsPerService and replicasPerShard shape large services: a query goes
	// to 270 servers, one of each shard.
	shardsPerService = 270
	replicasPerShard = 3
	serverPort       = 9
)

// Configuration generates texts for a number of servers. Each text differs
// from the one before by the address of one replica, the commonest change of a
// running fleet. All addresses lie in 127.0.0.0/8, where nothing listens.
type Configuration struct {
	servers int
	zones   int
	// cellRouters is how many routers connect to the servers of a service.
	cellRouters int
	// moved counts how often each server's address was replaced.
	moved map[int]int
	next  int
}

// NewConfiguration returns the configuration of a number of servers in a
// number of zones, whose services have cells of a number of routers.
func NewConfiguration(servers, zones, cellRouters int) *Configuration {
	return &Configuration{
		servers: max(servers, replicasPerShard), zones: max(zones, 1), cellRouters: max(cellRouters, 1),
		moved: make(map[int]int),
	}
}

// Addresses returns the present addresses of all servers.
func (c *Configuration) Addresses() []netip.AddrPort {
	addresses := make([]netip.AddrPort, c.servers)
	for server := range addresses {
		addresses[server] = c.address(server)
	}
	return addresses
}

// Change replaces the address of one server.
func (c *Configuration) Change() {
	// A prime step spreads changes over services.
	const step = 7919
	c.moved[c.next%c.servers]++
	c.next += step
}

// Text returns the configuration in the policy language.
func (c *Configuration) Text() string {
	const bytesPerServer = 64
	var text strings.Builder
	text.Grow(c.servers * bytesPerServer)
	services := 0
	for first := 0; first < c.servers; first += shardsPerService * replicasPerShard {
		c.writeService(&text, services, first)
		services++
	}
	for service := range services {
		fmt.Fprintf(&text, "policy policy-%02d {\n\tdeadline 100ms\n\trepeatable\n\tanswer when coverage >= 99%%\n\tat 90ms answer\n}\n\n", service)
		fmt.Fprintf(&text, "route all-%02d {\n\tservice service-%02d\n\tpolicy policy-%02d\n\ttarget all\n}\n\n", service, service, service)
	}
	return text.String()
}

func (c *Configuration) writeService(text *strings.Builder, service, first int) {
	fmt.Fprintf(text, "service service-%02d {\n\tslots 5\n\tconnections 70\n\tcell routers %d\n\tgeneration 1 {\n", service, c.cellRouters)
	last := min(first+shardsPerService*replicasPerShard, c.servers)
	for shard := first; shard < last; shard += replicasPerShard {
		fmt.Fprintf(text, "\t\tgroup g%03d {\n", (shard-first)/replicasPerShard)
		for server := shard; server < min(shard+replicasPerShard, last); server++ {
			fmt.Fprintf(text, "\t\t\treplica %s zone zone-%02d\n", c.address(server), server%c.zones)
		}
		text.WriteString("\t\t}\n")
	}
	text.WriteString("\t}\n}\n\n")
}

// address differs between servers and between moves of one server.
func (c *Configuration) address(server int) netip.AddrPort {
	const firstNetwork, networks = 64, 128
	network := firstNetwork + c.moved[server]%networks
	address := netip.AddrFrom4([4]byte{127, byte(network), byte(server >> 8), byte(server)})
	return netip.AddrPortFrom(address, serverPort)
}
