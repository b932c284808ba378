package cli

import (
	"fmt"
	"regexp"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
	"github.com/samber/lo"

	"github.com/martenstage/martenstage/internal/nearest"
)

// addHints adds hints to the messages of the parser: examples to help texts, the
// closest name to an unknown option, the environment variables of missing options
// and how to get help.
func addHints(parser *flags.Parser, commands []Command, err error) error {
	var parseError *flags.Error
	if !errors.As(err, &parseError) {
		return err
	}
	names := activeCommandPath(parser)
	if parseError.Type == flags.ErrHelp {
		return &flags.Error{Type: parseError.Type, Message: parseError.Message + examplesText(findCommand(commands, names[1:]))}
	}
	message := parseError.Message
	switch parseError.Type {
	case flags.ErrUnknownFlag:
		message += optionHint(parser, message)
	case flags.ErrRequired:
		message += environmentHint(parser, message)
	}
	return &flags.Error{Type: parseError.Type, Message: fmt.Sprintf("%s\nRun '%s --help' for usage.", message, strings.Join(names, " "))}
}

// activeCommandPath returns the names of the program and of the selected commands.
func activeCommandPath(parser *flags.Parser) []string {
	names := []string{parser.Name}
	for command := parser.Active; command != nil; command = command.Active {
		names = append(names, command.Name)
	}
	return names
}

// findCommand returns the command at a path of names, or nil if there is none.
func findCommand(commands []Command, names []string) *Command {
	if len(names) == 0 {
		return nil
	}
	command, found := lo.Find(commands, func(command Command) bool { return command.Name == names[0] })
	switch {
	case !found:
		return nil
	case len(names) == 1:
		return &command
	default:
		return findCommand(command.Children, names[1:])
	}
}

func examplesText(command *Command) string {
	if command == nil || len(command.Examples) == 0 {
		return ""
	}
	return "\nExamples:\n  " + strings.Join(command.Examples, "\n  ") + "\n"
}

// unknownOptionPattern matches the option's name in the parser's message.
var unknownOptionPattern = regexp.MustCompile("unknown flag `([^']+)'")

// optionHint returns a hint with the option closest to an unknown one, or "" if
// none is close.
func optionHint(parser *flags.Parser, message string) string {
	match := unknownOptionPattern.FindStringSubmatch(message)
	if match == nil {
		return ""
	}
	var known []string
	visitOptions(parser, func(option *flags.Option) { known = append(known, option.LongName) })
	name, found := nearest.Name(match[1], known)
	if !found {
		return ""
	}
	return fmt.Sprintf(", did you mean `--%s'?", name)
}

// environmentHint lists the environment variables that set the missing options.
func environmentHint(parser *flags.Parser, message string) string {
	hint := ""
	visitOptions(parser, func(option *flags.Option) {
		if option.EnvDefaultKey != "" && strings.Contains(message, "--"+option.LongName+"'") {
			hint += fmt.Sprintf("; --%s is also read from the environment variable %s", option.LongName, option.EnvDefaultKey)
		}
	})
	return hint
}

// visitOptions calls visit for each option of the program and the selected
// commands.
func visitOptions(parser *flags.Parser, visit func(*flags.Option)) {
	for command := parser.Command; command != nil; command = command.Active {
		visitGroups(command.Group, func(group *flags.Group) {
			for _, option := range group.Options() {
				visit(option)
			}
		})
	}
}

func visitGroups(group *flags.Group, visit func(*flags.Group)) {
	visit(group)
	for _, child := range group.Groups() {
		visitGroups(child, visit)
	}
}
