package backend

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/martenstage/martenstage/internal/backendapi"
)

// FuzzReadItems compares the reading of parts with encoding/json.
func FuzzReadItems(f *testing.F) {
	for _, seed := range []string{
		`{"items":[{"id":1},{"id":2}]}`, `{"items":[]}`, `{"items":[ ]}`, `{"items":null}`, `{}`, `[]`,
		`{"other":[1],"items":[ "a,\"]" , [1,[2]] , {"x":"}"} , -1.5e3 , null ] }`, `{"items":["\\"]}`, `{"items":[1],"items":[2]}`,
		`{"a" : {"items":[3]} , "items" : [1] , "z":"items" }`, `{"Items":[1]}`, `{"it\u0065ms":[1],"items":[2]}`, `{"items":[2],"b":[}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		var want backendapi.Part
		wantErr := json.Unmarshal(body, &want)
		got, err := readItems(body)
		if wantErr != nil {
			require.Error(t, err)
			return
		}
		if err != nil {
			require.Empty(t, want.Items)
			return
		}
		require.Len(t, got.Items, len(want.Items))
		for index := range want.Items {
			require.Equal(t, string(want.Items[index]), string(got.Items[index]))
		}
	})
}
