package main

import (
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/loadview"
)

// maxListedServers bounds the servers in trouble that are listed of one service.
const maxListedServers = 8

// loadCommand lists the load of services and routes.
type loadCommand struct {
	Arguments directoryAddress `positional-args:"yes" required:"yes"`
	Most      int              `long:"most" default:"50" description:"Most services to list, those with the most servers in trouble first"`
}

// Execute implements flags.Commander.
func (c *loadCommand) Execute([]string) error {
	list, err := askDirectory(c.Arguments.Address, directory.ListLoad)
	if err != nil {
		return err
	}
	return writeLoad(os.Stdout, list, max(0, c.Most))
}

// writeLoad writes at most a number of services, and all nodes, routes and tenants.
func writeLoad(writer io.Writer, list directory.LoadList, most int) error {
	age := "no view published"
	if list.Age >= 0 {
		age = "view of " + shortTime(list.Age) + " ago"
	}
	routers := lo.SumBy(list.Nodes, func(n loadview.NodeSummary) int { return n.Routers })
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "term %d, revision %d, %s, %d routers at %d nodes\n\n", list.Term, list.Revision, age, routers, len(list.Nodes))
	fmt.Fprintln(table, "SERVICE\tDEMAND\tCAPACITY\tROOM\tWAITING\tSINCE\tSERVERS IN TROUBLE")
	for _, service := range list.Services[:min(most, len(list.Services))] {
		fmt.Fprintf(table, "%s\t%.1f\t%.1f\t%.1f\t%d\t%s\t%s\n", service.Service, service.Demand, service.Capacity,
			max(0, service.Capacity-service.Demand), service.Waiting, shortTime(service.Since), serversText(service.Servers))
	}
	fmt.Fprintln(table, "\nROUTE\tOFFERED/S\tADMITTED/S\tWORK\tSHARE\tBOTTLENECK\tSINCE")
	for _, route := range list.Routes {
		entry := lo.FromPtrOr(route.Admission, loadview.RouteState{Fraction: 1})
		since := "-"
		if route.Admission != nil {
			since = shortTime(entry.Since)
		}
		fmt.Fprintf(table, "%s\t%.1f\t%.1f\t%s\t%.2f\t%s\t%s\n", route.Route, route.Offered, route.Admitted, shortTime(route.Work),
			entry.Fraction, lo.CoalesceOrEmpty(entry.Bottleneck, "-"), since)
	}
	fmt.Fprintln(table, "\nTENANT\tSHARE")
	for _, tenant := range list.Tenants {
		fmt.Fprintf(table, "%s\t%.2f\n", tenant.Tenant, tenant.Share)
	}
	return table.Flush()
}

// serversText returns the servers in trouble with their condition, figures and age.
func serversText(servers []loadview.ServerState) string {
	texts := lo.Map(lo.Slice(servers, 0, maxListedServers), func(server loadview.ServerState, _ int) string {
		return fmt.Sprintf("%s %s (pace %.1f, refusals %.2f, %s ago)", server.ID, server.Condition, server.Pace, server.Refusals, shortTime(server.Age))
	})
	if more := len(servers) - len(texts); more > 0 {
		texts = append(texts, fmt.Sprintf("and %d more", more))
	}
	return strings.Join(texts, ", ")
}

// shortTime returns a duration with at most three digits of a second.
func shortTime(duration time.Duration) string { return duration.Round(time.Millisecond).String() }
