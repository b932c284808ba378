package policy

import (
	"strings"

	"github.com/alecthomas/participle/v2/lexer"
)

// Format returns the text in canonical form: one setting, statement or replica
// a line, blocks indented by tabs, one blank line between declarations.
// Order, values and comments stay as they are; a comment inside a line moves
// behind or below it. The error is of type Problems; only syntax is checked.
// The file name only serves the messages.
func Format(filename, text string) (string, error) {
	report := newReporter(filename, text)
	src, ok := read(report, text)
	if !ok {
		return "", report.sorted()
	}
	out := &printer{comments: src.comments}
	src.parse(out.declaration)
	if problems := report.sorted(); len(problems) > 0 {
		return "", problems
	}
	out.commentsBefore(lexer.Position{Offset: len(text) + 1, Line: len(report.lines) + 1})
	return out.text.String(), nil
}

// printer writes canonical text. Comments are written when the printer gets to
// the first thing that stands after them.
type printer struct {
	text     strings.Builder
	comments []lexer.Token
	depth    int
	// sourceLine is the line of the text that the last output came from.
	sourceLine int
	// opened is true when nothing stands in the current block yet.
	opened bool
	// started is true once there is output.
	started bool
	// pending is true when the last output line waits for its line break, so
	// that a comment can follow on it.
	pending bool
}

// commentsBefore writes the comments that stand before a place.
func (p *printer) commentsBefore(place lexer.Position) {
	for len(p.comments) > 0 && p.comments[0].Pos.Offset < place.Offset {
		comment := p.comments[0]
		p.comments = p.comments[1:]
		if p.pending && comment.Pos.Line == p.sourceLine {
			p.text.WriteString(" " + commentText(comment))
			p.endLine()
			continue
		}
		p.separate(comment.Pos.Line)
		p.startLine(commentText(comment))
		p.sourceLine = comment.Pos.Line
		p.endLine()
	}
	p.endLine()
}

// commentText drops white space at the end of a comment.
func commentText(comment lexer.Token) string { return strings.TrimRight(comment.Value, " \t\r") }

// separate writes the blank line between declarations. A comment right above
// a declaration belongs to it; one with a blank line below stands alone.
func (p *printer) separate(line int) {
	p.endLine()
	if p.depth == 0 && p.started && line > p.sourceLine+1 {
		p.text.WriteString("\n")
	}
}

func (p *printer) startLine(words ...string) {
	p.endLine()
	p.text.WriteString(strings.Repeat("\t", p.depth) + strings.Join(words, " "))
	p.started, p.opened, p.pending = true, false, true
}

func (p *printer) endLine() {
	if p.pending {
		p.text.WriteString("\n")
	}
	p.pending = false
}

// line writes one line that came from the place.
func (p *printer) line(place lexer.Position, last lexer.Token, words ...string) {
	p.commentsBefore(place)
	p.startLine(words...)
	p.sourceLine = max(place.Line, last.Pos.Line)
}

// block writes a block with its brackets.
func (p *printer) block(place lexer.Position, name, closing lexer.Token, keyword string, body func()) {
	p.line(place, name, keyword, name.Value, "{")
	p.depth++
	body()
	p.commentsBefore(closing.Pos)
	p.depth--
	p.startLine("}")
	p.sourceLine = closing.Pos.Line
}

func (p *printer) declaration(node *declarationNode) {
	switch {
	case node.Service != nil:
		p.top(node.Service.Pos)
		p.block(node.Service.Pos, node.Service.Name, node.Service.Close, keywordService, func() { p.service(node.Service) })
	case node.Policy != nil:
		p.top(node.Policy.Pos)
		p.block(node.Policy.Pos, node.Policy.Name, node.Policy.Close, keywordPolicy, func() { p.policy(node.Policy) })
	case node.Region != nil:
		p.top(node.Region.Pos)
		p.block(node.Region.Pos, node.Region.Name, node.Region.Close, keywordRegion, func() { p.region(node.Region) })
	default:
		p.top(node.Route.Pos)
		p.block(node.Route.Pos, node.Route.Name, node.Route.Close, keywordRoute, func() { p.route(node.Route) })
	}
}

// top prepares for a declaration: comments above it, then a blank line unless
// the last of them stands right above.
func (p *printer) top(place lexer.Position) {
	afterComment := len(p.comments) > 0 && p.comments[0].Pos.Offset < place.Offset
	p.commentsBefore(place)
	if p.started && (!afterComment || place.Line > p.sourceLine+1) {
		p.text.WriteString("\n")
	}
}

func (p *printer) service(node *serviceNode) {
	for _, item := range node.Items {
		switch {
		case item.Generation != nil:
			p.generation(item)
		case item.HedgeBudget != nil:
			p.budget(item, item.HedgeBudget)
		case item.RetryBudget != nil:
			p.budget(item, item.RetryBudget)
		default:
			value := firstPresent(item.Slots, item.Connections, item.CellRouters, item.ColdStart)
			p.line(item.Pos, value, item.setting(), value.Value)
		}
	}
}

// firstPresent returns the one token that was in the text.
func firstPresent(tokens ...lexer.Token) lexer.Token {
	for _, token := range tokens {
		if present(token) {
			return token
		}
	}
	return lexer.Token{}
}

func (p *printer) budget(item *serviceItemNode, node *budgetNode) {
	words := []string{item.setting(), node.Ratio.Value}
	p.line(item.Pos, firstPresent(node.Burst, node.Ratio), withOption(words, "burst", node.Burst)...)
}

