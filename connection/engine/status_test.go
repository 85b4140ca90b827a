package engine_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/connection/engine"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

// Guards against an answer whose status is none, such as 000, that proves that a generation has
// not run, or acknowledges a control call.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "042", "099", "101", "600", "999"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				_, _ = conn.Read(make([]byte, 4096)) // the whole request is shorter
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s Status\r\nX-Not-Run: true\r\nContent-Length: 2\r\n\r\n{}", status)
				_ = conn.Close()
			}
		}()
		c := &engine.Conn{Addr: l.Addr().String(), HTTP: http.DefaultClient}
		_, err = c.Generate(t.Context(), engine.Request{Gen: "g", Prompt: "p", Max: 1})
		require.Equal(t, refusal.Unknown, refusal.From(err).Outcome, status)
		_, err = c.Resume(t.Context(), "g", "b", 1)
		require.Equal(t, refusal.Unknown, refusal.From(err).Outcome, status)
		require.Error(t, c.Cancel(t.Context(), "g"), status)
		require.Error(t, c.CancelIdle(t.Context(), "g"), status)
		_, err = c.Load(t.Context())
		require.Error(t, err, status)
		require.Error(t, c.Order(t.Context(), engine.Order{}), status)
	}
}
