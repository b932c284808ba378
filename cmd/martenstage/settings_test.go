package main

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/cli"
	"github.com/martenstage/martenstage/internal/control"
	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/keys"
	"github.com/martenstage/martenstage/internal/logging"
	"github.com/martenstage/martenstage/internal/rpc"
	"github.com/martenstage/martenstage/internal/settings"
	"github.com/martenstage/martenstage/internal/site"
)

// TestSettingsPageIsCurrent compares the committed reference with the program.
func TestSettingsPageIsCurrent(t *testing.T) {
	committed, err := os.ReadFile("../../docs/operate/settings.md")
	require.NoError(t, err)
	require.True(t, bytes.Equal(settingsPage(), committed),
		"docs/operate/settings.md is out of date; run: go run ./cmd/martenstage settings reference > docs/operate/settings.md")
}

// TestGeneratedSettingsStartSites starts every process of both deployments by
// their generated settings and keys, and waits until all hold leases.
func TestGeneratedSettingsStartSites(t *testing.T) {
	for _, deployment := range []struct{ name, network string }{{"bangkok", "127.1.0."}, {"norte-grande", "127.2.0."}} {
		t.Run(deployment.name, func(t *testing.T) {
			t.Parallel()
			program, err := buildOnce()
			require.NoError(t, err)
			folder := t.TempDir()
			described := localDescription(t, folder, deployment.name, deployment.network)
			run := func(name string, arguments ...string) {
				command := exec.Command(name, arguments...)
				command.Env = append(os.Environ(), "PATH="+filepath.Dir(program)+":"+os.Getenv("PATH"))
				output, err := command.CombinedOutput()
				require.NoError(t, err, "%s %v: %s", name, arguments, output)
			}
			generated, authority := filepath.Join(folder, "settings"), filepath.Join(folder, "keys")
			run(program, "settings", "generate", "--site", described, "--out", generated)
			run(program, "keys", "init", "--folder", authority)
			run(filepath.Join(generated, site.KeysScript), authority, "operator")

			parsed, err := site.Read(described)
			require.NoError(t, err)
			started := startSite(t, program, generated, parsed)
			client := operatorClient(t, authority, parsed)
			// No lease is granted before there is a configuration.
			text, err := os.ReadFile(filepath.Join("../../deploy", deployment.name, deployment.name+".policy"))
			require.NoError(t, err)
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			response, err := client.Apply(ctx, &v1.ApplyRequest{ChangeId: "first", Text: string(text)})
			require.NoError(t, err)
			require.Equal(t, v1.ApplyResult_APPLY_RESULT_ACCEPTED, response.GetResult())
			waitForLeases(ctx, t, client, started)
			waitForReports(ctx, t, client, parsed)
		})
	}
}

// localDescription copies a deployment's description with folders of the test
// and a loopback network that nobody else uses.
func localDescription(t *testing.T, folder, deployment, network string) string {
	text, err := os.ReadFile(filepath.Join("../../deploy", deployment, "site.yaml"))
	require.NoError(t, err)
	other := fmt.Sprintf("127.%d.%d.", 128+rand.IntN(100), rand.IntN(250))
	local := strings.NewReplacer(
		network, other,
		"/etc/martenstage/keys", filepath.Join(folder, "keys"),
		"/var/lib/martenstage", filepath.Join(folder, "data"),
	).Replace(string(text))
	path := filepath.Join(folder, "site.yaml")
	require.NoError(t, os.WriteFile(path, []byte(local), 0o600))
	return path
}

// startSite starts every process, and returns the names of relays and routers.
func startSite(t *testing.T, program, generated string, described *site.Site) []string {
	var followers []string
	for _, machine := range described.Machines {
		for _, role := range machine.Roles {
			process := &voterProcess{arguments: []string{role, "--settings", filepath.Join(generated, machine.Name, role+".yaml")}}
			process.start(t)
			t.Cleanup(func() {
				process.end(t, syscall.SIGKILL)
				if t.Failed() {
					t.Logf("%s-%s:\n%s", machine.Name, role, process.output.String())
				}
			})
			if role != site.RoleControl {
				followers = append(followers, machine.Name+"-"+role)
			}
		}
	}
	return followers
}

func operatorClient(t *testing.T, authority string, described *site.Site) *control.Client {
	logger, err := logging.New(&bytes.Buffer{}, "error")
	require.NoError(t, err)
	security, err := rpc.NewSecurity(rpc.SecuritySettings{Files: keys.Files{
		Authority:   filepath.Join(authority, keys.AuthorityCertificateFile),
		Certificate: filepath.Join(authority, "operator.crt"),
		Key:         filepath.Join(authority, "operator.key"),
	}}, logger)
	require.NoError(t, err)
	client := rpc.NewClient(security, rpc.ClientConfig{ServerRoles: []keys.Role{keys.RoleControl}})
	t.Cleanup(client.CloseIdle)
	var voters []string
	for _, machine := range described.Machines {
		if machine.Voter > 0 {
			voters = append(voters, fmt.Sprintf("%s:%d", machine.Address, described.Ports.Control))
		}
	}
	return control.NewClient(voters, client)
}

