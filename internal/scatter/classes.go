package scatter

import "slices"

// maxUrgentRun is how many calls of a more urgent class are sent in a row while a less urgent
// one waits. A less urgent class gets a fifth of the places, more than the quarter of the mean
// that it is owed.
const maxUrgentRun = 4

// classTurns counts, by priority, the calls that were sent in a row while less urgent ones
// waited.
type classTurns map[int]int

// next returns the class whose first call goes next, given the waiting calls by class, the
// most urgent first.
func (t classTurns) next(classes [][]*call) int {
	for index, class := range classes[:len(classes)-1] {
		if t[class[0].request.route.Priority] < maxUrgentRun {
			return index
		}
	}
	return len(classes) - 1
}

// sent records that a call of a class was sent.
func (t classTurns) sent(classes [][]*call, index int) {
	for _, class := range classes[:index] {
		t[class[0].request.route.Priority] = 0
	}
	if index < len(classes)-1 {
		t[classes[index][0].request.route.Priority]++
	}
}

// dispatchByClass dispatches sorted calls of a service: those that can still be in time by
// turns of their classes, then the others.
func (e *Engine) dispatchByClass(grp *group, pending []*call) {
	if grp.turns == nil {
		grp.turns = make(classTurns)
	}
	inTime := slices.IndexFunc(pending, e.overdue)
	if inTime < 0 {
		inTime = len(pending)
	}
	classes := splitByClass(pending[:inTime])
	for len(classes) > 0 {
		index := grp.turns.next(classes)
		c := classes[index][0]
		inFlight := len(c.inFlight)
		e.dispatchQueued(c)
		if len(c.inFlight) > inFlight {
			grp.turns.sent(classes, index)
		}
		if classes[index] = classes[index][1:]; len(classes[index]) == 0 {
			classes = slices.Delete(classes, index, index+1)
		}
	}
	for _, c := range pending[inTime:] {
		e.dispatchQueued(c)
	}
}

// splitByClass splits calls that are sorted by priority.
func splitByClass(sorted []*call) (classes [][]*call) {
	for start, index := 0, 1; start < len(sorted); index++ {
		if index == len(sorted) || sorted[index].request.route.Priority != sorted[start].request.route.Priority {
			classes = append(classes, sorted[start:index:index])
			start = index
		}
	}
	return classes
}
