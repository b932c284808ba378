package policy

import (
	"math"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/participle/v2/lexer"

	"github.com/martenstage/martenstage/internal/plan"
)

// Bounds of the values of the language.
const (
	maxNameLength    = 63
	maxSlots         = 10_000
	maxConnections   = 1_000_000
	maxCellRouters   = 100_000
	maxBurst         = 1_000_000
	maxGeneration    = math.MaxUint32
	maxTop           = 1_000_000
	maxHedges        = 3
	maxRetries       = 5
	maxBudgetPercent = 100

	shortestDuration = time.Millisecond
	longestDeadline  = 10 * time.Minute
	longestColdStart = time.Hour
	shortestClaim    = time.Second
	longestClaim     = 30 * 24 * time.Hour
)

// integerBounds limits an integer and names it in messages.
type integerBounds struct {
	what        string
	least, most uint64
}

// integer reads a whole number. It reports an error and returns false when the
// token is none or lies out of bounds.
func (r *reporter) integer(token lexer.Token, bounds integerBounds) (uint64, bool) {
	value, err := strconv.ParseUint(token.Value, 10, 64)
	if err != nil {
		r.add(token.Pos, "%s: %s is not a whole number", bounds.what, quote(token.Value))
		return 0, false
	}
	if value < bounds.least || value > bounds.most {
		r.add(token.Pos, "%s: %s is not between %d and %d", bounds.what, token.Value, bounds.least, bounds.most)
		return 0, false
	}
	return value, true
}

// durationBounds limits a duration and names it in messages.
type durationBounds struct {
	what        string
	least, most time.Duration
}

// duration reads a number with a unit, such as 90ms, 1.5s or 24h.
func (r *reporter) duration(token lexer.Token, bounds durationBounds) (time.Duration, bool) {
	number, unit := splitUnit(token.Value)
	if unit == "" {
		r.add(token.Pos, "%s: %s has no unit; write %sms, %ss, %sm or %sh",
			bounds.what, quote(token.Value), number, number, number, number)
		return 0, false
	}
	if unit != "ms" && unit != "s" && unit != "m" && unit != "h" {
		r.add(token.Pos, "%s: %s has the unknown unit %s; the units are ms, s, m and h",
			bounds.what, quote(token.Value), quote(unit))
		return 0, false
	}
	value, err := time.ParseDuration(token.Value)
	if err != nil {
		r.add(token.Pos, "%s: %s is not a duration", bounds.what, quote(token.Value))
		return 0, false
	}
	if value < bounds.least || value > bounds.most {
		r.add(token.Pos, "%s: %s is not between %s and %s",
			bounds.what, token.Value, plan.DurationText(bounds.least), plan.DurationText(bounds.most))
		return 0, false
	}
	return value, true
}

// splitUnit divides a word after its last digit.
func splitUnit(word string) (number, unit string) {
	number = strings.TrimRightFunc(word, func(character rune) bool {
		return character != '.' && (character < '0' || character > '9')
	})
	return number, word[len(number):]
}

// percent reads a share such as 99.5% as a ratio in (0, most/100], or from 0
// when zero is allowed.
func (r *reporter) percent(token lexer.Token, what string, allowZero bool) (float64, bool) {
	digits, found := strings.CutSuffix(token.Value, "%")
	if !found {
		r.add(token.Pos, "%s: %s is not a percentage; write %s%%", what, quote(token.Value), digitsOf(token.Value))
		return 0, false
	}
	value, ok := hundredths(digits)
	if !ok {
		r.add(token.Pos, "%s: %s is not a percentage", what, quote(token.Value))
		return 0, false
	}
	if value > 1 || value == 0 && !allowZero {
		r.add(token.Pos, "%s: %s is not %s 100%%", what, token.Value, lowerBoundText(allowZero))
		return 0, false
	}
	return value, true
}

func lowerBoundText(allowZero bool) string {
	if allowZero {
		return "between 0% and"
	}
	return "above 0% and at most"
}

func digitsOf(word string) string {
	number, _ := splitUnit(word)
	return number
}

// hundredths reads a decimal number divided by 100. Shifting the exponent in
// the text keeps the result the nearest float, which dividing would not.
func hundredths(digits string) (float64, bool) {
	if strings.Trim(digits, "0123456789.") != "" || digits == "" {
		return 0, false
	}
	value, err := strconv.ParseFloat(digits+"e-2", 64)
	return value, err == nil
}

// quantile reads p95 or p99.9 as a ratio in (0,1).
func (r *reporter) quantile(token lexer.Token) (float64, bool) {
	digits, found := strings.CutPrefix(token.Value, "p")
	value, ok := hundredths(digits)
	if !found || !ok || value <= 0 || value >= 1 {
		r.add(token.Pos, "hedge: %s is not a quantile such as p95 or p99.9", quote(token.Value))
		return 0, false
	}
	return value, true
}

// name checks the form of a name.
func (r *reporter) name(token lexer.Token, what string) bool {
	if strings.ContainsAny(token.Value, ".%+") {
		r.add(token.Pos, "%s name %s may only hold letters, digits, - and _", what, quote(token.Value))
		return false
	}
	if len(token.Value) > maxNameLength {
		r.add(token.Pos, "%s name %s has %d characters; the limit is %d",
			what, quote(token.Value), len(token.Value), maxNameLength)
		return false
	}
	return true
}

// address reads an IPv4 address with a port.
func (r *reporter) address(token lexer.Token) (netip.AddrPort, bool) {
	address, err := netip.ParseAddrPort(token.Value)
	if err != nil {
		r.add(token.Pos, "%s", addressFault(token.Value))
		return netip.AddrPort{}, false
	}
	switch {
	case !address.Addr().Is4():
		r.add(token.Pos, "%s is an IPv6 address; only IPv4 addresses are accepted", quote(token.Value))
	case address.Port() == 0:
		r.add(token.Pos, "%s has port 0; a back end needs a port from 1 to 65535", quote(token.Value))
	case address.Addr().IsUnspecified() || address.Addr().IsMulticast():
		r.add(token.Pos, "%s is not the address of one machine", quote(token.Value))
	default:
		return address, true
	}
	return netip.AddrPort{}, false
}

// addressFault says why a word is not an address with a port.
func addressFault(word string) string {
	if address, err := netip.ParseAddr(strings.Trim(word, "[]")); err == nil {
		if address.Is6() {
			return quote(word) + " is an IPv6 address; only IPv4 addresses are accepted"
		}
		return quote(word) + " has no port; write " + word + ":7000 with the port of the back end"
	}
	if strings.Contains(word, "[") || strings.Count(word, ":") > 1 {
		return quote(word) + " looks like an IPv6 address; only IPv4 addresses are accepted"
	}
	if strings.ContainsFunc(word, func(character rune) bool { return isLetter(byte(character)) }) {
		return quote(word) + " is a host name; back ends are named by IPv4 address and port"
	}
	return quote(word) + " is not an IPv4 address with a port"
}
