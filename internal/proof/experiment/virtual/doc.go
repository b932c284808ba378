// Package virtual runs query engines against modelled back ends on a virtual
// clock: a discrete-event simulation in one goroutine. Equal configurations
// give equal runs. It measures policies at sizes that one machine can not
// carry in real sockets; it models queueing, service times, network delay,
// connection set-up and the faults of back ends, and no processor time.
package virtual
