// Package reservation decides which requests of a route that is short of capacity are admitted,
// and when a refused client is told to retry. Time is divided into epochs that all routers
// share. The rank of a request in an epoch is a hash of its fingerprint and the epoch, so that
// any router admits the same requests, and the router that refuses a request can tell in which
// coming epoch it will be admitted, wherever it arrives.
//
// Source of coherent ranks: DAGOR (Zhou et al., "Overload Control for Scaling WeChat
// Microservices", SoCC 2018). The package does no I/O and reads no clock.
package reservation
