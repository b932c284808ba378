package simulation

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/journal"
)

const (
	spoolBatch = 50
	spoolPause = 250 * time.Millisecond
	// spoolTimeout bounds one delivery.
	spoolTimeout = 3 * time.Second
)

// spool keeps a process's events, through crashes, until the journal has them.
type spool struct {
	process  *process
	voters   voterClient
	waiting  []*v1.Event
	sequence uint64
	busy     bool
}

func newSpool(process *process) *spool {
	return &spool{process: process, voters: voterClient{process: process}}
}

// start goes on with what an earlier run left.
func (s *spool) start() {
	s.busy = false
	s.deliver()
}

func (s *spool) empty() bool { return len(s.waiting) == 0 }

func (s *spool) record(event journal.Event) {
	s.sequence++
	now := s.process.now()
	if event.ID == "" {
		event.ID = fmt.Sprintf("%s-%d-%d", s.process.name(), s.process.boot, s.sequence)
	}
	if event.Time.IsZero() {
		event.Time, event.LastTime, event.Count = now, now, 1
	}
	s.process.world.trace.note(s.process.name(), "event", "kind", string(event.Kind), "service", event.Service,
		"shard", event.Shard, "address", event.Address, "detail", event.Detail)
	s.process.world.journaled = append(s.process.world.journaled, event)
	s.waiting = append(s.waiting, &v1.Event{
		Id: event.ID, Time: timestamppb.New(event.Time), Kind: string(event.Kind), Source: s.process.name(),
		Service: event.Service, Shard: event.Shard, Address: event.Address, Detail: event.Detail,
		Count: event.Count, LastTime: timestamppb.New(event.LastTime),
	})
	s.deliver()
}

// deliver appends the oldest events, again and again until the journal has
// them; it stores each once.
func (s *spool) deliver() {
	if s.busy || len(s.waiting) == 0 || !s.process.running {
		return
	}
	s.busy = true
	batch := s.waiting[:min(len(s.waiting), spoolBatch)]
	s.voters.untilAnswered(appendEvents(batch), s.process.now().Add(spoolTimeout), func(answer serviceAnswer) {
		if answer.err == nil {
			s.waiting = s.waiting[len(batch):]
		}
		s.process.after(spoolPause, func() {
			s.busy = false
			s.deliver()
		})
	})
}
