package scale

const (
	bytesPerMB = 1 << 20
	bytesPerKB = 1 << 10
	percent    = 100
)

// usage compares two samples of a process. Bytes count both directions.
func usage(process Process, before, after sample, seconds float64) Usage {
	used := Usage{
		Name:              process.Name,
		CorePercent:       percent * (after.cpu - before.cpu) / seconds,
		MB:                after.resident / bytesPerMB,
		KBPerSecond:       (after.read - before.read + after.written - before.written) / bytesPerKB / seconds,
		StoredKBPerSecond: (after.stored - before.stored) / bytesPerKB / seconds,
	}
	if process.Role == RoleHollow || process.Role == RoleSingle {
		used.KBPerSecond = (after.received - before.received + after.sent - before.sent) / bytesPerKB / seconds
	}
	return used
}

// usages is what processes used in a phase.
type usages struct {
	processes []Process
	used      []Usage
}

// setUsages fills in what processes used.
func (p *Phase) setUsages(measured usages) {
	byRole := make(map[Role][]Usage)
	for index, process := range measured.processes {
		used := measured.used[index]
		byRole[process.Role] = append(byRole[process.Role], used)
		if process.Role != RoleHollow && process.Role != RoleRelay {
			p.Usages = append(p.Usages, used)
		}
	}
	hollow := total(byRole[RoleHollow]).over(max(followersOf(measured.processes), 1))
	relays, voters := total(byRole[RoleRelay]), total(byRole[RoleControl])
	relay, control := relays.over(max(len(byRole[RoleRelay]), 1)), largest(byRole[RoleControl])
	p.FollowerCorePercent, p.FollowerMB, p.FollowerKBPerSecond = hollow.CorePercent, hollow.MB, hollow.KBPerSecond
	p.RelayCorePercent, p.RelayMB, p.RelayKBPerSecond = relay.CorePercent, relay.MB, relay.KBPerSecond
	p.ControlCorePercent, p.ControlMB, p.ControlKBPerSecond = control.CorePercent, control.MB, control.KBPerSecond
	p.ControlStoredKBPerSecond = control.StoredKBPerSecond
	p.ControlCorePercentAll, p.RelayCorePercentAll = voters.CorePercent, relays.CorePercent
}

func total(usages []Usage) Usage {
	var sum Usage
	for _, used := range usages {
		sum.CorePercent += used.CorePercent
		sum.MB += used.MB
		sum.KBPerSecond += used.KBPerSecond
		sum.StoredKBPerSecond += used.StoredKBPerSecond
	}
	return sum
}

func largest(usages []Usage) Usage {
	var most Usage
	for _, used := range usages {
		most.CorePercent = max(most.CorePercent, used.CorePercent)
		most.MB = max(most.MB, used.MB)
		most.KBPerSecond = max(most.KBPerSecond, used.KBPerSecond)
		most.StoredKBPerSecond = max(most.StoredKBPerSecond, used.StoredKBPerSecond)
	}
	return most
}

func (u Usage) over(count int) Usage {
	divisor := float64(count)
	return Usage{
		CorePercent: u.CorePercent / divisor, MB: u.MB / divisor,
		KBPerSecond: u.KBPerSecond / divisor, StoredKBPerSecond: u.StoredKBPerSecond / divisor,
	}
}

// joined sums up what processes used since they started. Over a second, the
// differences that usage forms are totals.
func joined(processes []Process, taken []sample) Join {
	byRole := make(map[Role][]Usage)
	for index, process := range processes {
		byRole[process.Role] = append(byRole[process.Role], usage(process, sample{}, taken[index], 1))
	}
	follower := total(byRole[RoleHollow]).over(max(followersOf(processes), 1))
	relay, control := largest(byRole[RoleRelay]), largest(byRole[RoleControl])
	return Join{
		FollowerCPUSeconds: follower.CorePercent / percent, FollowerKB: follower.KBPerSecond,
		RelayCPUSeconds: relay.CorePercent / percent, RelayKB: relay.KBPerSecond,
		ControlCPUSeconds: control.CorePercent / percent, ControlKB: control.KBPerSecond,
	}
}
