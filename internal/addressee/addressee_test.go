package addressee_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/addressee"
)

// callProcess calls a process and returns its reply and the misdirected calls that it
// reported.
func callProcess(process, expected addressee.Identity) (*http.Response, []*addressee.MisdirectedError) {
	var reported []*addressee.MisdirectedError
	handler := addressee.Handler(
		func() addressee.Identity { return process },
		func(refused *addressee.MisdirectedError) { reported = append(reported, refused) },
		http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusNoContent) }),
	)
	request := httptest.NewRequest(http.MethodPost, "/", nil)
	addressee.SetHeaders(request.Header, expected)
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	return recorder.Result(), reported
}

func TestOnlyTheIntendedProcessServes(t *testing.T) {
	process := addressee.Identity{Group: 7, Name: "router-1"}
	for name, sample := range map[string]struct {
		process, expected addressee.Identity
		served            bool
	}{
		"the intended process":                {process, process, true},
		"another name":                        {process, addressee.Identity{Group: 7, Name: "router-2"}, false},
		"another group":                       {process, addressee.Identity{Group: 8, Name: "router-1"}, false},
		"any process of the group":            {process, addressee.Identity{Group: 7}, true},
		"any process of another group":        {process, addressee.Identity{Group: 8}, false},
		"a caller of an earlier version":      {process, addressee.Identity{}, true},
		"a caller that knows no group":        {process, addressee.Identity{Name: "router-1"}, true},
		"a process that knows no group":       {addressee.Identity{Name: "router-1"}, process, true},
		"a process without a name":            {addressee.Identity{Group: 7}, process, true},
		"a process of another group, no name": {addressee.Identity{Group: 8}, process, false},
	} {
		response, reported := callProcess(sample.process, sample.expected)
		err := addressee.CheckResponse(response, sample.expected, false)
		if sample.served {
			require.Equal(t, http.StatusNoContent, response.StatusCode, name)
			require.NoError(t, err, name)
			require.Empty(t, reported, name)
			continue
		}
		require.Equal(t, http.StatusMisdirectedRequest, response.StatusCode, name)
		require.Len(t, reported, 1, name)
		var misdirected *addressee.MisdirectedError
		require.ErrorAs(t, err, &misdirected, name)
		require.True(t, misdirected.Refused, name)
		require.Equal(t, sample.process, misdirected.Found, name)
	}
}

func TestRepliesOfOtherProcessesAreDetected(t *testing.T) {
	expected := addressee.Identity{Group: 7, Name: "router-1"}
	for name, sample := range map[string]struct {
		header     http.Header
		identifies bool
		accepted   bool
	}{
		"the expected process":        {http.Header{"Martenstage-Group": {"7"}, "Martenstage-From": {"router-1"}}, true, true},
		"another name":                {http.Header{"Martenstage-Group": {"7"}, "Martenstage-From": {"router-2"}}, true, false},
		"another group":               {http.Header{"Martenstage-Group": {"8"}, "Martenstage-From": {"router-1"}}, true, false},
		"an invalid group":            {http.Header{"Martenstage-Group": {"x"}, "Martenstage-From": {"router-1"}}, true, false},
		"no headers, earlier version": {http.Header{}, false, true},
		"no headers, from a process expected to identify itself": {http.Header{}, true, false},
	} {
		err := addressee.CheckResponse(&http.Response{StatusCode: http.StatusOK, Header: sample.header}, expected, sample.identifies)
		if sample.accepted {
			require.NoError(t, err, name)
			continue
		}
		var misdirected *addressee.MisdirectedError
		require.ErrorAs(t, err, &misdirected, name)
		require.False(t, misdirected.Refused, name)
	}
}

func TestOneSeedAloneDoesNotIdentifyAGroup(t *testing.T) {
	founders := []string{"a", "b", "c"}
	group := addressee.GroupOf(founders)
	for name, sample := range map[string]struct {
		seeds, members []string
		serves         bool
	}{
		"its founders, all replaced": {[]string{"c", "b", "a"}, []string{"d", "e", "f"}, true},
		"its members":                {[]string{"d", "e", "f"}, []string{"d", "e", "f", "g"}, true},
		"most of its members":        {[]string{"d", "e", "x"}, []string{"d", "e", "f"}, true},
		"one of two":                 {[]string{"d", "x"}, []string{"d", "e", "f"}, true},
		"one of three, whose address was reassigned": {[]string{"x", "y", "d"}, []string{"d", "e", "f"}, false},
		"none":                    {[]string{"x"}, []string{"d"}, false},
		"a process without seeds": {nil, []string{"d"}, true},
	} {
		require.Equal(t, sample.serves, group.MatchesSeeds(sample.seeds, sample.members), name)
	}
}

func TestGroupsFollowFromTheirFounders(t *testing.T) {
	founded := addressee.GroupOf([]string{"10.0.0.1:1", "10.0.0.2:1"})
	require.Equal(t, founded, addressee.GroupOf([]string{"10.0.0.2:1", "10.0.0.1:1"}))
	require.True(t, founded.Differs(addressee.GroupOf([]string{"10.0.0.1:1", "10.0.0.3:1"})))
	require.False(t, founded.Differs(0))
	require.Zero(t, addressee.GroupOf(nil))
}
