// Package suspension steps the two clocks of a machine apart in tests, as a suspension of
// the machine does.
package suspension

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/martenstage/martenstage/internal/steadyclock"
)

// settleTime is after how long the process's clock has looked at those of the machine again.
const settleTime = 3 * time.Millisecond

// Machine has the clocks of a machine that a test can suspend.
type Machine struct {
	began     time.Time
	suspended atomic.Int64
}

// NewMachine makes the process's clock go by that of a machine which was suspended for an
// hour before, until the test ends. Tests that run beside each other share it.
func NewMachine(t testing.TB) *Machine {
	machine := &Machine{began: time.Now()}
	machine.suspended.Store(int64(time.Hour))
	t.Cleanup(steadyclock.Replace(steadyclock.New(machine)))
	return machine
}

// Monotonic implements steadyclock.Machine.
func (m *Machine) Monotonic() (time.Duration, error) { return time.Since(m.began), nil }

// BootTime implements steadyclock.Machine.
func (m *Machine) BootTime() (time.Duration, error) {
	return time.Since(m.began) + time.Duration(m.suspended.Load()), nil
}

// Suspend lets a time pass that only the clock which counts since the boot sees; a negative
// one steps that clock back.
func (m *Machine) Suspend(length time.Duration) {
	m.suspended.Add(int64(length))
	time.Sleep(settleTime)
}
