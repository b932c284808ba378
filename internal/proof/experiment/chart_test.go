package experiment

import (
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The page of charts is read where there is no network, too.
func TestChartsNeedNothingElse(t *testing.T) {
	result, err := RunVirtual(Config{Deployment: "bangkok", Plan: bangkok(t), Scenario: "steady", Variants: Variants(),
		Seed: 1, Duration: 2 * time.Second, Utilization: 0.02})
	require.NoError(t, err)
	var page strings.Builder
	require.NoError(t, result.WriteHTML(&page))
	require.NotRegexp(t, regexp.MustCompile(`(?i)<script|<link|https?:|src=|@import|url\(`), page.String())
	const chartsPerRoute = 3
	charts := chartsPerRoute * len(result.routes())
	require.Equal(t, charts, strings.Count(page.String(), "<svg"))
	require.Equal(t, charts*len(Variants()), strings.Count(page.String(), "<polyline"))
	require.NotContains(t, page.String(), "NaN")
}
