package backend

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/backendapi"
)

var (
	errNotJSON = errors.New("the part is not JSON")
	errNoItems = errors.New("the part has no array of items")
)

// readItems reads a part. The items are slices of the body: once the body is
// known to be JSON, finding them takes no decoding.
func readItems(body []byte) (backendapi.Part, error) {
	if !json.Valid(body) {
		return backendapi.Part{}, errNotJSON
	}
	items, plain := member(body, itemsKey)
	if !plain {
		items = decodeItems(body)
	}
	if len(items) == 0 || items[0] != '[' {
		return backendapi.Part{}, errNoItems
	}
	return backendapi.Part{Items: splitArray(items)}, nil
}

// itemsKey is the member of a part that holds the items.
const itemsKey = `"items"`

// decodeItems finds the items as encoding/json does, which also takes keys in
// other cases or with escapes.
func decodeItems(body []byte) []byte {
	var document struct {
		Items json.RawMessage `json:"items"`
	}
	if err := json.Unmarshal(body, &document); err != nil {
		return nil
	}
	return document.Items
}

// member returns the value of a member of a valid JSON object, the last of
// that name, or nothing. The key is as in the text, with its quotes. The second
// result is false if another spelling of the key may be there.
func member(object []byte, key string) (found []byte, plain bool) {
	index := skipSpace(object, 0)
	if object[index] != '{' {
		return nil, true
	}
	for index = skipSpace(object, index+1); object[index] != '}'; index = skipSpace(object, index) {
		keyStart := index
		index = endOfString(object, index) + 1
		name := object[keyStart:index]
		valueStart := skipSpace(object, skipSpace(object, index)+1)
		index = endOfValue(object, valueStart)
		switch {
		case string(name) == key:
			found = object[valueStart:index]
		case bytes.IndexByte(name, '\\') >= 0, bytes.EqualFold(name, []byte(key)):
			return nil, false
		}
		if index = skipSpace(object, index); object[index] == ',' {
			index++
		}
	}
	return found, true
}

func skipSpace(text []byte, index int) int {
	for index < len(text) && isSpace(text[index]) {
		index++
	}
	return index
}

// endOfValue returns the index after the value that starts at an index of
// valid JSON, inside of an object.
func endOfValue(text []byte, start int) int {
	depth := 0
	for index := start; ; index++ {
		switch text[index] {
		case '"':
			index = endOfString(text, index)
		case '[', '{':
			depth++
		case ']', '}':
			if depth == 0 {
				return index
			}
			depth--
		case ',':
			if depth == 0 {
				return index
			}
		}
	}
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
