package settings

import (
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
)

// ParseAddress reads an IPv4 address with a port, such as 127.0.0.1:8080.
// Host names are refused, because processes find each other by IP number, and
// so are IPv6 addresses, which the fleets do not route.
func ParseAddress(text string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}, errors.Newf("%q is not an IP address with a port (host names are not accepted)", text)
	}
	if !address.Addr().Is4() {
		return netip.AddrPort{}, errors.Newf("%q is not an IPv4 address", text)
	}
	return address, nil
}

// suggestion returns a hint at the known key nearest to a mistyped one, or "".
func suggestion(key string, known []string) string {
	const farthest = 3
	nearest := lo.MinBy(known, func(left, right string) bool {
		return editDistance(key, left) < editDistance(key, right)
	})
	if nearest == "" || editDistance(key, nearest) > farthest {
		return ""
	}
	return "; did you mean " + nearest + "?"
}

// editDistance is the Levenshtein distance between two words.
func editDistance(left, right string) int {
	row := make([]int, len(right)+1)
	for index := range row {
		row[index] = index
	}
	for i := 1; i <= len(left); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(right); j++ {
			cost := 1
			if left[i-1] == right[j-1] {
				cost = 0
			}
			next := min(row[j]+1, row[j-1]+1, diagonal+cost)
			diagonal, row[j] = row[j], next
		}
	}
	return row[len(right)]
}
