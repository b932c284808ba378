package callers

import (
	"bytes"
	"encoding/json"
	"flag"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

const (
	openAPIFile = "../../docs/openapi/callers.json"
	pageFile    = "../../docs/CALLERS.md"
)

var update = flag.Bool("update", false, "write "+openAPIFile+" from what the server serves")

// fetchFromHandler returns the reply of a handler without a router.
func fetchFromHandler(t *testing.T, path string) []byte {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	recorder := httptest.NewRecorder()
	NewHandler(Config{}, nil, logger).ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
	require.Equal(t, http.StatusOK, recorder.Code)
	return recorder.Body.Bytes()
}

func TestOpenAPIFileMatchesServedDocument(t *testing.T) {
	var indented bytes.Buffer
	require.NoError(t, json.Indent(&indented, fetchFromHandler(t, "/openapi.json"), "", "  "))
	indented.WriteByte('\n')
	if *update {
		require.NoError(t, os.WriteFile(openAPIFile, indented.Bytes(), 0o644))
	}
	file, err := os.ReadFile(openAPIFile)
	require.NoError(t, err)
	require.True(t, bytes.Equal(indented.Bytes(), file), "run go test ./internal/callers -run OpenAPI -update")
}

// Every reason that callers can receive is documented with its HTTP status.
func TestReasonsAreDocumented(t *testing.T) {
	page, err := os.ReadFile(pageFile)
	require.NoError(t, err)
	for reason, kind := range reasonStatus {
		row := "| `" + string(reason) + "` | "
		_, rest, found := strings.Cut(string(page), row)
		require.True(t, found, "%s is not in %s", reason, pageFile)
		require.True(t, strings.HasPrefix(rest, strconv.Itoa(kind.status)+" |"), "status of %s", reason)
	}
}
