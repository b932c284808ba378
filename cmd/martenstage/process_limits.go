package main

import (
	"runtime/debug"

	"golang.org/x/sys/unix"

	"github.com/martenstage/martenstage/internal/httpdrain"
	"github.com/martenstage/martenstage/internal/voter"
)

// Shares of a process's memory, in percent.
const (
	// collectorShare is what garbage collection aims to stay below; the rest is for stacks and
	// what the runtime holds besides.
	collectorShare = 80
	// intakeShare is what requests may take that are being read or served.
	intakeShare = 25
	// replyShare is what replies of servers may take that are being received.
	replyShare = 15
	// connectionShare is what the connections of one listener may take while they rest.
	connectionShare = 10
)

// snapshotShare is the share of the memory, in tenths of a percent, that the entries of the log may
// take between two snapshots. Those since the last but one are held in memory and in the mapped file,
// and a change makes several copies of its entry.
const snapshotShare = 15

// restingConnectionCost is the memory of a connection without a request, in bytes.
const restingConnectionCost = 20 << 10

// minConnections are allowed at every listener, however small the limits.
const minConnections = 16

// processLimits are what a process may use.
type processLimits struct {
	memory      int64
	descriptors int64
	// intake bounds the requests at all listeners of the process.
	intake *httpdrain.Intake
}

// newProcessLimits returns the limits of the settings. A zero stands for what the system allows.
func newProcessLimits(memory, descriptors int64) processLimits {
	if memory == 0 {
		memory = systemMemory()
	}
	if descriptors == 0 {
		descriptors = openFileLimit()
	}
	return processLimits{memory: memory, descriptors: descriptors, intake: httpdrain.NewIntake(memory * intakeShare / 100)}
}

// apply has garbage collection keep within the memory.
func (l processLimits) apply() { debug.SetMemoryLimit(l.memory * collectorShare / 100) }

// replies returns how much memory replies of servers may take, in bytes.
func (l processLimits) replies() int64 { return l.memory * replyShare / 100 }

// connections returns how many connections a listener may have that may use a share of the
// descriptors, in percent.
func (l processLimits) connections(share int64) int {
	return int(max(minConnections, min(l.descriptors*share/100, l.memory*connectionShare/100/restingConnectionCost)))
}

// snapshotBytes returns the size of a directory's log after which it is replaced by a snapshot.
func (l processLimits) snapshotBytes() uint64 {
	return min(voter.DefaultSnapshotBytes, uint64(l.memory)*snapshotShare/1000)
}

// assumedMemory and assumedDescriptors apply where the system does not tell.
const (
	assumedMemory      = 256 << 20
	assumedDescriptors = 1024
)

// systemMemory returns the memory of the machine, in bytes.
func systemMemory() int64 {
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) != nil || info.Totalram == 0 {
		return assumedMemory
	}
	return int64(info.Totalram) * int64(info.Unit)
}

// openFileLimit returns how many descriptors the process may open.
func openFileLimit() int64 {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil {
		return assumedDescriptors
	}
	return int64(min(limit.Cur, 1<<20))
}
