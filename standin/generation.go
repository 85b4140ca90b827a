package standin

import (
	"sync"
	"time"
)

// idleAfter is how long a generation must have been without a reader to count
// as idle. A reader whose connection was cut reconnects within this time.
const idleAfter = 3 * time.Second

// generation is the output of one request so far. Any number of readers may
// attach and detach.
type generation struct {
	prompt string

	mu       sync.Mutex
	tokens   int
	ended    bool
	reason   string
	readers  int
	lastLeft time.Time     // when a reader left most recently
	wake     chan struct{} // closed at the next change
}

func newGeneration(prompt string) *generation {
	return &generation{prompt: prompt, wake: make(chan struct{})}
}

// grow adds n tokens and wakes the readers.
func (g *generation) grow(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tokens += n
	g.signal()
}

// end marks the output as complete, or as ended early if reason is not empty.
// It returns false if the output had already ended.
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

// state returns the number of tokens, whether the output has ended, the reason
// if it ended early, and a channel that is closed at the next change.
func (g *generation) state() (n int, ended bool, reason string, wake <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tokens, g.ended, g.reason, g.wake
}

// attach changes the number of readers by delta.
func (g *generation) attach(delta int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.readers += delta; delta < 0 {
		g.lastLeft = time.Now()
	}
}

// idle reports whether the generation has had no reader for idleAfter, or never
// had one.
func (g *generation) idle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.readers == 0 && time.Since(g.lastLeft) >= idleAfter
}
