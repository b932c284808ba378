//go:build !linux

package callers

// refuseHandshakes does nothing here: a connection may be reset that is made in
// the moment of closing.
func refuseHandshakes(uintptr) {}
