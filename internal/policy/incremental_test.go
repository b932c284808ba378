package policy

import (
	"bytes"
	"fmt"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/martenstage/martenstage/internal/plan"
)

// requireSameAsFull compiles a text both ways: plans must have the same bytes,
// errors the same problems.
func requireSameAsFull(t require.TestingT, compiler *Compiler, text string) bool {
	want, wantErr := Compile(compiler.filename, []byte(text))
	got, gotErr := compiler.Compile(text)
	if wantErr != nil {
		require.Equal(t, wantErr, gotErr)
		return false
	}
	require.NoError(t, gotErr)
	require.Equal(t, planBytes(t, want), planBytes(t, got))
	require.Equal(t, want, got)
	return true
}

func planBytes(t require.TestingT, compiled *plan.Plan) []byte {
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(plan.ToProto(compiled))
	require.NoError(t, err)
	return encoded
}

// groupsText declares a service of several groups, one of them with comments,
// and a route that names some of them.
const groupsText = `
service groups {
	slots 3
	connections 9
	generation 7 {
		group a {
			replica 127.0.1.1:7000 zone a
			replica 127.0.1.2:7000 zone b
		}
		# between groups
		group b { replica 127.0.1.3:7000 zone a slots 4 connections 10 }
		group c {
			# group d {
			replica 127.0.1.4:7000 zone a shared # }
		}
		group e {
			replica 127.0.1.5:7000 zone b
		}
	}
	cell routers 2
}

policy named {
	deadline 50ms
	repeatable
	answer when covered(a, c)
	at 40ms fail
}

route named {
	service groups
	policy named
}
`

// declarationHead matches the beginnings of smallText's and groupsText's
// declarations, which stand at the beginning of a line.
var declarationHead = regexp.MustCompile(`(?m)^(service|policy|route|region) \w+ \{`)

// replacements are parts of texts that turn up in edits: right and wrong words,
// whole declarations, comments that look like declarations, and halves of both.
var replacements = []string{
	"", " ", "\n", "}", "{", "#", "# service s {\n", "service", "route", "service x {", "not", "(", ")", "é", "\xff", "\u2028",
	"g1", "g9", "s", "t", "quick", "claim", "r", "3", "0", "shared", "127.0.0.1:7000", "127.0.0.3:7000", "replica 127.0.0.9:7000 zone a\n",
	"127.0.1.1:7000", "127.0.1.4:7000", "group a {", "group b {", "replica 127.0.1.6:7000 zone a slots 1\n", "replica 127.0.0.3:7000 zone a shared\n",
	"region south {\n\trouter 10.0.0.9:8081\n}\n", "region north", "region south", "\trouter 10.0.0.1:8081\n", "\tdeadline 2s\n",
	"service u {\n\tslots 2\n\tconnections 70\n\tgeneration 1 {\n\t\tgroup g1 {\n\t\t\treplica 127.0.0.8:7000 zone a\n\t\t}\n\t}\n}\n",
	"policy late {\n\tdeadline 2s\n\trepeatable\n\tanswer when covered(g1)\n\tat 1s fail\n}\n",
	"region far {\n\trouter 10.0.0.3:1\n}\n", "region north {", "north", "router 10.0.0.1:8081\n", "deadline 1s\n", "repeatable\n",
	"route l {\n\tregion far\n\tdeadline 1s\n}\n",
	"route l {\n\tservice u\n\tpolicy late\n}\n", "route l {\n\tservice t\n\tpolicy late\n}\n",
}

// drawEdit replaces a range by a fixed part, by another range of the text, or
// moves a line.
func drawEdit(t *rapid.T, text string) string {
	lines := strings.SplitAfter(text, "\n")
	first := rapid.IntRange(0, len(lines)-1).Draw(t, "line")
	after := min(len(lines), first+rapid.IntRange(0, 12).Draw(t, "lines"))
	before, rest := strings.Join(lines[:first], ""), strings.Join(lines[after:], "")
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0: // a range of lines goes, or is replaced
		return before + rapid.SampledFrom(replacements).Draw(t, "replacement") + rest
	case 1: // lines stand twice, or again elsewhere
		at := rapid.IntRange(0, len(lines)).Draw(t, "at")
		return strings.Join(lines[:at], "") + strings.Join(lines[first:after], "") + strings.Join(lines[at:], "")
	case 2: // something within a line
		from := rapid.IntRange(0, len(text)).Draw(t, "from")
		to := min(len(text), from+rapid.IntRange(0, 3).Draw(t, "length"))
		return text[:from] + rapid.SampledFrom(replacements).Draw(t, "replacement") + text[to:]
	default: // a word stands in another place
		words := strings.Fields(text)
		if len(words) == 0 {
			return text
		}
		old := rapid.SampledFrom(words).Draw(t, "old")
		return strings.Replace(text, old, rapid.SampledFrom(words).Draw(t, "new"), rapid.IntRange(1, 3).Draw(t, "times"))
	}
}

// TestIncrementalIsFull checks that a compiler that remembers gives the same
// plans and the same problems as one that does not, over sequences of edits of
// texts that mostly compile.
func TestIncrementalIsFull(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		compiler := NewCompiler("site.policy")
		text := smallText + groupsText
		require.True(t, requireSameAsFull(t, compiler, text))
		require.Len(t, compiler.segments, len(declarationHead.FindAllString(text, -1)), "nothing was left to the full compile")
		for range rapid.IntRange(1, 10).Draw(t, "edits") {
			edited := drawEdit(t, text)
			if requireSameAsFull(t, compiler, edited) || rapid.Bool().Draw(t, "go on with the fault") {
				text = edited
			}
		}
	})
}

