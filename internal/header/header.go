// Package header selects the HTTP headers that a proxy forwards, and finds those that two
// answers on a connection have been joined to. Headers are either hop-by-hop, meant for a
// single connection, or end-to-end.
package header

import (
	"bytes"
	"fmt"
	"net/http"
	"regexp"
	"strings"

	"github.com/cockroachdb/errors"
)

var (
	// HopByHop lists the hop-by-hop headers (RFC 9110, section 7.6.1). A message
	// can name more of them in its Connection header.
	HopByHop = []string{
		"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te",
		"Trailer", "Transfer-Encoding", "Upgrade",
	}

	// ErrJoined is wrapped by the error for a head that holds a second status line.
	ErrJoined = errors.New("parts of two answers in one head")

	statusLine = regexp.MustCompile(`HTTP/[0-9]\.[0-9] [0-9]{3}`) // RFC 9112, section 4
)

// CheckJoined returns an error that wraps ErrJoined if the head of an answer, as it was
// received, holds a second status line. A server that sends a part of another answer first, and
// breaks it off within a line, has its answer read like that: with the status and headers of
// the other one. What breaks off elsewhere is no head that can be parsed.
func CheckJoined(head []byte) error {
	if bytes.Count(head, []byte("HTTP/")) < 2 {
		return nil
	}
	if lines := statusLine.FindAllIndex(head, 2); len(lines) > 1 {
		return fmt.Errorf("%w: %.100q", ErrJoined, head[lines[0][0]:lines[1][1]])
	}
	return nil
}

// EndToEnd returns a copy of the end-to-end headers in from, except for those
// named in without.
func EndToEnd(from http.Header, without ...string) http.Header {
	to := from.Clone()
	for _, field := range from.Values("Connection") {
		for name := range strings.SplitSeq(field, ",") {
			to.Del(strings.TrimSpace(name))
		}
	}
	for _, names := range [][]string{HopByHop, without} {
		for _, name := range names {
			to.Del(name)
		}
	}
	return to
}
