package backend

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/backendapi"
)

var errNoItems = errors.New("the part has no array of items")

// readItems reads a part. The items are slices of one copy of the array, since
// decoding each into a copy of its own is most of what a part costs.
func readItems(body []byte) (backendapi.Part, error) {
	var document struct {
		Items json.RawMessage `json:"items"`
	}
	if err := json.Unmarshal(body, &document); err != nil {
		return backendapi.Part{}, err
	}
	if len(document.Items) == 0 || document.Items[0] != '[' {
		return backendapi.Part{}, errNoItems
	}
	return backendapi.Part{Items: splitArray(document.Items)}, nil
}

// splitArray cuts the text of a valid JSON array into its elements. Since the
// text is known to be valid, only strings and nesting matter.
func splitArray(array []byte) []json.RawMessage {
	elements := make([]json.RawMessage, 0, guessElements(array))
	depth, start := 0, 1
	for index := 0; index < len(array); index++ {
		switch array[index] {
		case '"':
			index = endOfString(array, index)
		case '[', '{':
			depth++
		case ']', '}':
			depth--
			if depth == 0 {
				return appendElement(elements, array[start:index])
			}
		case ',':
			if depth == 1 {
				elements = appendElement(elements, array[start:index])
				start = index + 1
			}
		}
	}
	return elements
}

// guessElements guesses the number of elements.
func guessElements(array []byte) int {
	const typicalElement = 64
	return len(array)/typicalElement + 1
}

// endOfString returns the index of the quote that ends the string begun at
// start.
func endOfString(text []byte, start int) int {
	for index := start + 1; ; index++ {
		switch text[index] {
		case '\\':
			index++
		case '"':
			return index
		}
	}
}

// appendElement trims white space; an element without text is that of an empty
// array.
func appendElement(elements []json.RawMessage, text []byte) []json.RawMessage {
	for len(text) > 0 && isSpace(text[0]) {
		text = text[1:]
	}
	for len(text) > 0 && isSpace(text[len(text)-1]) {
		text = text[:len(text)-1]
	}
	if len(text) == 0 {
		return elements
	}
	return append(elements, text[:len(text):len(text)])
}

func isSpace(character byte) bool {
	return character == ' ' || character == '\n' || character == '\t' || character == '\r'
}
