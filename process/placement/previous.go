package placement

import "math"

const (
	previousPreemptCost = 2.0
	previousCalm        = 0.02
	previousPatience    = 20.0 // seconds
	previousFar         = 0.03
	previousFarPerMB    = 0.3
)

var previousHorizons = [horizons]int{16, 128, 512, 2048}

func previousSlack(o *outlook) float64 { return 0.004 + 0.01*min(o.peerRate, 1) }

// meanShare gives the share of all memory that is in use.
func (s *Scheduler) meanShare() float64 {
	var used, total float64
	for _, e := range s.list {
		used += e.others + e.used
		total += e.total
	}
	return used / max(total, 1)
}

// lookBefore infers the growth of other entries' work from that of own memory.
func (s *Scheduler) lookBefore(o *outlook) {
	for h := range o.growth {
		o.growth[h] = 1
		if s.mix.count > 0 && s.mix.used > 0 {
			o.growth[h] = max(s.mix.ahead.mean[h]/s.mix.used, 0)
			o.spread[h] = max(s.mix.ahead.variance[h]/float64(s.mix.count), 0)
		}
	}
}

// judgeBefore is the rule of the previous version. It expects the memory of an
// endpoint to shrink as its work ends, although new work follows, and weighs
// another region like a large difference in load.
func (s *Scheduler) judgeBefore(e *endpoint, o *outlook) (risk, cost float64) {
	w := &s.weights
	age := float64(min(max(o.now-e.reportAt, 0), maxAge*1e9)) * 1e-9
	total := e.total
	now := e.others + e.used
	arrivals := o.peerRate * age
	// Peers prefer the emptier endpoints, as this entry does.
	lean := min(max((o.meanShare-now/total)*5, -1), 1)
	peers := arrivals * lean * o.peerSize

	uncached := max(o.prompt-s.matched(e), 1)
	z := math.Inf(1)
	for h := range o.ahead.mean {
		mean := e.others*o.growth[h] + e.ahead.mean[h] + o.ahead.mean[h] + peers
		variance := e.othersRuns*o.spread[h] + e.ahead.variance[h] + o.ahead.variance[h] + o.peerVar*age
		z = min(z, (total-mean)/math.Sqrt(max(variance, 1)))
	}
	full := math.Erfc(z/math.Sqrt2) / 2

	runs := e.othersRuns + float64(e.count) + 1 + arrivals*lean
	step := s.step.predict(runs, now+o.prompt+peers)
	over := min(max(step/(gapTarget*gapHeadroom)-1, 0)*gapSlope, 1)
	risk = w.Preempt*full + w.Gap*over

	filling := (e.pending(o.now, o.fillTime) + uncached) * o.fillTime
	burst := max(step+filling-gapTarget, 0) / gapTarget
	cost = w.Stall*(e.queue+filling+step) + w.Gap*(step/gapTarget/2+burst) + w.Preempt*previousPreemptCost*full
	switch {
	case e.far:
		cost += o.far
	case !e.near:
		cost += nearSeconds
	}
	return risk, cost
}
