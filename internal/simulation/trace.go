package simulation

import (
	"encoding/binary"
	"fmt"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/martenstage/martenstage/internal/virtualtime"
)

// subjectRaft is that of the messages among voters.
const subjectRaft = "raft"

// trace digests what happens, and writes it for people if asked to.
type trace struct {
	queue  *virtualtime.Queue
	digest *xxhash.Digest
	buffer []byte
	lines  uint64
	// output is nil unless the trace is to be read; wanted selects lines.
	output io.Writer
	wanted func(subject string) bool
}

func newTrace(queue *virtualtime.Queue) *trace {
	return &trace{queue: queue, digest: xxhash.New(), wanted: func(string) bool { return true }}
}

// note traces an event of the fleet as a whole: always printed.
func (t *trace) note(node, event string, fields ...any) { t.add(node, event, "", fields) }

// detail traces an event about one request, voter or call, which is printed
// when its subject is asked for.
func (t *trace) detail(node, event, subject string, fields ...any) {
	t.add(node, event, subject, fields)
}

// add takes fields as pairs of a name and a value.
func (t *trace) add(node, event, subject string, fields []any) {
	t.lines++
	t.buffer = binary.LittleEndian.AppendUint64(t.buffer[:0], uint64(t.queue.Now()))
	t.buffer = append(t.buffer, node...)
	t.buffer = append(t.buffer, event...)
	t.buffer = append(t.buffer, subject...)
	for _, field := range fields {
		t.buffer = appendField(t.buffer, field)
	}
	_, _ = t.digest.Write(t.buffer)
	if t.output != nil && (subject == "" || t.wanted(subject)) {
		t.print(node, event, subject, fields)
	}
}

func appendField(buffer []byte, field any) []byte {
	switch value := field.(type) {
	case string:
		return append(append(buffer, value...), 0)
	case uint64:
		return binary.LittleEndian.AppendUint64(buffer, value)
	case uint32:
		return binary.LittleEndian.AppendUint32(buffer, value)
	case int:
		return binary.LittleEndian.AppendUint64(buffer, uint64(value))
	case time.Duration:
		return binary.LittleEndian.AppendUint64(buffer, uint64(value))
	case bool:
		if value {
			return append(buffer, 1)
		}
		return append(buffer, 0)
	default:
		return fmt.Append(buffer, value)
	}
}

func (t *trace) print(node, event, subject string, fields []any) {
	fmt.Fprintf(t.output, "t=%.6f node=%s event=%s", t.queue.Now().Seconds(), node, event)
	if subject != "" {
		fmt.Fprintf(t.output, " subject=%s", subject)
	}
	for index := 0; index+1 < len(fields); index += 2 {
		fmt.Fprintf(t.output, " %v=%v", fields[index], fields[index+1])
	}
	fmt.Fprintln(t.output)
}
