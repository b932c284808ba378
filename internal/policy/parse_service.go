package policy

import "github.com/alecthomas/participle/v2/lexer"

// serviceParser reads a well-formed service declaration. Nearly all of a large
// configuration is replicas, and the library's parser, which works by
// reflection, took most of the time of compiling one. Whatever this parser does
// not understand is left to the library's, which also words all errors; both
// give the same tree for the same text.
type serviceParser struct {
	tokens []lexer.Token
	next   int
	failed bool
}

// parseService returns nil when the tokens are not exactly one well-formed
// service. The last token is the end of the text.
func parseService(tokens []lexer.Token) *serviceNode {
	if tokens[0].Value != keywordService {
		return nil
	}
	parser := &serviceParser{tokens: tokens}
	service := parser.service()
	if parser.failed || !parser.peek().EOF() {
		return nil
	}
	return service
}

func (p *serviceParser) peek() lexer.Token { return p.tokens[p.next] }

// sees reports whether a word comes next.
func (p *serviceParser) sees(word string) bool { return p.peek().Value == word }

// skip consumes a word that must come next.
func (p *serviceParser) skip(word string) { p.literal(word) }

// literal consumes and returns a word that must come next.
func (p *serviceParser) literal(word string) lexer.Token {
	if !p.sees(word) {
		p.failed = true
		return lexer.Token{}
	}
	return p.advance()
}

// take consumes and returns a token that must be of a type.
func (p *serviceParser) take(tokenType lexer.TokenType) lexer.Token {
	if p.peek().Type != tokenType {
		p.failed = true
		return lexer.Token{}
	}
	return p.advance()
}

// optional returns the token after a word, if the word comes next.
func (p *serviceParser) optional(word string, tokenType lexer.TokenType) lexer.Token {
	if !p.sees(word) {
		return lexer.Token{}
	}
	p.advance()
	return p.take(tokenType)
}

func (p *serviceParser) advance() lexer.Token {
	token := p.tokens[p.next]
	if token.EOF() {
		p.failed = true
		return token
	}
	p.next++
	return token
}

func (p *serviceParser) service() *serviceNode {
	node := &serviceNode{Pos: p.peek().Pos}
	p.skip(keywordService)
	node.Name = p.take(tokenIdent)
	p.skip("{")
	for !p.failed && !p.sees("}") {
		node.Items = append(node.Items, p.item())
	}
	node.Close = p.literal("}")
	return node
}

func (p *serviceParser) item() *serviceItemNode {
	node := &serviceItemNode{Pos: p.peek().Pos}
	switch p.peek().Value {
	case "slots":
		node.Slots = p.optional("slots", tokenNumber)
	case "connections":
		node.Connections = p.optional("connections", tokenNumber)
	case "hedge":
		p.advance()
		node.HedgeBudget = p.budget()
	case "retry":
		p.advance()
		node.RetryBudget = p.budget()
	case "cell":
		p.advance()
		p.skip("routers")
		node.CellRouters = p.take(tokenNumber)
	case "cold":
		p.advance()
		p.skip("start")
		node.ColdStart = p.take(tokenNumber)
	case "generation":
		node.Generation = p.generation()
	default:
		p.failed = true
	}
	return node
}

func (p *serviceParser) budget() *budgetNode {
	p.skip("budget")
	return &budgetNode{Ratio: p.take(tokenNumber), Burst: p.optional("burst", tokenNumber)}
}

func (p *serviceParser) generation() *generationNode {
	p.skip("generation")
	node := &generationNode{Number: p.take(tokenNumber)}
	p.skip("{")
	for !p.failed && p.sees("group") {
		node.Groups = append(node.Groups, p.group())
	}
	node.Close = p.literal("}")
	return node
}

func (p *serviceParser) group() *groupNode {
	node := &groupNode{Pos: p.peek().Pos}
	p.skip("group")
	node.Name = p.take(tokenIdent)
	p.skip("{")
	for !p.failed && p.sees("replica") {
		node.Replicas = append(node.Replicas, p.replica())
	}
	node.Close = p.literal("}")
	return node
}

func (p *serviceParser) replica() *replicaNode {
	node := &replicaNode{Pos: p.peek().Pos}
	p.skip("replica")
	node.Address = p.take(tokenAddress)
	p.skip("zone")
	node.Zone = p.take(tokenIdent)
	node.Slots = p.optional("slots", tokenNumber)
	node.Connections = p.optional("connections", tokenNumber)
	if p.sees("shared") {
		node.Shared = p.advance()
	}
	return node
}
