package policy

import (
	"slices"
	"strings"
	"testing"

	"github.com/alecthomas/participle/v2/lexer"
	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const wholeService = `service search {
	slots 5 connections 70 hedge budget 5% burst 20 retry budget 10%
	cell routers 64 cold start 30s
	generation 1 {
		group g0 { replica 10.0.0.1:7000 zone a replica 10.0.0.2:7000 zone slots slots 4 connections 9 shared }
		group group { }
	}
	generation 2 { group g0 { replica 10.0.0.1:7000 zone a connections 9 } }
}`

// The parser of services understands exactly the texts that the library's
// understands, and makes the same tree of them, whatever token of a whole
// service is dropped, doubled or replaced.
func TestParsersOfServicesAgree(t *testing.T) {
	tokens := tokensOf(wholeService)
	require.NotNil(t, parseService(tokens))
	requireSameTree(t, tokens)
	words := tokensOf(wholeService + " shared burst { } policy 10.0.0.9:1 7 zone")
	rapid.Check(t, func(t *rapid.T) {
		damaged := slices.Clone(tokens)
		for range rapid.IntRange(1, 3).Draw(t, "damages") {
			place := rapid.IntRange(0, len(damaged)-2).Draw(t, "place")
			word := words[rapid.IntRange(0, len(words)-2).Draw(t, "word")]
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				damaged = slices.Delete(damaged, place, place+1)
			case 1:
				damaged = slices.Insert(damaged, place, word)
			default:
				damaged[place] = word
			}
		}
		requireSameTree(t, damaged)
	})
}

func requireSameTree(t require.TestingT, tokens []lexer.Token) {
	text := strings.Join(lo.Map(tokens, func(token lexer.Token, _ int) string { return token.Value }), " ")
	expected, err := parseTokens(tokens)
	service := parseService(tokens)
	understood := err == nil && len(expected.Declarations) == 1 && expected.Declarations[0].Service != nil
	require.Equal(t, understood, service != nil, text)
	if understood {
		require.Equal(t, expected.Declarations[0].Service, service, text)
	}
}

func tokensOf(text string) []lexer.Token {
	var tokens []lexer.Token
	for scan := newScanner("test", text); ; {
		token, _ := scan.Next()
		tokens = append(tokens, token)
		if token.EOF() {
			return tokens
		}
	}
}