// TestIncrementalKeepsTheRules makes edits that break, or just keep, a rule
// across declarations, which no declaration shows alone.
func TestIncrementalKeepsTheRules(t *testing.T) {
	cases := map[string]struct {
		old, replacement string
		compiles         bool
	}{
		"an address of another service":     {"127.0.0.2:7000", "127.0.0.3:7000", false},
		"shared by one side only":           {"replica 127.0.0.3:7000 zone a shared\n\t\t}\n\t}\n}\n\nservice t", "replica 127.0.0.3:7000 zone a\n\t\t}\n\t}\n}\n\nservice t", false},
		"shared with other limits":          {"service t {\n\tslots 2", "service t {\n\tslots 3", false},
		"a second service of a name":        {"service t {", "service s {", false},
		"a second policy of a name":         {"policy claim {", "policy quick {", false},
		"a second route of a name":          {"route k {", "route r {", false},
		"a route to nothing":                {"\tpolicy claim\n\ttarget key", "\tpolicy missing\n\ttarget key", false},
		"a covered group that is gone":      {"generation 2 {\n\t\tgroup g1", "generation 2 {\n\t\tgroup g3", false},
		"a group by name and a key":         {"\tpolicy quick\n\ttarget all", "\tpolicy quick\n\ttarget key", false},
		"a second region of a name":         {"region north {\n\trouter 10.0.0.2:8081", "region north {\n\trouter 10.0.0.3:1\n}\nregion north {\n\trouter 10.0.0.2:8081", false},
		"a route to no region":              {"region north\n\tdeadline", "region south\n\tdeadline", false},
		"another entry router":              {"router 10.0.0.2:8081", "router 10.0.0.3:8081", true},
		"lines above a policy":              {"service t {", "# one\n# two\nservice t {", true},
		"a comment before everything":       {"service s {", "# service x {\nservice s {", true},
		"a service that no route refers to": {"service t {", "service v { slots 1 connections 1 generation 1 { group g { replica 127.0.0.7:7000 zone a } } }\nservice t {", true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			compiler := NewCompiler("site.policy")
			require.True(t, requireSameAsFull(t, compiler, smallText))
			edited := strings.Replace(smallText, test.old, test.replacement, 1)
			require.NotEqual(t, smallText, edited)
			require.Equal(t, test.compiles, requireSameAsFull(t, compiler, edited))
			require.True(t, requireSameAsFull(t, compiler, smallText))
		})
	}
}

// TestIncrementalParsesOnlyWhatChanged counts the declarations that two edits
// far apart make the compiler parse: the others are the same values as before.
func TestIncrementalParsesOnlyWhatChanged(t *testing.T) {
	compiler := NewCompiler("large.policy")
	text := string(largeText())
	_, err := compiler.Compile(text)
	require.NoError(t, err)
	before := compiler.segments
	edited := strings.Replace(text, "replica 10.0.9.9:7000", "replica 10.200.0.1:7000", 1)
	edited = strings.Replace(edited, "policy policy-70 {", "# a comment\npolicy policy-70 {", 1)
	_, err = compiler.Compile(edited)
	require.NoError(t, err)
	require.Len(t, compiler.segments, len(before))
	var parsed []int
	for index, part := range compiler.segments {
		if part.parsed != before[index].parsed {
			parsed = append(parsed, index)
		}
	}
	// The service of the replica, and the route whose text ends with the comment.
	require.Len(t, parsed, 2)
	// Of the service, the one group that holds server 9.9.
	const service, changedGroup = 2, 231
	require.Equal(t, service, parsed[0])
	was, is := before[service].parsed, compiler.segments[service].parsed
	for index, shard := range is.service.Generations[0].Shards {
		same := &shard.Replicas[0] == &was.service.Generations[0].Shards[index].Replicas[0]
		require.Equal(t, index != changedGroup, same, "group %d", index)
	}
}

// BenchmarkCompileChange57000 compiles a text in which one replica differs from
// the text before, with and without a memory of it.
func BenchmarkCompileChange57000(b *testing.B) {
	base := largeText()
	texts := make([]string, 2)
	for index := range texts {
		texts[index] = string(bytes.Replace(base, []byte("replica 10.0.99.9:7000"), fmt.Appendf(nil, "replica 10.200.0.%d:7000", index), 1))
	}
	b.Run("full", func(b *testing.B) {
		b.ReportAllocs()
		for number := 0; b.Loop(); number++ {
			_, err := Compile("large.policy", []byte(texts[number%2]))
			require.NoError(b, err)
		}
	})
	b.Run("incremental", func(b *testing.B) {
		compiler := NewCompiler("large.policy")
		_, err := compiler.Compile(texts[1])
		require.NoError(b, err)
		b.ReportAllocs()
		for number := 0; b.Loop(); number++ {
			_, err := compiler.Compile(texts[number%2])
			require.NoError(b, err)
		}
	})
}

// TestRegionsAreReused checks that a text with regions is not left to the full
// compiler, and that a region which did not change is not parsed again.
func TestRegionsAreReused(t *testing.T) {
	compiler := NewCompiler("site.policy")
	require.True(t, requireSameAsFull(t, compiler, smallText))
	require.NotEmpty(t, compiler.segments)
	region := func() *plan.Region {
		for _, part := range compiler.segments {
			if part.parsed.region != nil {
				return part.parsed.region
			}
		}
		return nil
	}
	before := region()
	require.NotNil(t, before)
	require.True(t, requireSameAsFull(t, compiler, strings.Replace(smallText, "deadline 100ms", "deadline 101ms", 1)))
	require.Same(t, before, region())
}
