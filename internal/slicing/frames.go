package slicing

import "time"

// FrameSchedule decides when a router that gathers a slice for another sends the parts that it
// has received. The last scheduled frame is due at the cutoff; from then on each part is sent as
// it arrives. Earlier frames carry the parts that are there by then, so that the answer does not
// depend on the frames of all slices being on time: an answer over 90 shards has some 16 slices,
// and with servers that pause 4 % of the time almost every answer waits for one of them until its
// cutoff.
type FrameSchedule struct {
	arrived time.Time
	cutLeft time.Duration
	// sent is how many of frameShares are past.
	sent int
}

// frameShares are the shares of the time until the cutoff at which frames are sent. Most parts
// arrive in the first half; a hedge is sent at half of the time at the latest (package scatter),
// and its reply usually arrives by three quarters.
var frameShares = [...]float64{0.5, 0.75, 1}

// NewFrameSchedule returns the schedule of a slice that arrived at a time and whose parts are due
// after cutLeft.
func NewFrameSchedule(arrived time.Time, cutLeft time.Duration) *FrameSchedule {
	return &FrameSchedule{arrived: arrived, cutLeft: cutLeft}
}

// Next returns when the next frame is due. It must not be called past the cutoff.
func (s *FrameSchedule) Next() time.Time {
	return s.arrived.Add(time.Duration(frameShares[s.sent] * float64(s.cutLeft)))
}

// Advance records that the time of the next frame has come.
func (s *FrameSchedule) Advance() { s.sent++ }

// PastCutoff reports whether the cutoff has passed, so that each part is sent as it arrives.
func (s *FrameSchedule) PastCutoff() bool { return s.sent == len(frameShares) }
