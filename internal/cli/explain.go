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

// explain adds to the parser's messages what helps next: examples to a help
// text, the nearest name to an unknown option, and where the help is.
func explain(parser *flags.Parser, commands []Command, err error) error {
	var parseError *flags.Error
	if !errors.As(err, &parseError) {
		return err
	}
	names := activeNames(parser)
	if parseError.Type == flags.ErrHelp {
		return &flags.Error{Type: parseError.Type, Message: parseError.Message + examplesText(find(commands, names[1:]))}
	}
	message := parseError.Message
	switch parseError.Type {
	case flags.ErrUnknownFlag:
		message += suggestedOption(parser, message)
	case flags.ErrRequired:
		message += environmentHint(parser, message)
	}
	return &flags.Error{Type: parseError.Type, Message: fmt.Sprintf("%s\nRun '%s --help' for usage.", message, strings.Join(names, " "))}
}

// activeNames returns the program and the commands that were chosen.
func activeNames(parser *flags.Parser) []string {
	names := []string{parser.Name}
	for command := parser.Active; command != nil; command = command.Active {
		names = append(names, command.Name)
	}
	return names
}

// find returns the command at a path of names; nil for none.
func find(commands []Command, names []string) *Command {
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
		return find(command.Children, names[1:])
	}
}

func examplesText(command *Command) string {
	if command == nil || len(command.Examples) == 0 {
		return ""
	}
	return "\nExamples:\n  " + strings.Join(command.Examples, "\n  ") + "\n"
}

// unknownOption finds the name in the parser's message.
var unknownOption = regexp.MustCompile("unknown flag `([^']+)'")

// suggestedOption returns a hint at the option nearest to an unknown one, or "".
func suggestedOption(parser *flags.Parser, message string) string {
	match := unknownOption.FindStringSubmatch(message)
	if match == nil {
		return ""
	}
	var known []string
	eachOption(parser, func(option *flags.Option) { known = append(known, option.LongName) })
	name, found := nearest.Name(match[1], known)
	if !found {
		return ""
	}
	return fmt.Sprintf(", did you mean `--%s'?", name)
}

// environmentHint names the variables that required options are also read from.
func environmentHint(parser *flags.Parser, message string) string {
	hint := ""
	eachOption(parser, func(option *flags.Option) {
		if option.EnvDefaultKey != "" && strings.Contains(message, "--"+option.LongName+"'") {
			hint += fmt.Sprintf("; --%s is also read from the environment variable %s", option.LongName, option.EnvDefaultKey)
		}
	})
	return hint
}

// eachOption visits the options of the program and of the chosen commands.
func eachOption(parser *flags.Parser, visit func(*flags.Option)) {
	for command := parser.Command; command != nil; command = command.Active {
		eachGroup(command.Group, func(group *flags.Group) {
			for _, option := range group.Options() {
				visit(option)
			}
		})
	}
}

func eachGroup(group *flags.Group, visit func(*flags.Group)) {
	visit(group)
	for _, inner := range group.Groups() {
		eachGroup(inner, visit)
	}
}
