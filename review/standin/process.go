package main

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// process is one process of the project, which the platform starts again when it ends.
type process struct {
	site     *site
	name     string
	role     string
	settings string

	mutex   sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// started is when the present process was started.
	started time.Time
	// ownEnds counts the ends that no signal of the case caused.
	ownEnds  int
	stopping bool
	// signalled is set while the case has sent a signal that ends the process.
	signalled bool
	// reasons are the first lines of what a process wrote when it ended by itself.
	reasons []string
}

// restartDelay is how long after its end a process is started again.
const restartDelay = 400 * time.Millisecond

func (s *site) newProcess(name, role, settings string) *process {
	path := filepath.Join(s.folder, name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o644); err != nil {
		s.fail("settings of %s: %v", name, err)
	}
	started := &process{site: s, name: name, role: role, settings: path}
	s.processes = append(s.processes, started)
	return started
}

// start starts the process and watches it.
func (p *process) start() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.stopping {
		return
	}
	log, err := os.OpenFile(filepath.Join(p.site.folder, p.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		p.site.fail("log of %s: %v", p.name, err)
	}
	command := exec.Command(p.site.program, p.role, "--settings", p.settings)
	command.Dir = p.site.root
	command.Stdout = log
	errors, err := command.StderrPipe()
	if err == nil {
		// The processes end with this one, also if it is killed.
		command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		err = startCommand(command)
	}
	if err != nil {
		p.site.fail("%s does not start: %v", p.name, err)
	}
	p.command, p.ended, p.started, p.signalled = command, make(chan struct{}), time.Now(), false
	p.site.record.note("process %s starts, pid %d", p.name, command.Process.Pid)
	ended := p.ended
	go func() {
		var lines []string
		scanner := bufio.NewScanner(errors)
		scanner.Buffer(make([]byte, 64<<10), 1<<20)
		for scanner.Scan() {
			fmt.Fprintln(log, scanner.Text())
			if len(lines) < 24 {
				lines = append(lines, withoutMachine(scanner.Text()))
			}
		}
		waitError := command.Wait()
		_ = log.Close()
		p.afterEnd(waitError, lines)
		close(ended)
	}()
}

// starts carries the commands to the thread that starts them.
var starts = sync.OnceValue(func() chan func() {
	tasks := make(chan func())
	go func() {
		// Pdeathsig is sent when the thread that started a process ends: this one never does.
		runtime.LockOSThread()
		for task := range tasks {
			task()
		}
	}()
	return tasks
})

func startCommand(command *exec.Cmd) error {
	done := make(chan error)
	starts() <- func() { done <- command.Start() }
	return <-done
}

// afterEnd records the end of a process and starts it again.
func (p *process) afterEnd(cause error, lines []string) {
	p.mutex.Lock()
	own := !p.stopping && !p.signalled
	stopping := p.stopping
	if own {
		p.ownEnds++
		p.reasons = append(p.reasons, strings.Join(lines[:min(len(lines), 12)], " | "))
	}
	p.mutex.Unlock()
	p.site.record.note("process %s ended (%v), by itself: %v", p.name, cause, own)
	if own {
		for _, line := range lines[:min(len(lines), 16)] {
			p.site.record.note("  %s wrote: %s", p.name, line)
		}
	}
	if !stopping {
		time.AfterFunc(restartDelay, p.start)
	}
}

// signal sends a signal to the present process; ends says that it ends it.
func (p *process) signal(sent syscall.Signal, ends bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.signalled = p.signalled || ends
	p.site.record.note("signal %v to %s", sent, p.name)
	_ = p.command.Process.Signal(sent)
}

// stop ends the process for good.
func (p *process) stop() {
	p.mutex.Lock()
	p.stopping = true
	command, ended := p.command, p.ended
	p.mutex.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Kill()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
	}
}

// ends returns how often the process has ended by itself, and what it wrote.
func (p *process) ends() (count int, reasons []string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.ownEnds, p.reasons
}
