package standin

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/connection/engine"
)

// A reader whose connection was cut comes back in a moment. An order to cancel
// the generation if nobody reads it, which arrives in between, must leave it.
func TestReaderThatComesBackKeepsItsGeneration(t *testing.T) {
	e := &Engine{}
	s := httptest.NewServer(e.Handler())
	defer s.Close()
	g, refused := e.submit(engine.Request{Gen: "g", Prompt: "x", Max: 50})
	require.Empty(t, refused)
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
