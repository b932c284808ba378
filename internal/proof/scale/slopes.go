package scale

import (
	"bufio"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// Slope is a straight line fitted to a figure over the number of routers.
type Slope struct {
	Figure    string  `json:"figure"`
	Speed     int64   `json:"speed"`
	PerRouter float64 `json:"per_router"`
	Base      float64 `json:"base"`
	// Runs is the number of points, R2 the share of their variance that the
	// line explains.
	Runs int     `json:"runs"`
	R2   float64 `json:"r2"`
}

// figures are those that slopes are fitted to. Sums over a role grow with the
// routers; means over followers should not.
var figures = []struct {
	name  string
	value func(Result, Phase) float64
}{
	{"follower_core_percent", func(_ Result, phase Phase) float64 { return phase.FollowerCorePercent }},
	{"follower_mb", func(_ Result, phase Phase) float64 { return phase.FollowerMB }},
	{"follower_kb_per_s", func(_ Result, phase Phase) float64 { return phase.FollowerKBPerSecond }},
	{"relays_core_percent", func(result Result, phase Phase) float64 { return phase.RelayCorePercent * float64(result.Relays) }},
	{"relays_mb", func(result Result, phase Phase) float64 { return phase.RelayMB * float64(result.Relays) }},
	{"relays_kb_per_s", func(result Result, phase Phase) float64 { return phase.RelayKBPerSecond * float64(result.Relays) }},
	{"control_core_percent", func(_ Result, phase Phase) float64 { return phase.ControlCorePercent }},
	{"control_mb", func(_ Result, phase Phase) float64 { return phase.ControlMB }},
	{"control_kb_per_s", func(_ Result, phase Phase) float64 { return phase.ControlKBPerSecond }},
	{"in_force_p99_s", func(_ Result, phase Phase) float64 { return phase.InForceP99 }},
	{"in_force_max_s", func(_ Result, phase Phase) float64 { return phase.InForceMax }},
	{"reported_in_force_p50_s", func(_ Result, phase Phase) float64 { return phase.ReportedP50 }},
}

// ReadResults reads one JSON result for each line.
func ReadResults(reader io.Reader) ([]Result, error) {
	const longestLine = 1 << 20
	lines := bufio.NewScanner(reader)
	lines.Buffer(nil, longestLine)
	var results []Result
	for lines.Scan() {
		var result Result
		if err := json.Unmarshal(lines.Bytes(), &result); err != nil {
			return nil, errors.Wrapf(err, "line %d", len(results)+1)
		}
		results = append(results, result)
	}
	return results, lines.Err()
}

// Slopes fits each figure over the number of routers by least squares, one
// line for each speed that all results share in order.
func Slopes(results []Result) []Slope {
	points := make(map[int64][]int)
	var speeds []int64
	for index, result := range results {
		for _, phase := range result.Phases {
			if points[phase.Speed] == nil {
				speeds = append(speeds, phase.Speed)
			}
			points[phase.Speed] = append(points[phase.Speed], index)
		}
	}
	var slopes []Slope
	for _, speed := range speeds {
		for _, figure := range figures {
			var x, y []float64
			for _, index := range points[speed] {
				result := results[index]
				x = append(x, float64(result.Routers))
				y = append(y, figure.value(result, phaseOf(result, speed)))
			}
			line := fit(x, y)
			line.Figure, line.Speed = figure.name, speed
			slopes = append(slopes, line)
		}
	}
	return slopes
}

func phaseOf(result Result, speed int64) Phase {
	for _, phase := range result.Phases {
		if phase.Speed == speed {
			return phase
		}
	}
	return Phase{}
}

// fit is the ordinary least-squares line through points.
func fit(x, y []float64) Slope {
	count := float64(len(x))
	line := Slope{Runs: len(x)}
	var meanX, meanY float64
	for index := range x {
		meanX += x[index] / count
		meanY += y[index] / count
	}
	var varianceX, varianceY, covariance float64
	for index := range x {
		varianceX += (x[index] - meanX) * (x[index] - meanX)
		varianceY += (y[index] - meanY) * (y[index] - meanY)
		covariance += (x[index] - meanX) * (y[index] - meanY)
	}
	if varianceX == 0 {
		line.Base = meanY
		return line
	}
	line.PerRouter = covariance / varianceX
	line.Base = meanY - line.PerRouter*meanX
	if varianceY > 0 {
		line.R2 = covariance * covariance / (varianceX * varianceY)
	}
	return line
}
