package scatter

import "time"

// recentShare is the moving average of the share of a server's attempts that ended in a given
// way. Each attempt has a fixed weight, and the average decays by half after halfLife without
// any.
type recentShare struct {
	weight    float64
	halfLife  time.Duration
	value     float64
	updatedAt time.Time
}

// current decays with time, so that a server that did badly is tried again.
func (s *recentShare) current(now time.Time) float64 {
	age := max(0, now.Sub(s.updatedAt))
	return s.value * float64(s.halfLife) / float64(s.halfLife+age)
}

// count records whether an attempt ended in the given way.
func (s *recentShare) count(now time.Time, ended bool) {
	share := 0.0
	if ended {
		share = 1
	}
	s.value, s.updatedAt = s.current(now)*(1-s.weight)+share*s.weight, now
}
