package backend

import (
	"encoding/json"
	"testing"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
)

func TestPartsAreParsedCompletely(t *testing.T) {
	part, err := parsePart([]byte(`{"other":[1],"items":[ "a,\"]" , [1,[2]] , {"x":"}"} , -1.5e3 , null ] }`))
	require.NoError(t, err)
	texts := lo.Map(part.Items, func(item json.RawMessage, _ int) string { return string(item) })
	require.Equal(t, []string{`"a,\"]"`, `[1,[2]]`, `{"x":"}"}`, `-1.5e3`, `null`}, texts)
	part, err = parsePart([]byte(`{"items":[ ]}`))
	require.NoError(t, err)
	require.Empty(t, part.Items)
}

func TestMalformedPartsAreRejected(t *testing.T) {
	for _, body := range []string{
		``, `[]`, `{}`, `{"items":null}`, `{"items":1}`, `{"items":{}}`, `{"items":[1}`, `{"items":[1]`,
		`{"items":[2],"b":[}`, `{"items":[1]} {"items":[2]}`, `{"it":[1]}`,
	} {
		_, err := parsePart([]byte(body))
		require.Error(t, err, body)
	}
}
