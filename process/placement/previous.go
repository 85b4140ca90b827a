package placement

import "math"

const (
	previousPreemptCost   = 2.0
	previousBaseBudget    = 0.02
	previousGrowthSeconds = 20.0 // the budget grows by (waiting time / this)²
	previousFar           = 0.03
	previousFarPerMB      = 0.3
)

var previousHorizons = [horizons]int{16, 128, 512, 2048}

func previousSlack(o *inputs) float64 { return 0.004 + 0.01*min(o.peerRate, 1) }

// meanShare returns the share of all memory that is in use.
func (s *Scheduler) meanShare() float64 {
	var used, total float64
	for _, e := range s.list {
		used += e.others + e.used
		total += e.total
	}
	return used / max(total, 1)
}

// inferGrowth infers the growth of other entries' memory from that of own memory.
func (s *Scheduler) inferGrowth(o *inputs) {
	for h := range o.growth {
		o.growth[h] = 1
		if s.own.count > 0 && s.own.used > 0 {
			o.growth[h] = max(s.own.ahead.mean[h]/s.own.used, 0)
			o.spread[h] = max(s.own.ahead.variance[h]/float64(s.own.count), 0)
		}
	}
}

// evaluatePrevious is evaluate for the policy Previous. It expects the memory of
// an endpoint to shrink as its work ends, although new work follows, and weighs
// another region like a large difference in load.
func (s *Scheduler) evaluatePrevious(e *endpoint, o *inputs) (risk, cost float64) {
	w := &s.weights
	age := float64(min(max(o.now-e.reportAt, 0), maxAge*1e9)) * 1e-9
	total := e.total
	inUse := e.others + e.used
	arrivals := o.peerRate * age
	// Peers prefer endpoints with more free memory, as this entry does.
	preference := min(max((o.meanShare-inUse/total)*5, -1), 1)
	peers := arrivals * preference * o.peerSize

	uncached := max(o.prompt-s.cachedTokens(e), 1)
	z := math.Inf(1)
	for h := range o.ahead.mean {
		mean := e.others*o.growth[h] + e.ahead.mean[h] + o.ahead.mean[h] + peers
		variance := e.othersRuns*o.spread[h] + e.ahead.variance[h] + o.ahead.variance[h] + o.peerVar*age
		z = min(z, (total-mean)/math.Sqrt(max(variance, 1)))
	}
	memoryRisk := math.Erfc(z/math.Sqrt2) / 2

	runs := e.othersRuns + float64(e.count) + 1 + arrivals*preference
	step := s.step.predict(runs, inUse+o.prompt+peers)
	gapRisk := min(max(step/(gapTarget*gapHeadroom)-1, 0)*gapSlope, 1)
	risk = w.Preempt*memoryRisk + w.Gap*gapRisk

	filling := (e.pending(o.now, o.fillTime) + uncached) * o.fillTime
	burst := max(step+filling-gapTarget, 0) / gapTarget
	cost = w.Stall*(e.queue+filling+step) + w.Gap*(step/gapTarget/2+burst) + w.Preempt*previousPreemptCost*memoryRisk
	switch {
	case e.far:
		cost += o.farCost
	case !e.near:
		cost += nearSeconds
	}
	return risk, cost
}
