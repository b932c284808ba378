// Package quarantine decides which requests are no longer sent to any server because they
// crash the servers that run them (queries of death: Beyer et al., Site Reliability
// Engineering, 2016, ch. 22). It does no I/O and reads no clock.
//
//	fingerprint.go  identifies equal requests
//	book.go         the ledger of suspected requests, driven by a replicated log
//	view.go         one router's copy of the ledger, with its own unpublished reports
//
// A request becomes suspected when a server terminates while running it and no server has
// answered it. Servers also terminate for other reasons, many at once when a rack is lost,
// and every request running there becomes suspected. A suspected request is therefore tried:
// its next occurrence is sent to a single server. If the server answers, the suspicion ends;
// once the servers of two trials have terminated, the request is quarantined. The ledger
// grants trials, so that all routers together put at most MaxTrials servers at risk at a
// time. A trial ends with the start of the router that holds it, or after two minutes.
package quarantine
