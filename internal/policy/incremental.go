package policy

import (
	"slices"
	"strings"
	"sync"
	"unicode/utf8"

	"github.com/alecthomas/participle/v2/lexer"

	"github.com/martenstage/martenstage/internal/plan"
)

// Compiler compiles one text after the other and parses only the declarations
// that differ from those of the text before. It is an optimization and nothing
// else: plans and problems are those of Compile. Whatever it is not sure of it
// leaves to Compile, above all every text with an error, so that places and
// messages have one source.
//
// It is safe for concurrent use. The plans that it returns share what did not
// change; they must not be changed.
type Compiler struct {
	filename string

	mutex sync.Mutex
	// text is the last one that compiled, segments its declarations.
	text     string
	segments []segment
}

// NewCompiler returns a compiler; the file name only serves the messages.
func NewCompiler(filename string) *Compiler { return &Compiler{filename: filename} }

// segment is one declaration of a text with what follows it up to the next.
type segment struct {
	// start is the offset of its keyword, head the one behind its opening brace.
	start, head int
	// line is the one of start, counted from 1.
	line int
	// parsed is shared by the texts that hold the same declaration.
	parsed *parsedDeclaration
}

// Compile does what the function Compile does.
func (c *Compiler) Compile(text string) (*plan.Plan, error) {
	if compiled, sure := c.compileChange(text); sure {
		return compiled, nil
	}
	// Outside the lock: a faulty text of one operator delays no other.
	return Compile(c.filename, []byte(text))
}

// compileChange compiles a text and remembers it, if nothing can be wrong.
func (c *Compiler) compileChange(text string) (*plan.Plan, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	compiled, segments, sure := c.reuse(text)
	if sure {
		c.text, c.segments = text, segments
	}
	return compiled, sure
}

// reuse compiles with what is known. It returns false when the text may have an
// error.
func (c *Compiler) reuse(text string) (*plan.Plan, []segment, bool) {
	if len(text) > MaxTextBytes || !utf8.ValidString(text) {
		return nil, nil, false
	}
	segments, sure := c.split(text)
	if !sure {
		return nil, nil, false
	}
	known := c.remember(segments)
	for index := range segments {
		if segments[index].parsed != nil {
			continue
		}
		if segments[index].parsed, sure = known.parse(segmentText(text, segments, index)); !sure {
			return nil, nil, false
		}
	}
	compiled, sure := assemble(segments)
	return compiled, segments, sure
}

func segmentText(text string, segments []segment, index int) string {
	if index+1 < len(segments) {
		return text[segments[index].start:segments[index+1].start]
	}
	return text[segments[index].start:]
}

// memory finds declarations of the last text.
type memory struct {
	// byText holds them by their own text, texts these by the part up to the
	// opening brace, which names the declaration.
	byText map[string]*parsedDeclaration
	texts  map[string]string
}

// remember returns the declarations of the last text, when some of the present
// one are not known by their place.
func (c *Compiler) remember(segments []segment) memory {
	var known memory
	if !slices.ContainsFunc(segments, func(part segment) bool { return part.parsed == nil }) {
		return known
	}
	known.byText = make(map[string]*parsedDeclaration, len(c.segments))
	known.texts = make(map[string]string, len(c.segments))
	for index, part := range c.segments {
		text := segmentText(c.text, c.segments, index)
		known.byText[text] = part.parsed
		known.texts[text[:part.head-part.start]] = text
	}
	return known
}

// parse returns what a declaration holds, from the declaration itself or from
// the one of its name as far as they are equal.
func (m memory) parse(text string) (*parsedDeclaration, bool) {
	if parsed, found := m.byText[text]; found {
		return parsed, true
	}
	head, _, _ := strings.Cut(text, "{")
	if before, found := m.texts[head+"{"]; found {
		if patched, sure := patchService(m.byText[before], before, text); sure {
			return patched, true
		}
	}
	return parseDeclaration(text)
}

