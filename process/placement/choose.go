package placement

import (
	"math"

	"github.com/eelgrassdock/eelgrassdock/process/length"
)

const (
	gapTarget = 0.071 // seconds between tokens

	patience     = 20.0 // seconds of waiting after which any risk is taken
	calmBudget   = 0.15 // risk that is taken without waiting
	gapHeadroom  = 0.9  // share of the gap target at which the risk begins
	preemptCost  = 4.0  // cost of a certain preemption, in seconds of stall
	queueSeconds = 0.2  // stall for each generation that waits in the engine
	queueMax     = 5.0

	farSeconds    = 0.01 // latency and inconvenience of another region
	farPerMB      = 0.1  // cost of a megabyte between regions
	remoteSeconds = 0.001

	minPeerTokens = 64 // prompt size assumed before any was seen
)

type (
	candidate struct {
		ep   *endpoint
		cost float64
	}

	// outlook is what doesn't depend on the endpoint.
	outlook struct {
		ahead     load
		prompt    float64
		bytes     float64 // megabytes
		growth    [horizons]float64
		spread    [horizons]float64 // variance for each generation of others
		peerRate  float64           // requests per second and endpoint from peers
		peerSize  float64
		meanShare float64 // mean share of memory in use
		meanSent  float64 // mean of what was sent to an endpoint since its report
		budget    float64
	}
)

// choose gives the endpoint with the lowest cost among those whose risk is
// within the budget. wait is true if there are endpoints, but none within it.
func (s *Scheduler) choose(req *Request, estimate *length.Estimate) (best *endpoint, wait bool) {
	s.match(req)
	judge := s.judge
	if s.Policy == Previous {
		judge = s.judgeBefore
	}
	o := s.look(req, estimate)
	s.scratch = s.scratch[:0]
	lowest := math.Inf(1)
	for _, e := range s.list {
		if !s.usable(e, req) {
			continue
		}
		wait = true
		risk, cost := judge(e, req, &o)
		if risk > o.budget {
			continue
		}
		lowest = min(lowest, cost)
		s.scratch = append(s.scratch, candidate{e, cost})
	}
	if len(s.scratch) == 0 {
		return nil, wait
	}
	return s.pick(lowest, &o), false
}

// pick takes a random one of the candidates whose cost differs from the lowest
// by less than what peers may have added unseen.
func (s *Scheduler) pick(lowest float64, o *outlook) *endpoint {
	slack := 0.002
	if s.peers > 1 {
		slack = 0.004 + 0.01*min(o.peerRate, 1)
	}
	n := 0
	var best *endpoint
	for _, c := range s.scratch {
		if c.cost > lowest+slack {
			continue
		}
		n++
		if s.rand.IntN(n) == 0 {
			best = c.ep
		}
	}
	return best
}

func (s *Scheduler) look(req *Request, estimate *length.Estimate) (o outlook) {
	s.step.init()
	o.ahead = expect(estimate, float64(req.Prompt), 0)
	o.prompt = float64(req.Prompt)
	o.bytes = (o.prompt*bytesPerPrompt + estimate.Mean(0)*bytesPerToken) / 1e6
	for h := range o.growth {
		o.growth[h], o.spread[h] = 1, 0
		if s.mix.count > 0 && s.mix.used > 0 {
			o.growth[h] = max(s.mix.ahead.mean[h]/s.mix.used, 0)
			o.spread[h] = max(s.mix.ahead.variance[h]/float64(s.mix.count), 0)
		}
	}
	if n := len(s.list); n > 0 {
		o.peerRate = s.flow.rateAt(s.now, 5) * float64(s.peers-1) / float64(n)
	}
	o.peerSize = max(s.flow.tokens, minPeerTokens)
	var used, total, sent float64
	for _, e := range s.list {
		used += e.others + e.used
		sent += e.sentSince
		total += e.total()
	}
	if total > 0 {
		o.meanShare = used / total
		o.meanSent = sent / float64(len(s.list))
	}
	waited := max(s.now.Sub(req.Arrived).Seconds(), 0)
	calm := calmBudget
	if s.Policy == Previous {
		calm = previousCalm
	}
	o.budget = s.Weights.Stall * (calm + (waited/patience)*(waited/patience))
	return o
}

// judge gives the risk and the cost of sending a request to an endpoint.
func (s *Scheduler) judge(e *endpoint, req *Request, o *outlook) (risk, cost float64) {
	w := &s.Weights
	age := min(max(s.now.Sub(e.report.At).Seconds(), 0), 30)
	total := max(e.total(), 1)
	arrivals := o.peerRate * age
	// Peers see the same reports and follow the same rule, so they are taken to
	// have favoured the endpoints that this entry has favoured since the report.
	peers := float64(s.peers-1) * (e.sentSince - o.meanSent)
	spread := arrivals * o.peerSize * o.peerSize
	now := max(e.others+peers, 0) + e.used

	uncached := max(o.prompt-s.matched(e, req), 1)
	z := math.Inf(1)
	for h := range o.ahead.mean {
		// Work that ends is followed by other work, so that memory is not expected
		// to shrink below what is in use now.
		mean := max((e.others+peers)*o.growth[h]+e.ahead.mean[h]+o.ahead.mean[h], now+uncached)
		variance := float64(e.othersRuns)*o.spread[h] + e.ahead.variance[h] + o.ahead.variance[h] + spread
		z = min(z, (total-mean)/math.Sqrt(max(variance, 1)))
	}
	full := math.Erfc(z/math.Sqrt2) / 2

	runs := float64(e.othersRuns+e.count) + 1
	step := s.step.predict(runs, now+uncached)
	over := min(max(step/(gapTarget*gapHeadroom)-1, 0)*4, 1)
	risk = w.Preempt*full + w.Gap*over

	e.drain(s.now, s.FillTime)
	filling := (e.fill + uncached) / 1000 * s.FillTime.Seconds()
	waiting := min(queueSeconds*float64(e.report.Waiting), queueMax)
	burst := max(step+filling-gapTarget, 0) / gapTarget
	cost = w.Stall*(waiting+filling+step) + w.Gap*(step/gapTarget/2+burst) + w.Preempt*preemptCost*full
	switch {
	case e.far:
		cost += farSeconds + farPerMB*o.bytes
	case !e.near:
		cost += remoteSeconds
	}
	return risk, cost
}
