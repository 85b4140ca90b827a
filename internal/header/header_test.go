package header

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestEndToEnd guards against forwarding hop-by-hop headers, including those that
// only the Connection header names.
func TestEndToEnd(t *testing.T) {
	from := http.Header{
		"Connection": {"close, X-Hop", "X-Other"}, "X-Hop": {"1"}, "X-Other": {"1"}, "Keep-Alive": {"timeout=5"},
		"X-Kept": {"a", "b"}, "X-Own": {"1"},
	}
	require.Equal(t, http.Header{"X-Kept": {"a", "b"}}, EndToEnd(from, "X-Own"))
	require.Len(t, from, 6, "the original is not changed")
}

// TestCheckJoined guards against a part of an answer that is read as one head with the next
// answer, wherever it breaks off, and against whole answers that are rejected.
func TestCheckJoined(t *testing.T) {
	read := func(text string) error {
		if _, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil); err != nil {
			return err
		}
		return CheckJoined([]byte(text))
	}
	heads := []string{
		"HTTP/1.1 200 OK\r\nDate: Mon, 07 Dec 2026 22:27:07 GMT\r\nServer: desk\r\nContent-Length: 12\r\nKeep-Alive: timeout=5\r\n",
		"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: true\r\nConnection: close\r\nContent-Length: 0\r\n",
		"HTTP/1.1 500 Error: out of paper\r\nVia: HTTP/1.1 proxy\r\nX-Folded: a\r\n b\r\nContent-Length: 0\r\n",
		"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTrailer: X-Sum\r\nTransfer-Encoding: chunked\r\n",
		"HTTP/1.0 200 OK\r\nServer: desk\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: </x>; rel=preload\r\n",
	}
	for _, first := range heads {
		require.NoError(t, read(first+"\r\n"), first)
		for _, second := range heads {
			for n := 1; n <= len(first); n++ {
				require.Error(t, read(first[:n]+second+"\r\n"), "%q and %q", first[:n], second)
			}
		}
	}
}