// waitForLeases waits until control knows all followers, with live leases.
func waitForLeases(ctx context.Context, t *testing.T, client *control.Client, followers []string) {
	for {
		status, err := client.Status(ctx)
		require.NoError(t, err)
		live := lo.FilterMap(status.GetNodes(), func(node *v1.NodeStatus, _ int) (string, bool) {
			return node.GetNode(), !node.GetLeaseLapsed()
		})
		missing, _ := lo.Difference(followers, live)
		if len(missing) == 0 {
			require.Len(t, status.GetVoters(), 3)
			return
		}
		select {
		case <-ctx.Done():
			require.Failf(t, "without a lease", "%v", missing)
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// TestUnitsFitTheProgram checks the unit examples: their command lines parse,
// and they wait longer than the process's own bound of a planned stop, by the
// defaults and by both deployments' settings.
func TestUnitsFitTheProgram(t *testing.T) {
	for role, create := range roleSettings {
		unit, err := os.ReadFile("../../deploy/systemd/martenstage-" + role + ".service")
		require.NoError(t, err)
		value := func(key string) string {
			match := regexp.MustCompile(`(?m)^` + key + `=(.*)$`).FindSubmatch(unit)
			require.NotNil(t, match, "%s of %s", key, role)
			return string(match[1])
		}
		words := strings.Fields(value("ExecStart"))
		require.Equal(t, "/usr/local/bin/martenstage", words[0])
		require.NoError(t, cli.Parse("martenstage", commandTree(), words[1:]))
		limit, err := time.ParseDuration(value("TimeoutStopSec"))
		require.NoError(t, err)
		values := []map[string]any{{}}
		for _, deployment := range []string{"bangkok", "norte-grande"} {
			described, err := site.Read("../../deploy/" + deployment + "/site.yaml")
			require.NoError(t, err)
			values = append(values, described.Settings[role])
		}
		for _, given := range values {
			options := create()
			if err := settings.Fill(given, options); !errors.Is(err, settings.ErrInvalid) {
				require.NoError(t, err) // settings that only a place in a site decides are missing
			}
			require.Greater(t, limit, reflect.ValueOf(options).Elem().FieldByName("StopLimit").Interface(), role)
		}
	}
}

// waitForReports sends one request to every router and waits until control
// counts all of them, as summed up by the relays between. No back end runs, so
// no request is answered.
func waitForReports(ctx context.Context, t *testing.T, client *control.Client, described *site.Site) {
	compiled, err := client.Get(ctx, 0)
	require.NoError(t, err)
	route := regexp.MustCompile(`(?m)^route (\S+)`).FindStringSubmatch(compiled.GetText())[1]
	var sent uint64
	for _, machine := range described.Machines {
		if !lo.Contains(machine.Roles, site.RoleRouter) {
			continue
		}
		sent++
		address := fmt.Sprintf("http://%s:%d/v1/routes/%s/query", machine.Address, described.Ports.RouterCallers, route)
		response, err := http.Post(address, "application/json", strings.NewReader("{}"))
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.GreaterOrEqual(t, response.StatusCode, http.StatusInternalServerError)
	}
	for {
		status, err := client.Status(ctx)
		require.NoError(t, err)
		report, found := lo.Find(status.GetRoutes(), func(report *v1.RouteReport) bool { return report.GetRoute() == route })
		if found && report.GetRequests() == sent {
			require.Equal(t, sent, report.GetRefused()+report.GetFailed())
			return
		}
		select {
		case <-ctx.Done():
			require.Failf(t, "requests are not counted", "%v", status.GetRoutes())
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// TestSettingsRefusals checks that refused descriptions name the fault.
func TestSettingsRefusals(t *testing.T) {
	program, err := buildOnce()
	require.NoError(t, err)
	good, err := os.ReadFile("../../deploy/norte-grande/site.yaml")
	require.NoError(t, err)
	cases := map[string]struct{ old, new, want string }{
		"unknown key":          {"folders:", "folder:", "folder"},
		"unknown role":         {"[control, router]", "[controller, router]", "controller"},
		"host name":            {"127.2.0.1", "ng-a1.example", "ng-a1.example"},
		"duplicate address":    {"127.2.0.2", "127.2.0.1", "two machines have the address 127.2.0.1"},
		"duplicate name":       {"ng-b1", "ng-a1", "two machines are named ng-a1"},
		"duplicate voter":      {"voter: 2", "voter: 1", "two machines have the voter id 1"},
		"voter without id":     {", voter: 3", "", "machine ng-c1"},
		"even number":          {"[control, router], voter: 1", "[router]", "odd number"},
		"mistyped setting":     {"stop-limit", "stop-limt", "did you mean stop-limit?"},
		"setting out of range": {"engines: 4", "engines: 0", "engines"},
	}
	for name, refused := range cases {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			text := strings.Replace(string(good), refused.old, refused.new, 1)
			require.NotEqual(t, string(good), text)
			path := filepath.Join(folder, "site.yaml")
			require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
			command := exec.Command(program, "settings", "generate", "--site", path, "--out", filepath.Join(folder, "out"))
			output, err := command.CombinedOutput()
			require.Error(t, err)
			require.Equal(t, 3, command.ProcessState.ExitCode())
			require.Contains(t, string(output), refused.want)
			require.Contains(t, string(output), path)
			require.NoDirExists(t, filepath.Join(folder, "out"))
		})
	}
}
