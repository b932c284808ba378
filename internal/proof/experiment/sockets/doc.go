// Package sockets runs one variant of an experiment over real sockets: a fleet
// of emulated back ends, routers with their callers' API, and callers, all in
// this process and on loopback addresses. It is the counterpart of package
// virtual; several runs may go side by side, each with back ends of its own.
package sockets
