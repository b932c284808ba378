package balancer

import (
	"math"
	"time"

	"github.com/martenstage/martenstage/internal/journal"
)

const (
	// failuresToEject is the number of failures in a row that make an outlier.
	failuresToEject = 3
	// longestEjection bounds the growth of the ejection time.
	longestEjection = time.Minute
	// ejectionGrowth multiplies the time of each further ejection in a row.
	ejectionGrowth = 2
)

// outlier is the record of a server's failures.
type outlier struct {
	failures  int
	ejections int
	until     time.Time
	out       bool
}

// fail counts a failure and ejects the server when there are too many, unless
// that left a group with too few replicas.
func (p *Pool) fail(now time.Time, server *Server) {
	server.outlier.failures++
	if server.outlier.failures < failuresToEject || server.Ejected(now) || !p.mayEject(now, server) {
		return
	}
	growth := math.Pow(ejectionGrowth, float64(server.outlier.ejections))
	duration := min(time.Duration(float64(p.config.EjectionTime)*growth), longestEjection)
	server.outlier.until = now.Add(duration)
	server.outlier.failures = 0
	server.outlier.ejections++
	server.outlier.out = true
	service, shard := server.place()
	p.transitions = append(p.transitions, Transition{
		Kind: journal.KindReplicaEjected, Server: server, Service: service, Shard: shard, Detail: "for " + duration.String(),
	})
}

// mayEject reports whether every group of the server keeps its floor of usable
// replicas that are not ejected.
func (p *Pool) mayEject(now time.Time, server *Server) bool {
	for _, member := range server.members {
		left := 0
		for _, other := range member.group.members {
			if other.server != server && other.server.Usable() && !other.server.Ejected(now) {
				left++
			}
		}
		floor := int(math.Ceil(p.config.EjectionFloor * float64(member.group.usable)))
		if left < max(floor, 1) {
			return false
		}
	}
	return true
}

// succeed counts a success. The first one after an ejection returns the server.
func (p *Pool) succeed(now time.Time, server *Server) {
	server.outlier.failures = 0
	if !server.outlier.out || server.Ejected(now) {
		return
	}
	server.outlier.out = false
	server.outlier.ejections = 0
	service, shard := server.place()
	p.transitions = append(p.transitions, Transition{
		Kind: journal.KindReplicaReturned, Server: server, Service: service, Shard: shard,
	})
}

// place names the service and the shard of a server; empty where it has several.
func (s *Server) place() (service, shard string) {
	for index, member := range s.members {
		group := member.group
		if index == 0 {
			service, shard = group.generation.Service, group.Name
			continue
		}
		if service != group.generation.Service {
			service = ""
		}
		if service == "" || shard != group.Name {
			shard = ""
		}
	}
	return service, shard
}
