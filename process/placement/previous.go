package placement

import "math"

const (
	previousPreemptCost = 2.0
	previousCalm        = 0.02
	previousFar         = 0.03
	previousFarPerMB    = 0.3
)

// judgeBefore is the rule of the previous version. It expects the memory of an
// endpoint to shrink as its work ends, although new work follows, and weighs
// another region like a large difference in load.
func (s *Scheduler) judgeBefore(e *endpoint, req *Request, o *outlook) (risk, cost float64) {
	w := &s.Weights
	age := min(max(s.now.Sub(e.report.At).Seconds(), 0), 30)
	total := max(e.total(), 1)
	now := e.others + e.used
	arrivals := o.peerRate * age
	// Peers prefer the emptier endpoints, as this entry does.
	lean := min(max((o.meanShare-now/total)*5, -1), 1)
	peers := arrivals * lean * o.peerSize
	spread := arrivals * o.peerSize * o.peerSize

	uncached := max(o.prompt-s.matched(e, req), 1)
	z := math.Inf(1)
	for h := range o.ahead.mean {
		mean := e.others*o.growth[h] + e.ahead.mean[h] + o.ahead.mean[h] + peers
		variance := float64(e.othersRuns)*o.spread[h] + e.ahead.variance[h] + o.ahead.variance[h] + spread
		z = min(z, (total-mean)/math.Sqrt(max(variance, 1)))
	}
	full := math.Erfc(z/math.Sqrt2) / 2

	runs := float64(e.othersRuns+e.count) + 1 + arrivals*lean
	step := s.step.predict(runs, now+o.prompt+peers)
	over := min(max(step/(gapTarget*gapHeadroom)-1, 0)*4, 1)
	risk = w.Preempt*full + w.Gap*over

	e.drain(s.now, s.FillTime)
	filling := (e.fill + uncached) / 1000 * s.FillTime.Seconds()
	waiting := min(queueSeconds*float64(e.report.Waiting), queueMax)
	burst := max(step+filling-gapTarget, 0) / gapTarget
	cost = w.Stall*(waiting+filling+step) + w.Gap*(step/gapTarget/2+burst) + w.Preempt*previousPreemptCost*full
	switch {
	case e.far:
		cost += previousFar + previousFarPerMB*o.bytes
	case !e.near:
		cost += remoteSeconds
	}
	return risk, cost
}
