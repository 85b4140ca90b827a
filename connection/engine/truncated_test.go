package engine_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/connection/engine"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

// TestTruncatedStream guards against a stream that looks whole, or against a part of a
// frame, at whatever byte the engine stopped before it closed the connection.
func TestTruncatedStream(t *testing.T) {
	const end = `data: {"boot":"b","gen":"g","n":3,"end":true}`
	whole := frames(3, end+"\n\n")
	for n := range len(whole) + 1 {
		conn := &engine.Conn{Addr: "engine", HTTP: &http.Client{Transport: transport(whole[:n])}}
		r, err := conn.Resume(t.Context(), "g", "", 0)
		require.NoError(t, err)
		ended := false
		for !ended && err == nil {
			frame, e := r.Next()
			err, ended = e, frame.End
			require.True(t, err != nil || ended || frame.Text == "t")
		}
		require.NoError(t, r.Close())
		if n > len(whole)-2 {
			require.True(t, ended, "%d of %d bytes", n, len(whole))
			continue
		}
		require.Equal(t, refusal.Broken, refusal.From(err).Reason, "%d of %d bytes", n, len(whole))
	}
}
