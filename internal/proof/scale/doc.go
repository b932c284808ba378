// Package scale measures what following control costs at sizes that one
// machine can't run whole. A Fleet keeps many hollow followers in one process:
// each is the follower of a router with its own identity, lease and
// connection, but it serves no queries. A Run drives changes into real control
// and relay processes, samples the processor time, memory and bytes of every
// process, and asks the fleets when each revision was installed. Slopes of
// several runs give the cost of one more node.
//
// docs/design/0010-scale.md says what is measured and what is not;
// docs/CAPACITY.md uses the figures.
package scale
