package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/martenstage/martenstage/internal/proof/servicetime"
)

// Arrival is one request that callers will send.
type Arrival struct {
	// At is the intended time, since the start of the run.
	At    time.Duration
	ID    string
	Route string
	// Key selects a shard on keyed routes.
	Key  string
	Body []byte
}

// RouteRate is the load on one route.
type RouteRate struct {
	Route string
	// PerSecond is the mean rate; Phases change it over time.
	PerSecond float64
	Phases    []Phase
}

// Phase multiplies a route's rate from a time on.
type Phase struct {
	From   time.Duration
	Factor float64
}

// forever is later than any arrival.
const forever = time.Duration(1<<63 - 1)

// rateAt returns the rate at a time and when it changes next.
func (r *RouteRate) rateAt(elapsed time.Duration) (perSecond float64, until time.Duration) {
	perSecond, until = r.PerSecond, forever
	for _, phase := range r.Phases {
		if elapsed < phase.From {
			return perSecond, phase.From
		}
		perSecond = r.PerSecond * phase.Factor
	}
	return perSecond, until
}

// Arrivals generates a Poisson process for every route, in order of time.
// Equal seeds give equal arrivals, whatever becomes of the requests.
type Arrivals struct {
	streams  []*stream
	duration time.Duration
	variant  string
}

// stream is the process of one route.
type stream struct {
	rate   RouteRate
	random *rand.Rand
	seed   uint64
	next   time.Duration
	number int
}

// NewArrivals returns the arrivals of a run. The variant, if any, becomes the
// end of the request ids that service times don't depend on.
func NewArrivals(seed uint64, rates []RouteRate, duration time.Duration, variant string) *Arrivals {
	made := &Arrivals{duration: duration, variant: variant}
	for index, rate := range rates {
		added := &stream{rate: rate, seed: seed, random: rand.New(rand.NewPCG(seed, uint64(index)))}
		added.advance()
		made.streams = append(made.streams, added)
	}
	return made
}

// advance draws the time of the stream's next arrival. An exponential variable
// has no memory, so at a change of the rate it is drawn anew.
func (s *stream) advance() {
	for {
		rate, until := s.rate.rateAt(s.next)
		if rate <= 0 && until == forever {
			s.next = forever
			return
		}
		if rate <= 0 {
			s.next = until
			continue
		}
		drawn := s.next + time.Duration(s.random.ExpFloat64()/rate*float64(time.Second))
		if drawn <= until {
			s.next = drawn
			return
		}
		s.next = until
	}
}

// Next returns the next arrival, or false at the end of the run.
func (a *Arrivals) Next() (Arrival, bool) {
	var first *stream
	for _, candidate := range a.streams {
		if first == nil || candidate.next < first.next {
			first = candidate
		}
	}
	if first == nil || first.next >= a.duration {
		return Arrival{}, false
	}
	arrival := first.take(a.variant)
	first.advance()
	return arrival, true
}

func (s *stream) take(variant string) Arrival {
	s.number++
	id := fmt.Sprintf("%s-%d-%d", s.rate.Route, s.seed, s.number)
	arrival := Arrival{
		At: s.next, ID: id, Route: s.rate.Route,
		Key:  fmt.Sprint("key-", s.random.IntN(keys)),
		Body: []byte(`{"query":"` + id + `"}`),
	}
	if variant != "" {
		arrival.ID += servicetime.VariantSeparator + variant
	}
	return arrival
}

// keys is how many different keys callers use on keyed routes.
const keys = 100_000

// RouteOf returns the route that a request id of Arrivals names.
func RouteOf(request string) string {
	base, _, _ := strings.Cut(request, servicetime.VariantSeparator)
	for range 2 { // seed and number
		if cut := strings.LastIndexByte(base, '-'); cut >= 0 {
			base = base[:cut]
		}
	}
	return base
}
