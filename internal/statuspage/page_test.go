package statuspage

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"golang.org/x/net/html"
	"google.golang.org/protobuf/types/known/timestamppb"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/overview"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/policy"
)

// fakeSource is a site with something in every section.
type fakeSource struct {
	plan        *plan.Plan
	routers     int
	statusError error
	eventsError error
	asked       string
}

// Status implements Source.
func (s *fakeSource) Status(context.Context) (*v1.StatusResponse, error) {
	status := &v1.StatusResponse{
		LeaderId: 1, Revision: 1, Confirmed: true, AnsweredBy: 1,
		Voters:   []*v1.VoterStatus{{Voter: &v1.Voter{Id: 1, Address: "127.0.0.1:71"}, RecentlyActive: true}, {Voter: &v1.Voter{Id: 2}}},
		Machines: []*v1.MachineState{{Address: "127.0.0.1:1", State: "leaving", Source: "operator"}},
		Routes:   []*v1.RouteReport{{Route: "sweep", Requests: 1, Answered: 1, ShardsCovered: 99_999, ShardsWanted: 100_000, Latency: []uint32{1}}},
	}
	for index := range s.routers {
		status.Nodes = append(status.Nodes, &v1.NodeStatus{
			Node: fmt.Sprintf("router-%03d", index), Role: "router", Zone: "a", LeaseLapsed: index == 7})
	}
	return status, s.statusError
}

// Plan implements Source.
func (s *fakeSource) Plan() *plan.Plan { return s.plan }

// Events implements Source.
func (s *fakeSource) Events(_ context.Context, service string, _ uint32) ([]*v1.Event, error) {
	s.asked = service
	return []*v1.Event{
		{Kind: "restarted", Time: timestamppb.Now(), Count: 1, Detail: "older"},
		{Kind: "bad_echo", Time: timestamppb.Now(), Count: 3, Detail: "<script>alert(1)</script>"},
	}, s.eventsError
}

func newSource(t *testing.T) *fakeSource {
	compiled, err := policy.Compile("site", []byte("service desks {\n\tslots 2\n\tconnections 9\n\tgeneration 1 {\n\t\tgroup g1 {\n\t\t\treplica 127.0.0.1:1 zone a\n\t\t}\n\t}\n}\n"))
	require.NoError(t, err)
	return &fakeSource{plan: compiled, routers: 10}
}

func get(t *testing.T, source Source, path string) *httptest.ResponseRecorder {
	t.Helper()
	recorder := httptest.NewRecorder()
	NewHandler(1, source, logrus.New()).ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
	return recorder
}

// elements returns all elements of a page in document order.
func elements(t *testing.T, text string) []*html.Node {
	root, err := html.Parse(strings.NewReader(text))
	require.NoError(t, err)
	var found []*html.Node
	for node := range root.Descendants() {
		if node.Type == html.ElementNode {
			found = append(found, node)
		}
	}
	return found
}

func attribute(node *html.Node, key string) string {
	found, _ := lo.Find(node.Attr, func(attribute html.Attribute) bool { return attribute.Key == key })
	return found.Val
}

// TestPageIsReadableByKeyboard checks what a reader without a mouse or a screen
// goes by: targets of links, labels, captions, scopes and the order of headings.
func TestPageIsReadableByKeyboard(t *testing.T) {
	for _, routers := range []int{0, 10, 200} {
		source := newSource(t)
		source.routers = routers
		nodes := elements(t, get(t, source, "/?service=desks").Body.String())
		ids := map[string]int{}
		for _, node := range nodes {
			if id := attribute(node, "id"); id != "" {
				ids[id]++
			}
		}
		level := 0
		for _, node := range nodes {
			switch node.Data {
			case "a":
				if target, within := strings.CutPrefix(attribute(node, "href"), "#"); within {
					require.Equal(t, 1, ids[target], "#%s", target)
				}
			case "table":
				require.Equal(t, "caption", node.FirstChild.NextSibling.Data, "a table begins with its caption")
			case "th":
				require.Contains(t, []string{"row", "col"}, attribute(node, "scope"))
			case "select":
				require.True(t, lo.SomeBy(nodes, func(label *html.Node) bool {
					return label.Data == "label" && attribute(label, "for") == attribute(node, "id")
				}))
			case "h1", "h2", "h3":
				here := int(node.Data[1] - '0')
				require.LessOrEqual(t, here, level+1, "headings skip no level")
				level = here
			}
			require.NotContains(t, []string{"script", "iframe", "img"}, node.Data)
			require.Empty(t, attribute(node, "style"), "the content security policy forbids inline styles")
			require.NotContains(t, attribute(node, "href"), "//")
		}
		body, _ := lo.Find(nodes, func(node *html.Node) bool { return node.Data == "body" })
		first := body.FirstChild.NextSibling
		require.Equal(t, "#main", attribute(first, "href"), "the first link skips to the content")
	}
}

func TestPageShowsEventsNewestFirstAndEscaped(t *testing.T) {
	source := newSource(t)
	response := get(t, source, "/?service=desks&refresh=true")
	require.Equal(t, http.StatusOK, response.Code)
	require.Equal(t, contentSecurityPolicy, response.Header().Get("Content-Security-Policy"))
	text := response.Body.String()
	require.Equal(t, "desks", source.asked)
	require.Contains(t, text, "&lt;script&gt;alert(1)")
	require.Less(t, strings.Index(text, "bad_echo"), strings.Index(text, "older"))
	require.Contains(t, text, `http-equiv="refresh"`)
	require.Contains(t, text, "99.999%", "almost complete is not rounded up")
	require.NotContains(t, get(t, source, "/").Body.String(), `http-equiv="refresh"`)
}

// TestLargeSiteListsTheOnesInTrouble checks that routers are counted and only
// those listed that need a look.
func TestLargeSiteListsTheOnesInTrouble(t *testing.T) {
	source := newSource(t)
	source.routers = 300
	text := get(t, source, "/").Body.String()
	require.Contains(t, text, "router-007")
	require.NotContains(t, text, "router-008")
	require.Contains(t, text, `<td class="number">299</td>`)
}

func TestPageWithoutEventsOrStatus(t *testing.T) {
	source := newSource(t)
	source.eventsError = errors.New("no quorum")
	require.Contains(t, get(t, source, "/").Body.String(), "can't be read now: no quorum")
	source.statusError = errors.New("closed")
	require.Equal(t, http.StatusServiceUnavailable, get(t, source, "/").Code)
	require.Equal(t, http.StatusNotFound, get(t, source, "/elsewhere").Code)
}

func TestStatusAsJSON(t *testing.T) {
	response := get(t, newSource(t), "/status.json")
	require.Equal(t, http.StatusOK, response.Code)
	var summed overview.Overview
	require.NoError(t, json.Unmarshal(response.Body.Bytes(), &summed))
	require.Len(t, summed.Nodes, 10)
	require.Equal(t, []string{"g1"}, summed.Services[0].Uncovered)
	require.Equal(t, "text/css; charset=utf-8", get(t, newSource(t), "/style.css").Header().Get("Content-Type"))
}
