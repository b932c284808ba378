package voter

import (
	"github.com/martenstage/martenstage/internal/consensus"
	"github.com/martenstage/martenstage/internal/logging"
	"github.com/martenstage/martenstage/internal/steadyclock"
	"github.com/martenstage/martenstage/internal/wait"
)

// writeRequest is one unit of writing, nil for none, and the messages that rest
// on it and on all earlier ones.
type writeRequest struct {
	unit     *consensus.Persist
	messages []consensus.Message
}

// runWriter is the log writer: everything that waits is written in one
// transaction with one sync, and while that runs the next group gathers.
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
			// The loop pushes nothing more; what it did push is still written.
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
			// What is on the disk is not known now, so nothing that rests on it
			// may be said, ever.
			v.diskFailed(err)
			return false
		}
		v.metrics.syncSeconds.Observe(steadyclock.Since(started).Seconds())
		v.metrics.groupUnits.Observe(float64(len(units)))
		v.synced.Store(units[len(units)-1].Sequence)
	}
	// Only now, behind the sync: votes and acknowledgements are promises.
	v.senders.post(messages)
	if len(units) > 0 {
		wait.Notify(v.syncNotice)
	}
	return true
}

// diskFailed notes the first failure and wakes the core loop.
func (v *Voter) diskFailed(err error) {
	if v.diskError.CompareAndSwap(nil, &err) {
		v.logger.WithField(logging.FieldNode, v.config.ID).WithError(err).Error("disk failed; the voter stops voting and leading")
	}
	wait.Notify(v.syncNotice)
}
