package gateway

import (
	"net/http"
	"strings"
)

// connectionTokens returns the header names listed in the values of a Connection header.
func connectionTokens(values []string) []string {
	var names []string
	for _, value := range values {
		for name := range strings.SplitSeq(value, ",") {
			if name = strings.TrimSpace(name); name != "" {
				names = append(names, http.CanonicalHeaderKey(name))
			}
		}
	}
	return names
}

// pathOf returns the path of a request target as the client sent it.
func pathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}
