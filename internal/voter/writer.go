package voter

import (
	"github.com/martenstage/martenstage/internal/consensus"
	"github.com/martenstage/martenstage/internal/logging"
	"github.com/martenstage/martenstage/internal/steadyclock"
	"github.com/martenstage/martenstage/internal/wait"
)

// writeRequest is one unit to write, nil for none, and the messages that may only
// be sent once it and all earlier units are synced.
type writeRequest struct {
	unit     *consensus.Persist
	messages []consensus.Message
}

// runWriter is the log writer (group commit): it writes all queued units in one
// transaction with one sync, while later requests queue for the next group.
func (v *Voter) runWriter() {
	defer v.running.Done()
	for {
		select {
		case request := <-v.writes.Items():
			group := append([]writeRequest{request}, drain(v.writes, writeRingCapacity)...)
			if !v.writeGroup(group) {
				return
			}
		case <-v.loopDone:
			// The loop pushes nothing more; requests that it pushed are still written.
			if group := drain(v.writes, writeRingCapacity); len(group) > 0 {
				v.writeGroup(group)
			}
			return
		}
	}
}

func (v *Voter) writeGroup(group []writeRequest) bool {
	var units []*consensus.Persist
	var messages []consensus.Message
	for _, request := range group {
		if request.unit != nil {
			units = append(units, request.unit)
		}
		messages = append(messages, request.messages...)
	}
	if len(units) > 0 {
		started := steadyclock.Now()
		if err := v.store.Write(units); err != nil {
			// The disk content is unknown now, so messages that depend on it must
			// never be sent.
			v.diskFailed(err)
			return false
		}
		v.metrics.syncSeconds.Observe(steadyclock.Since(started).Seconds())
		v.metrics.groupUnits.Observe(float64(len(units)))
		v.synced.Store(units[len(units)-1].Sequence)
	}
	// Votes and acknowledgements must only be sent after the sync.
	v.senders.enqueue(messages)
	if len(units) > 0 {
		wait.Notify(v.syncSignal)
	}
	return true
}

// diskFailed records the first failure and notifies the core loop.
func (v *Voter) diskFailed(err error) {
	if v.diskError.CompareAndSwap(nil, &err) {
		v.logger.WithField(logging.FieldNode, v.config.ID).WithError(err).Error("disk failed; the voter stops voting and leading")
	}
	wait.Notify(v.syncSignal)
}
