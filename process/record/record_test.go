package record

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// gate is an output that is stuck until it is opened.
type gate struct {
	open chan struct{}
	mu   sync.Mutex
	buf  bytes.Buffer
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buf.Write(p)
}

func (g *gate) text() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buf.String()
}

// A stuck output must hold nobody up, and what was lost is told afterwards.
func TestStuckOutput(t *testing.T) {
	out := &gate{open: make(chan struct{})}
	now := time.Unix(1000, 0).UTC()
	w := &Writer{Out: out, Now: func() time.Time { return now }}
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		w.Run(done)
	}()
	const extra = 100
	for i := range queueLines + 1 + extra {
		_, err := fmt.Fprintf(w, "{\"n\":%d}\n", i)
		require.NoError(t, err)
		now = now.Add(time.Millisecond)
	}
	close(out.open)
	close(done)
	<-ended
	text := out.text()
	require.Contains(t, text, `"event":"log_dropped"`)
	require.Contains(t, text, `"first":"1970-01-01T00:16:44`)
	require.GreaterOrEqual(t, strings.Count(text, "\n"), queueLines)
}

// Under load a request has all of its lines or none, and few requests have any.
func TestSuccessesAreSampledByRequest(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &Sampler{Now: func() time.Time { return now }}
	require.True(t, s.Success("any"))
	for range 10 * Usual {
		s.Arrived()
	}
	now = now.Add(rateWindow)
	s.Arrived()
	logged := 0
	for i := range 10 * Usual {
		id := fmt.Sprint("request", i)
		first := s.Success(id)
		require.Equal(t, first, s.Success(id))
		if first {
			logged++
		}
	}
	require.Greater(t, logged, 0)
	require.Less(t, logged, 3*Usual)
	now = now.Add(rateWindow)
	s.Arrived()
	now = now.Add(rateWindow)
	s.Arrived()
	require.True(t, s.Success("any"), "all are logged again when the load has gone")
}

// A flood of failures is cut at a rate.
func TestFloodIsLimited(t *testing.T) {
	s := &Sampler{}
	passed := 0
	for range 10 * burst {
		if s.Other() {
			passed++
		}
	}
	require.GreaterOrEqual(t, passed, burst)
	require.Less(t, passed, 2*burst)
}
