package balancer

import (
	"math"
	"time"

	"github.com/martenstage/martenstage/internal/journal"
)

const (
	// failuresToEject is the number of consecutive failures that eject a server.
	failuresToEject = 3
	// maxEjectionTime bounds the growth of the ejection time.
	maxEjectionTime = time.Minute
	// ejectionGrowth is the factor between the times of consecutive ejections.
	ejectionGrowth = 2
)

// outlier is the state of outlier detection for a server.
type outlier struct {
	failures     int
	ejections    int
	ejectedUntil time.Time
	ejected      bool
}

// recordFailure counts a failure and ejects the server after too many, unless that
// would leave a group with too few replicas.
func (p *Pool) recordFailure(now time.Time, server *Server) {
	server.outlier.failures++
	if server.outlier.failures < failuresToEject || server.Ejected(now) || !p.mayEject(now, server) {
		return
	}
	growth := math.Pow(ejectionGrowth, float64(server.outlier.ejections))
	duration := min(time.Duration(float64(p.config.EjectionTime)*growth), maxEjectionTime)
	server.outlier.ejectedUntil = now.Add(duration)
	server.outlier.failures = 0
	server.outlier.ejections++
	server.outlier.ejected = true
	service, shard := server.serviceAndShard()
	p.transitions = append(p.transitions, Transition{
		Kind: journal.KindReplicaEjected, Server: server, Service: service, Shard: shard, Detail: "for " + duration.String(),
	})
}

// mayEject reports whether every group of the server would keep enough usable
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

// recordSuccess resets the failure count. The first success after an ejection has
// expired ends it.
func (p *Pool) recordSuccess(now time.Time, server *Server) {
	server.outlier.failures = 0
	if !server.outlier.ejected || server.Ejected(now) {
		return
	}
	server.outlier.ejected = false
	server.outlier.ejections = 0
	service, shard := server.serviceAndShard()
	p.transitions = append(p.transitions, Transition{
		Kind: journal.KindReplicaReturned, Server: server, Service: service, Shard: shard,
	})
}

// serviceAndShard returns the service and the shard of a server; each is empty if the
// server has several.
func (s *Server) serviceAndShard() (service, shard string) {
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
