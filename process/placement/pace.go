package placement

import (
	"math"
	"time"
)

const (
	paceInterval = 100 * time.Millisecond // shortest time over which the tokens of a generation are counted
	paceHalfLife = 10 * time.Second
	paceMemory   = 3 * paceHalfLife // after which an endpoint without new observations counts as one of mean speed
	pacePrior    = 0.15             // seconds of decoding at the mean speed, which count beside what was observed
	maxPaceRatio = 4.0              // bound of the observed time relative to the predicted one
	minSlowdown  = 0.5
	maxSlowdown  = 4.0
)

// pace is the time that generations took for their tokens, and the time that was predicted
// for these. Recent observations have the most weight.
type pace struct {
	took, predicted float64 // seconds
	at              int64   // Unix nanoseconds
}

func (p *pace) add(took, predicted float64, now int64) {
	remains := math.Exp2(-float64(max(now-p.at, 0)) / float64(paceHalfLife))
	p.took, p.predicted, p.at = p.took*remains+took, p.predicted*remains+predicted, now
}

// observePace counts the time that a generation took for its latest tokens. Only times in
// which the engine seemed to compute no prompt count: those of a prompt say more about the
// work that it got than about its speed.
func (s *Scheduler) observePace(r *reservation) {
	if s.LoadAge <= 0 || r.copy {
		return
	}
	e := r.ep
	elapsed := s.nanos - r.paceAt
	if r.paceAt != 0 && elapsed < int64(paceInterval) {
		return
	}
	isIdle := e.pending(s.nanos, s.fillTime()) == 0
	if tokens := r.done - r.paceDone; r.paceAt != 0 && r.paceIdle && isIdle && e.fillAt <= r.paceAt && tokens > 0 {
		predicted := float64(tokens) * s.step.predict(e.othersRuns+float64(e.count), e.others+e.used)
		took := min(float64(elapsed)*1e-9, maxPaceRatio*predicted)
		e.took, e.predicted = e.took+took, e.predicted+predicted
		s.recordPace(e, took, predicted)
	}
	r.paceAt, r.paceDone, r.paceIdle = s.nanos, r.done, isIdle
}

// AddPace adds what other entries have observed at an endpoint since the last call: seconds
// that generations took for their tokens and the seconds that were predicted for these, as
// in Work. The two may also come in calls of their own.
func (s *Scheduler) AddPace(endpoint string, took, predicted float64, now time.Time) {
	s.once.Do(s.init)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	if e := s.byID[endpoint]; e != nil && s.LoadAge > 0 {
		s.recordPace(e, took, predicted)
	}
}

// recordPace adds what this entry or others have observed at an endpoint.
func (s *Scheduler) recordPace(e *endpoint, took, predicted float64) {
	if took < 0 || predicted < 0 {
		return
	}
	s.pace.add(took, predicted, s.nanos)
	e.pace.add(took, predicted, s.nanos)
	if s.pace.took == 0 || s.pace.predicted == 0 {
		return
	}
	mean := s.pace.took / s.pace.predicted
	e.relative = (e.pace.took/mean + pacePrior) / (e.pace.predicted + pacePrior)
	e.relative = min(max(e.relative, minSlowdown), maxSlowdown)
}

// Paces returns the time that each endpoint takes for a token relative to the mean of all,
// as far as it is known: 1.3 is slow.
func (s *Scheduler) Paces(now time.Time) map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	paces := map[string]float64{}
	for _, e := range s.list {
		if ratio, known := e.relativePace(now.UnixNano()); known {
			paces[e.ID] = ratio
		}
	}
	return paces
}

// relativePace returns the time that an endpoint takes for a token relative to the others,
// and whether it is known.
func (e *endpoint) relativePace(now int64) (ratio float64, known bool) {
	if e.relative == 0 || now-e.pace.at > int64(paceMemory) {
		return 1, false
	}
	return e.relative, true
}
