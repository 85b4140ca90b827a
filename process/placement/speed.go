package placement

import (
	"math"
	"time"
)

const (
	speedGain        = 0.05 // minimum weight of one observation in the time for prompts
	slowdownGain     = 0.3  // weight of one observation in the slowdown of an endpoint
	maxLogSlowdown   = 2.3  // upper bound of logSlowdown: ten times slower
	minLogSlowdown   = -0.7 // lower bound of logSlowdown: half the time
	slowdownHalfLife = 10 * time.Second
	minBacklog       = 200 // prompt tokens below which an observation is ignored as too inaccurate
)

// fillSpeed learns the time that engines take for prompts from the time between
// the placement of a generation and its first token. It is a mean of logarithms
// in which recent observations have the most weight.
type fillSpeed struct {
	logRatio float64 // logarithm of the observed time relative to FillTime
	n        int     // observations
}

// fillTime returns the seconds that an engine takes for one prompt token while it
// also decodes.
func (s *Scheduler) fillTime() float64 {
	return s.FillTime.Seconds() / 1000 * math.Exp(s.fillSpeed.logRatio)
}

// slowdown returns the time that an endpoint takes relative to the others: for tokens, if
// that is known, else for prompts. It returns to 1, so that a slow endpoint is tried again.
func (e *endpoint) slowdown(now int64) float64 {
	if ratio, known := e.relativePace(now); known {
		return ratio
	}
	if e.logSlowdown == 0 {
		return 1
	}
	return math.Exp(e.logSlowdown * math.Exp2(-float64(now-e.slowdownAt)/float64(slowdownHalfLife)))
}

// Started records that a generation has produced its first token.
func (s *Scheduler) Started(ticket Ticket, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	r := s.find(ticket)
	if r != nil && r.placed != 0 && r.firstAfter > 0 && s.Forecast != nil {
		s.Forecast(time.Duration(r.firstAfter*float64(time.Second)), time.Duration(s.nanos-r.placed))
		r.firstAfter = 0
	}
	if r == nil || r.placed == 0 || r.backlog < minBacklog {
		return
	}
	took := float64(s.nanos-r.placed) * 1e-9
	r.placed = 0
	if took <= 0 {
		return
	}
	e := r.ep
	e.observeStall(took, r.backlog*s.fillTime()*e.slowdown(s.nanos), s.nanos)
	ratio := math.Log(took / (r.backlog * s.fillTime()))
	s.fillSpeed.n++
	s.fillSpeed.logRatio += ratio * max(speedGain, 1/float64(s.fillSpeed.n+1))
	if e.slowdownAt != 0 {
		e.logSlowdown *= math.Exp2(-float64(s.nanos-e.slowdownAt) / float64(slowdownHalfLife))
	}
	e.logSlowdown += (min(max(ratio, minLogSlowdown), maxLogSlowdown) - e.logSlowdown) * slowdownGain
	e.slowdownAt = s.nanos
}
