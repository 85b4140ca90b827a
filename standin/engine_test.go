package standin

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/connection/engine"
)

// newTestEngine serves an engine that has the generation "g".
func newTestEngine(t *testing.T) (*Engine, *httptest.Server, *generation) {
	e := &Engine{}
	s := httptest.NewServer(e.Handler())
	t.Cleanup(s.Close)
	g, refused := e.submit(engine.Request{Gen: "g", Prompt: "x", Max: 50})
	require.Empty(t, refused)
	return e, s, g
}

// A reader whose connection was cut reconnects after a short time. A request to
// cancel the generation if it is idle, which arrives in between, must not
// delete it.
func TestReaderThatComesBackKeepsItsGeneration(t *testing.T) {
	e, s, g := newTestEngine(t)
	g.attach(1)
	g.attach(-1)
	r, err := http.NewRequestWithContext(t.Context(), http.MethodDelete, s.URL+"/generate/g?idle=true", nil)
	require.NoError(t, err)
	res, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	require.NoError(t, res.Body.Close())
	e.mu.Lock()
	defer e.mu.Unlock()
	require.Contains(t, e.gens, "g")
}

// A connection is cut after the configured number of frames, even if more are
// ready at once. If it were cut before all frames that are ready at once, a
// reader that reconnects after the end of the generation would never receive
// the rest, however often it tries.
func TestCutComesAfterFrames(t *testing.T) {
	e, s, g := newTestEngine(t)
	g.grow(10)
	g.end("")
	e.Break(EngineFaults{Cut: 3})
	res, err := http.Get(s.URL + "/generate/g?after=0")
	require.NoError(t, err)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.Equal(t, 3, strings.Count(string(body), "data: "))
}
