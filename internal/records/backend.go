package records

// BackendLine is one line of a back end's record file; exactly one field is set.
// A departure is written when the back end starts draining, and again, with
// Returned set, when it returns to service.
type BackendLine struct {
	Execution *Execution `json:"execution,omitempty"`
	Departure *Departure `json:"departure,omitempty"`
}
