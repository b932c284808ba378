package routestats

import "time"

// Pace says when a node is to report upwards: every ReportInterval, and at once
// to another upstream. It is for one goroutine.
type Pace struct {
	upstream string
	at       time.Time
}

// Due says whether a call that is about to be sent to an upstream carries
// reports, and takes it that it does.
func (p *Pace) Due(now time.Time, upstream string) bool {
	if upstream == p.upstream && now.Sub(p.at) < ReportInterval {
		return false
	}
	p.upstream, p.at = upstream, now
	return true
}
