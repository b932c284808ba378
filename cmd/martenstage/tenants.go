package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/exitcode"
	"github.com/martenstage/martenstage/internal/quota"
	"github.com/martenstage/martenstage/internal/settings"
)

// tenantsCommand lists what tenants use of their limits.
type tenantsCommand struct {
	Arguments struct {
		Address string `positional-arg-name:"IP:PORT" description:"Peer address of a directory node"`
	} `positional-args:"yes" required:"yes"`
	Most int `long:"most" default:"50" description:"Most tenants to list, those refused most first"`
}

// tenantsTimeout bounds the call.
const tenantsTimeout = 2 * time.Second

// Execute implements flags.Commander.
func (c *tenantsCommand) Execute([]string) error {
	if _, err := settings.ParseAddress(c.Arguments.Address); err != nil {
		return exitcode.With(exitcode.Usage, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), tenantsTimeout)
	defer cancel()
	list, err := directory.ListTenants(ctx, c.Arguments.Address)
	if err != nil {
		return exitcode.With(exitcode.Unavailable, err)
	}
	fmt.Printf("document %d, %d tenants with a limit, counted since the leader leads\n", list.Version, len(list.Tenants))
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "TENANT\tRATE/S\tBURST\tTOKENS LEFT\tPASSED\tREFUSED\t")
	for _, used := range list.Tenants[:min(max(0, c.Most), len(list.Tenants))] {
		fmt.Fprintf(table, "%s\t%g\t%g\t%.1f\t%d\t%d\t%s\n", used.Tenant, used.Rate, used.Burst, used.Tokens, used.Spent, used.Refused, meteredWord(used))
	}
	return table.Flush()
}

func meteredWord(used quota.Usage) string {
	if used.Metered {
		return "metered"
	}
	return ""
}
