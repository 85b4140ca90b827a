package placement

import (
	"math"
	"time"
)

const (
	speedGain    = 0.05 // least weight of one observation in the time for prompts
	lagGain      = 0.3  // the same in the lag of one endpoint
	lagMost      = 2.3  // highest lag, as a logarithm: ten times slower
	lagLeast     = -0.7 // half the time
	lagHalfLife  = 10 * time.Second
	backlogLeast = 200 // prompt tokens below which an observation says little
)

// speed learns the time that engines take for prompts, from the time between
// the placement of a generation and its first token. It is the mean of
// logarithms, in which the latest observations count most.
type speed struct {
	log float64 // of the observed time against FillTime
	n   int
}

// fillTime gives the seconds that an engine takes for one prompt token while it
// also decodes.
func (s *Scheduler) fillTime() float64 { return s.FillTime.Seconds() / 1000 * math.Exp(s.speed.log) }

// slow gives the time that an endpoint takes against the others. It fades to 1,
// so that a slow endpoint is tried again.
func (e *endpoint) slow(now int64) float64 {
	if e.lag == 0 {
		return 1
	}
	return math.Exp(e.lag * math.Exp2(-float64(now-e.lagAt)/float64(lagHalfLife)))
}

// Started says that a generation has produced its first token.
func (s *Scheduler) Started(ticket Ticket, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	r := s.find(ticket)
	if r == nil || r.placed == 0 || r.backlog < backlogLeast {
		return
	}
	took := float64(s.nanos-r.placed) * 1e-9
	r.placed = 0
	if took <= 0 {
		return
	}
	ratio := math.Log(took / (r.backlog * s.fillTime()))
	s.speed.n++
	s.speed.log += ratio * max(speedGain, 1/float64(s.speed.n+1))
	e := r.ep
	if e.lagAt != 0 {
		e.lag *= math.Exp2(-float64(s.nanos-e.lagAt) / float64(lagHalfLife))
	}
	e.lag += (min(max(ratio, lagLeast), lagMost) - e.lag) * lagGain
	e.lagAt = s.nanos
}
