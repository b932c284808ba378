package knownred

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// suite is a module with one test that fails and one that passes, in one package.
var suite = map[string]string{
	"go.mod":      "module example.test/suite\n\ngo 1.24\n",
	"a/a.go":      "package a\n",
	"a/a_test.go": "package a\n\nimport \"testing\"\n\nfunc TestRed(t *testing.T) { t.Error(\"red\") }\nfunc TestGreen(*testing.T) {}\n",
	"b/b.go":      "package b\n",
	"b/b_test.go": "package b\n\nimport \"testing\"\n\nfunc TestRed(*testing.T) {}\n",
}

// runSuite runs the script on the module with files replaced or added.
func runSuite(t *testing.T, changed map[string]string) (output string, passed bool) {
	t.Helper()
	folder := t.TempDir()
	write := func(name, text string, mode os.FileMode) {
		path := filepath.Join(folder, name)
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		require.NoError(t, os.WriteFile(path, []byte(text), mode))
	}
	for name, text := range suite {
		write(name, text, 0o644)
	}
	for name, text := range changed {
		write(name, text, 0o644)
	}
	script, err := os.ReadFile("../../../scripts/unit.sh")
	require.NoError(t, err)
	write("scripts/unit.sh", string(script), 0o755)
	command := exec.Command("bash", filepath.Join(folder, "scripts/unit.sh"))
	command.Env = append(os.Environ(), "RACE_PATTERN=none", "GOFLAGS=", "GOWORK=off")
	told, err := command.CombinedOutput()
	return string(told), err == nil
}

const listed = "./a TestRed | go test ./a | error \"red\" | none | 0\n"

func TestOnlyListedTestsMayFail(t *testing.T) {
	for name, sample := range map[string]struct {
		files  map[string]string
		passes bool
		told   string
	}{
		"a failing test that is not listed": {nil, false, "FAIL: TestRed"},
		"a failing test that is listed":     {map[string]string{"KNOWN-RED.txt": listed}, true, "known red, still fails: ./a TestRed"},
		"a listed test that passes": {
			map[string]string{"KNOWN-RED.txt": listed + "./b TestRed | go test ./b | nothing | none | 0\n"},
			true, "known red, passed this time: ./b TestRed",
		},
		"another test of the package fails": {
			map[string]string{"KNOWN-RED.txt": listed, "a/c_test.go": "package a\n\nimport \"testing\"\n\nfunc TestOther(t *testing.T) { t.Error(1) }\n"},
			false, "FAIL: TestOther",
		},
		"a test whose name only begins like a listed one": {
			map[string]string{"KNOWN-RED.txt": listed, "a/c_test.go": "package a\n\nimport \"testing\"\n\nfunc TestRedder(t *testing.T) { t.Error(1) }\n"},
			false, "FAIL: TestRedder",
		},
		"the same name in another package": {
			map[string]string{"KNOWN-RED.txt": "./b TestRed | go test ./b | nothing | none | 0\n"}, false, "FAIL: TestRed",
		},
		"a line that names no test":    {map[string]string{"KNOWN-RED.txt": listed + "./a TestGone | - | - | - | 0\n"}, false, "names no test: ./a TestGone"},
		"a line that names no package": {map[string]string{"KNOWN-RED.txt": listed + "./none TestRed | - | - | - | 0\n"}, false, "names no test: ./none"},
		"more lines than are allowed":  {map[string]string{"KNOWN-RED.txt": strings.Repeat(listed, 13)}, false, "has 13 lines"},
		"an empty list":                {map[string]string{"KNOWN-RED.txt": "\n", "a/a_test.go": "package a\n"}, true, "plain tests"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			output, passed := runSuite(t, sample.files)
			require.Equal(t, sample.passes, passed, output)
			require.Contains(t, output, sample.told)
		})
	}
}
