package placement

import (
	"math"
	"time"
)

// EngineLoad is what a scheduler knows of an endpoint that is usable for a request.
type EngineLoad struct {
	Memory  float64 // tokens
	Used    float64 // memory in use, in tokens, by own and others' work
	Runs    float64 // generations, of all entries
	Slots   float64 // generations that it runs at once, 0 if unknown
	Pending float64 // prompt tokens that are still to be computed
	Stall   float64 // seconds that work waits there in addition
	// PromptTime and StepTime are the seconds for a prompt token and for a decoding step.
	PromptTime, StepTime float64
	// Ending is the share of the generations that is expected to end with each token.
	Ending float64
}

// Engines returns the load of the endpoints that are usable for a request.
func (s *Scheduler) Engines(req Request, now time.Time) []EngineLoad {
	s.once.Do(s.init)
	estimate := s.Length.Predict(s.Service, req.Account, req.Max)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	var o inputs
	s.fillInputs(&o, &req, &estimate)
	const last = horizons - 1
	ending := (1 - o.alive[last]) / o.tokens[last]
	var list []EngineLoad
	for _, e := range s.list {
		if !s.usable(e, &req) {
			continue
		}
		l := EngineLoad{
			Slots: float64(e.Slots), Memory: e.total, Used: e.others + e.used, Runs: e.othersRuns + float64(e.count), Pending: e.pending(s.nanos, o.fillTime), Ending: ending, Stall: e.stallFor(s.nanos),
		}
		slowdown := e.slowdown(s.nanos)
		l.PromptTime = o.fillTime * slowdown
		l.StepTime = s.step.predict(l.Runs+1, l.Used) * slowdown
		list = append(list, l)
	}
	return list
}

// bind returns the endpoint that is forecast to have room for a request first, of those
// whose memory is not promised in full yet.
func (s *Scheduler) bind(req *Request, o *inputs) (best *endpoint) {
	least := math.Inf(1)
	for _, e := range s.list {
		if !s.usable(e, req) {
			continue
		}
		if limited, ready := s.limitOf(e); limited && !ready {
			continue
		}
		inUse := e.others + e.used
		if inUse > e.total || o.prompt > e.total {
			continue
		}
		if need := inUse + e.pending(o.now, o.fillTime); need < least {
			best, least = e, need
			e.forecast = 0 // not known
		}
	}
	return best
}

// Freed returns the tokens of memory that are expected to become free per second, less the
// growth of the generations that go on.
func (l EngineLoad) Freed() float64 {
	if l.StepTime <= 0 {
		return 0
	}
	return max(l.Used*l.Ending-l.Runs*(1-l.Ending), 0) / l.StepTime
}
