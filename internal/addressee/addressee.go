// Package addressee names, in calls between the processes of a registered site, the group
// of the caller and the process that the call is meant for.
//
// An address outlives the process that listened at it: the next process that gets it may be
// another one, or belong to another group. A call carries the caller's group and, where the
// caller knows it, the name of the process that it is meant for. A process that is not meant
// refuses the call with 421 Misdirected Request (RFC 9110, section 15.5.20) and has done nothing.
// A reply carries the same of the process that gave it, so that the caller notices one that
// does not check. What is not named is not compared: processes of an earlier version name
// neither.
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
	// headerGroup is the caller's group in a call, the answering process's in a reply.
	headerGroup = "Martenstage-Group"
	// headerTo is the name of the process that a call is meant for, headerFrom that of the
	// one that replied.
	headerTo   = "Martenstage-To"
	headerFrom = "Martenstage-From"
)

// Group identifies the directory nodes that share a log, and the routers that follow them;
// 0 is unknown.
type Group uint64

// GroupOf returns the group that was founded by the nodes at some addresses, in any order.
func GroupOf(founders []string) Group {
	if len(founders) == 0 {
		return 0
	}
	sorted := slices.Compact(slices.Sorted(slices.Values(founders)))
	return Group(max(1, xxhash.Sum64String("group "+strings.Join(sorted, " "))))
}

// Serves reports whether a group is the one that a process with some seeds looks for: they founded it,
// or at least half of them are its members. A seed alone proves nothing, since its address may have
// passed to a node of another group.
func (g Group) Serves(seeds, members []string) bool {
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

// String returns the group as in headers and logs.
func (g Group) String() string { return strconv.FormatUint(uint64(g), hexadecimal) }

const hexadecimal = 16

// Differs reports whether two groups are known and not the same.
func (g Group) Differs(other Group) bool { return g != 0 && other != 0 && g != other }

// Identity is a process as others know it.
type Identity struct {
	Group Group
	// Name is empty for any process of the group.
	Name string
}

// matches reports whether a process may be meant by an identity.
func (i Identity) matches(process Identity) bool {
	return !i.Group.Differs(process.Group) && (i.Name == "" || process.Name == "" || i.Name == process.Name)
}

// MisdirectedError says that a call reached another process than the one that it was meant for.
type MisdirectedError struct {
	Expected, Found Identity
	// Refused says that the process refused the call and has done nothing.
	Refused bool
}

// Error implements error.
func (e *MisdirectedError) Error() string {
	return fmt.Sprintf("call for %q of group %s reached %q of group %s", e.Expected.Name, e.Expected.Group, e.Found.Name, e.Found.Group)
}

// Mark names in a call's headers whom it is meant for and that the caller is of the same group.
func Mark(header http.Header, expected Identity) {
	if expected.Group != 0 {
		header[headerGroup] = []string{expected.Group.String()}
	}
	if expected.Name != "" {
		header[headerTo] = []string{expected.Name}
	}
}

// Check returns a *MisdirectedError for a reply of another process than the expected one; also
// for one that does not say whose it is, if the expected one does.
func Check(response *http.Response, expected Identity, identifies bool) error {
	found := identityOf(response.Header, headerFrom)
	refused := response.StatusCode == http.StatusMisdirectedRequest
	if refused || !expected.matches(found) || identifies && found.Name == "" {
		return &MisdirectedError{Expected: expected, Found: found, Refused: refused}
	}
	return nil
}

// Handler refuses calls that are not meant for this process, and tells of them. Own returns
// the identity of this process.
func Handler(own func() Identity, misdirected func(*MisdirectedError), next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		self := own()
		answered := writer.Header()
		if self.Group != 0 {
			answered[headerGroup] = []string{self.Group.String()}
		}
		if self.Name != "" {
			answered[headerFrom] = []string{self.Name}
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

// identityOf reads an identity from headers. A group that can't be read is one that no process
// has, so that it differs from every known one.
func identityOf(header http.Header, name string) Identity {
	read := Identity{Name: header.Get(name)}
	text := header.Get(headerGroup)
	if text == "" {
		return read
	}
	group, err := strconv.ParseUint(text, hexadecimal, 64)
	if err != nil || group == 0 {
		group = unreadable
	}
	read.Group = Group(group)
	return read
}

// unreadable stands for a group that can't be read.
const unreadable = ^uint64(0)
