package main

import (
	"fmt"
	"net/netip"
	"path/filepath"
	"time"

	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/cli"
	"github.com/martenstage/martenstage/internal/exitcode"
	"github.com/martenstage/martenstage/internal/keys"
)

// keysCommands are the commands of a site's authority.
func keysCommands() []cli.Command {
	return []cli.Command{
		{
			Name: "init", Short: "Make a site's authority",
			Long: "Makes a new authority in a folder. Keep the folder off the machines of the fleet.", Data: &keysInitCommand{},
		},
		{
			Name: "issue", Short: "Issue the certificate of a process or an operator",
			Long: "Writes NAME.crt and NAME.key into the authority's folder.", Data: &keysIssueCommand{},
		},
	}
}

// keysInitCommand makes an authority.
type keysInitCommand struct {
	Folder string `long:"folder" required:"yes" description:"Folder of the authority"`
}

// Execute implements flags.Commander.
func (c *keysInitCommand) Execute([]string) error {
	if err := keys.Init(c.Folder, time.Now()); err != nil {
		return err
	}
	fmt.Println(filepath.Join(c.Folder, keys.AuthorityCertificateFile))
	return nil
}

// keysIssueCommand issues a certificate.
type keysIssueCommand struct {
	Folder    string   `long:"folder" required:"yes" description:"Folder of the authority"`
	Name      string   `long:"name" required:"yes" description:"Name of the process or operator, as in its settings"`
	Role      string   `long:"role" required:"yes" choice:"control" choice:"relay" choice:"router" choice:"operator" choice:"platform" description:"What the holder may call and serve"`
	Addresses []string `long:"address" value-name:"IP" description:"IP address that the holder serves at; repeat it for several"`
	Days      int      `long:"days" default:"365" description:"How many days the certificate is valid"`
	Replace   bool     `long:"replace" description:"Write over the files of an earlier certificate of the name"`
}

const day = 24 * time.Hour

// Execute implements flags.Commander.
func (c *keysIssueCommand) Execute([]string) error {
	addresses := make([]netip.Addr, 0, len(c.Addresses))
	for _, text := range lo.Uniq(c.Addresses) {
		address, err := netip.ParseAddr(text)
		if err != nil {
			return exitcode.With(exitcode.Usage, err)
		}
		addresses = append(addresses, address)
	}
	err := keys.Issue(c.Folder, keys.Request{
		Name: c.Name, Role: keys.Role(c.Role), Addresses: addresses,
		Lifetime: time.Duration(c.Days) * day, Replace: c.Replace,
	}, time.Now())
	if err != nil {
		return err
	}
	fmt.Println(filepath.Join(c.Folder, c.Name+".crt"))
	return nil
}