// withOption appends an optional setting that was in the text.
func withOption(words []string, keyword string, value lexer.Token) []string {
	if !present(value) {
		return words
	}
	return append(words, keyword, value.Value)
}

func (p *printer) generation(item *serviceItemNode) {
	node := item.Generation
	p.block(item.Pos, node.Number, node.Close, "generation", func() {
		for _, group := range node.Groups {
			p.block(group.Pos, group.Name, group.Close, "group", func() {
				for _, replica := range group.Replicas {
					p.replica(replica)
				}
			})
		}
	})
}

func (p *printer) replica(node *replicaNode) {
	words := []string{"replica", node.Address.Value, "zone", node.Zone.Value}
	words = withOption(words, "slots", node.Slots)
	words = withOption(words, "connections", node.Connections)
	if present(node.Shared) {
		words = append(words, "shared")
	}
	p.line(node.Pos, firstPresent(node.Shared, node.Connections, node.Slots, node.Zone), words...)
}

func (p *printer) route(node *routeNode) {
	for _, item := range node.Items {
		switch {
		case present(item.Service):
			p.line(item.Pos, item.Service, keywordService, item.Service.Value)
		case present(item.Policy):
			p.line(item.Pos, item.Policy, keywordPolicy, item.Policy.Value)
		case present(item.Region):
			p.line(item.Pos, item.Region, keywordRegion, item.Region.Value)
		case present(item.Deadline):
			p.line(item.Pos, item.Deadline, "deadline", item.Deadline.Value)
		case present(item.Repeatable):
			p.line(item.Pos, item.Repeatable, item.Repeatable.Value)
		default:
			p.line(item.Pos, item.Target, "target", item.Target.Value)
		}
	}
}

func (p *printer) region(node *regionNode) {
	for _, entry := range node.Entries {
		p.line(entry.Pos, entry.Address, "router", entry.Address.Value)
	}
}

func (p *printer) policy(node *policyNode) {
	for _, item := range node.Items {
		words, last := policyWords(item)
		p.line(item.Pos, last, words...)
	}
}

// policyWords returns the words of one line of a policy and its last token.
func policyWords(item *policyItemNode) ([]string, lexer.Token) {
	switch {
	case present(item.Deadline):
		return []string{"deadline", item.Deadline.Value}, item.Deadline
	case present(item.Priority):
		return []string{"priority", item.Priority.Value}, item.Priority
	case present(item.Repeatable):
		return []string{"repeatable"}, item.Repeatable
	case present(item.OnceFor):
		return []string{"once for", item.OnceFor.Value}, item.OnceFor
	case present(item.SnapshotCoverage):
		return []string{"snapshot coverage", item.SnapshotCoverage.Value}, item.SnapshotCoverage
	case item.Hedge != nil:
		hedge := item.Hedge
		return []string{
			"hedge at", hedge.Quantile.Value, "between", hedge.Least.Value, "and", hedge.Most.Value, "at most", hedge.Limit.Value,
		}, hedge.Limit
	case item.Retry != nil:
		words := []string{"retry at most", item.Retry.Limit.Value}
		return withOption(words, "backoff", item.Retry.Backoff), firstPresent(item.Retry.Backoff, item.Retry.Limit)
	case item.Merge != nil:
		return mergeWords(item.Merge)
	default:
		return statementWords(item.Statement)
	}
}

func mergeWords(node *mergeNode) ([]string, lexer.Token) {
	if present(node.Concat) {
		return []string{"merge concat"}, node.Concat
	}
	return []string{"merge top", node.Top.Value, "by", node.Field.Value, node.Order.Value}, node.Order
}

func statementWords(node *statementNode) ([]string, lexer.Token) {
	if present(node.At) {
		return []string{"at", node.At.Value, node.AtAction.Value}, node.AtAction
	}
	condition := &conditionPrinter{}
	condition.any(node.Condition)
	return []string{node.Action.Value, "when", condition.text.String()}, condition.last
}

// conditionPrinter writes a condition and remembers its last token.
type conditionPrinter struct {
	text strings.Builder
	last lexer.Token
}

func (p *conditionPrinter) any(node *anyNode) {
	for index, operand := range node.Operands {
		if index > 0 {
			p.text.WriteString(" or ")
		}
		p.all(operand)
	}
}

func (p *conditionPrinter) all(node *allNode) {
	for index, operand := range node.Operands {
		if index > 0 {
			p.text.WriteString(" and ")
		}
		p.term(operand)
	}
}

func (p *conditionPrinter) term(node *termNode) {
	switch {
	case node.Not != nil:
		p.text.WriteString("not ")
		p.term(node.Not)
	case node.Nested != nil:
		p.text.WriteString("(")
		p.any(node.Nested)
		p.text.WriteString(")")
	case node.Coverage != nil:
		p.comparison("coverage", node.Coverage)
	case node.Elapsed != nil:
		p.comparison("elapsed", node.Elapsed)
	case node.Covered != nil:
		p.covered(node.Covered)
	default:
		p.text.WriteString("settled")
		p.last = node.Settled
	}
}

func (p *conditionPrinter) comparison(what string, node *comparisonNode) {
	p.text.WriteString(what + " " + node.Operator.Value + " " + node.Value.Value)
	p.last = node.Value
}

func (p *conditionPrinter) covered(node *coveredNode) {
	p.text.WriteString("covered(")
	for index, group := range node.Groups {
		if index > 0 {
			p.text.WriteString(", ")
		}
		p.text.WriteString(group.Name.Value)
		p.last = group.Name
	}
	p.text.WriteString(")")
}
