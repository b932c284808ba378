package simulation

import (
	"time"

	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/lease"
)

// diskTroubleInReplacement replaces a voter while the disks of the others are
// slow or fail, and while the machine that replaces it dies in the middle of a
// write, so that its disk holds all of the write, the snapshot alone or nothing.
func diskTroubleInReplacement(w *World) {
	random := w.drawer()
	voters := names(w.layout.voters)
	random.Shuffle(len(voters), func(left, right int) { voters[left], voters[right] = voters[right], voters[left] })
	const least = 2 * time.Second
	at := faultsBegin + time.Duration(random.IntN(3000))*time.Millisecond
	w.schedule(Fault{Kind: FaultReplace, Node: voters[0], At: at})
	for _, node := range voters[1:] {
		w.schedule(Fault{Kind: FaultDiskSlow, Node: node, At: at + time.Duration(random.IntN(500))*time.Millisecond,
			For: least + time.Duration(random.IntN(4000))*time.Millisecond, Amount: 50 + random.IntN(1500)})
	}
	for range 3 {
		w.schedule(Fault{Kind: FaultCrash, Node: voters[0], At: at + time.Duration(random.IntN(6000))*time.Millisecond,
			For: time.Duration(50+random.IntN(1000)) * time.Millisecond})
	}
	w.schedule(Fault{Kind: FaultDiskFail, Node: lo.SampleBy(voters, random.IntN), At: at + time.Duration(random.IntN(8000))*time.Millisecond,
		For: least})
	for step := range 5 {
		w.schedule(Fault{Kind: FaultRace, At: at + time.Duration(step)*2*time.Second, Amount: random.IntN(len(w.layout.variants))})
	}
}

// pausedLeader pauses whoever leads for longer than a lease lasts, twice, while
// every clock runs as fast or as slow as the bound allows, operators make
// changes, and a router is paused that holds a lease of that leader.
func pausedLeader(w *World) {
	random := w.drawer()
	w.driftAtBound = true
	const gap, chances = 500 * time.Millisecond, 2
	for _, at := range []time.Duration{faultsBegin, faultsBegin + 11*time.Second} {
		at += time.Duration(random.IntN(500)) * time.Millisecond
		length := lease.Lengthened(lease.DefaultDuration) + time.Duration(random.IntN(400))*time.Millisecond
		w.queue.At(at, func() {
			for _, v := range w.voters {
				if w.voterOf(v.state.Leader) == v {
					w.schedule(Fault{Kind: FaultFreeze, Node: v.name(), At: at, For: length})
					return
				}
			}
		})
		if random.IntN(chances) == 0 {
			w.schedule(Fault{Kind: FaultFreeze, Node: lo.SampleBy(w.layout.routers, random.IntN).name,
				At: at + gap, For: length - time.Duration(random.IntN(3000))*time.Millisecond})
		}
		for step := range 4 {
			w.schedule(Fault{Kind: FaultRace, At: at + gap + time.Duration(step)*2*time.Second, Amount: random.IntN(len(w.layout.variants))})
		}
	}
}

// returnBeforeTheList lets back ends leave and return, and leave again, faster
// than the platform's list follows: it calls them leaving while they are back,
// and live while they leave.
func returnBeforeTheList(w *World) {
	random := w.drawer()
	w.platformLag = 2*time.Second + time.Duration(random.IntN(8000))*time.Millisecond
	for range 3 {
		node := lo.SampleBy(w.layout.backendNames(), random.IntN)
		at := faultsBegin + time.Duration(random.IntN(8000))*time.Millisecond
		for range 3 {
			away := time.Second + time.Duration(random.IntN(4000))*time.Millisecond
			if at+away > w.layout.faultsEnd {
				break
			}
			w.schedule(Fault{Kind: FaultDrain, Node: node, At: at, For: away})
			at += away + time.Duration(300+random.IntN(3000))*time.Millisecond
		}
	}
}
