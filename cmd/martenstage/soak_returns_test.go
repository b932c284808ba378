package main

import "time"

// soakReturnTime bounds the time that a client which comes back late has left; soakReturnShare is
// the share of the requests that come late without having failed.
const (
	soakReturnTime  = 20 * time.Millisecond
	soakReturnShare = 0.05
	// soakAnswerMargin is what a router reserves of the time left for its answer.
	soakAnswerMargin = 10 * time.Millisecond
)

// sentWithoutTime finds requests that reached a server although their clients had no time left.
func (r *soakRecords) sentWithoutTime() (broken []string) {
	late := map[string]bool{}
	for _, request := range r.requests {
		if request.late && request.left <= soakAnswerMargin {
			late[request.id] = true
		}
	}
	for _, arrival := range r.arrivals {
		if late[arrival.id] {
			broken = append(broken, arrival.id+" reached "+arrival.server+" without time left")
		}
	}
	return broken
}
