package scale

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/policy"
	"github.com/martenstage/martenstage/internal/textdelta"
)

// BenchmarkChange measures the steps that a change of one replica takes, by the
// number of servers in the configuration.
func BenchmarkChange(b *testing.B) {
	for _, servers := range []int{810, 5700, 57000} {
		b.Run(fmt.Sprintf("servers-%d", servers), func(b *testing.B) { benchmarkChange(b, servers) })
	}
}

func benchmarkChange(b *testing.B, servers int) {
	const zones, cellRouters = 26, 64
	configuration := NewConfiguration(ConfigurationShape{Servers: servers, Zones: ZonesOf(0, 1, zones), CellRouters: cellRouters})
	baseText := configuration.Text()
	base := compiled(b, baseText)
	configuration.Change()
	text := configuration.Text()
	next := compiled(b, text)
	wire := plan.ToProto(next)
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(wire)
	require.NoError(b, err)
	delta := plan.Delta(base, next)

	step := func(name string, work func()) {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				work()
			}
		})
	}
	step("compile", func() { compiled(b, text) })
	compiler := policy.NewCompiler("configuration")
	texts, turn := []string{text, baseText}, 0
	_, err = compiler.Compile(baseText)
	require.NoError(b, err)
	step("compile-change", func() {
		_, err := compiler.Compile(texts[turn%len(texts)])
		require.NoError(b, err)
		turn++
	})
	step("make-text-delta", func() {
		_, err := textdelta.Make(baseText, text)
		require.NoError(b, err)
	})
	step("encode", func() {
		_, _ = proto.MarshalOptions{Deterministic: true}.Marshal(plan.ToProto(next))
	})
	step("compress-text", func() { packed(b, []byte(text)) })
	step("compress-plan", func() { packed(b, encoded) })
	step("decode", func() {
		var decoded v1.Plan
		require.NoError(b, proto.Unmarshal(encoded, &decoded))
		_, err := plan.FromProto(&decoded)
		require.NoError(b, err)
	})
	step("make-delta", func() { plan.Delta(base, next) })
	step("apply-delta", func() {
		_, err := plan.ApplyDelta(base, delta)
		require.NoError(b, err)
	})
	textDelta, err := textdelta.Make(baseText, text)
	require.NoError(b, err)
	step("apply-text-delta", func() {
		_, err := textdelta.Apply([]byte(baseText), textDelta)
		require.NoError(b, err)
	})
	b.Run("sizes", func(b *testing.B) {
		b.ReportMetric(float64(len(text)), "text-B")
		b.ReportMetric(float64(len(packed(b, []byte(text)))), "packed-text-B")
		b.ReportMetric(float64(len(encoded)), "plan-B")
		b.ReportMetric(float64(len(packed(b, encoded))), "packed-plan-B")
		b.ReportMetric(float64(proto.Size(delta)), "delta-B")
		b.ReportMetric(float64(len(textDelta)), "text-delta-B")
	})
}

func compiled(b *testing.B, text string) *plan.Plan {
	b.Helper()
	made, err := policy.Compile("configuration", []byte(text))
	require.NoError(b, err)
	return made
}

func packed(b *testing.B, data []byte) []byte {
	b.Helper()
	var buffer bytes.Buffer
	writer := gzip.NewWriter(&buffer)
	_, err := writer.Write(data)
	require.NoError(b, err)
	require.NoError(b, writer.Close())
	return buffer.Bytes()
}
