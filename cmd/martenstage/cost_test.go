package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/control"
	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/keys"
	"github.com/martenstage/martenstage/internal/logging"
	"github.com/martenstage/martenstage/internal/proof/testaddress"
	"github.com/martenstage/martenstage/internal/rpc"
)

// securedSite is a site's authority and three voters with keys of it.
type securedSite struct {
	folder    string
	addresses []string
	client    *control.Client
}

func (s *securedSite) keysOf(b *testing.B, name, role string) []string {
	issue := &keysIssueCommand{Folder: s.folder, Name: name, Role: role, Addresses: []string{testaddress.Host().String()}, Days: 1}
	require.NoError(b, issue.Execute(nil))
	return []string{
		"--tls-authority", filepath.Join(s.folder, keys.AuthorityCertificateFile),
		"--tls-certificate", filepath.Join(s.folder, name+".crt"), "--tls-key", filepath.Join(s.folder, name+".key"),
	}
}

func (s *securedSite) start(b *testing.B, arguments ...string) *voterProcess {
	process := &voterProcess{arguments: arguments}
	process.start(b)
	b.Cleanup(func() { process.end(b, syscall.SIGKILL) })
	return process
}

func newSecuredSite(b *testing.B) *securedSite {
	site := &securedSite{folder: b.TempDir(), addresses: testaddress.List(3)}
	require.NoError(b, keys.Init(site.folder, time.Now()))
	for index, address := range site.addresses {
		arguments := []string{"control", "--id", fmt.Sprint(index + 1), "--listen", address, "--data-folder", b.TempDir()}
		for id, voter := range site.addresses {
			arguments = append(arguments, "--voter", fmt.Sprintf("%d=%s", id+1, voter))
		}
		site.start(b, append(arguments, site.keysOf(b, fmt.Sprint("control-", index+1), "control")...)...)
	}
	site.keysOf(b, "bench", "operator")
	logger, err := logging.New(os.Stderr, "error")
	require.NoError(b, err)
	security, err := rpc.NewSecurity(rpc.SecuritySettings{Files: keys.Files{
		Authority:   filepath.Join(site.folder, keys.AuthorityCertificateFile),
		Certificate: filepath.Join(site.folder, "bench.crt"), Key: filepath.Join(site.folder, "bench.key"),
	}}, logger)
	require.NoError(b, err)
	client := rpc.NewClient(security, rpc.ClientConfig{})
	b.Cleanup(client.CloseIdle)
	site.client = control.NewClient(site.addresses, client)
	return site
}

// BenchmarkFollowingProcess measures what following control costs a process: a
// relay without followers, which does nothing else. It runs for a fixed time per
// pace of changes, whatever b.N is.
func BenchmarkFollowingProcess(b *testing.B) {
	site := newSecuredSite(b)
	relay := site.start(b, append([]string{
		"relay", "--name", "relay-1", "--listen", testaddress.Next().String(), "--data-folder", b.TempDir(),
		"--upstream", site.addresses[0], "--upstream", site.addresses[1], "--upstream", site.addresses[2],
	}, site.keysOf(b, "relay-1", "relay")...)...)
	base, err := os.ReadFile("../../deploy/bangkok/bangkok.policy")
	require.NoError(b, err)
	revision := uint64(0)
	change := func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		text := bytes.Replace(base, []byte("slots 5"), fmt.Appendf(nil, "slots %d", 5+revision%2), 1)
		response, err := site.client.Apply(ctx, &v1.ApplyRequest{
			ChangeId: fmt.Sprint("change-", revision), Text: string(text), ExpectedRevision: revision,
		})
		require.NoError(b, err)
		require.Equal(b, v1.ApplyResult_APPLY_RESULT_ACCEPTED, response.GetResult(), response.GetDetail())
		revision = response.GetRevision()
	}
	change()
	require.Eventually(b, func() bool {
		status, err := site.client.Status(context.Background())
		return err == nil && status.GetRevisionInForce() == 1
	}, testTimeout, 100*time.Millisecond)
	pid := relay.command.Process.Pid
	for _, pace := range []struct {
		name    string
		changes int
	}{{"quiet", 0}, {"a change a second", 1}, {"five changes a second", 5}} {
		b.Run(pace.name, func(b *testing.B) {
			const seconds = 10
			before := usageOf(b, pid)
			begun := time.Now()
			for second := range seconds {
				for range pace.changes {
					change()
				}
				time.Sleep(time.Until(begun.Add(time.Duration(second+1) * time.Second)))
			}
			took := time.Since(begun).Seconds()
			after := usageOf(b, pid)
			b.ReportMetric((after.processor-before.processor).Seconds()/took*100, "%core")
			b.ReportMetric(float64(after.transferred-before.transferred)/took/1000, "kB/s")
			b.ReportMetric(float64(after.resident)/1e6, "MB-peak")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// usage is what a process has used so far.
type usage struct {
	processor time.Duration
	// transferred counts bytes read and written by system calls: sockets, and
	// what little goes to files.
	transferred int64
	// resident is the peak of resident memory, bytes.
	resident int64
}

// usageOf reads proc(5) of Linux.
func usageOf(b *testing.B, pid int) usage {
	folder := fmt.Sprintf("/proc/%d/", pid)
	stat, err := os.ReadFile(folder + "stat")
	require.NoError(b, err)
	_, numbers, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(numbers)
	const userField, systemField, ticksPerSecond = 11, 12, 100
	ticks := number(b, fields[userField]) + number(b, fields[systemField])
	return usage{
		processor:   time.Duration(ticks) * time.Second / ticksPerSecond,
		transferred: procField(b, folder+"io", "rchar:") + procField(b, folder+"io", "wchar:"),
		resident:    procField(b, folder+"status", "VmHWM:") * 1024,
	}
}

func procField(b *testing.B, path, name string) int64 {
	text, err := os.ReadFile(path)
	require.NoError(b, err)
	_, rest, found := strings.Cut(string(text), name)
	require.True(b, found)
	return number(b, strings.Fields(rest)[0])
}

func number(b *testing.B, text string) int64 {
	parsed, err := strconv.ParseInt(text, 10, 64)
	require.NoError(b, err)
	return parsed
}
