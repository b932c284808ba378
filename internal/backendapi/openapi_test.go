package backendapi

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.yaml.in/yaml/v3"
)

const (
	openAPIFile = "../../docs/openapi/backends.yaml"
	pageFile    = "../../docs/BACKENDS.md"
)

// stringConstants returns the values of the package's string constants by name.
func stringConstants(t *testing.T) map[string]string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "backendapi.go", nil, 0)
	require.NoError(t, err)
	found := map[string]string{}
	ast.Inspect(file, func(node ast.Node) bool {
		spec, ok := node.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 {
			return true
		}
		literal, ok := spec.Values[0].(*ast.BasicLit)
		if ok && literal.Kind == token.STRING {
			found[spec.Names[0].Name], err = strconv.Unquote(literal.Value)
			require.NoError(t, err)
		}
		return true
	})
	return found
}

// collectScalars collects all scalar keys and values of a YAML document.
func collectScalars(node *yaml.Node, into map[string]bool) {
	if node.Kind == yaml.ScalarNode {
		into[node.Value] = true
	}
	for _, child := range node.Content {
		collectScalars(child, into)
	}
}

// TestContractIsDocumented compares the constants with the OpenAPI document and
// the documentation page. Every constant must be in both, and every path and
// header of the OpenAPI document must be a constant.
func TestContractIsDocumented(t *testing.T) {
	text, err := os.ReadFile(openAPIFile)
	require.NoError(t, err)
	var document yaml.Node
	require.NoError(t, yaml.Unmarshal(text, &document))
	inDocument := map[string]bool{}
	collectScalars(&document, inDocument)
	page, err := os.ReadFile(pageFile)
	require.NoError(t, err)

	var known []string
	for name, value := range stringConstants(t) {
		known = append(known, value)
		require.True(t, inDocument[value], "%s (%s) is not in %s", name, value, openAPIFile)
		short := strings.TrimPrefix(value, "Martenstage")
		require.True(t, strings.Contains(string(page), value) || strings.Contains(string(page), "`"+short+"`"),
			"%s (%s) is not in %s", name, value, pageFile)
	}
	for value := range inDocument {
		if strings.HasPrefix(value, "Martenstage-") || strings.HasPrefix(value, "/v1/") {
			require.True(t, slices.Contains(known, value), "%s of %s is in no constant", value, openAPIFile)
		}
	}
}
