// Package addressee identifies, in calls between the processes of a registered site, the group
// of the caller and the process that the call is intended for.
//
// An address outlives the process that listened at it: it may pass to another process, also of
// another group. A call carries the caller's group and, if known, the name of the intended
// process. Any other process refuses the call with 421 Misdirected Request (RFC 9110, section
// 15.5.20) without executing it. A reply carries the group and name of the replying process,
// so that the caller detects a process that does not check. Missing values are not compared:
// processes of an earlier version send neither.
package addressee

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Headers of calls and replies.
const (
	// headerGroup is the group of the caller in a call, and that of the replying process in a
	// reply.
	headerGroup = "Martenstage-Group"
	// headerTo is the name of the process that a call is intended for, headerFrom that of the
	// replying process.
	headerTo   = "Martenstage-To"
	headerFrom = "Martenstage-From"
)

// Group identifies the directory nodes that share a log, and the routers that follow them; 0
// is unknown.
type Group uint64

// GroupOf returns the group founded by the nodes at some addresses, in any order.
func GroupOf(founders []string) Group {
	if len(founders) == 0 {
		return 0
	}
	sorted := slices.Compact(slices.Sorted(slices.Values(founders)))
	return Group(max(1, xxhash.Sum64String("group "+strings.Join(sorted, " "))))
}

// MatchesSeeds reports whether a group is the one that a process with some seeds looks for: the
// seeds founded it, or at least half of them are its members. A single matching seed proves
// nothing, since its address may have passed to a node of another group.
func (g Group) MatchesSeeds(seeds, members []string) bool {
	if g != 0 && g == GroupOf(seeds) {
		return true
	}
	known := 0
	for _, seed := range seeds {
		if slices.Contains(members, seed) {
			known++
		}
	}
	return 2*known >= len(seeds)
}

// String returns the group as it appears in headers and logs.
func (g Group) String() string { return strconv.FormatUint(uint64(g), hexadecimal) }

const hexadecimal = 16

// Differs reports whether two groups are known and differ.
func (g Group) Differs(other Group) bool { return g != 0 && other != 0 && g != other }

// Identity identifies a process to others.
type Identity struct {
	Group Group
	// Name is empty for any process of the group.
	Name string
}

// matches reports whether a process may be the one that an identity describes.
func (i Identity) matches(process Identity) bool {
	return !i.Group.Differs(process.Group) && (i.Name == "" || process.Name == "" || i.Name == process.Name)
}

// MisdirectedError says that a call reached a process other than the intended one.
type MisdirectedError struct {
	Expected, Found Identity
	// Refused says that the process refused the call without executing it.
	Refused bool
}

// Error implements error.
func (e *MisdirectedError) Error() string {
	return fmt.Sprintf("call for %q of group %s reached %q of group %s", e.Expected.Name, e.Expected.Group, e.Found.Name, e.Found.Group)
}

// SetHeaders sets the headers of a call: the intended process and the group, which is also the
// caller's.
func SetHeaders(header http.Header, expected Identity) {
	if expected.Group != 0 {
		header[headerGroup] = []string{expected.Group.String()}
	}
	if expected.Name != "" {
		header[headerTo] = []string{expected.Name}
	}
}

// CheckResponse returns a *MisdirectedError if a process other than the expected one replied. If the
// expected one identifies itself, that includes replies without a name.
func CheckResponse(response *http.Response, expected Identity, identifies bool) error {
	found := identityOf(response.Header, headerFrom)
	refused := response.StatusCode == http.StatusMisdirectedRequest
	if refused || !expected.matches(found) || identifies && found.Name == "" {
		return &MisdirectedError{Expected: expected, Found: found, Refused: refused}
	}
	return nil
}

// Handler refuses calls that are intended for another process and reports them to misdirected.
// Own returns the identity of this process.
func Handler(own func() Identity, misdirected func(*MisdirectedError), next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		self := own()
		replyHeader := writer.Header()
		if self.Group != 0 {
			replyHeader[headerGroup] = []string{self.Group.String()}
		}
		if self.Name != "" {
			replyHeader[headerFrom] = []string{self.Name}
		}
		expected := identityOf(request.Header, headerTo)
		if !expected.matches(self) {
			refusal := &MisdirectedError{Expected: expected, Found: self, Refused: true}
			misdirected(refusal)
			http.Error(writer, refusal.Error(), http.StatusMisdirectedRequest)
			return
		}
		next.ServeHTTP(writer, request)
	})
}

// identityOf reads an identity from headers. An invalid group is read as one that no process
// has, so that it differs from every known one.
func identityOf(header http.Header, name string) Identity {
	identity := Identity{Name: header.Get(name)}
	text := header.Get(headerGroup)
	if text == "" {
		return identity
	}
	group, err := strconv.ParseUint(text, hexadecimal, 64)
	if err != nil || group == 0 {
		group = invalidGroup
	}
	identity.Group = Group(group)
	return identity
}

// invalidGroup replaces a group that can't be parsed.
const invalidGroup = ^uint64(0)
