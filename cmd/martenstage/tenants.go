package main

import (
	"fmt"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/quota"
)

// tenantsCommand lists what tenants use of their limits.
type tenantsCommand struct {
	Arguments directoryAddress `positional-args:"yes" required:"yes"`
	Most      int              `long:"most" default:"50" description:"Most tenants to list, those refused most first"`
}

// Execute implements flags.Commander.
func (c *tenantsCommand) Execute([]string) error {
	list, err := askDirectory(c.Arguments.Address, directory.ListTenants)
	if err != nil {
		return err
	}
	fmt.Printf("document %d, %d tenants with a limit, counted since the leader leads\n", list.Version, len(list.Tenants))
	table := newTable()
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
