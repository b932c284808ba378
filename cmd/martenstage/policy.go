package main

import (
	"bytes"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/cli"
	"github.com/martenstage/martenstage/internal/exitcode"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/policy"
)

// policyCommands are the commands under "policy". They work on files alone and
// need no control server.
func policyCommands() []cli.Command {
	return []cli.Command{
		{Name: "check", Short: "Check a configuration file", Data: &policyCheck{},
			Long: "Compiles a configuration and prints every error with its place. Exits with 1 when there is one."},
		{Name: "explain", Short: "Describe what a configuration does with requests", Data: &policyExplain{},
			Long: "Describes for one route, or all: whom it asks, how long it waits, the extra load, and what decides."},
		{Name: "format", Short: "Write a configuration in canonical form", Data: &policyFormat{},
			Long: "Prints the canonical form, or writes it to the file with --write. Comments are kept."},
		{Name: "lint", Short: "Look for likely mistakes and risks", Data: &policyLint{},
			Long: "Prints what compiles and is yet likely a mistake or a risk, such as a group with a single replica. Exits with 1 when there is any."},
		{Name: "diff", Short: "Describe what a change of configuration touches", Data: &policyDiff{},
			Long: "Compares two files: which routes, services, groups, replicas and connections the change touches."},
	}
}

// policyFile is the argument of commands that read one file.
type policyFile struct {
	Arguments struct {
		File string `positional-arg-name:"FILE" description:"File with the configuration; - reads standard input"`
	} `positional-args:"yes" required:"yes"`
}

// compileFile compiles a file and prints every error on its own lines, so that
// editors find the places.
func compileFile(file string) (*plan.Plan, error) {
	text, err := readText(file)
	if err != nil {
		return nil, err
	}
	return compileText(file, text)
}

func compileText(file, text string) (*plan.Plan, error) {
	compiled, err := policy.Compile(file, []byte(text))
	return compiled, printProblems(file, err)
}

// printProblems prints the errors of a text and returns their count as the
// error of the command.
func printProblems(file string, err error) error {
	var problems policy.Problems
	if !errors.As(err, &problems) {
		return err
	}
	fmt.Fprintln(os.Stderr, problems.Error())
	return exitcode.With(exitcode.Failure, errors.Newf("%s: %s", file, counted(len(problems), "error")))
}

func counted(count int, noun string) string {
	if count == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", count, noun)
}

type policyCheck struct{ policyFile }

// Execute implements flags.Commander.
func (c *policyCheck) Execute([]string) error {
	compiled, err := compileFile(c.Arguments.File)
	if err != nil {
		return err
	}
	replicas := 0
	for _, service := range compiled.Services {
		for _, generation := range service.Generations {
			for _, shard := range generation.Shards {
				replicas += len(shard.Replicas)
			}
		}
	}
	fmt.Printf("%s: OK: %s, %s, %s\n", c.Arguments.File, counted(len(compiled.Services), "service"),
		counted(replicas, "replica"), counted(len(compiled.Routes)+len(compiled.RemoteRoutes), "route"))
	return nil
}

type policyExplain struct {
	Route string `long:"route" value-name:"NAME" description:"Describe this route only"`
	policyFile
}

// Execute implements flags.Commander.
func (c *policyExplain) Execute([]string) error {
	compiled, err := compileFile(c.Arguments.File)
	if err != nil {
		return err
	}
	routes := []string{c.Route}
	if c.Route == "" {
		routes = nil
		for _, route := range compiled.Routes {
			routes = append(routes, route.Name)
		}
		for _, route := range compiled.RemoteRoutes {
			routes = append(routes, route.Name)
		}
	}
	for index, route := range routes {
		text, err := policy.Explain(compiled, route)
		if err != nil {
			return err
		}
		if index > 0 {
			fmt.Println()
		}
		fmt.Print(text)
	}
	return nil
}

type policyFormat struct {
	Write bool `long:"write" description:"Write the file in place"`
	policyFile
}

// Execute implements flags.Commander.
func (c *policyFormat) Execute([]string) error {
	text, err := readText(c.Arguments.File)
	if err != nil {
		return err
	}
	formatted, err := policy.Format(c.Arguments.File, text)
	if err != nil {
		return printProblems(c.Arguments.File, err)
	}
	if !c.Write || c.Arguments.File == "-" {
		fmt.Print(formatted)
		return nil
	}
	if bytes.Equal([]byte(text), []byte(formatted)) {
		return nil
	}
	return replaceFile(c.Arguments.File, []byte(formatted))
}

// replaceFile writes a new file and renames it, so that a crash can not leave
// half of a configuration behind.
func replaceFile(path string, content []byte) error {
	status, err := os.Stat(path)
	if err != nil {
		return err
	}
	temporary := path + ".new"
	if err := os.WriteFile(temporary, content, status.Mode().Perm()); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}

type policyLint struct{ policyFile }

// Execute implements flags.Commander.
func (c *policyLint) Execute([]string) error {
	text, err := readText(c.Arguments.File)
	if err != nil {
		return err
	}
	warnings, err := policy.LintText(c.Arguments.File, []byte(text))
	if err != nil {
		return printProblems(c.Arguments.File, err)
	}
	for _, warning := range warnings {
		fmt.Println(warning)
	}
	if len(warnings) > 0 {
		return exitcode.With(exitcode.Failure, errors.Newf("%s: %s", c.Arguments.File, counted(len(warnings), "warning")))
	}
	fmt.Printf("%s: no warnings\n", c.Arguments.File)
	return nil
}

type policyDiff struct {
	Arguments struct {
		Old string `positional-arg-name:"OLD" description:"File with the configuration in force"`
		New string `positional-arg-name:"NEW" description:"File with the configuration to apply"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *policyDiff) Execute([]string) error {
	before, err := compileFile(c.Arguments.Old)
	if err != nil {
		return err
	}
	after, err := compileFile(c.Arguments.New)
	if err != nil {
		return err
	}
	for _, line := range plan.Diff(before, after).Lines() {
		fmt.Println(line)
	}
	return nil
}
