// Command standin plays one case of the review: it starts the project's own programs as
// separate processes on loopback addresses, stands for servers, clients, the operator and the
// platform as the pages of the users tell them, and judges by what these have seen.
//
//	standin CASE ROOT FOLDER RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

func main() {
	cases := map[string]func(*site) bool{"expired": expired, "surplus": surplus, "unheard": unheard}
	if len(os.Args) != 5 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin CASE ROOT FOLDER RECORD")
		os.Exit(exitNotRun)
	}
	played := newSite(os.Args[2], os.Args[3], os.Args[4], os.Getenv("TROUBLE") != "0")
	broken := cases[os.Args[1]](played)
	played.end()
	if broken {
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}
