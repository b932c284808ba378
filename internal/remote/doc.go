// Package remote decides how requests reach another region: which of its entry
// routers is called, when a region is considered unreachable, and how many
// requests to it may be in flight at once.
//
// A Region is a deterministic state machine without a clock, goroutines or
// sockets. Its user passes in the time and the observed outcomes. It is not safe
// for concurrent use.
//
// A failing entry gets no more requests. It is probed instead, one probe at a
// time, with exponential backoff up to a bound, and gets requests again once a
// probe or an answer proves that it accepts them. While every entry fails,
// requests are refused at once rather than sent into an unresponsive network.
package remote
