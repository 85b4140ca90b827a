package standin

import (
	"sync"
	"time"
)

// idleAfter is how long a generation without a reader does not count as idle: a
// reader whose connection was cut comes back meanwhile.
const idleAfter = 3 * time.Second

// generation is the output of one request so far. Readers may come and go.
type generation struct {
	prompt string

	mu      sync.Mutex
	n       int
	ended   bool
	reason  string
	readers int
	left    time.Time // when the latest reader left
	wake    chan struct{}
}

func newGeneration(prompt string) *generation {
	return &generation{prompt: prompt, wake: make(chan struct{})}
}

// grow adds n tokens and wakes the readers.
func (g *generation) grow(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.n += n
	g.signal()
}

// end marks the output as complete, or as cut short for a reason. It is false
// if the output had ended before.
func (g *generation) end(reason string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ended {
		return false
	}
	g.ended, g.reason = true, reason
	g.signal()
	return true
}

func (g *generation) signal() {
	close(g.wake)
	g.wake = make(chan struct{})
}

// look gives the number of tokens, whether they are all, and a channel that is
// closed at the next change.
func (g *generation) look() (n int, ended bool, reason string, wake <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.n, g.ended, g.reason, g.wake
}

func (g *generation) attach(delta int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.readers += delta; delta < 0 {
		g.left = time.Now()
	}
}

func (g *generation) idle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.readers == 0 && time.Since(g.left) >= idleAfter
}
