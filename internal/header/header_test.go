package header

import (
	"net/http"
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
