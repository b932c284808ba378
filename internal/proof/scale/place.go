package scale

import "time"

// place is where one follower after another runs.
type place struct {
	index int
	zone  string
	// struck receives how long the place stays empty once a fault ends its
	// follower.
	struck chan time.Duration
}

func newPlace(index int, zone string) *place {
	return &place{index: index, zone: zone, struck: make(chan time.Duration, 1)}
}

// failRequest asks that followers vanish at once, without giving their leases
// back.
type failRequest struct {
	// Zone of the followers, and the most that are wanted.
	Zone  string `json:"zone"`
	Count int    `json:"count"`
	// Absence is how long their places stay empty.
	Absence time.Duration `json:"absence"`
}

// failResponse says how many were told to.
type failResponse struct {
	Failed int `json:"failed"`
}

// Fail ends followers of a zone at once, and returns how many.
func (f *Fleet) Fail(request failRequest) int {
	failed := 0
	for _, one := range f.places {
		if failed == request.Count {
			break
		}
		if one.zone != request.Zone {
			continue
		}
		select {
		case one.struck <- request.Absence:
			failed++
		default: // it has been told already
		}
	}
	return failed
}
