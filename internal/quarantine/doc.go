// Package quarantine decides which requests are sent to no server any more because they end
// the servers that run them (a query of death: Beyer et al., Site Reliability Engineering,
// 2016, ch. 22). It has no I/O and reads no clock.
//
//	fingerprint.go  which requests are the same
//	book.go         the records of all routers, driven by a replicated log
//	view.go         what one router knows of them
//
// A request is suspected as soon as a server ended while it ran there and no server has
// answered it. Servers also end for other reasons, many at once when a rack is lost, and
// whatever runs there is suspected with them. So a suspected request is tried: the next
// time that it comes, it goes to one server alone. If that one ends too, the request is
// quarantined; if it answers, the suspicion ends. The book grants trials, so that over all
// routers no more than MaxTrials servers are risked, whoever fails meanwhile.
package quarantine
