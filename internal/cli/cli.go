// Package cli runs programs with sub-commands on top of go-flags. It provides
// help, version, suggestions for mistyped names, and exit codes by cause of
// failure.
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
	// Examples are command lines shown at the end of the help text.
	Examples []string
	Data     any
	Children []Command
}

// commandUser is implemented by options structs that need their own
// flags.Command, to distinguish options set on the command line from defaults.
type commandUser interface{ UseCommand(*flags.Command) }

// Group is the options struct of a command that only has children.
type Group struct{}

type globalOptions struct {
	Version func() `long:"version" description:"Print the version and exit"`
}

// Run parses the arguments, executes the selected command and returns the exit
// code of the process.
func Run(program, summary string, commands []Command, arguments []string) int {
	parser, err := newParser(program, summary, commands)
	if err != nil {
		return reportError(program, err)
	}
	parsed := false
	parser.CommandHandler = func(command flags.Commander, rest []string) error {
		parsed = true
		return executeCommand(command, rest)
	}
	_, err = parser.ParseArgs(arguments)
	var parseError *flags.Error
	if err != nil && !parsed && !errors.As(err, &parseError) {
		// go-flags returns errors of positional arguments without wrapping them
		// in a flags.Error.
		err = exitcode.With(exitcode.Usage, errors.Wrap(err, "an argument can't be read"))
	}
	return reportError(program, addHints(parser, commands, err))
}

// Parse parses the arguments without executing a command.
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
		if err := addCommand(parser.Command, command); err != nil {
			return nil, err
		}
	}
	return parser, nil
}

// executeCommand runs the selected command. It rejects extra arguments, because
// a user would assume that an ignored argument had an effect.
func executeCommand(command flags.Commander, arguments []string) error {
	if command == nil {
		return nil
	}
	if len(arguments) > 0 {
		return exitcode.With(exitcode.Usage, errors.Newf("unexpected argument %q", arguments[0]))
	}
	return command.Execute(arguments)
}

func addCommand(parent *flags.Command, command Command) error {
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
		if err := addCommand(added, child); err != nil {
			return err
		}
	}
	return nil
}

// reportError prints the error of a command and returns its exit code.
func reportError(program string, err error) int {
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
