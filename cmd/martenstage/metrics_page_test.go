package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/directory"
	"github.com/martenstage/martenstage/internal/gateway"
	"github.com/martenstage/martenstage/internal/proof/testaddress"
	"github.com/martenstage/martenstage/platform"
)

var updatePages = flag.Bool("update", false, "write the generated pages anew")

// descriptions collects what is registered, whether it has values yet or not.
type descriptions struct {
	prometheus.Registerer
	collectors []prometheus.Collector
}

func (d *descriptions) Register(collector prometheus.Collector) error {
	d.collectors = append(d.collectors, collector)
	return d.Registerer.Register(collector)
}

func (d *descriptions) MustRegister(collectors ...prometheus.Collector) {
	for _, collector := range collectors {
		if err := d.Register(collector); err != nil {
			panic(err)
		}
	}
}

var descriptionForm = regexp.MustCompile(`^Desc\{fqName: "([^"]+)", help: "(.*?)"(?:, unit: "[^"]*")?, constLabels: \{.*\}, variableLabels: \{(.*)\}\}$`)

// rows returns a line of the page for each metric, by name.
func (d *descriptions) rows(t *testing.T) []string {
	var rows []string
	for _, collector := range d.collectors {
		described := make(chan *prometheus.Desc)
		go func() {
			collector.Describe(described)
			close(described)
		}()
		for description := range described {
			parts := descriptionForm.FindStringSubmatch(description.String())
			require.NotNil(t, parts, description.String())
			rows = append(rows, fmt.Sprintf("| `%s` | %s | %s |", parts[1], strings.ReplaceAll(parts[3], ",", ", "), parts[2]))
		}
	}
	slices.Sort(rows)
	return slices.Compact(rows)
}

const metricsPage = "../../docs/METRICS.md"

// TestMetricsPageIsThatOfTheCode holds docs/METRICS.md to what the roles of
// registered sites register; with -update it writes the page.
func TestMetricsPageIsThatOfTheCode(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	collect := func() *descriptions { return &descriptions{Registerer: prometheus.NewRegistry()} }
	router := collect()
	gateway.New(gateway.Config{
		Name: "g", ParseDocument: platform.ParseDocument, Dialect: platform.Headers{}, Codec: platform.Headers{},
	}, gateway.Environment{Logger: logger, Registerer: router})
	node := collect()
	address := testaddress.Next().String()
	_, err := directory.Open(directory.Config{
		Name: "d", PeerAddress: address, Seeds: []string{address}, Folder: t.TempDir(), Bootstrap: true,
	}, directory.Environment{Logger: logger, Registerer: node})
	require.NoError(t, err)

	page := "# Metrics of registered sites\n\nWritten by `go test ./cmd/martenstage -run MetricsPage -update`. How to use them:\n[OPERATIONS](OPERATIONS.md#metrics).\n"
	for _, role := range []struct {
		title string
		rows  []string
	}{{"`martenstage gateway`", router.rows(t)}, {"`martenstage directory`", node.rows(t)}} {
		page += "\n## " + role.title + "\n\n| Metric | Labels | Meaning |\n| --- | --- | --- |\n" + strings.Join(role.rows, "\n") + "\n"
	}
	if *updatePages {
		require.NoError(t, os.WriteFile(metricsPage, []byte(page), 0o644))
	}
	written, err := os.ReadFile(metricsPage)
	require.NoError(t, err)
	require.Equal(t, page, string(written), "docs/METRICS.md is not that of the code: run the test with -update")
}
