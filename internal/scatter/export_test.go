package scatter

// Timers returns how many timers the engine holds.
func (e *Engine) Timers() int { return len(e.timers) }
