package settings

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/jessevdk/go-flags"
	"github.com/stretchr/testify/require"
)

type exampleSettings struct {
	Listen  string   `long:"listen" koanf:"listen" default:"127.0.0.1:80" validate:"ip_port" description:"address"`
	Routers int      `long:"routers" koanf:"routers" default:"2" validate:"min=1" description:"count"`
	Control []string `long:"control" koanf:"control" validate:"dive,ip_port" description:"addresses"`
}

// load parses the arguments and then loads the file, as the command of a role does.
func load(t *testing.T, text string, arguments ...string) (exampleSettings, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.yaml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	var options exampleSettings
	parser := flags.NewNamedParser("test", flags.None)
	command, err := parser.AddCommand("role", "", "", &options)
	require.NoError(t, err)
	_, err = parser.ParseArgs(append([]string{"role"}, arguments...))
	require.NoError(t, err)
	return options, Load(path, command, &options)
}

func TestPrecedenceOfCommandLineFileAndDefault(t *testing.T) {
	options, err := load(t, "listen: 127.0.0.2:90\ncontrol: [127.0.0.3:1]\n", "--routers", "5")
	require.NoError(t, err)
	require.Equal(t, exampleSettings{Listen: "127.0.0.2:90", Routers: 5, Control: []string{"127.0.0.3:1"}}, options)
	options, err = load(t, "routers: 7\nlisten: 127.0.0.2:90\n", "--listen", "127.0.0.4:1")
	require.NoError(t, err)
	require.Equal(t, 7, options.Routers)
	require.Equal(t, "127.0.0.4:1", options.Listen)
}

func TestInvalidSettingsNameTheKey(t *testing.T) {
	cases := map[string]struct{ text, want string }{
		"unknown key":    {"listn: 127.0.0.1:80", `unknown key "listn"; did you mean listen?`},
		"host name":      {"listen: localhost:80", `listen: "localhost:80" is not an IP address`},
		"IPv6":           {"listen: '[::1]:80'", `listen: "[::1]:80" is not an IPv4 address`},
		"out of bounds":  {"routers: 0", `routers: "0" does not satisfy min=1`},
		"wrong type":     {"routers: many", "routers"},
		"malformed YAML": {"routers: [", "settings file"},
		"list element":   {"control: [10.0.0.1]", "10.0.0.1"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := load(t, test.text)
			require.ErrorContains(t, err, test.want)
		})
	}
	require.ErrorContains(t, Load("/nonexistent/settings.yaml", nil, &exampleSettings{}), "does not exist")
}
