package routestats

import "time"

// Pace schedules a node's upstream reports: every ReportInterval, and immediately
// after a change of the upstream. It is not safe for concurrent use.
type Pace struct {
	upstream   string
	reportedAt time.Time
}

// Due reports whether the next call to an upstream must carry reports. If so, it
// assumes that the call is sent.
func (p *Pace) Due(now time.Time, upstream string) bool {
	if upstream == p.upstream && now.Sub(p.reportedAt) < ReportInterval {
		return false
	}
	p.upstream, p.reportedAt = upstream, now
	return true
}
