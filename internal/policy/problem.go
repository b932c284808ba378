package policy

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/alecthomas/participle/v2/lexer"
)

// Problem is one error of a configuration text, with its place.
type Problem struct {
	File string
	// Line and Column count from 1; columns count characters, not bytes.
	Line    int
	Column  int
	Message string
	// Source is the text of the line.
	Source string
}

// String returns file:line:column: message, the source line, and a caret below
// the place.
func (p Problem) String() string {
	head := fmt.Sprintf("%s:%d:%d: %s", p.File, p.Line, p.Column, p.Message)
	if p.Source == "" {
		return head
	}
	return head + "\n    " + p.Source + "\n    " + caretMargin(p.Source, p.Column) + "^"
}

// caretMargin is as wide as the characters before the column; tabs stay tabs,
// so that the caret stands right at any tab width.
func caretMargin(source string, column int) string {
	var margin strings.Builder
	for _, character := range []rune(source)[:min(column-1, len([]rune(source)))] {
		if character == '\t' {
			margin.WriteRune('\t')
			continue
		}
		margin.WriteRune(' ')
	}
	return margin.String()
}

// Problems is the error that Compile returns: all errors of a text in the
// order of their places.
type Problems []Problem

// Error implements the error interface.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// maxProblems bounds the errors of one text, so that a file of another kind
// does not fill the screen.
const maxProblems = 50

// maxSourceWidth bounds the source line shown with an error, in characters.
const maxSourceWidth = 160

// reporter collects the problems of one text.
type reporter struct {
	file  string
	lines []string
	// found may hold one problem more than maxProblems; sorted says so.
	found []Problem
}

func newReporter(file, text string) *reporter {
	return &reporter{file: file, lines: strings.Split(text, "\n")}
}

// add records a problem at a place. A second one at the same place is dropped:
// it is nearly always a consequence of the first.
func (r *reporter) add(position lexer.Position, format string, arguments ...any) {
	for _, known := range r.found {
		if known.Line == position.Line && known.Column == position.Column {
			return
		}
	}
	if r.full() {
		return
	}
	r.found = append(r.found, Problem{
		File:    r.file,
		Line:    position.Line,
		Column:  position.Column,
		Message: fmt.Sprintf(format, arguments...),
		Source:  r.source(position.Line, position.Column),
	})
}

// full reports whether further problems would be dropped, so that their
// messages need not be worked out.
func (r *reporter) full() bool { return len(r.found) > maxProblems }

// sorted returns the problems in the order of their places, or nil.
func (r *reporter) sorted() Problems {
	if len(r.found) == 0 {
		return nil
	}
	problems := Problems(r.found[:min(len(r.found), maxProblems)])
	slices.SortStableFunc(problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	if len(r.found) > maxProblems {
		last := problems[len(problems)-1]
		last.Message, last.Source = fmt.Sprintf("more than %d errors; the rest is not shown", maxProblems), ""
		problems = append(problems, last)
	}
	return problems
}

// source returns the line, or nothing when the place would be cut off.
func (r *reporter) source(line, column int) string {
	if line < 1 || line > len(r.lines) {
		return ""
	}
	characters := []rune(strings.TrimRight(strings.ToValidUTF8(r.lines[line-1], "\uFFFD"), "\r"))
	if column > maxSourceWidth {
		return ""
	}
	return string(characters[:min(len(characters), maxSourceWidth)])
}
