package policy

import (
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/nearest"
)

const (
	// MaxTextBytes bounds a configuration text. It leaves room for more than
	// twice 57,000 replicas in canonical form.
	MaxTextBytes = 8 << 20
	// maxNesting bounds parentheses and "not" in a condition, because the
	// parser and the evaluation of conditions recurse.
	maxNesting = 32
	// maxTokens bounds the memory of a parse; 57,000 replicas have a third.
	maxTokens = 1_000_000
	// After a syntax error the declaration is parsed again without the line at
	// fault. These bound the tokens parsed in all: large texts are read a few
	// times over, small ones often enough to find every error.
	parseBudgetFactor = 4
	parseBudgetLeast  = 200_000
)

// source is one text on its way to a syntax tree.
type source struct {
	report *reporter
	tokens []lexer.Token
	// comments are left out of tokens.
	comments []lexer.Token
	// damaged are the lines that syntax errors made the parser skip.
	damaged []int
	// declared holds the names of all declarations by keyword, also of those
	// that could not be parsed, so that one error does not cause others.
	declared map[string][]string
	// parseBudget is how many tokens may still be parsed.
	parseBudget int
}

// read makes a source of a text. It returns false when the text is not worth
// parsing; the reporter then has the reason.
func read(report *reporter, text string) (*source, bool) {
	src := &source{report: report}
	if !src.checkText(text) {
		return src, false
	}
	if !src.scan(text) || !src.checkTokens() {
		return src, false
	}
	src.declared = declaredNames(src.tokens)
	return src, true
}

// empty reports whether the text has no word, but for comments.
func (s *source) empty() bool { return len(s.tokens) == 1 && s.tokens[0].EOF() }

// parse hands the declarations of the text to visit, one after the other, so
// that no more than one large declaration is in memory. Syntax errors go to
// the reporter; the parser then skips the line at fault and goes on.
func (s *source) parse(visit func(*declarationNode)) {
	s.parseBudget = parseBudgetFactor*len(s.tokens) + parseBudgetLeast
	end := len(s.tokens) - 1
	for first := 0; first < end && !s.report.full(); {
		after := first + 1
		for after < end && !startsDeclaration(s.tokens, after) {
			after++
		}
		s.parseSegment(s.tokens[first:after:after], s.tokens[after], visit)
		first = after
	}
}

// parseSegment parses the tokens from one declaration up to the next, whose
// first token is follower.
func (s *source) parseSegment(tokens []lexer.Token, follower lexer.Token, visit func(*declarationNode)) {
	follower.Type = lexer.EOF
	for s.parseBudget > 0 {
		s.parseBudget -= len(tokens)
		file, err := parseTokens(append(tokens, follower))
		if err == nil {
			for _, declaration := range file.Declarations {
				visit(declaration)
			}
			return
		}
		failed := s.reportSyntax(append(tokens, follower), err)
		if failed < 0 {
			return
		}
		tokens = s.skip(tokens, failed)
	}
}

// checkText refuses texts that are not worth reading.
func (s *source) checkText(text string) bool {
	start := lexer.Position{Line: 1, Column: 1}
	if len(text) > MaxTextBytes {
		s.report.lines = nil
		s.report.add(start, "the text has %d bytes; the limit is %d", len(text), MaxTextBytes)
		return false
	}
	if utf8.ValidString(text) {
		return true
	}
	for line, content := range s.report.lines {
		if !utf8.ValidString(content) {
			s.report.add(lexer.Position{Line: line + 1, Column: 1}, "the line is not valid UTF-8")
		}
	}
	return false
}

// scan splits the text into tokens and comments.
func (s *source) scan(text string) bool {
	const bytesPerToken = 8 // about, in a large configuration
	s.tokens = make([]lexer.Token, 0, len(text)/bytesPerToken+1)
	scan := newScanner(s.report.file, text)
	for {
		token, _ := scan.Next() // it has no errors; see there
		if token.Type == tokenComment {
			s.comments = append(s.comments, token)
			continue
		}
		s.tokens = append(s.tokens, token)
		if token.EOF() {
			return true
		}
		if len(s.tokens) > maxTokens {
			s.report.add(token.Pos, "the text has more than %d words", maxTokens)
			return false
		}
	}
}

// checkTokens reports unknown characters and bounds the nesting before the
// recursive parser sees it.
func (s *source) checkTokens() bool {
	ok := true
	parentheses, negations := 0, 0
	for _, token := range s.tokens {
		switch token.Value {
		case "(":
			parentheses++
		case ")":
			parentheses = max(0, parentheses-1)
		case "not":
			negations++
		case "{", "}":
			parentheses, negations = 0, 0
		case "and", "or", "when":
			negations = 0
		}
		if parentheses+negations > maxNesting {
			s.report.add(token.Pos, "the condition is nested more than %d deep", maxNesting)
			return false
		}
		if token.Type == tokenUnknown {
			s.report.add(token.Pos, "unexpected character %q", token.Value)
			ok = false
		}
	}
	return ok
}

// declaredNames finds "keyword name {" in the tokens.
func declaredNames(tokens []lexer.Token) map[string][]string {
	names := map[string][]string{}
	for index := range tokens {
		if startsDeclaration(tokens, index) {
			keyword := tokens[index].Value
			names[keyword] = append(names[keyword], tokens[index+1].Value)
		}
	}
	return names
}

func startsDeclaration(tokens []lexer.Token, index int) bool {
	if index+2 >= len(tokens) || tokens[index+2].Value != "{" {
		return false
	}
	keyword := tokens[index].Value
	return keyword == keywordService || keyword == keywordPolicy || keyword == keywordRoute || keyword == keywordRegion
}

