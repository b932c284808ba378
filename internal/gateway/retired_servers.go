package gateway

import "github.com/martenstage/martenstage/internal/scatter"

// retiredServers closes the kept connections to servers that get no more requests: removed
// ones, and incarnations that a later one of the server has replaced. Connections of attempts
// in flight are closed when these end.
type retiredServers struct {
	forget func(id string)
	// inFlight counts the attempts in flight at each server. retired are the retired servers
	// that still have some.
	inFlight map[string]int
	retired  map[string]bool
}

func newRetiredServers(forget func(id string)) retiredServers {
	return retiredServers{forget: forget, inFlight: make(map[string]int), retired: make(map[string]bool)}
}

// serverChanged applies a server state reported by the directory.
func (r *retiredServers) serverChanged(server scatter.Server) {
	if server.Replaced {
		r.retire(server.ID)
		return
	}
	delete(r.retired, server.ID)
}

func (r *retiredServers) retire(id string) {
	r.forget(id)
	if r.inFlight[id] > 0 {
		r.retired[id] = true
	}
}

// sent and ended count the attempts at a server.
func (r *retiredServers) sent(id string) { r.inFlight[id]++ }

func (r *retiredServers) ended(id string) {
	if r.retired[id] {
		r.forget(id)
	}
	if r.inFlight[id]--; r.inFlight[id] <= 0 {
		delete(r.inFlight, id)
		delete(r.retired, id)
	}
}