// split finds the declarations of a text. It scans only from the first that
// differs from the last text to where the rest of both is equal: tokens depend
// on nothing before them, so equal text from the start of a declaration on has
// equal declarations.
func (c *Compiler) split(text string) ([]segment, bool) {
	prefix := sharedPrefix(c.text, text)
	suffix := sharedSuffix(c.text, text)
	// A declaration ends where the next one surely begins, so it is the same if
	// also the head of the next one is.
	kept := 0
	for kept+1 < len(c.segments) && c.segments[kept+1].head <= prefix {
		kept++
	}
	segments := make([]segment, kept, len(c.segments)+1)
	copy(segments, c.segments[:kept])
	position := lexer.Position{Line: 1, Column: 1}
	if kept > 0 {
		position.Offset, position.Line = c.segments[kept].start, c.segments[kept].line
	}
	scan := &scanner{text: text, position: position}
	var window [headTokens]lexer.Token
	for count := 0; ; count++ {
		token := nextWord(scan)
		if token.EOF() {
			break
		}
		copy(window[:], window[1:])
		window[headTokens-1] = token
		if count+1 < headTokens || !startsDeclaration(window[:], 0) {
			if count+1 == headTokens && len(segments) == 0 {
				return nil, false // something stands before the first declaration
			}
			continue
		}
		found := segment{start: window[0].Pos.Offset, head: scan.position.Offset, line: window[0].Pos.Line}
		if rest, same := c.sameRest(found, len(text), suffix); same {
			return append(segments, rest...), true
		}
		segments = append(segments, found)
	}
	return segments, len(segments) > 0
}

// headTokens is how many tokens tell a declaration: keyword, name and brace.
const headTokens = 3

// nextWord returns the next token that is no comment.
func nextWord(scan *scanner) lexer.Token {
	for {
		token, _ := scan.Next() // it has no errors; see there
		if token.Type != tokenComment {
			return token
		}
	}
}

// sameRest returns the declarations from a place of the present text on, if they
// stand at the end of the last text too.
func (c *Compiler) sameRest(found segment, length, suffix int) ([]segment, bool) {
	if length-found.start > suffix {
		return nil, false
	}
	shift := length - len(c.text)
	for index, part := range c.segments {
		if part.start+shift != found.start {
			continue
		}
		rest := make([]segment, 0, len(c.segments)-index)
		for _, later := range c.segments[index:] {
			later.start += shift
			later.head += shift
			later.line += found.line - part.line
			rest = append(rest, later)
		}
		return rest, true
	}
	return nil, false
}

// sharedBlock is how many bytes are compared at once.
const sharedBlock = 4096

// sharedPrefix returns how many leading bytes two texts share.
func sharedPrefix(left, right string) int {
	length, most := 0, min(len(left), len(right))
	for length+sharedBlock <= most && left[length:length+sharedBlock] == right[length:length+sharedBlock] {
		length += sharedBlock
	}
	for length < most && left[length] == right[length] {
		length++
	}
	return length
}

// sharedSuffix returns how many bytes at their ends two texts share.
func sharedSuffix(left, right string) int {
	length, most := 0, min(len(left), len(right))
	for length+sharedBlock <= most &&
		left[len(left)-length-sharedBlock:len(left)-length] == right[len(right)-length-sharedBlock:len(right)-length] {
		length += sharedBlock
	}
	for length < most && left[len(left)-1-length] == right[len(right)-1-length] {
		length++
	}
	return length
}

// parseDeclaration parses and checks one declaration alone. It returns false
// when there is anything to report.
func parseDeclaration(text string) (*parsedDeclaration, bool) {
	// Names of the plan are parts of the text that they were read from. A copy
	// keeps them from holding on to the whole text.
	report := &reporter{}
	src := &source{report: report}
	if !src.scan(strings.Clone(text)) || !src.checkTokens() {
		return nil, false
	}
	file, err := parseTokens(src.tokens)
	if err != nil || len(file.Declarations) != 1 {
		return nil, false
	}
	check := newChecker(report, src)
	parsed := &parsedDeclaration{words: len(src.tokens) - 1}
	switch declaration := file.Declarations[0]; {
	case declaration.Service != nil:
		check.service(declaration.Service)
		parsed.service = check.services[declaration.Service.Name.Value]
		if parsed.service != nil {
			parsed.servers = check.servers(parsed.service)
		}
	case declaration.Policy != nil:
		check.policy(declaration.Policy)
		parsed.policy = check.policies[declaration.Policy.Name.Value]
	case declaration.Region != nil:
		check.region(declaration.Region)
		parsed.region = check.regions[declaration.Region.Name.Value]
	case declaration.Route != nil:
		parsed.route = declaration.Route
	default:
		return nil, false
	}
	return parsed, len(report.found) == 0
}
