package logging

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

// gate is an output that blocks until open is closed.
type gate struct {
	stuck chan struct{} // receives a value when a write blocks
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

// A blocked output must not block logging, and dropped lines must be reported
// afterwards.
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

// Guards against long lines, as with a request ID of 12 KB, that take the memory of the process
// while the output does not keep up.
func TestQueueIsBoundedInBytes(t *testing.T) {
	out := &gate{open: make(chan struct{}), stuck: make(chan struct{}, 1)}
	w := &Writer{Out: out}
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		w.Run(done)
	}()
	line := append(bytes.Repeat([]byte("x"), 12<<10), '\n')
	_, err := w.Write(line)
	require.NoError(t, err)
	<-out.stuck
	for range queueLines {
		_, err := w.Write(line)
		require.NoError(t, err)
	}
	require.Equal(t, queueBytes/len(line), len(w.lines))
	close(out.open)
	close(done)
	<-ended
	require.Contains(t, out.text(), fmt.Sprintf(`"lines":%d,`, queueLines-queueBytes/len(line)))
	require.Zero(t, w.queued.Load())
}

// slow is an output that pauses in each write.
type slow struct {
	pause time.Duration
	lines int
}

func (s *slow) Write(p []byte) (int, error) {
	time.Sleep(s.pause)
	s.lines += bytes.Count(p, []byte("\n"))
	return len(p), nil
}

// A slow output must neither block logging nor cause dropped lines at the
// largest allowed rate of lines: lines wait in the queue.
func TestSlowOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &slow{pause: 300 * time.Millisecond}
		w := &Writer{Out: out}
		done, written := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(written)
			w.Run(done)
		}()
		const lines, pause = 10 * MaxOtherRate, time.Second / MaxOtherRate
		var longest time.Duration
		for range lines {
			start := time.Now()
			_, err := w.Write([]byte("line\n"))
			require.NoError(t, err)
			longest = max(longest, time.Since(start))
			time.Sleep(pause)
		}
		close(done)
		<-written
		require.Zero(t, longest)
		require.Equal(t, lines, out.lines)
		require.Zero(t, w.dropped)
	})
}

// Under load, either all lines of a request or none must be logged, and only few
// requests must be.
func TestSuccessesAreSampledByRequest(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &Sampler{Now: func() time.Time { return now }}
	require.True(t, s.Success("any"))
	for range 10 * UnsampledRate {
		s.Arrived()
	}
	now = now.Add(rateWindow)
	s.Arrived()
	logged := 0
	for i := range 10 * UnsampledRate {
		id := fmt.Sprint("request", i)
		first := s.Success(id)
		require.Equal(t, first, s.Success(id))
		if first {
			logged++
		}
	}
	require.Greater(t, logged, 0)
	require.Less(t, logged, 3*UnsampledRate)
	now = now.Add(rateWindow)
	s.Arrived()
	now = now.Add(rateWindow)
	s.Arrived()
	require.True(t, s.Success("any"), "all requests are logged again after the load has ended")
}

// A flood of failures must be limited to a rate.
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
