package addressee_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/addressee"
)

// answerOf calls a process and returns its answer and what it told of misdirected calls.
func answerOf(process, expected addressee.Identity) (*http.Response, []*addressee.MisdirectedError) {
	var told []*addressee.MisdirectedError
	handler := addressee.Handler(
		func() addressee.Identity { return process },
		func(refused *addressee.MisdirectedError) { told = append(told, refused) },
		http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusNoContent) }),
	)
	request := httptest.NewRequest(http.MethodPost, "/", nil)
	addressee.Mark(request.Header, expected)
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	return recorder.Result(), told
}

func TestOnlyTheAddresseeServes(t *testing.T) {
	process := addressee.Identity{Group: 7, Name: "router-1"}
	for name, sample := range map[string]struct {
		process, expected addressee.Identity
		served            bool
	}{
		"the one that is meant":               {process, process, true},
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
		response, told := answerOf(sample.process, sample.expected)
		err := addressee.Check(response, sample.expected, false)
		if sample.served {
			require.Equal(t, http.StatusNoContent, response.StatusCode, name)
			require.NoError(t, err, name)
			require.Empty(t, told, name)
			continue
		}
		require.Equal(t, http.StatusMisdirectedRequest, response.StatusCode, name)
		require.Len(t, told, 1, name)
		var misdirected *addressee.MisdirectedError
		require.ErrorAs(t, err, &misdirected, name)
		require.True(t, misdirected.Refused, name)
		require.Equal(t, sample.process, misdirected.Found, name)
	}
}

func TestRepliesOfOthersAreNoticed(t *testing.T) {
	expected := addressee.Identity{Group: 7, Name: "router-1"}
	for name, sample := range map[string]struct {
		header     http.Header
		identifies bool
		taken      bool
	}{
		"the one that is meant":                     {http.Header{"Martenstage-Group": {"7"}, "Martenstage-From": {"router-1"}}, true, true},
		"another name":                              {http.Header{"Martenstage-Group": {"7"}, "Martenstage-From": {"router-2"}}, true, false},
		"another group":                             {http.Header{"Martenstage-Group": {"8"}, "Martenstage-From": {"router-1"}}, true, false},
		"a group that can't be read":                {http.Header{"Martenstage-Group": {"x"}, "Martenstage-From": {"router-1"}}, true, false},
		"nothing, of an earlier version":            {http.Header{}, false, true},
		"nothing, in the place of one that says it": {http.Header{}, true, false},
	} {
		err := addressee.Check(&http.Response{StatusCode: http.StatusOK, Header: sample.header}, expected, sample.identifies)
		if sample.taken {
			require.NoError(t, err, name)
			continue
		}
		var misdirected *addressee.MisdirectedError
		require.ErrorAs(t, err, &misdirected, name)
		require.False(t, misdirected.Refused, name)
	}
}

func TestOneSeedAloneDoesNotMakeAGroup(t *testing.T) {
	founders := []string{"a", "b", "c"}
	group := addressee.GroupOf(founders)
	for name, sample := range map[string]struct {
		seeds, members []string
		serves         bool
	}{
		"its founders, all replaced":             {[]string{"c", "b", "a"}, []string{"d", "e", "f"}, true},
		"its members":                            {[]string{"d", "e", "f"}, []string{"d", "e", "f", "g"}, true},
		"most of its members":                    {[]string{"d", "e", "x"}, []string{"d", "e", "f"}, true},
		"one of two":                             {[]string{"d", "x"}, []string{"d", "e", "f"}, true},
		"one of three, whose address has passed": {[]string{"x", "y", "d"}, []string{"d", "e", "f"}, false},
		"none":                                   {[]string{"x"}, []string{"d"}, false},
		"a process that names none":              {nil, []string{"d"}, true},
	} {
		require.Equal(t, sample.serves, group.Serves(sample.seeds, sample.members), name)
	}
}

func TestGroupsFollowFromTheirFounders(t *testing.T) {
	founded := addressee.GroupOf([]string{"10.0.0.1:1", "10.0.0.2:1"})
	require.Equal(t, founded, addressee.GroupOf([]string{"10.0.0.2:1", "10.0.0.1:1"}))
	require.True(t, founded.Differs(addressee.GroupOf([]string{"10.0.0.1:1", "10.0.0.3:1"})))
	require.False(t, founded.Differs(0))
	require.Zero(t, addressee.GroupOf(nil))
}
