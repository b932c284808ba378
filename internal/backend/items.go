package backend

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/backendapi"
)

var errMissingItems = errors.New("the part has no array of items")

// parsePart decodes the body of a reply; the array of items is required.
func parsePart(body []byte) (backendapi.Part, error) {
	part := backendapi.Part{}
	if err := json.Unmarshal(body, &part); err != nil {
		return backendapi.Part{}, errors.Wrap(err, "the part is not JSON as agreed")
	}
	if part.Items == nil {
		return backendapi.Part{}, errMissingItems
	}
	return part, nil
}
