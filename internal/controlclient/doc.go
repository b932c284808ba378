// Package controlclient joins a router to control: Source brings configuration,
// leases, machine states and the list of routers; Claims decides requests that
// run at most once; Journal delivers events. They implement the interfaces of
// package router.
package controlclient
