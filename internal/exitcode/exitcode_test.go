package exitcode

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// TestCodesAreDocumented checks that the operator documentation lists each code
// with its name.
func TestCodesAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/operate/exit-codes.md")
	require.NoError(t, err)
	file, err := parser.ParseFile(token.NewFileSet(), "exitcode.go", nil, 0)
	require.NoError(t, err)
	codes := 0
	ast.Inspect(file, func(node ast.Node) bool {
		spec, ok := node.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 {
			return true
		}
		literal, ok := spec.Values[0].(*ast.BasicLit)
		if !ok {
			return true
		}
		codes++
		value := literal.Value
		require.Contains(t, string(page), "| "+value+" | "+spec.Names[0].Name+" | ")
		return true
	})
	require.Equal(t, DataFolder+1, codes)
}

func TestCodeSurvivesWrapping(t *testing.T) {
	cause := errors.New("port in use")
	err := errors.Wrap(With(Settings, cause), "router")
	require.Equal(t, Settings, Of(err))
	require.ErrorIs(t, err, cause)
	require.Equal(t, Failure, Of(cause))
	require.Equal(t, OK, Of(nil))
	require.NoError(t, With(Conflict, nil))
}
