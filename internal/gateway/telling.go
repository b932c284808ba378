package gateway

import (
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/scatter"
)

// sampleEvery is of how many ordinary answers one is logged. Requests that
// failed, were refused, came late or lack parts are always told.
const sampleEvery = 64

// tell counts and logs the end of a request.
func (s *exchangeState) tell(outcome string, status int, result scatter.Result) {
	took := time.Since(s.arrived)
	route, target := "", time.Duration(0)
	if s.route != nil {
		route, target = s.route.Name, s.route.Target
	}
	s.gateway.metrics.requests.WithLabelValues(outcome, strconv.Itoa(status)).Inc()
	s.gateway.metrics.seconds.Observe(took.Seconds())
	s.gateway.metrics.extras.Add(float64(result.Extras))
	s.gateway.metrics.denied.Add(float64(result.Denied))
	s.gateway.metrics.missing.Add(float64(s.told.missing))
	late := target > 0 && took > target
	ordinary := outcome == "answered" && !late && s.told.missing == 0 && status < 400
	if ordinary && s.gateway.answers.Add(1)%sampleEvery != 0 {
		return
	}
	fields := logrus.Fields{
		"request": s.id, "route": route, "version": s.version, "outcome": outcome, "status": status, "took": took,
		"attempts": result.Attempts, "extras": result.Extras, "denied": result.Denied, "missing": s.told.missing, "late": late, "slices": s.told.slices, "fallbacks": s.told.fallbacks,
	}
	if result.Reason != "" {
		fields["reason"], fields["verdict"] = result.Reason, result.Verdict
	}
	for index, lack := range result.Lacking {
		fields["lacking_"+strconv.Itoa(index)] = lack.Service + "/" + lack.Server + "/" + lack.Failure.String() + "/" + strconv.FormatBool(lack.Open)
	}
	s.gateway.logger.WithFields(fields).Info("request")
}
