// Command martenstage runs the roles of the query tier and the operators'
// commands. This package only wires flags to packages.
package main

import (
	"os"

	"github.com/martenstage/martenstage/internal/cli"
)

const summary = "A query tier between callers and sharded, replicated search back ends."

func main() {
	os.Exit(cli.Run("martenstage", summary, commands(), os.Args[1:]))
}

// commands lists the sub-commands; each has a file of its own.
func commands() []cli.Command {
	return []cli.Command{}
}
