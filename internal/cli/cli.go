// Package cli runs a program of sub-commands on go-flags: help, version,
// suggestions for mistyped names, and one exit code per cause of failure.
package cli

import (
	"fmt"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/martenstage/martenstage/internal/buildinfo"
	"github.com/martenstage/martenstage/internal/exitcode"
)

// Command is one sub-command. Data is a pointer to an options struct that
// implements flags.Commander, or a parent of Children.
type Command struct {
	Name  string
	Short string
	Long  string
	// Examples are command lines that the help ends with.
	Examples []string
	Data     any
	Children []Command
}

// commandUser is implemented by options structs that need their own
// flags.Command, to tell given options from defaults.
type commandUser interface{ UseCommand(*flags.Command) }

// Group is the options struct of a command that only has children.
type Group struct{}

type globalOptions struct {
	Version func() `long:"version" description:"Print the version and exit"`
}

// Run parses the arguments, executes the chosen command and returns the exit
// code of the process.
func Run(program, summary string, commands []Command, arguments []string) int {
	parser, err := newParser(program, summary, commands)
	if err != nil {
		return report(program, err)
	}
	parsed := false
	parser.CommandHandler = func(command flags.Commander, rest []string) error {
		parsed = true
		return execute(command, rest)
	}
	_, err = parser.ParseArgs(arguments)
	var parseError *flags.Error
	if err != nil && !parsed && !errors.As(err, &parseError) {
		// The library hands errors of positional arguments on as they are.
		err = exitcode.With(exitcode.Usage, errors.Wrap(err, "an argument can't be read"))
	}
	return report(program, explain(parser, commands, err))
}

// Parse parses the arguments and executes nothing.
func Parse(program string, commands []Command, arguments []string) error {
	parser, err := newParser(program, "", commands)
	if err != nil {
		return err
	}
	parser.CommandHandler = func(flags.Commander, []string) error { return nil }
	_, err = parser.ParseArgs(arguments)
	return err
}

func newParser(program, summary string, commands []Command) (*flags.Parser, error) {
	global := &globalOptions{Version: func() {
		fmt.Println(program, buildinfo.String())
		os.Exit(exitcode.OK)
	}}
	parser := flags.NewNamedParser(program, flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription, parser.LongDescription = summary, summary
	if _, err := parser.AddGroup("Program options", "", global); err != nil {
		return nil, err
	}
	for _, command := range commands {
		if err := add(parser.Command, command); err != nil {
			return nil, err
		}
	}
	return parser, nil
}

// execute runs the chosen command. Arguments that it does not take are refused,
// because one that is ignored leaves its reader with a wrong belief.
func execute(command flags.Commander, arguments []string) error {
	if command == nil {
		return nil
	}
	if len(arguments) > 0 {
		return exitcode.With(exitcode.Usage, errors.Newf("unexpected argument %q", arguments[0]))
	}
	return command.Execute(arguments)
}

func add(parent *flags.Command, command Command) error {
	data := command.Data
	if data == nil {
		data = &Group{}
	}
	added, err := parent.AddCommand(command.Name, command.Short, command.Long, data)
	if err != nil {
		return errors.Wrapf(err, "command %s", command.Name)
	}
	if user, ok := data.(commandUser); ok {
		user.UseCommand(added)
	}
	for _, child := range command.Children {
		if err := add(added, child); err != nil {
			return err
		}
	}
	return nil
}

// report prints the error that ended a command and returns its exit code.
func report(program string, err error) int {
	if err == nil {
		return exitcode.OK
	}
	var parseError *flags.Error
	if !errors.As(err, &parseError) {
		fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
		return exitcode.Of(err)
	}
	if parseError.Type == flags.ErrHelp {
		fmt.Println(strings.TrimSuffix(parseError.Message, "\n"))
		return exitcode.OK
	}
	fmt.Fprintf(os.Stderr, "%s: %s\n", program, strings.TrimSpace(parseError.Message))
	return exitcode.Usage
}
