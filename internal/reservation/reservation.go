package reservation

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/martenstage/martenstage/internal/loadview"
	"github.com/martenstage/martenstage/internal/quarantine"
)

// EpochLength is the duration of an epoch. It is long compared with the transit time of a
// request, so that a retry arrives in the epoch that it was told, and short compared with the
// time that clients wait.
const EpochLength = 250 * time.Millisecond

// Clock is a position in the epochs.
type Clock struct {
	// Epoch is the number of the epoch, and Elapsed the time since it began, less than
	// EpochLength.
	Epoch   uint64
	Elapsed time.Duration
}

// ClockAt returns the position at a time by the view that a router holds: the position in the
// view, counted on from the time as of which it was valid.
func ClockAt(held loadview.Held, now time.Time) Clock {
	since := held.View.EpochElapsed + now.Sub(held.At)
	if since < 0 {
		since = 0
	}
	return Clock{Epoch: held.View.Epoch + uint64(since/EpochLength), Elapsed: since % EpochLength}
}

// Purposes of hashes, which make the hashes of one request independent of each other.
const (
	purposeRank byte = iota + 1
	purposeSelection
	purposeSpread
)

// hash returns a hash of a request, an epoch and a purpose, 0 (included) to 1.
func hash(purpose byte, fingerprint quarantine.Fingerprint, epoch uint64) float64 {
	var input [1 + 8 + len(fingerprint)]byte
	input[0] = purpose
	binary.BigEndian.PutUint64(input[1:], epoch)
	copy(input[1+8:], fingerprint[:])
	// A float64 has 53 significant bits.
	return float64(xxhash.Sum64(input[:])>>11) / (1 << 53)
}

// Rank returns the rank of a request in an epoch, 0 (included) to 1. It is uniform over the
// epochs and over the requests.
func Rank(fingerprint quarantine.Fingerprint, epoch uint64) float64 {
	return hash(purposeRank, fingerprint, epoch)
}

// reservable reports whether a request is one of the share of requests that get a reservation
// if they are refused.
func reservable(fingerprint quarantine.Fingerprint, share float64) bool {
	return hash(purposeSelection, fingerprint, 0) < share
}

// Admits reports whether a request is admitted: Rank < Fraction, or, for a request that
// Reservable selects, Rank < Promised. What Promised admits in addition is at most
// Reservable × (Promised − Fraction) of the requests.
func Admits(at Clock, fingerprint quarantine.Fingerprint, state loadview.RouteState) bool {
	rank := Rank(fingerprint, at.Epoch)
	return rank < state.Fraction || rank < state.Promised && reservable(fingerprint, state.Reservable)
}

// Find returns the delay until a coming epoch in which a refused request is admitted, at most
// limit, and true. If no epoch within the limit admits it, or it is not one of those that get a
// reservation, Find returns the limit and false.
//
// Epochs are chosen by Fraction alone, because Promised falls to Fraction within a second. The
// delay ends in the middle half of the epoch, so that the transit time of the retry and the
// rounding of Retry-After do not move it into another one.
func Find(at Clock, fingerprint quarantine.Fingerprint, state loadview.RouteState, limit time.Duration) (delay time.Duration, reserved bool) {
	limit = max(0, limit)
	if !reservable(fingerprint, state.Reservable) {
		return limit, false
	}
	for ahead := uint64(1); ; ahead++ {
		begins := time.Duration(ahead)*EpochLength - at.Elapsed
		if begins > limit {
			return limit, false
		}
		epoch := at.Epoch + ahead
		if Rank(fingerprint, epoch) >= state.Fraction {
			continue
		}
		delay := begins + EpochLength/4 + time.Duration(hash(purposeSpread, fingerprint, epoch)*float64(EpochLength/2))
		if delay <= limit {
			return delay, true
		}
	}
}
