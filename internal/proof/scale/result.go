package scale

import (
	"slices"
	"strings"
	"time"
)

// Result is the outcome of a run. The fields up to ControlMB are those of the
// first phase, the stated rates.
type Result struct {
	Regions int `json:"regions"`
	Routers int `json:"routers"`
	Servers int `json:"servers"`
	Relays  int `json:"relays"`
	Voters  int `json:"voters"`
	Phase
	Phases []Phase `json:"phases"`
	// TextBytes is the size of the largest region's configuration.
	TextBytes int `json:"text_bytes"`
	// Load is the machine's load average at the start and the end; other work
	// on it shows there.
	LoadBefore string    `json:"load_before"`
	LoadAfter  string    `json:"load_after"`
	StartedAt  time.Time `json:"started_at"`
	// JoinSeconds is the time until all followers held the first revision.
	JoinSeconds float64 `json:"join_s"`
	// Join is what the start of all processes took until then.
	Join Join `json:"join"`
}

// Join is what processes used from their start until all followers held the
// first revision. Followers' figures are means; the others are those of the
// process that used most.
type Join struct {
	FollowerCPUSeconds float64 `json:"follower_cpu_s"`
	FollowerKB         float64 `json:"follower_kb"`
	RelayCPUSeconds    float64 `json:"relay_cpu_s"`
	RelayKB            float64 `json:"relay_kb"`
	ControlCPUSeconds  float64 `json:"control_cpu_s"`
	ControlKB          float64 `json:"control_kb"`
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
	// ControlStoredKBPerSecond is what the busiest voter has written to disk.
	ControlStoredKBPerSecond float64 `json:"control_stored_kb_per_s"`
	// ControlCorePercentAll sums all voters up, RelayCorePercentAll all relays.
	ControlCorePercentAll float64 `json:"control_core_percent_all"`
	RelayCorePercentAll   float64 `json:"relay_core_percent_all"`
	// ForeignPlans counts plans with services of another region.
	ForeignPlans int `json:"foreign_plans"`
	// ByRegion has the same figures for each region, when there are several.
	ByRegion []Phase `json:"by_region,omitempty"`
	// Usages lists processes other than hollow ones and relays one by one.
	Usages []Usage `json:"processes"`
}

// Usage is what one process used in a phase.
type Usage struct {
	Name        string  `json:"name"`
	CorePercent float64 `json:"core_percent"`
	MB          float64 `json:"mb"`
	KBPerSecond float64 `json:"kb_per_s"`
	// StoredKBPerSecond is what was written to a disk.
	StoredKBPerSecond float64 `json:"stored_kb_per_s"`
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
