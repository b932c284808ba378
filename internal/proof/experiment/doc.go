// Package experiment compares decision rules for the same queries: the same
// arrivals meet the same service times and faults under each variant. Variants
// run on the virtual clock (package virtual) or over real sockets against
// emulated back ends; both are judged, and summed up by package report.
//
// The variants are those of the query engine and the oracle, which knows the
// service time of every replica and its queue beforehand and sends each shard
// once, to the replica that will finish first. No choice of replicas can beat
// it for one request as the queues stand; a policy that answers before all parts
// are in can. In overload it is greedy: it admits what can still be answered now
// and so may answer less in whole than an admission that refuses early.
package experiment
