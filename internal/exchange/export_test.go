package exchange

// Idle returns how many connections to an instance are kept.
func (p *Pool) Idle(instance string) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.idle[instance])
}
