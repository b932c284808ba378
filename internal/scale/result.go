package scale

import (
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is the outcome of a run. The fields up to ControlMB are those of the
// first phase, the stated rates.
type Result struct {
	Routers int `json:"routers"`
	Servers int `json:"servers"`
	Relays  int `json:"relays"`
	Phase
	Phases []Phase `json:"phases"`
	// Sizes of what travels.
	TextBytes int `json:"text_bytes"`
	// Load is the machine's load average at the start and the end; other work
	// on it shows there.
	LoadBefore string    `json:"load_before"`
	LoadAfter  string    `json:"load_after"`
	StartedAt  time.Time `json:"started_at"`
	// JoinSeconds is the time until all followers held the first revision.
	JoinSeconds float64 `json:"join_s"`
}

// Phase is a part of a run at one speed.
type Phase struct {
	// Speed is the factor over the stated rates of changes and restarts; 0 is
	// a phase without either.
	Speed   int64   `json:"speed"`
	Seconds float64 `json:"seconds"`
	// OfferedPerSecond and Accepted count changes.
	OfferedPerSecond  float64 `json:"offered_per_s"`
	Accepted          int     `json:"accepted"`
	AcceptedPerSecond float64 `json:"accepted_per_s"`
	ApplyP50          float64 `json:"apply_p50_s"`
	ApplyMax          float64 `json:"apply_max_s"`
	// InForce is the time from acceptance to installation: by follower and
	// revision for the quantiles, by the last follower for LastP50 and LastMax.
	InForceP50  float64 `json:"in_force_p50_s"`
	InForceP99  float64 `json:"in_force_p99_s"`
	InForceMax  float64 `json:"in_force_max_s"`
	LastP50     float64 `json:"last_follower_p50_s"`
	ReportedP50 float64 `json:"reported_in_force_p50_s"`
	ReportedMax float64 `json:"reported_in_force_max_s"`
	Unreported  int     `json:"unreported"`
	Behind      int     `json:"behind"`
	Gaps        int     `json:"lease_gaps"`
	LongestGap  float64 `json:"longest_gap_s"`
	Churn       Churn   `json:"churn"`
	// Fault is set for a phase with a fault, which runs at the stated rates.
	Fault    Fault     `json:"fault,omitempty"`
	Recovery *Recovery `json:"recovery,omitempty"`
	// Resent counts changes that had to be sent again, because the call failed.
	Resent int `json:"resent"`
	// Follower figures are means over the hollow followers.
	FollowerCorePercent float64 `json:"follower_core_percent"`
	FollowerMB          float64 `json:"follower_mb"`
	FollowerKBPerSecond float64 `json:"follower_kb_per_s"`
	// Relay figures are means over relays, Control figures those of the
	// busiest voter; Router figures are means over real routers.
	RelayCorePercent   float64 `json:"relay_core_percent"`
	RelayMB            float64 `json:"relay_mb"`
	RelayKBPerSecond   float64 `json:"relay_kb_per_s"`
	ControlCorePercent float64 `json:"control_core_percent"`
	ControlMB          float64 `json:"control_mb"`
	ControlKBPerSecond float64 `json:"control_kb_per_s"`
	// ControlCorePercentAll sums all voters up.
	ControlCorePercentAll float64 `json:"control_core_percent_all"`
	// Usages lists processes other than hollow ones and relays one by one.
	Usages []Usage `json:"processes"`
}

// Usage is what one process used in a phase.
type Usage struct {
	Name        string  `json:"name"`
	CorePercent float64 `json:"core_percent"`
	MB          float64 `json:"mb"`
	KBPerSecond float64 `json:"kb_per_s"`
}

const (
	bytesPerMB = 1 << 20
	bytesPerKB = 1 << 10
	percent    = 100
)

// usage compares two samples of a process. Bytes count both directions.
func usage(process Process, before, after sample, seconds float64) Usage {
	used := Usage{
		Name:        process.Name,
		CorePercent: percent * (after.cpu - before.cpu) / seconds,
		MB:          after.resident / bytesPerMB,
		KBPerSecond: (after.read - before.read + after.written - before.written) / bytesPerKB / seconds,
	}
	if process.Role == RoleHollow {
		used.KBPerSecond = (after.received - before.received + after.sent - before.sent) / bytesPerKB / seconds
	}
	return used
}

// setUsages fills in what the processes used between two rounds of samples.
func (p *Phase) setUsages(processes []Process, dead map[string]bool, before, after []sample) {
	byRole := make(map[Role][]Usage)
	followers := 0
	for index, process := range processes {
		if dead[process.Name] {
			continue
		}
		used := usage(process, before[index], after[index], p.Seconds)
		byRole[process.Role] = append(byRole[process.Role], used)
		followers += process.Followers
		if process.Role == RoleControl || process.Role == RoleRouter {
			p.Usages = append(p.Usages, used)
		}
	}
	hollow, relay, control := total(byRole[RoleHollow]), total(byRole[RoleRelay]), largest(byRole[RoleControl])
	if followers > 0 {
		hollow = hollow.over(followers)
	}
	relay = relay.over(max(len(byRole[RoleRelay]), 1))
	p.FollowerCorePercent, p.FollowerMB, p.FollowerKBPerSecond = hollow.CorePercent, hollow.MB, hollow.KBPerSecond
	p.RelayCorePercent, p.RelayMB, p.RelayKBPerSecond = relay.CorePercent, relay.MB, relay.KBPerSecond
	p.ControlCorePercent, p.ControlMB, p.ControlKBPerSecond = control.CorePercent, control.MB, control.KBPerSecond
	p.ControlCorePercentAll = total(byRole[RoleControl]).CorePercent
}

// setSubmitted fills in what became of the phase's changes.
func (p *Phase) setSubmitted(sent submitted) {
	p.Accepted = len(sent.accepted)
	p.AcceptedPerSecond = float64(len(sent.accepted)) / p.Seconds
	p.ApplyP50, p.ApplyMax = middleAndMax(sent.took)
	p.Resent = sent.resent
}

func total(usages []Usage) Usage {
	var sum Usage
	for _, used := range usages {
		sum.CorePercent += used.CorePercent
		sum.MB += used.MB
		sum.KBPerSecond += used.KBPerSecond
	}
	return sum
}

func largest(usages []Usage) Usage {
	var most Usage
	for _, used := range usages {
		most.CorePercent = max(most.CorePercent, used.CorePercent)
		most.MB = max(most.MB, used.MB)
		most.KBPerSecond = max(most.KBPerSecond, used.KBPerSecond)
	}
	return most
}

func (u Usage) over(count int) Usage {
	divisor := float64(count)
	return Usage{CorePercent: u.CorePercent / divisor, MB: u.MB / divisor, KBPerSecond: u.KBPerSecond / divisor}
}

// setReports merges what the fleets report of a phase's revisions.
func (p *Phase) setReports(accepted []Accepted, reports []Report) {
	delays := newDelays()
	last := make([]time.Time, len(accepted))
	for _, report := range reports {
		if report.Delays != nil {
			delays.Merge(hdrhistogram.Import(report.Delays))
		}
		for index, at := range report.Last {
			if at.After(last[index]) {
				last[index] = at
			}
		}
		p.Behind += report.Behind
		p.Gaps += report.Gaps
		p.LongestGap = max(p.LongestGap, report.LongestGap.Seconds())
		p.Churn.Restarts += report.Churn.Restarts
		p.Churn.Replacements += report.Churn.Replacements
		p.Churn.Failures += report.Churn.Failures
	}
	const p50, p99 = 50, 99
	p.InForceP50 = seconds(delays.ValueAtPercentile(p50))
	p.InForceP99 = seconds(delays.ValueAtPercentile(p99))
	p.InForceMax = seconds(delays.Max())
	var slowest []float64
	for index, at := range last {
		if !at.IsZero() {
			slowest = append(slowest, max(0, at.Sub(accepted[index].At).Seconds()))
		}
	}
	p.LastP50, _ = middleAndMax(slowest)
}

func seconds(microseconds int64) float64 {
	return (time.Duration(microseconds) * time.Microsecond).Seconds()
}

func middleAndMax(values []float64) (middle, most float64) {
	if len(values) == 0 {
		return 0, 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[len(sorted)/2], sorted[len(sorted)-1]
}

// loadAverage reads the first three numbers of a Linux load average.
func loadAverage(text string) string {
	const averages = 3
	fields := strings.Fields(text)
	return strings.Join(fields[:min(averages, len(fields))], " ")
}
