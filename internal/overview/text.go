package overview

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/samber/lo"
)

// maxListed is how many nodes are listed one by one. More are counted by zone,
// and only those without a lease or behind are listed, so that the whole still
// fits a screen.
const maxListed = 12

const padding = 2

// Print writes the overview as text for a terminal.
func (o *Overview) Print(output io.Writer) error {
	var text strings.Builder
	o.printGroup(&text)
	o.printAttention(&text)
	sections := []func(*tabwriter.Writer){o.printServices, o.printRoutes, o.printNodes, o.printMachines, o.printVoters}
	for _, section := range sections {
		table := tabwriter.NewWriter(&text, 0, 0, padding, ' ', 0)
		section(table)
		if err := table.Flush(); err != nil {
			return err
		}
	}
	_, err := io.WriteString(output, text.String())
	return err
}

func (o *Overview) printGroup(text *strings.Builder) {
	group := o.Group
	if !group.Confirmed {
		fmt.Fprintf(text, "unconfirmed view of voter %d\n", group.AnsweredBy)
	}
	fmt.Fprintf(text, "leader %d  term %d  commit index %d  revision %d  in force everywhere %d\n",
		group.Leader, group.Term, group.Commit, group.Revision, group.InForce)
}

// PrintAttention writes what needs attention.
func (o *Overview) PrintAttention(output io.Writer) error {
	var text strings.Builder
	o.printAttention(&text)
	_, err := io.WriteString(output, text.String())
	return err
}

func (o *Overview) printAttention(text *strings.Builder) {
	if len(o.Attention) == 0 {
		fmt.Fprintln(text, "nothing needs attention")
	}
	for _, notice := range o.Attention {
		fmt.Fprintf(text, "%-8s  %s\n", notice.Severity, notice.Text)
		if notice.Action != "" {
			fmt.Fprintf(text, "%-8s  -> %s\n", "", notice.Action)
		}
	}
}

func (o *Overview) printServices(table *tabwriter.Writer) {
	if len(o.Services) == 0 {
		return
	}
	fmt.Fprintln(table, "\nSERVICE\tGENERATION\tSHARDS\tUNCOVERED\tREPLICAS\tLIVE\tLEAVING\tGONE")
	for _, service := range o.Services {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\n", service.Name, service.GenerationText(), service.Shards,
			len(service.Uncovered), service.Replicas, service.Live, service.Leaving, service.Gone)
	}
}

// GenerationText lists the numbers of the generations.
func (s Service) GenerationText() string {
	return strings.Join(lo.Map(s.Generations, func(number uint32, _ int) string { return fmt.Sprint(number) }), "+")
}

func (o *Overview) printRoutes(table *tabwriter.Writer) {
	if len(o.Routes) == 0 {
		return
	}
	fmt.Fprintln(table, "\nROUTE\tRATE/S\tP50\tP95\tP99\tP99.9\tCOVERAGE\tCOMPLETE\tREFUSED\tFAILED\tLATE")
	for _, route := range o.Routes {
		fmt.Fprintf(table, "%s\t%.1f\t%s\t%s\t%s\t%s\t%.3f%%\t%.2f%%\t%d\t%d\t%d\n", route.Name, route.Rate,
			Milliseconds(route.P50), Milliseconds(route.P95), Milliseconds(route.P99), Milliseconds(route.P999),
			percent*route.Coverage, percent*route.Complete, route.Refused, route.Failed, route.Late)
	}
}

// Milliseconds words a latency with three digits.
func Milliseconds(latency time.Duration) string {
	const three, two = 100, 10
	milliseconds := float64(latency) / float64(time.Millisecond)
	switch {
	case milliseconds >= three:
		return fmt.Sprintf("%.0fms", milliseconds)
	case milliseconds >= two:
		return fmt.Sprintf("%.1fms", milliseconds)
	default:
		return fmt.Sprintf("%.2fms", milliseconds)
	}
}

func (o *Overview) printNodes(table *tabwriter.Writer) {
	if len(o.Nodes) == 0 {
		return
	}
	listed := o.Nodes
	if len(listed) > maxListed {
		o.printZones(table)
		listed = lo.Filter(listed, func(node Node, _ int) bool { return node.Lapsed || node.Revision < o.Group.InForce })
		listed = listed[:min(len(listed), maxListed)]
	}
	if len(listed) == 0 {
		return
	}
	fmt.Fprintln(table, "\nNODE\tROLE\tZONE\tADDRESS\tREVISION\tLEASE\tSEEN\tTHROUGH")
	for _, node := range listed {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s\n", node.Name, node.Role, node.Zone, node.Address,
			node.Revision, node.LeaseText(), node.SeenText(), node.Relay)
	}
}

// LeaseText words the state of the node's lease.
func (n Node) LeaseText() string { return lo.Ternary(n.Lapsed, "lapsed", "live") }

// SeenText words when the node was heard of. A relay vouches for its followers
// and names them only when something changes.
func (n Node) SeenText() string {
	switch {
	case n.Relay != "" && !n.Lapsed:
		return "by its relay"
	case n.SinceSeen < time.Second:
		return n.SinceSeen.Round(time.Millisecond).String() + " ago"
	default:
		return n.SinceSeen.Round(time.Second).String() + " ago"
	}
}

// printZones counts nodes by role and zone.
func (o *Overview) printZones(table *tabwriter.Writer) {
	fmt.Fprintln(table, "\nROLE\tZONE\tLIVE\tLAPSED\tLOWEST REVISION")
	for _, count := range o.Zones() {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\n", count.Role, count.Name, count.Live, count.Lapsed, count.Lowest)
	}
}

func (o *Overview) printMachines(table *tabwriter.Writer) {
	if len(o.Machines) == 0 {
		return
	}
	fmt.Fprintln(table, "\nBACK END\tSTATE\tBY\tSERVES")
	for _, machine := range o.Machines[:min(len(o.Machines), maxListed)] {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", machine.Address, machine.State, machine.Source, machine.Serves)
	}
	if more := len(o.Machines) - maxListed; more > 0 {
		fmt.Fprintf(table, "and %d more\n", more)
	}
}

func (o *Overview) printVoters(table *tabwriter.Writer) {
	fmt.Fprintln(table, "\nVOTER\tADDRESS\tKIND\tBEHIND\tACTIVE\tDISK")
	for _, voter := range o.Group.Voters {
		fmt.Fprintf(table, "%d\t%s\t%s\t%d\t%t\t%s\n", voter.ID, voter.Address, voter.KindText(), voter.Behind, voter.Active,
			lo.CoalesceOrEmpty(voter.DiskError, "ok"))
	}
}

// KindText words what the voter is in the group.
func (v Voter) KindText() string {
	switch {
	case v.Leads:
		return "leader"
	case v.Learner:
		return "learner"
	default:
		return "voter"
	}
}
