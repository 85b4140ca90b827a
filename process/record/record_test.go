package record

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// gate is an output that is stuck until it is opened.
type gate struct {
	stuck chan struct{} // gets one when a write waits
	open  chan struct{}
	mu    sync.Mutex
	buf   bytes.Buffer
}

func (g *gate) Write(p []byte) (int, error) {
	select {
	case g.stuck <- struct{}{}:
	default:
	}
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
	out := &gate{open: make(chan struct{}), stuck: make(chan struct{}, 1)}
	now := time.Unix(1000, 0).UTC()
	w := &Writer{Out: out, Now: func() time.Time { return now }}
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		w.Run(done)
	}()
	_, err := fmt.Fprintln(w, `{"n":0}`)
	require.NoError(t, err)
	<-out.stuck
	const extra = 100
	for i := range queueLines + extra {
		now = now.Add(time.Millisecond)
		_, err := fmt.Fprintf(w, "{\"n\":%d}\n", i+1)
		require.NoError(t, err)
	}
	close(out.open)
	close(done)
	<-ended
	text := out.text()
	require.Contains(t, text, `"event":"log_dropped"`)
	require.Contains(t, text, fmt.Sprintf(`"lines":%d,"first":"1970-01-01T00:16:44`, extra))
	require.Equal(t, 1+queueLines+1, strings.Count(text, "\n"))
}

// slow is an output that takes its time for each write.
type slow struct {
	pause time.Duration
	lines int
}

func (s *slow) Write(p []byte) (int, error) {
	time.Sleep(s.pause)
	s.lines += bytes.Count(p, []byte("\n"))
	return len(p), nil
}

// An output that is slow but takes what it is given holds nobody up and loses
// nothing at the usual load: lines wait for each other, not those who log.
func TestSlowOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &slow{pause: 300 * time.Millisecond}
		w := &Writer{Out: out}
		done, written := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(written)
			w.Run(done)
		}()
		const lines, pause = 10 * Most, time.Second / Most
		var longest time.Duration
		for range lines {
			begun := time.Now()
			_, err := w.Write([]byte("line\n"))
			require.NoError(t, err)
			longest = max(longest, time.Since(begun))
			time.Sleep(pause)
		}
		close(done)
		<-written
		require.Zero(t, longest)
		require.Equal(t, lines, out.lines)
		require.Zero(t, w.lost)
	})
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
