package cli

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/exitcode"
)

// Completion returns the command that prints the shell completion scripts of a
// program. The scripts run the program itself to get completions from its parser,
// so they stay correct when commands change.
func Completion(program string) Command {
	return Command{
		Name: "completion", Short: "Print the completion script of a shell",
		Long: "Prints a script that completes commands and options in bash, zsh or fish.",
		Data: &completionCommand{program: program},
		Examples: []string{
			"source <(" + program + " completion bash)",
			program + " completion zsh > \"${fpath[1]}/_" + program + "\"",
			program + " completion fish > ~/.config/fish/completions/" + program + ".fish",
		},
	}
}

type completionCommand struct {
	Arguments struct {
		Shell string `positional-arg-name:"SHELL" description:"bash, zsh or fish"`
	} `positional-args:"yes" required:"yes"`
	program string
}

// Execute implements flags.Commander.
func (c *completionCommand) Execute([]string) error {
	script, known := completionScripts[c.Arguments.Shell]
	if !known {
		return exitcode.With(exitcode.Usage, errors.Newf("%q is not one of the shells bash, zsh and fish", c.Arguments.Shell))
	}
	fmt.Print(strings.ReplaceAll(script, "PROGRAM", c.program))
	return nil
}

// completionScripts has the completion script of each shell. If the program
// returns no completions, bash and zsh complete file names; fish always adds them.
var completionScripts = map[string]string{
	"bash": `# bash completion of PROGRAM
_PROGRAM() {
	local IFS=$'\n'
	COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${COMP_WORDS[@]:1:$COMP_CWORD}" 2>/dev/null))
}
complete -o default -F _PROGRAM PROGRAM
`,
	"zsh": `#compdef PROGRAM
# zsh completion of PROGRAM
_PROGRAM() {
	local -a items
	items=("${(@f)$(GO_FLAGS_COMPLETION=1 "${words[1]}" "${(@)words[2,$CURRENT]}" 2>/dev/null)}")
	if [[ -n ${items[1]} ]]; then
		compadd -a items
	else
		_files
	fi
}
if [[ ${funcstack[1]} = _PROGRAM ]]; then
	_PROGRAM "$@"
else
	compdef _PROGRAM PROGRAM
fi
`,
	"fish": `# fish completion of PROGRAM
function __PROGRAM_complete
	set -l words (commandline -opc) (commandline -ct)
	GO_FLAGS_COMPLETION=verbose command $words[1] $words[2..-1] 2>/dev/null | string replace -r ' +# ' \t
end
complete -c PROGRAM -a '(__PROGRAM_complete)'
`,
}
