package emulator

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/martenstage/martenstage/internal/backendapi"
	"github.com/martenstage/martenstage/internal/records"
)

// serveDrain makes the server leave: it refuses what comes and finishes what
// it has. A second call changes nothing.
func (s *Server) serveDrain(writer http.ResponseWriter, _ *http.Request) {
	s.drainCalled.Store(true)
	s.noteDeparture()
	writer.WriteHeader(http.StatusNoContent)
}

// serveDrainEnd makes the server take part again.
func (s *Server) serveDrainEnd(writer http.ResponseWriter, _ *http.Request) {
	s.drainCalled.Store(false)
	s.noteDeparture()
	writer.WriteHeader(http.StatusNoContent)
}

// noteDeparture records that the server began to leave, or came back, when its
// drain state changed.
func (s *Server) noteDeparture() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	isDraining := s.isDraining()
	switch {
	case isDraining && s.departed.IsZero():
		s.departed = time.Now()
		s.fleet.recorder.Departure(records.Departure{Backend: s.name, Began: s.departed})
	case !isDraining && !s.departed.IsZero():
		s.fleet.recorder.Departure(records.Departure{Backend: s.name, Began: s.departed, Returned: time.Now()})
		s.departed = time.Time{}
	}
}

// serveCancel ends an attempt that is no longer wanted. It answers 204 also
// when the attempt is not there: it may have ended, or may still come and is
// then refused.
func (s *Server) serveCancel(writer http.ResponseWriter, request *http.Request) {
	var wanted backendapi.CancelRequest
	const limit = 4096 // bytes; two ids
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, limit))
	if err := decoder.Decode(&wanted); err != nil || wanted.Attempt == "" {
		http.Error(writer, "the body must name a request and an attempt", http.StatusBadRequest)
		return
	}
	s.counters.cancels.Add(1)
	s.attempts.cancel(wanted.Attempt)
	writer.WriteHeader(http.StatusNoContent)
}
