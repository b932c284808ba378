package records

// BackendLine is one line of the file that back ends write: exactly one of its
// fields is set. A departure is written when the back end begins to leave, and
// once more, with Returned, when it comes back.
type BackendLine struct {
	Execution *Execution `json:"execution,omitempty"`
	Departure *Departure `json:"departure,omitempty"`
}
