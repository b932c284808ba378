// Package remote decides how requests reach another region: which of its entry
// routers is asked, when a region counts as gone, and how many requests may be
// on their way to it at once.
//
// A Region is a deterministic core: it has no clock, no goroutine and no
// socket. Time is passed in, as are the outcomes that its user observed. It is
// not safe for concurrent use.
//
// An entry that fails gets no more requests. It is probed instead, one probe
// at a time, after pauses that double up to a bound, and gets requests again
// once a probe or an answer proves that it takes them. While every entry
// fails, requests are refused at once rather than sent into a silent network.
package remote
