package gateway

import "github.com/martenstage/martenstage/internal/scatter"

// retiredServers closes the kept connections to servers that get no more work: those that are gone,
// and starts that another one of their server has replaced. Connections of attempts that are still out are
// closed as these end.
type retiredServers struct {
	forget func(id string)
	// out counts the attempts at each server; retired are servers with attempts out.
	out     map[string]int
	retired map[string]bool
}

func newRetiredServers(forget func(id string)) retiredServers {
	return retiredServers{forget: forget, out: make(map[string]int), retired: make(map[string]bool)}
}

// change takes in what the directory tells of a server.
func (r *retiredServers) change(told scatter.Server) {
	if told.Replaced {
		r.retire(told.ID)
		return
	}
	delete(r.retired, told.ID)
}

func (r *retiredServers) retire(id string) {
	r.forget(id)
	if r.out[id] > 0 {
		r.retired[id] = true
	}
}

// sent and ended take in the attempts at a server.
func (r *retiredServers) sent(id string) { r.out[id]++ }

func (r *retiredServers) ended(id string) {
	if r.retired[id] {
		r.forget(id)
	}
	if r.out[id]--; r.out[id] <= 0 {
		delete(r.out, id)
		delete(r.retired, id)
	}
}
