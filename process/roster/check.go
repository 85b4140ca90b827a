package roster

import (
	"fmt"
	"net/netip"
	"strings"
	"unicode"
	"unicode/utf8"
)

const (
	maxText       = 200             // bytes of an ID, service or place; the platform's bound on a key
	maxSlots      = 1 << 16         // requests that one endpoint processes at once
	maxBorn       = 253402300799999 // Unix milliseconds, the end of the year 9999
	maxValueRunes = 40              // of an invalid value that an error repeats
)

// FieldError reports a field of an endpoint with a value that is not allowed.
type FieldError struct {
	Field string
	Value string // shortened and quoted unless it is a number
	Want  string // what is allowed
}

func (e *FieldError) Error() string { return e.Field + " is " + e.Value + ", want " + e.Want }

// Shorten returns a text of any content in quotes, cut to a length that fits into a log
// line.
func Shorten(text string) string {
	runes := 0
	for at := range text {
		if runes++; runes > maxValueRunes {
			return fmt.Sprintf("%+q... (%d bytes)", text[:at], len(text))
		}
	}
	return fmt.Sprintf("%+q", text)
}

// Check returns a *FieldError for the first field whose value no endpoint has. An ID is
// sent in headers, a Place and a Service are keys of maps, Slots and Born are used in
// arithmetic, and Addr is connected to.
func (e Endpoint) Check() error {
	if !isText(e.ID) || strings.ContainsFunc(e.ID, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return &FieldError{"id", Shorten(e.ID), fmt.Sprintf("1 to %d visible ASCII characters", maxText)}
	}
	for _, f := range [][2]string{{"service", e.Service}, {"place", e.Place}} {
		if !isText(f[1]) {
			return &FieldError{f[0], Shorten(f[1]), fmt.Sprintf("1 to %d bytes of printable text", maxText)}
		}
	}
	addr, err := netip.ParseAddrPort(e.Addr)
	if err != nil || addr.Port() == 0 || addr.Addr().Zone() != "" || addr.Addr().IsUnspecified() || addr.Addr().IsMulticast() {
		return &FieldError{"address", Shorten(e.Addr), "the IP address of one host and a port from 1 to 65535"}
	}
	if e.Slots < 1 || e.Slots > maxSlots {
		return &FieldError{"slots", fmt.Sprint(e.Slots), fmt.Sprintf("a whole number from 1 to %d", maxSlots)}
	}
	if e.Born < 0 || e.Born > maxBorn {
		return &FieldError{"born", fmt.Sprint(e.Born), fmt.Sprintf("a whole number from 0 to %d", int64(maxBorn))}
	}
	return nil
}

func isText(s string) bool {
	return s != "" && len(s) <= maxText && utf8.ValidString(s) && !strings.ContainsFunc(s, func(r rune) bool { return !unicode.IsPrint(r) })
}
