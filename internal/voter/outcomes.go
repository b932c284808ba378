package voter

import "sync"

// outcome is the result or error of a proposal.
type outcome struct {
	result any
	err    error
}

type pendingProposal struct {
	term uint64
	done chan<- outcome
}

// outcomes holds the proposals that are in the log but not applied yet.
type outcomes struct {
	mutex   sync.Mutex
	byIndex map[uint64]pendingProposal
}

func newOutcomes() *outcomes { return &outcomes{byIndex: map[uint64]pendingProposal{}} }

// register adds a proposal at its index; done must have capacity for one outcome.
// An earlier proposal at the index is no longer in this voter's log, but as long
// as nothing is committed at the index, another voter that has it can still
// commit it.
func (o *outcomes) register(index uint64, waiting pendingProposal) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if displaced, ok := o.byIndex[index]; ok {
		displaced.done <- outcome{err: ErrOutcomeUnknown}
	}
	o.byIndex[index] = waiting
}

// applied completes the proposal at an index with a result, or with the error of
// overwritten if an entry of another term was committed there: then the proposal
// can never be committed.
func (o *outcomes) applied(index, term uint64, result any, overwritten func() error) {
	o.mutex.Lock()
	waiting, ok := o.byIndex[index]
	delete(o.byIndex, index)
	o.mutex.Unlock()
	if !ok {
		return
	}
	if waiting.term != term {
		waiting.done <- outcome{err: overwritten()}
		return
	}
	waiting.done <- outcome{result: result}
}

// failUpTo fails all proposals up to an index.
func (o *outcomes) failUpTo(last uint64, err error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for index, waiting := range o.byIndex {
		if index <= last {
			waiting.done <- outcome{err: err}
			delete(o.byIndex, index)
		}
	}
}

// appliedIndex tracks the last applied index and the callers that wait for one.
type appliedIndex struct {
	mutex   sync.Mutex
	index   uint64
	waiting []indexWaiter
}

type indexWaiter struct {
	index   uint64
	reached chan struct{}
}

func (a *appliedIndex) load() uint64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.index
}

func (a *appliedIndex) advance(index uint64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.index = max(a.index, index)
	remaining := a.waiting[:0]
	for _, waiter := range a.waiting {
		if waiter.index <= a.index {
			close(waiter.reached)
		} else {
			remaining = append(remaining, waiter)
		}
	}
	a.waiting = remaining
}

// reached returns a channel that is closed once the index is applied.
func (a *appliedIndex) reached(index uint64) <-chan struct{} {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	reached := make(chan struct{})
	if index <= a.index {
		close(reached)
		return reached
	}
	a.waiting = append(a.waiting, indexWaiter{index: index, reached: reached})
	return reached
}
