// Package header selects the HTTP headers that a proxy forwards. Headers are
// either hop-by-hop, meant for a single connection, or end-to-end.
package header

import (
	"net/http"
	"strings"
)

// HopByHop lists the hop-by-hop headers (RFC 9110, section 7.6.1). A message
// can name more of them in its Connection header.
var HopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade",
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
