package engine_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/connection/engine"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

// transport is an http.RoundTripper that answers every request with fixed bytes.
type transport []byte

func (b transport) RoundTrip(*http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	_, err := w.Write(b)
	return w.Result(), err
}

// frames returns a stream of n frames of generation g, followed by end.
func frames(n int, end string) (b []byte) {
	for i := 1; i <= n; i++ {
		b = fmt.Appendf(b, "data: {\"boot\":\"b\",\"gen\":\"g\",\"n\":%d,\"text\":\"t\"}\n\n", i)
	}
	return append(b, end...)
}

// FuzzReader guards against tokens out of order, frames of another generation and
// panics for any bytes that an engine sends.
func FuzzReader(f *testing.F) {
	f.Add(frames(3, `data: {"boot":"b","gen":"g","n":3,"end":true}`+"\n\n"))
	f.Add(frames(2, "data: {\n\n"))
	f.Add(frames(1, string(make([]byte, 70<<10))))
	f.Add(append(frames(2, ""), frames(3, ": comment\n\ndata:\n\n")...))
	f.Add([]byte(`data: {"gen":"other","n":1}` + "\n\n"))
	f.Add([]byte(`data: {"gen":"g","n":-1}` + "\n" + `data: {"gen":"g","n":2}` + "\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		conn := &engine.Conn{Addr: "engine", HTTP: &http.Client{Transport: transport(data)}}
		r, err := conn.Resume(context.Background(), "g", "", 0)
		require.NoError(t, err)
		defer func() { _ = r.Close() }()
		for last := 0; ; last++ {
			frame, err := r.Next()
			if err != nil {
				require.Contains(t, []refusal.Reason{refusal.Broken, refusal.Garbage}, refusal.From(err).Reason)
				require.Equal(t, refusal.Unknown, refusal.From(err).Outcome)
				return
			}
			require.Equal(t, "g", frame.Gen)
			if frame.End {
				return
			}
			require.Equal(t, last+1, frame.N)
			require.Equal(t, frame.N, r.Last())
		}
	})
}

// TestOpen guards against a wrong reason or outcome if an engine rejects a request,
// has lost the generation, answers with an error, does not answer, closes the
// connection or cannot be reached.
func TestOpen(t *testing.T) {
	hold := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/generate/rejected":
			w.Header().Set(engine.NotRunHeader, "true")
			w.WriteHeader(http.StatusServiceUnavailable)
		case "/generate/lost":
			w.WriteHeader(http.StatusGone)
		case "/generate/failed":
			w.WriteHeader(http.StatusInternalServerError)
		case "/generate/silent":
			<-hold
		case "/generate/cut":
			panic(http.ErrAbortHandler)
		}
	}))
	defer server.Close()
	defer close(hold)
	for gen, want := range map[string]refusal.Error{
		"rejected": {Reason: refusal.Rejected, Outcome: refusal.NotRun},
		"lost":     {Reason: refusal.GenerationLost}, "failed": {Reason: refusal.Garbage},
		"silent": {Reason: refusal.Timeout}, "cut": {Reason: refusal.Broken},
		"nobody": {Reason: refusal.Dial, Outcome: refusal.NotRun},
	} {
		conn := &engine.Conn{Addr: server.Listener.Addr().String(), HTTP: server.Client(), AnswerTimeout: 50 * time.Millisecond}
		if gen == "nobody" {
			conn.Addr = "127.0.0.1:1"
		}
		_, err := conn.Resume(context.Background(), gen, "", 0)
		require.Equal(t, want.Reason, refusal.From(err).Reason, gen)
		require.Equal(t, want.Outcome, refusal.From(err).Outcome, gen)
	}
}

// Guards against a token that the caller gets only with the next one, because
// something that is no further token came with it.
func TestBuffered(t *testing.T) {
	const next = `data: {"boot":"b","gen":"g","n":2,"text":"t"}` + "\n\n"
	for name, tt := range map[string]struct {
		rest string
		want bool
	}{
		"nothing": {"", false}, "token": {next, true}, "end": {`data: {"boot":"b","gen":"g","n":1,"end":true}` + "\n\n", true},
		"part": {next[:20], false}, "token again": {string(frames(1, "")), false}, "comment": {": busy\n\n", false},
		"token again and token": {string(frames(1, next)), true}, "comment and token": {": busy\n\n" + next, true},
		"malformed": {"data: {\n\n", false}, "other field": {"event: x\n\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			conn := &engine.Conn{Addr: "engine", HTTP: &http.Client{Transport: transport(frames(1, tt.rest))}}
			r, err := conn.Resume(context.Background(), "g", "", 0)
			require.NoError(t, err)
			defer func() { _ = r.Close() }()
			_, err = r.Next()
			require.NoError(t, err)
			require.Equal(t, tt.want, r.Buffered())
			f, err := r.Next()
			if tt.want {
				require.NoError(t, err)
				require.True(t, f.N == 2 || f.End)
				return
			}
			require.Error(t, err)
		})
	}
}
