// Package header passes HTTP headers on without those of one connection.
package header

import (
	"net/http"
	"strings"
)

// Connection lists the headers that concern one connection only (RFC 9110,
// section 7.6.1), beside those that the header Connection names.
var Connection = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade",
}

// Pass copies the headers that are passed on: all but those of the connection
// and those in without.
func Pass(from http.Header, without ...string) http.Header {
	to := from.Clone()
	for _, field := range from.Values("Connection") {
		for name := range strings.SplitSeq(field, ",") {
			to.Del(strings.TrimSpace(name))
		}
	}
	for _, names := range [][]string{Connection, without} {
		for _, name := range names {
			to.Del(name)
		}
	}
	return to
}
