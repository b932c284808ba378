package policy

import (
	"slices"
	"strings"

	"github.com/alecthomas/participle/v2/lexer"
)

// A service of a few hundred groups mostly differs from what it was before in
// one of them. Of such a service only the groups that differ are parsed: as the
// same service without the groups that are known. Everything is still parsed and
// checked by the one grammar and the one checker.

// sections are the text of a service in parts: its groups, and what stands
// between them.
type sections struct {
	groups []string
	frame  []string // one more than groups
}

// splitGroups finds the groups of a service by their tokens. It returns false
// when a group is not closed before another brace opens.
func splitGroups(text string) (sections, bool) {
	var found sections
	scan := newScanner("", text)
	var before [2]lexer.Token // the two tokens before the present one
	frameStart, groupStart := 0, -1
	for token := nextWord(scan); !token.EOF(); token = nextWord(scan) {
		opens := token.Value == "{" && before[0].Value == "group" && before[1].Type == tokenIdent
		switch {
		case groupStart < 0 && opens:
			groupStart = before[0].Pos.Offset
			found.frame = append(found.frame, text[frameStart:groupStart])
		case groupStart >= 0 && token.Value == "{":
			return sections{}, false
		case groupStart >= 0 && token.Value == "}":
			frameStart = scan.position.Offset
			found.groups = append(found.groups, text[groupStart:frameStart])
			groupStart = -1
		}
		before[0], before[1] = before[1], token
	}
	found.frame = append(found.frame, text[frameStart:])
	return found, groupStart < 0
}

// without returns the text of the service with only some of its groups.
func (s sections) without(unchanged func(index int) bool) string {
	var text strings.Builder
	for index, group := range s.groups {
		text.WriteString(s.frame[index])
		if !unchanged(index) {
			text.WriteString(group)
		}
	}
	text.WriteString(s.frame[len(s.groups)])
	return text.String()
}

// groupHead is a group's text up to its brace: keyword and name.
func groupHead(group string) string {
	head, _, _ := strings.Cut(group, "{")
	return head
}

// patchService returns a service whose text changed only within groups, from
// what is known of it. It returns false for any other change, and for services
// of several generations, in which a server may stand twice.
func patchService(known *parsedDeclaration, before, after string) (*parsedDeclaration, bool) {
	if known.service == nil || len(known.service.Generations) != 1 {
		return nil, false
	}
	old, oldSure := splitGroups(before)
	now, nowSure := splitGroups(after)
	if !oldSure || !nowSure || !slices.Equal(old.frame, now.frame) {
		return nil, false
	}
	var changed []int
	words := known.words
	for index, group := range now.groups {
		if group == old.groups[index] {
			continue
		}
		// Under another name it might be one that stands elsewhere too.
		if groupHead(group) != groupHead(old.groups[index]) {
			return nil, false
		}
		changed = append(changed, index)
		words += countWords(group) - countWords(old.groups[index])
	}
	part, sure := parseDeclaration(now.without(func(index int) bool { return !slices.Contains(changed, index) }))
	if !sure || len(changed) == 0 {
		return nil, false
	}
	patched := known.withGroups(part, changed)
	patched.words = words
	return patched, true
}

// withGroups returns the service with some of its groups replaced by those of
// part. What it shares with the known one is not changed.
func (p *parsedDeclaration) withGroups(part *parsedDeclaration, places []int) *parsedDeclaration {
	service := *p.service
	service.Generations = slices.Clone(service.Generations)
	shards := slices.Clone(service.Generations[0].Shards)
	patched := &parsedDeclaration{service: &service, servers: slices.Clone(p.servers)}
	for index, place := range places {
		shard := part.service.Generations[0].Shards[index]
		shard.ID = shards[place].ID
		shards[place] = shard
		patched.servers[place] = part.servers[index]
	}
	service.Generations[0].Shards = shards
	return patched
}

// countWords counts the tokens of a text that are no comments.
func countWords(text string) int {
	count := 0
	scan := newScanner("", text)
	for token := nextWord(scan); !token.EOF(); token = nextWord(scan) {
		count++
	}
	return count
}
