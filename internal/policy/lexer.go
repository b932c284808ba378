package policy

import (
	"io"
	"strings"
	"unicode/utf8"

	"github.com/alecthomas/participle/v2/lexer"
	"github.com/cockroachdb/errors"
)

// Token types. A word is the longest run of word characters; its type follows
// from its shape alone, so that a malformed value is still one token and the
// checker can say what is wrong with it.
const (
	// tokenIdent is a keyword or a name: a letter or underscore first.
	tokenIdent lexer.TokenType = iota + 1
	// tokenNumber starts with a digit: 5, 90ms, 99.5%.
	tokenNumber
	// tokenAddress holds a colon or more than one dot: 10.0.0.1:7000.
	tokenAddress
	// tokenPunctuation is a bracket, comma or comparison.
	tokenPunctuation
	// tokenComment reaches from # to the end of the line.
	tokenComment
	// tokenUnknown is a character outside the language.
	tokenUnknown
)

// languageLexer implements lexer.Definition. It is written by hand because the
// library's lexers match regular expressions, one rule after the other, which
// took most of the time of compiling a large configuration.
type languageLexer struct{}

// Symbols implements lexer.Definition.
func (languageLexer) Symbols() map[string]lexer.TokenType {
	return map[string]lexer.TokenType{
		"EOF":         lexer.EOF,
		"Ident":       tokenIdent,
		"Number":      tokenNumber,
		"Address":     tokenAddress,
		"Punctuation": tokenPunctuation,
		"Comment":     tokenComment,
		"Unknown":     tokenUnknown,
	}
}

// Lex implements lexer.Definition.
func (l languageLexer) Lex(filename string, reader io.Reader) (lexer.Lexer, error) {
	text, err := io.ReadAll(reader)
	if err != nil {
		return nil, errors.Wrap(err, "read configuration text")
	}
	return l.LexString(filename, string(text))
}

// LexString implements lexer.StringDefinition.
func (languageLexer) LexString(filename, text string) (lexer.Lexer, error) {
	return newScanner(filename, text), nil
}

// scanner produces the tokens of one text.
type scanner struct {
	text     string
	position lexer.Position
}

func newScanner(filename, text string) *scanner {
	return &scanner{text: text, position: lexer.Position{Filename: filename, Line: 1, Column: 1}}
}

// Next implements lexer.Lexer. It never fails: what is not of the language
// becomes a tokenUnknown.
func (s *scanner) Next() (lexer.Token, error) {
	s.skipSpace()
	rest := s.text[s.position.Offset:]
	if rest == "" {
		return lexer.EOFToken(s.position), nil
	}
	switch first := rest[0]; {
	case isWordCharacter(first):
		return s.take(wordLength(rest), wordType), nil
	case first == '#':
		return s.take(commentLength(rest), fixedType(tokenComment)), nil
	case strings.HasPrefix(rest, ">="):
		return s.take(len(">="), fixedType(tokenPunctuation)), nil
	case strings.IndexByte("{}(),<", first) >= 0:
		return s.take(1, fixedType(tokenPunctuation)), nil
	default:
		_, size := utf8.DecodeRuneInString(rest)
		return s.take(size, fixedType(tokenUnknown)), nil
	}
}

func (s *scanner) skipSpace() {
	for s.position.Offset < len(s.text) {
		switch s.text[s.position.Offset] {
		case '\n':
			s.position.Line++
			s.position.Column = 1
		case ' ', '\t', '\r':
			s.position.Column++
		default:
			return
		}
		s.position.Offset++
	}
}

// take consumes the next length bytes, which hold no line break.
func (s *scanner) take(length int, typeOf func(string) lexer.TokenType) lexer.Token {
	start := s.position
	value := s.text[start.Offset : start.Offset+length]
	s.position.Offset += length
	s.position.Column += utf8.RuneCountInString(value)
	return lexer.Token{Type: typeOf(value), Value: value, Pos: start}
}

func fixedType(tokenType lexer.TokenType) func(string) lexer.TokenType {
	return func(string) lexer.TokenType { return tokenType }
}

// wordType classifies a word by its shape.
func wordType(word string) lexer.TokenType {
	switch {
	case strings.ContainsAny(word, ":[]/") || strings.Count(word, ".") > 1:
		return tokenAddress
	case isLetter(word[0]) && strings.Contains(word, ".") && !isQuantile(word):
		return tokenAddress
	case isLetter(word[0]):
		return tokenIdent
	default:
		return tokenNumber
	}
}

// isQuantile reports whether a word has the shape p99.9, which holds a dot
// and yet is no host name.
func isQuantile(word string) bool {
	return len(word) > 1 && word[0] == 'p' && isDigit(word[1])
}

func wordLength(text string) int {
	for index := range len(text) {
		if !isWordCharacter(text[index]) {
			return index
		}
	}
	return len(text)
}

func commentLength(text string) int {
	if end := strings.IndexByte(text, '\n'); end >= 0 {
		return len(strings.TrimRight(text[:end], "\r"))
	}
	return len(text)
}

func isWordCharacter(character byte) bool {
	return isLetter(character) || isDigit(character) || strings.IndexByte("-.%:[]/+", character) >= 0
}

func isLetter(character byte) bool {
	return character == '_' || character >= 'a' && character <= 'z' || character >= 'A' && character <= 'Z'
}

func isDigit(character byte) bool { return character >= '0' && character <= '9' }
