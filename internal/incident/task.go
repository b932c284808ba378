package incident

import (
	"fmt"
	"slices"
	"strings"

	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/journal"
)

// Task is something that only a person can do.
type Task struct {
	// About names what it is done to.
	About string `json:"about"`
	Do    string `json:"do"`
	// Page is the operators' page that says how, under docs/operate.
	Page string `json:"page,omitempty"`
}

// advice is what a person does about a class of incidents.
type advice struct {
	class Class
	// open is said while an incident goes on, over once none does; empty for
	// nothing to do.
	open, over string
	page       string
}

// advices are in the order of urgency.
var advices = []advice{
	{
		class: ShardUncovered, page: "morning-report.md",
		open: "no replica of this shard takes work: start or replace one of its back ends now",
		over: "it is covered again; find out why all its replicas were away at once, and consider one more replica",
	},
	{
		class: VoterLost, page: "replacing-a-control-machine.md",
		open: "look at the machine; if it is gone for good, replace the voter before a second one fails",
	},
	{
		class: DiskFailed, page: "replacing-a-control-machine.md",
		open: "the process does not trust its disk any more: check the disk, then restart or replace the process",
		over: "the process was restarted after its disk failed; check the disk before it fails again",
	},
	{
		class: LeaseLost, page: "relays.md",
		open: "the process serves nothing or is gone: start it, or check its way to control and the relays",
	},
	{
		class: RegionLost, page: "regions.md",
		open: "requests for this region's routes are refused at once; check the way between the regions and that its entry routers run",
	},
	{
		class: RelayLost, page: "relays.md",
		open: "its followers moved to other relays; start it again so that these are not overloaded by the next loss",
	},
	{
		class: ReplicaEjected, page: "tails.md",
		open: "routers send it no work because its attempts failed or it does not answer; look at the back end's own log",
	},
	{
		class: Crashed, page: "morning-report.md",
		over: "it was killed or crashed, and was started again; look at the end of its log and at the machine's, for want of memory above all",
	},
	{
		class: DiskSlow, page: "replacing-a-control-machine.md",
		over: "writes took over a second; look for what else uses the disk",
	},
	{
		class: BadEcho, page: "morning-report.md",
		over: "this back end answered another request than the one it was asked; none of it was merged. Take it out of use and report it to its owners",
	},
	{
		class: SurgeRefused, page: "overload.md",
		over: "load was refused to keep the rest in time; compare the hour with capacity",
	},
	{
		class: EventsDropped, page: "morning-report.md",
		over: "this report is incomplete: the process had no room for events until control was back",
	},
}

// tasksOf lists what is left to do: one task for a class, open incidents first.
func tasksOf(report *Report) []Task {
	var urgent, later []Task
	for _, known := range advices {
		found := lo.Filter(report.Failures, func(one *Incident, _ int) bool { return one.Class == known.class })
		open, over := partition(found)
		if len(open) > 0 && known.open != "" {
			urgent = append(urgent, Task{About: subjects(open), Do: known.open, Page: known.page})
		}
		if len(over) > 0 && known.over != "" {
			later = append(later, Task{About: subjects(over), Do: known.over, Page: known.page})
		}
	}
	return append(append(urgent, later...), changeTasks(report)...)
}

func changeTasks(report *Report) []Task {
	refused := lo.Filter(report.Moments, func(moment Moment, _ int) bool { return moment.Kind == journal.KindChangeRefused })
	if len(refused) == 0 {
		return nil
	}
	last := refused[len(refused)-1]
	return []Task{{
		About: fmt.Sprintf("%d refused changes", lo.SumBy(refused, func(moment Moment) uint64 { return moment.Count })),
		Do:    "none of them is in force; their authors may have to submit again. The last: " + last.Detail,
		Page:  "morning-report.md",
	}}
}

func partition(found []*Incident) (open, over []*Incident) {
	return lo.FilterReject(found, func(one *Incident, _ int) bool { return one.Open() })
}

// subjects names what incidents are about, a few of them by name.
func subjects(found []*Incident) string {
	const named = 5
	names := lo.Uniq(lo.Map(found, func(one *Incident, _ int) string { return one.About() }))
	slices.Sort(names)
	if len(names) <= named {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:named], ", "), len(names)-named)
}

// About names what the incident is about.
func (i *Incident) About() string {
	place := strings.Trim(i.Service+"/"+i.Shard, "/")
	switch {
	case i.Subject == "":
		return place
	case place == "":
		return i.Subject
	default:
		return i.Subject + " (" + place + ")"
	}
}
