package site

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
	"go.yaml.in/yaml/v3"
)

// generate returns the generated settings of a site with the given machines,
// indexed by file path.
func generate(t *testing.T, machines ...string) map[string]map[string]any {
	t.Helper()
	path := filepath.Join(t.TempDir(), "site.yaml")
	text := "name: test\nfolders: {keys: /keys, data: /data}\nmachines:\n  - {" + strings.Join(machines, "}\n  - {") + "}\n"
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	site, err := Read(path)
	require.NoError(t, err)
	files, err := site.Files()
	require.NoError(t, err)
	return lo.SliceToMap(files, func(file File) (string, map[string]any) {
		values := map[string]any{}
		if !file.Executable {
			require.NoError(t, yaml.Unmarshal([]byte(file.Text), &values))
		}
		return file.Path, values
	})
}

// TestRoutersSurviveTheLossOfAnUpstream checks the upstreams of a router: those
// of its own zone if there are at least two, otherwise also others of the site.
func TestRoutersSurviveTheLossOfAnUpstream(t *testing.T) {
	const (
		first  = "name: one, zone: a, address: 10.0.0.1, roles: [control, router], voter: 1"
		second = "name: two, zone: a, address: 10.0.0.2, roles: [control, relay], voter: 2"
		third  = "name: three, zone: b, address: 10.0.0.3, roles: [control], voter: 3"
		near   = "name: four, zone: a, address: 10.0.0.4, roles: [relay]"
		far    = "name: five, zone: b, address: 10.0.0.5, roles: [relay, router]"
	)
	cases := map[string]struct {
		machines []string
		want     []any
	}{
		"one control":           {[]string{first}, []any{"10.0.0.1:7100"}},
		"a single relay":        {[]string{first, second, third}, []any{"10.0.0.2:7110", "10.0.0.1:7100", "10.0.0.2:7100", "10.0.0.3:7100"}},
		"one relay to the zone": {[]string{first, second, third, far}, []any{"10.0.0.2:7110", "10.0.0.5:7110"}},
		"two relays in it":      {[]string{first, second, third, far, near}, []any{"10.0.0.2:7110", "10.0.0.4:7110"}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.want, generate(t, test.machines...)["one/router.yaml"]["upstream"])
		})
	}
}

// TestJoiningVoterHasNoInitialMembers checks the settings of a voter that
// replaces a failed one: it joins the group and is given no voter list, which
// would start a new group.
func TestJoiningVoterHasNoInitialMembers(t *testing.T) {
	generated := generate(t,
		"name: one, zone: a, address: 10.0.0.1, roles: [control], voter: 1",
		"name: two, zone: b, address: 10.0.0.2, roles: [control], voter: 2",
		"name: new, zone: c, address: 10.0.0.4, roles: [control], voter: 4, join: true")
	require.Equal(t, true, generated["new/control.yaml"]["join"])
	require.NotContains(t, generated["new/control.yaml"], "voter")
	require.Equal(t, []any{"1=10.0.0.1:7100", "2=10.0.0.2:7100", "4=10.0.0.4:7100"}, generated["one/control.yaml"]["voter"])
	require.Equal(t, "/keys/new-control.key", generated["new/control.yaml"]["tls-key"])
	require.Equal(t, "/data/new-control", generated["new/control.yaml"]["data-folder"])
}
