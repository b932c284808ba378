package simulation

import (
	"encoding/binary"
	"fmt"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/martenstage/martenstage/internal/consensus"
	"github.com/martenstage/martenstage/internal/proof/virtualtime"
)

// subjectRaft is that of the messages among voters.
const subjectRaft = "raft"

// eventMessage is the event of such a message.
const eventMessage = "message"

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
	t.begin(node, event, subject)
	for _, field := range fields {
		t.buffer = appendField(t.buffer, field)
	}
	_, _ = t.digest.Write(t.buffer)
	if t.output != nil && (subject == "" || t.wanted(subject)) {
		t.print(node, event, subject, fields)
	}
}

// message traces a message among voters. It is detail without the cost of
// passing fields, which is a tenth of a run otherwise.
func (t *trace) message(node string, message *consensus.Message) {
	if t.output != nil {
		t.detail(node, eventMessage, subjectRaft, "type", int(message.Type), "to", message.To, "term", message.Term,
			"index", message.LogIndex, "entries", len(message.Entries), "commit", message.Commit, "reject", message.Reject)
		return
	}
	t.begin(node, eventMessage, subjectRaft)
	t.number("type", uint64(message.Type))
	t.number("to", message.To)
	t.number("term", message.Term)
	t.number("index", message.LogIndex)
	t.number("entries", uint64(len(message.Entries)))
	t.number("commit", message.Commit)
	t.buffer = appendText(t.buffer, "reject")
	t.buffer = appendTruth(t.buffer, message.Reject)
	_, _ = t.digest.Write(t.buffer)
}

// begin starts a line in the buffer.
func (t *trace) begin(node, event, subject string) {
	t.lines++
	t.buffer = binary.LittleEndian.AppendUint64(t.buffer[:0], uint64(t.queue.Now()))
	t.buffer = append(t.buffer, node...)
	t.buffer = append(t.buffer, event...)
	t.buffer = append(t.buffer, subject...)
}

// number appends a field that is a number.
func (t *trace) number(name string, value uint64) {
	t.buffer = binary.LittleEndian.AppendUint64(appendText(t.buffer, name), value)
}

func appendText(buffer []byte, text string) []byte { return append(append(buffer, text...), 0) }

func appendTruth(buffer []byte, truth bool) []byte {
	if truth {
		return append(buffer, 1)
	}
	return append(buffer, 0)
}

func appendField(buffer []byte, field any) []byte {
	switch value := field.(type) {
	case string:
		return appendText(buffer, value)
	case uint64:
		return binary.LittleEndian.AppendUint64(buffer, value)
	case uint32:
		return binary.LittleEndian.AppendUint32(buffer, value)
	case int:
		return binary.LittleEndian.AppendUint64(buffer, uint64(value))
	case time.Duration:
		return binary.LittleEndian.AppendUint64(buffer, uint64(value))
	case bool:
		return appendTruth(buffer, value)
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
