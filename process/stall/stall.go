// Package stall measures for how long this process has run.
//
// A process may stand still for a while: it is stopped, gets no processor time, or its
// machine is suspended. Its timers then fire late, often before it has read what
// arrived meanwhile. So a time limit on an answer says something about the other side
// only as far as this process was running: it could have read an answer then.
//
// A Meter notices a stall by the lateness of a ticker. Its timers and contexts count
// running time, and leave the process time to read what arrived in a stall.
package stall

import (
	"context"
	"sync"
	"time"
)

const (
	interval = 50 * time.Millisecond  // of the ticker
	minStall = 150 * time.Millisecond // shortest gap between two ticks that counts as a stall; longer than common pauses of a busy machine
	memory   = time.Minute            // for which stalls are remembered; longer than the silences that are judged
	// settleTime is the running time after a stall in which what arrived meanwhile is
	// read and handled.
	settleTime = 200 * time.Millisecond
)

type (
	// Meter measures running time while Run is active. Before Run, and if it is nil, it
	// notices no stalls. Exported fields are set before use; the methods are safe for
	// concurrent use.
	Meter struct {
		// Hold is called before the function of a timer, in its goroutine. It is nil
		// except in tests, in which it lets timers fire late.
		Hold func()

		mu     sync.Mutex
		ticked time.Time // latest tick, zero while Run is not active
		stalls []span    // of the last minute, the oldest first
	}

	span struct {
		from, until time.Time
	}
)

// Run notices stalls until ctx ends.
func (m *Meter) Run(ctx context.Context) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	m.tick(time.Now())
	for {
		select {
		case <-ctx.Done():
			m.tick(time.Time{})
			return
		case <-ticker.C:
		}
		m.hold()
		m.tick(time.Now())
	}
}

// tick records a tick, and the stall before it if it is late.
func (m *Meter) tick(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s, ok := m.current(now); ok {
		m.stalls = append(m.stalls, s)
	}
	for len(m.stalls) > 0 && !now.IsZero() && now.Sub(m.stalls[0].until) > memory {
		m.stalls = m.stalls[1:]
	}
	m.ticked = now
}

// current returns the stall since the latest tick, if there is one. m.mu must be held.
func (m *Meter) current(now time.Time) (span, bool) {
	if m.ticked.IsZero() || now.Sub(m.ticked) < interval+minStall {
		return span{}, false
	}
	return span{m.ticked.Add(interval), now}, true
}

func (m *Meter) hold() {
	if m != nil && m.Hold != nil {
		m.Hold()
	}
}

// RanSince returns for how long the process has run since a time, which must not be more
// than a minute ago: stalls before that are forgotten.
func (m *Meter) RanSince(t time.Time) time.Duration {
	now := time.Now()
	ran := now.Sub(t)
	if m == nil {
		return ran
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.stalls {
		ran -= s.since(t)
	}
	if s, ok := m.current(now); ok {
		ran -= s.since(t)
	}
	return ran
}

// StalledSince reports whether the process has stood still at any time since t, which
// must not be more than a minute ago.
func (m *Meter) StalledSince(t time.Time) bool { return !m.stallEnd(time.Now()).Before(t) }

// stallEnd returns the end of the latest stall, zero if there was none. The stall that
// is only just over ends now.
func (m *Meter) stallEnd(now time.Time) time.Time {
	if m == nil {
		return time.Time{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if s, ok := m.current(now); ok {
		return s.until
	}
	if n := len(m.stalls); n > 0 {
		return m.stalls[n-1].until
	}
	return time.Time{}
}

// since returns how much of the stall came after a time.
func (s span) since(t time.Time) time.Duration {
	if s.from.After(t) {
		t = s.from
	}
	return max(s.until.Sub(t), 0)
}
