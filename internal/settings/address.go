package settings

import (
	"net/netip"

	"github.com/cockroachdb/errors"

	"github.com/martenstage/martenstage/internal/nearest"
)

// ParseAddress reads an IPv4 address with a port, such as 127.0.0.1:8080.
// It rejects host names, because processes address each other by IP, and IPv6
// addresses, which the fleets do not route.
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

// suggestion returns a hint that names the known key closest to an unknown one,
// or "" if none is close.
func suggestion(key string, known []string) string {
	name, found := nearest.Name(key, known)
	if !found {
		return ""
	}
	return "; did you mean " + name + "?"
}

// WithPort returns the addresses with their ports replaced. A port of 0 leaves
// them unchanged, as does an address that can't be parsed.
func WithPort(addresses []string, port uint16) []string {
	if port == 0 {
		return addresses
	}
	replaced := make([]string, 0, len(addresses))
	for _, text := range addresses {
		address, err := ParseAddress(text)
		if err != nil {
			replaced = append(replaced, text)
			continue
		}
		replaced = append(replaced, netip.AddrPortFrom(address.Addr(), port).String())
	}
	return replaced
}
