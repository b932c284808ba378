package gateway

import "sync/atomic"

// maxIdleWorkers bounds the goroutines that wait for tasks. It covers the attempts of several
// slices, and its stacks take half a megabyte.
const maxIdleWorkers = 64

// workers runs tasks in goroutines that are used again. The stack of a new goroutine grows twice
// while it reads a reply, which took a seventh of the processor time of a slice
// (BenchmarkServeSlice). It is safe for concurrent use.
type workers struct {
	tasks chan func()
	idle  atomic.Int32
	// stopped ends the idle workers.
	stopped chan struct{}
}

func newWorkers() *workers {
	return &workers{tasks: make(chan func()), stopped: make(chan struct{})}
}

// start runs a task in an idle worker or, if there is none, in a new one.
func (w *workers) start(task func()) {
	select {
	case w.tasks <- task:
	default:
		go w.work(task)
	}
}

// work runs a task and those that follow while the worker is idle.
func (w *workers) work(task func()) {
	for {
		task()
		// What the task refers to is released while the worker is idle.
		task = nil
		if w.idle.Add(1) > maxIdleWorkers {
			w.idle.Add(-1)
			return
		}
		select {
		case task = <-w.tasks:
			w.idle.Add(-1)
		case <-w.stopped:
			return
		}
	}
}

// stop ends the idle workers; the others end with their tasks.
func (w *workers) stop() { close(w.stopped) }
