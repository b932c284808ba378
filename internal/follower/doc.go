// Package follower distributes the state of the control group: configuration,
// leases, machine states and the list of live routers. It implements both ends
// of FollowService.Sync. Handler is the server, run by control voters and by
// relays; Follower is the client, run by relays and by routers. A distribution
// tree of any depth consists of these two parts.
//
// Package lease decides who holds a lease until when and which revision is in
// effect; this package owns the clock, the sockets and the goroutines.
// docs/design/0007-leases-and-dissemination.md shows why no router admits work
// under a revision lower than one that was reported to be in effect.
package follower
