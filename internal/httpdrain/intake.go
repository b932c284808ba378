package httpdrain

import (
	"sync"
	"time"
)

// Approximate memory that a request takes until its response.
const (
	// requestCost is that of the buffers and goroutines of its connection, bytes.
	requestCost = 16 << 10
	// lineCost is that of a header line besides its bytes: the parsed line and its copies for
	// servers and other routers.
	lineCost = 256
	// byteCost is how many copies of each byte there may be.
	byteCost = 3
)

const (
	// smallRequestCost is the cost up to which a request may use the whole intake. Larger ones
	// leave a part of it to the small ones.
	smallRequestCost = 64 << 10
	// Larger requests together may use largeShare of the intake, in percent.
	largeShare = 75
	// Refused requests hold their memory until their handlers return. They may exceed the limit
	// by excessShare of it, in percent.
	excessShare = 25
)

// Intake bounds the memory of the requests that a process has begun to read and has not answered.
// At the limit, the request that has been arriving for the longest time is refused, so that clients
// that send slowly or stop in the middle yield to others. It is safe for concurrent use.
type Intake struct {
	limit int64
	mutex sync.Mutex
	// held is the cost of all requests but those being refused, large the part of it that
	// belongs to large ones. refused is the cost of those being refused.
	held     int64
	large    int64
	refused  int64
	holdings map[*Conn]*holding
}

// holding is what the request of one connection holds.
type holding struct {
	cost  int64
	began time.Time
	// complete is set once the request has been read, refused while it is being refused.
	complete bool
	refused  bool
}

func (h *holding) isLarge() bool { return h.cost > smallRequestCost }

// NewIntake returns an intake for requests of a total cost, in bytes.
func NewIntake(limit int64) *Intake {
	return &Intake{limit: limit, holdings: make(map[*Conn]*holding)}
}

// Held returns the cost of the requests that are being read or served, in bytes.
func (i *Intake) Held() int64 {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.held + i.refused
}

// take adds to the cost of the request on a connection. It returns the connections whose requests
// are to be refused because of the limit, which may include conn itself.
func (i *Intake) take(conn *Conn, cost int64, now time.Time) (refuse []*Conn) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	own, known := i.holdings[conn]
	if !known {
		own = &holding{began: now}
		i.holdings[conn] = own
	}
	i.count(own, -1)
	own.cost += cost
	i.count(own, 1)
	if own.refused {
		return nil
	}
	largeLimit, excess := i.limit*largeShare/100, i.limit*excessShare/100
	for {
		victim := (*Conn)(nil)
		switch {
		case i.held == own.cost:
			// The only request is served, whatever it costs.
		case i.held+i.refused > i.limit+excess:
			victim = conn
		case i.held > i.limit:
			victim = i.slowest(0)
		case own.isLarge() && i.large > largeLimit:
			victim = i.slowest(smallRequestCost)
		}
		if victim == nil {
			return refuse
		}
		i.setRefused(i.holdings[victim], true)
		refuse = append(refuse, victim)
		if victim == conn {
			return refuse
		}
	}
}

// slowest returns the connection whose incomplete request began first, of those that cost more
// than a bound; nil if there is none. The mutex is held.
func (i *Intake) slowest(above int64) *Conn {
	var found *Conn
	for conn, held := range i.holdings {
		if !held.complete && !held.refused && held.cost > above && (found == nil || held.began.Before(i.holdings[found].began)) {
			found = conn
		}
	}
	return found
}

// count adds a holding to the sums, or removes it from them if sign is -1. The mutex is held.
func (i *Intake) count(held *holding, sign int64) {
	switch {
	case held.refused:
		i.refused += sign * held.cost
		return
	case held.isLarge():
		i.large += sign * held.cost
	}
	i.held += sign * held.cost
}

// setRefused changes whether a request is being refused. The mutex is held.
func (i *Intake) setRefused(held *holding, refused bool) {
	i.count(held, -1)
	held.refused = refused
	i.count(held, 1)
}

// completed records that the request on a connection has been read, and will not be refused.
func (i *Intake) completed(conn *Conn) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if held, known := i.holdings[conn]; known {
		held.complete = true
		i.setRefused(held, false)
	}
}

// release gives back what the request on a connection held.
func (i *Intake) release(conn *Conn) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if held, known := i.holdings[conn]; known {
		i.count(held, -1)
		delete(i.holdings, conn)
	}
}
