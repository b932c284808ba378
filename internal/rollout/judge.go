package rollout

import (
	"fmt"
	"math"
	"slices"
)

// The sequential test. The new version's bad answers are compared with a rate that the old
// one's, on the same route and at the same time, does not exceed by chance; so are its slow
// ones. The test multiplies, answer by answer, how much likelier each is under a clearly
// worse rate. If the version is no worse the product exceeds 1/falseConviction at any time
// with a probability of at most falseConviction (Ville's inequality; Wald, Sequential
// Analysis, 1947).
const (
	// falseConviction is the probability that one good version is convicted on one route by
	// one of the two marks.
	falseConviction = 1e-4
	// worseFactor times the old rate, and worseLeast at least, is the rate that is tested
	// for: "a part of the answers fails".
	worseFactor = 4.0
	worseLeast  = 0.2
	// leastRate stands for what a good version may fail by itself.
	leastRate = 0.01
	// priorAnswers and priorBad are put to the old version's counts, so that few answers
	// prove little.
	priorAnswers = 20.0
	priorBad     = 0.5
	// deviations of the old rate are put on it for what it is uncertain by.
	deviations = 2.0
	// slowShare of the old version's answers take longer than what counts as slow, which is
	// slowBuckets above that: at least 1.4 times as long.
	slowShare   = 0.15
	slowBuckets = 1
	// slowWorse is the share of slow answers that is tested for.
	slowWorse = 0.6
	// leastTimed is from how many answers of the old version on times are compared.
	leastTimed = 20
)

// Conviction says why a version is held to be bad.
type Conviction struct {
	Route string `json:"route"`
	// Mark is "failures" or "slowness".
	Mark string `json:"mark"`
	// Bad of the new version's Answers bear it, against the rate Expected.
	Bad      uint64  `json:"bad"`
	Answers  uint64  `json:"answers"`
	Expected float64 `json:"expected"`
}

// String returns it for the log.
func (c Conviction) String() string {
	return fmt.Sprintf("%s: %d of %d answers on route %q, %.3f expected", c.Mark, c.Bad, c.Answers, c.Route, c.Expected)
}

// Judge returns why the new version is bad, or nil. Each route is judged, and their sum.
func Judge(evidence Evidence) *Conviction {
	whole := evidence.Whole()
	if found := judgePair("all", &whole); found != nil {
		return found
	}
	routes := make([]string, 0, len(evidence))
	for route := range evidence {
		routes = append(routes, route)
	}
	slices.Sort(routes)
	for _, route := range routes {
		if found := judgePair(route, evidence[route]); found != nil {
			return found
		}
	}
	return nil
}

func judgePair(route string, pair *Pair) *Conviction {
	expected := upperRate(pair.Old.Bad, pair.Old.Answers)
	worse := min(0.9, max(worseLeast, worseFactor*expected))
	if convicts(pair.New.Bad, pair.New.Answers, expected, worse) {
		return &Conviction{Route: route, Mark: "failures", Bad: pair.New.Bad, Answers: pair.New.Answers, Expected: expected}
	}
	timed := pair.Old.timed()
	if timed < leastTimed {
		return nil
	}
	from := slowFrom(&pair.Old, timed)
	expected = upperRate(pair.Old.above(from), timed)
	slow, answers := pair.New.above(from), pair.New.timed()
	if convicts(slow, answers, expected, max(slowWorse, min(0.9, 2*expected))) {
		return &Conviction{Route: route, Mark: "slowness", Bad: slow, Answers: answers, Expected: expected}
	}
	return nil
}

// slowFrom returns from which bucket on an answer is slow, by the old version's.
func slowFrom(old *Counts, timed uint64) int {
	for bucket := range Buckets {
		if float64(old.above(bucket)) <= slowShare*float64(timed) {
			return bucket + slowBuckets
		}
	}
	return Buckets
}

// upperRate is a rate that the one behind some counts hardly exceeds.
func upperRate(bad, answers uint64) float64 {
	count := float64(answers) + priorAnswers
	rate := (float64(bad) + priorBad) / count
	return max(leastRate, min(0.8, rate+deviations*math.Sqrt(rate*(1-rate)/count)))
}

// convicts reports whether bad answers of some are too many for an expected rate.
func convicts(bad, answers uint64, expected, worse float64) bool {
	if worse <= expected {
		return false
	}
	likelihood := float64(bad)*math.Log(worse/expected) + float64(answers-bad)*math.Log((1-worse)/(1-expected))
	return likelihood > -math.Log(falseConviction)
}