const (
	keywordService = "service"
	keywordPolicy  = "policy"
	keywordRoute   = "route"
	keywordRegion  = "region"
)

// tokenList replays tokens; it implements lexer.Lexer.
type tokenList struct{ tokens []lexer.Token }

// Next implements lexer.Lexer. The last token is the end of the text.
func (l *tokenList) Next() (lexer.Token, error) {
	token := l.tokens[0]
	l.tokens = l.tokens[1:]
	return token, nil
}

func parseTokens(tokens []lexer.Token) (*fileNode, error) {
	peeking, err := lexer.Upgrade(&tokenList{tokens: tokens})
	if err != nil {
		return nil, err
	}
	return grammar.ParseFromLexer(peeking)
}

// reportSyntax records a syntax error and returns the index of its token, or
// -1 when there is none.
func (s *source) reportSyntax(tokens []lexer.Token, err error) int {
	var unexpected *participle.UnexpectedTokenError
	var parseError participle.Error
	switch {
	case errors.As(err, &unexpected):
		position := unexpected.Unexpected.Pos
		failed := slices.IndexFunc(tokens, func(token lexer.Token) bool { return token.Pos.Offset == position.Offset })
		s.report.add(position, "%s", syntaxMessage(tokens, failed, unexpected.Message()))
		return failed
	case errors.As(err, &parseError):
		s.report.add(parseError.Position(), "%s", parseError.Message())
	default:
		s.report.add(lexer.Position{Line: 1, Column: 1}, "%s", err.Error())
	}
	return -1
}

// expectedTerms puts the names of token types into words.
var expectedTerms = strings.NewReplacer(
	"<number>", "a number", "<ident>", "a name",
	"<address>", "an IPv4 address with a port", "<eof>", "the end of the text", `"`, "",
)

// syntaxMessage words an error: what was found, after what, and what would
// have been right. Message is the library's wording.
func syntaxMessage(tokens []lexer.Token, failed int, message string) string {
	if failed < 0 {
		return message
	}
	found := "unexpected end of the text"
	if tokens[failed].Value != "" {
		found = "unexpected " + quote(tokens[failed].Value)
	}
	if failed > 0 {
		found += " after " + quote(tokens[failed-1].Value)
	}
	if _, rest, ok := strings.Cut(message, "(expected "); ok && !strings.Contains(rest, "Node") {
		expected := expectedTerms.Replace(strings.TrimSuffix(rest, ")"))
		if expected != "}" || tokens[failed].EOF() {
			found += ", expected " + expected
		}
	}
	if suggestion, ok := nearest.Name(tokens[failed].Value, keywords); ok && suggestion != tokens[failed].Value {
		found += "; did you mean " + suggestion + "?"
	}
	return found
}

// quote shortens long tokens in messages.
func quote(value string) string {
	const longest = 40
	if characters := []rune(value); len(characters) > longest {
		value = string(characters[:longest]) + "…"
	}
	return `"` + value + `"`
}

// skip returns the tokens without the line at fault, so that the parse can go
// on. A line that opens or closes a block can't go alone: the whole
// declaration goes.
func (s *source) skip(tokens []lexer.Token, failed int) []lexer.Token {
	line := faultyLine(tokens, failed)
	first := slices.IndexFunc(tokens, func(token lexer.Token) bool { return token.Pos.Line >= line })
	after := max(first, 0)
	for after < len(tokens) && tokens[after].Pos.Line == line {
		after++
	}
	if failed == len(tokens) || first < 0 || after == first || !balanced(tokens[first:after]) {
		first, after = 0, len(tokens)
	}
	for _, token := range tokens[first:after] {
		if count := len(s.damaged); count == 0 || s.damaged[count-1] != token.Pos.Line {
			s.damaged = append(s.damaged, token.Pos.Line)
		}
	}
	return slices.Concat(tokens[:first], tokens[after:])
}

// faultyLine is the line of the failed token, or the one before it when that
// line broke off in the middle of a setting.
func faultyLine(tokens []lexer.Token, failed int) int {
	if failed == len(tokens) {
		return tokens[failed-1].Pos.Line
	}
	line := tokens[failed].Pos.Line
	startsLine := failed == 0 || tokens[failed-1].Pos.Line < line
	known := slices.Contains(keywords, tokens[failed].Value) || tokens[failed].Value == "}"
	if startsLine && known && failed > 0 {
		return tokens[failed-1].Pos.Line
	}
	return line
}

func balanced(tokens []lexer.Token) bool {
	depth := 0
	for _, token := range tokens {
		switch token.Value {
		case "{":
			depth++
		case "}":
			depth--
		}
		if depth < 0 {
			return false
		}
	}
	return depth == 0
}

// wasDamaged reports whether a line between two places was skipped, so that
// what seems missing there may only have been unreadable.
func (s *source) wasDamaged(from, to lexer.Position) bool {
	return slices.ContainsFunc(s.damaged, func(line int) bool { return line >= from.Line && line <= to.Line })
}

// keywords are all words of the language, for suggestions.
var keywords = []string{
	"and", "answer", "ascending", "at", "backoff", "between", "burst", "by", "cell", "cold", "concat",
	"connections", "coverage", "covered", "deadline", "descending", "elapsed", "fail", "for", "generation",
	"group", "hedge", "merge", "most", "not", "once", "or", keywordPolicy, "priority", "repeatable",
	keywordRegion, "replica", "retry", keywordRoute, "router", "routers", keywordService, "settled", "shared", "slots", "snapshot",
	"start", "target", "top", "when", "zone", "budget",
}
