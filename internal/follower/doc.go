// Package follower spreads what control decides: configuration, leases,
// machine states and the list of live routers. Both ends of FollowService.Sync
// are here. Handler is the serving end, run by control voters and by relays;
// Follower is the calling end, run by relays and by routers, so a tree of any
// depth is made of the same two parts.
//
// The decisions (who holds a lease until when, which revision is in force) are
// those of package lease; this package owns the clock, the sockets and the
// goroutines. docs/design/0007-leases-and-dissemination.md argues why no
// router admits work under a revision lower than one reported in force.
package follower
