package scatter

import "time"

// recentShare is the share of attempts at a server that ended in some way, of late: each one
// weighs a part, and what is known is half forgotten after a time without any.
type recentShare struct {
	weight   float64
	halfLife time.Duration
	value    float64
	at       time.Time
}

// current falls with time, so that a server that did badly is tried again.
func (s *recentShare) current(now time.Time) float64 {
	age := max(0, now.Sub(s.at))
	return s.value * float64(s.halfLife) / float64(s.halfLife+age)
}

// count takes in whether an attempt ended so.
func (s *recentShare) count(now time.Time, ended bool) {
	share := 0.0
	if ended {
		share = 1
	}
	s.value, s.at = s.current(now)*(1-s.weight)+share*s.weight, now
}
