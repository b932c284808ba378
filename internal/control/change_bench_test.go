package control

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/policy"
	"github.com/martenstage/martenstage/internal/state"
)

// siteText returns a configuration with a number of servers, 810 per service. The
// address of one of them depends on moved.
func siteText(servers, moved int) string {
	const serversOfService, serversOfGroup, zones, movedServer = 810, 3, 26, 777
	var text strings.Builder
	for server := range servers {
		if server%serversOfService == 0 {
			fmt.Fprintf(&text, "service service-%02d {\n\tslots 5\n\tconnections 70\n\tcell routers 64\n\tgeneration 1 {\n", server/serversOfService)
		}
		if server%serversOfGroup == 0 {
			fmt.Fprintf(&text, "\t\tgroup g%03d {\n", server%serversOfService/serversOfGroup)
		}
		network := 64
		if server == movedServer {
			network += 1 + moved%100
		}
		fmt.Fprintf(&text, "\t\t\treplica 127.%d.%d.%d:9 zone zone-%02d\n", network, server>>8, server&0xff, server%zones)
		if server%serversOfGroup == serversOfGroup-1 || server == servers-1 {
			text.WriteString("\t\t}\n")
		}
		if server%serversOfService == serversOfService-1 || server == servers-1 {
			text.WriteString("\t}\n}\n\n")
		}
	}
	for service := range (servers + serversOfService - 1) / serversOfService {
		fmt.Fprintf(&text, "policy policy-%02d {\n\tdeadline 100ms\n\trepeatable\n\tanswer when coverage >= 99%%\n\tat 90ms answer\n}\n\n", service)
		fmt.Fprintf(&text, "route all-%02d {\n\tservice service-%02d\n\tpolicy policy-%02d\n\ttarget all\n}\n\n", service, service, service)
	}
	return text.String()
}

// changeHarness encodes changes as a leader does and applies them as every voter
// does.
type changeHarness struct {
	server *Server
	number uint64
}

func newChangeHarness(t require.TestingT, compile Compiler, format uint32) *changeHarness {
	harness := &changeHarness{server: &Server{store: NewStore(state.DefaultLimits(), plan.FromProto), compile: compile}}
	harness.apply(t, &v1.StateCommand{Body: &v1.StateCommand_Format{Format: &v1.FormatCommand{Format: format}}})
	return harness
}

// make compiles a text and encodes the change for the log.
func (c *changeHarness) make(t require.TestingT, text string) []byte {
	command := &v1.ChangeCommand{
		ChangeId: fmt.Sprintf("change-%026d", c.number), ExpectedRevision: c.number,
		RequestHash: state.ApplyHash(text, 0), Author: "malee",
	}
	compiled, err := configService{c.server}.compile(command, text)
	require.NoError(t, err)
	require.Empty(t, command.GetInvalid())
	data, err := state.Encode(time.UnixMilli(1_700_000_000_000), &v1.StateCommand{Body: &v1.StateCommand_Change{Change: command}})
	require.NoError(t, err)
	c.number++
	c.server.compiled.put(c.number, compiled)
	return data
}

func (c *changeHarness) apply(t require.TestingT, command *v1.StateCommand) {
	data, err := state.Encode(time.UnixMilli(1_700_000_000_000), command)
	require.NoError(t, err)
	_, err = c.server.store.Apply(data)
	require.NoError(t, err)
}

// BenchmarkChange measures a change of one replica: the time on the leader until
// it proposes, the time on each voter to apply it, and the bytes in the log, with
// full texts and with deltas.
func BenchmarkChange(b *testing.B) {
	modes := []struct {
		name    string
		format  uint32
		compile Compiler
	}{
		{"whole", 1, func(text string) (*plan.Plan, error) { return policy.Compile(compiledFileName, []byte(text)) }},
		{"differences", state.LatestFormat, policy.NewCompiler(compiledFileName).Compile},
	}
	for _, servers := range []int{6_333, 57_000} {
		for _, mode := range modes {
			b.Run(fmt.Sprintf("%s-%d", mode.name, servers), func(b *testing.B) {
				benchmarkChange(b, newChangeHarness(b, mode.compile, mode.format), servers)
			})
		}
	}
}

func benchmarkChange(b *testing.B, changes *changeHarness, servers int) {
	texts := make([]string, 4)
	for index := range texts {
		texts[index] = siteText(servers, index)
	}
	_, err := changes.server.store.Apply(changes.make(b, texts[0]))
	require.NoError(b, err)
	b.ReportAllocs()
	b.ResetTimer()
	leaderTime, loggedBytes, cpuBefore := time.Duration(0), 0, cpuTime(b)
	for number := 1; b.Loop(); number++ {
		started := time.Now()
		data := changes.make(b, texts[number%len(texts)])
		leaderTime += time.Since(started)
		loggedBytes += len(data)
		_, err := changes.server.store.Apply(data)
		require.NoError(b, err)
	}
	b.ReportMetric(float64(leaderTime.Microseconds())/float64(b.N), "leader-us/op")
	b.ReportMetric(float64((b.Elapsed()-leaderTime).Microseconds())/float64(b.N), "apply-us/op")
	b.ReportMetric(float64(loggedBytes)/float64(b.N), "log-B/op")
	b.ReportMetric(float64((cpuTime(b)-cpuBefore).Microseconds())/float64(b.N), "processor-us/op")
}

// cpuTime returns the CPU time of the process. It includes garbage collection, but
// no time spent waiting for a CPU on a busy machine.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
