package exchange

// Idle returns how many connections to an instance are kept.
func (p *Pool) Idle(instance string) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.idle[instance])
}

// PeakReplies returns the most memory that replies being received have taken together, in bytes.
func (p *Pool) PeakReplies() int64 {
	p.replies.mutex.Lock()
	defer p.replies.mutex.Unlock()
	return p.replies.peak
}
