// Package controlclient connects a router to the control voters. Source provides
// configuration, leases, machine states and the list of routers; Claims decides
// requests that must run at most once; Voters also delivers events to the journal.
// Source and Claims implement interfaces of package router.
package controlclient
