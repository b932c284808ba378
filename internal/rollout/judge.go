package rollout

import (
	"fmt"
	"math"
	"slices"
)

// Parameters of a sequential probability ratio test. The rate of bad answers of the new
// version is compared with an upper confidence bound on the old version's rate, on the same
// route and at the same time; so is the rate of slow answers. The test statistic is the
// likelihood ratio of a clearly worse rate to that bound. If the new version is no worse, the
// ratio ever exceeds 1/falsePositiveRate with a probability of at most falsePositiveRate
// (Ville's inequality; Wald, Sequential Analysis, 1947).
const (
	// falsePositiveRate bounds the probability that a good version is rejected on one route by
	// one of the two criteria, failures or slowness.
	falsePositiveRate = 1e-4
	// worseFactor times the expected rate, but at least minWorseRate, is the failure rate of the
	// alternative hypothesis that a part of the answers fails.
	worseFactor  = 4.0
	minWorseRate = 0.2
	// minExpectedRate is the failure rate that is always tolerated in a good version.
	minExpectedRate = 0.01
	// priorAnswers and priorBad are added to the old version's counts, so that few answers
	// carry little weight.
	priorAnswers = 20.0
	priorBad     = 0.5
	// standardDeviations is how many standard deviations are added to the old version's rate for
	// its uncertainty.
	standardDeviations = 2.0
	// The slow threshold is slowBucketMargin buckets, at least a factor of 1.4, above the latency
	// that at most slowShare of the old version's answers reach.
	slowShare        = 0.15
	slowBucketMargin = 1
	// minWorseSlowRate is the minimum share of slow answers of the alternative hypothesis.
	minWorseSlowRate = 0.6
	// minTimedAnswers is the number of timed answers of the old version that are required to
	// compare latencies.
	minTimedAnswers = 20
)

// Conviction describes why a version was judged bad.
type Conviction struct {
	Route string `json:"route"`
	// Mark is "failures" or "slowness".
	Mark string `json:"mark"`
	// Bad of the new version's Answers failed or were slow; Expected is the rate they are
	// compared with.
	Bad      uint64  `json:"bad"`
	Answers  uint64  `json:"answers"`
	Expected float64 `json:"expected"`
}

// String formats the conviction for the log.
func (c Conviction) String() string {
	return fmt.Sprintf("%s: %d of %d answers on route %q, %.3f expected", c.Mark, c.Bad, c.Answers, c.Route, c.Expected)
}

// Judge returns why the new version is bad, or nil if there is not enough evidence of that. It
// tests the sum of all routes and each route.
func Judge(evidence Evidence) *Conviction {
	total := evidence.Total()
	if found := judgePair("all", &total); found != nil {
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
	worse := min(0.9, max(minWorseRate, worseFactor*expected))
	if rejectsExpectedRate(pair.New.Bad, pair.New.Answers, expected, worse) {
		return &Conviction{Route: route, Mark: "failures", Bad: pair.New.Bad, Answers: pair.New.Answers, Expected: expected}
	}
	timedOld := pair.Old.timedCount()
	if timedOld < minTimedAnswers {
		return nil
	}
	threshold := slowBucket(&pair.Old, timedOld)
	expected = upperRate(pair.Old.countFrom(threshold), timedOld)
	slow, answers := pair.New.countFrom(threshold), pair.New.timedCount()
	if rejectsExpectedRate(slow, answers, expected, max(minWorseSlowRate, min(0.9, 2*expected))) {
		return &Conviction{Route: route, Mark: "slowness", Bad: slow, Answers: answers, Expected: expected}
	}
	return nil
}

// slowBucket returns the first bucket that counts as slow, given the old version's answers.
func slowBucket(old *Counts, timedOld uint64) int {
	for bucket := range Buckets {
		if float64(old.countFrom(bucket)) <= slowShare*float64(timedOld) {
			return bucket + slowBucketMargin
		}
	}
	return Buckets
}

// upperRate returns an upper confidence bound on the rate of bad answers.
func upperRate(bad, answers uint64) float64 {
	count := float64(answers) + priorAnswers
	rate := (float64(bad) + priorBad) / count
	return max(minExpectedRate, min(0.8, rate+standardDeviations*math.Sqrt(rate*(1-rate)/count)))
}

// rejectsExpectedRate reports whether the test rejects the expected rate of bad answers in favor
// of the worse one.
func rejectsExpectedRate(bad, answers uint64, expected, worse float64) bool {
	if worse <= expected {
		return false
	}
	logLikelihoodRatio := float64(bad)*math.Log(worse/expected) + float64(answers-bad)*math.Log((1-worse)/(1-expected))
	return logLikelihoodRatio > -math.Log(falsePositiveRate)
}
