package client

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

// TestTruncatedEvents guards against a completion that looks whole, or fails for good,
// because its entry stopped inside an event.
func TestTruncatedEvents(t *testing.T) {
	const done = "data: [DONE]\n\n"
	whole := "event: open\nid: s.0\ndata: {}\n\n" + tokenEvent("s", 1) + tokenEvent("s", 2) + done
	for n := range len(whole) + 1 {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, whole[:n])
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}))
		r := &completionState{
			c: &Client{}, prompt: Prompt{Service: "s", Deadline: time.Now().Add(time.Minute)},
			yield: func(Token, error) bool { return true },
		}
		err := r.connect(t.Context(), Entry{Addr: server.Listener.Addr().String()})
		server.Close()
		if n == len(whole) {
			require.NoError(t, err)
			require.True(t, r.done)
			continue
		}
		require.False(t, r.done, "%d of %d bytes", n, len(whole))
		require.Error(t, err, "%d of %d bytes", n, len(whole))
		require.True(t, r.repeatable(err), "%d of %d bytes: %v", n, len(whole), err)
	}
}

// TestLongAnswer guards against the first part of an answer that is returned as the
// whole one.
func TestLongAnswer(t *testing.T) {
	for size, long := range map[int]bool{maxAnswerBytes: false, maxAnswerBytes + 1: true} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, size)) }))
		a := &callState{c: &Client{}, call: Call{Service: "s", Method: http.MethodPost, Path: "/x", Deadline: time.Now().Add(time.Minute)}}
		got, err := a.send(t.Context(), Entry{Addr: server.Listener.Addr().String()})
		server.Close()
		if !long {
			require.NoError(t, err)
			require.Len(t, got.Body, size)
			continue
		}
		require.Error(t, err)
		require.Equal(t, refusal.Garbage, refusal.From(err).Reason)
		require.Equal(t, refusal.Run, refusal.From(err).Outcome)
	}
}

// TestInvalidStatus guards against an answer with a status such as 000 that is returned, or
// that counts as not run.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600"} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				panic(err)
			}
			defer conn.Close()
			refused := refusal.New(refusal.Overload, refusal.NotRun, "").Problem()
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s Status\r\n%s: overload\r\nContent-Length: %d\r\n\r\n%s", status, refusal.Header, len(refused), refused)
		}))
		entry := Entry{Addr: server.Listener.Addr().String()}
		a := &callState{c: &Client{}, call: Call{Service: "s", Method: http.MethodPost, Path: "/x", Deadline: time.Now().Add(time.Minute)}}
		_, err := a.send(t.Context(), entry)
		require.Equal(t, refusal.Unknown, refusal.From(err).Outcome, status)
		r := &completionState{c: &Client{}, prompt: Prompt{Service: "s", Deadline: time.Now().Add(time.Minute)}}
		err = r.connect(t.Context(), entry)
		require.Equal(t, refusal.Unknown, refusal.From(err).Outcome, status)
		server.Close()
	}
}
