package placement

import (
	"math"
	"time"
)

const (
	// rejectStall is the wait, in seconds, that is expected at an endpoint right after it has
	// rejected a request: as long as most latency targets, so that it gets no request that it
	// must answer by one.
	rejectStall = 2.0
	// stallHalfLife is about the time in which an engine with eight generations that run for
	// nine seconds ends one and has room again.
	stallHalfLife = time.Second
	// minStall is the excess, in seconds, of a first token over its forecast from which it shows
	// that prompts wait at the endpoint for memory or a slot. Smaller ones are usual forecast errors.
	minStall = 0.25
	maxStall = 4.0
)

// Rejected records that an endpoint rejected a request. For a while, its first tokens are
// forecast later for requests with FirstBy.
func (s *Scheduler) Rejected(id string, now time.Time) {
	s.once.Do(s.init)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	if e := s.byID[id]; e != nil {
		e.delay(rejectStall, s.nanos)
	}
}

// delay raises the expected stall of an endpoint.
func (e *endpoint) delay(seconds float64, now int64) {
	e.stall = min(max(e.stallFor(now), seconds), maxStall)
	e.stallAt = now
}

// stallFor returns the seconds that work is expected to wait at the endpoint in addition to the
// prompts before it.
func (e *endpoint) stallFor(now int64) float64 {
	if e.stall == 0 {
		return 0
	}
	return e.stall * math.Exp2(-float64(max(now-e.stallAt, 0))/float64(stallHalfLife))
}

// observeStall records the delay of a first token beyond the time for the prompts that were
// before it.
func (e *endpoint) observeStall(took, forecast float64, now int64) {
	if excess := took - forecast; excess > minStall {
		e.delay(excess, now)
	}
}
