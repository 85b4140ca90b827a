package placement

import (
	"math"

	"github.com/eelgrassdock/eelgrassdock/process/length"
)

// The constants below that have no physical meaning were chosen by runs of
// internal/compare.
const (
	gapTarget   = 0.071 // seconds between tokens
	gapHeadroom = 0.9   // share of the gap target at which the risk begins
	gapSlope    = 4.0   // risk for each gap target beyond that
	idleFactor  = 1.5   // the risk begins no lower than at this many steps of an idle engine

	calmBudget  = 0.32 // risk that is taken without waiting
	crowdBudget = 0.03 // the same, in an overload
	crowdGrow   = 0.20 // risk that waiting for the time of crowdSeconds adds in an overload
	crowdFrom   = 0.93 // share of all memory in use at which the budget begins to fall
	crowdTo     = 0.97 // and at which an overload is assumed
	growBudget  = 0.06 // risk that waiting adds at most, short of patience
	// Above this risk preemptions cost more stall than sending saves. In an
	// overload the stall weight alone doesn't raise the budget: a stall weight of
	// 4 once raised preemptions there from 38 to 574 for each 1,000 requests.
	uselessRisk  = 0.40
	growSeconds  = 20.0 // the risk grows by the square of the waiting over this
	crowdSeconds = 30.0
	sizeSeconds  = 10.0 // waiting after which a request is judged as one of mean size
	patience     = 60.0 // seconds of waiting after which any risk is taken

	preemptCost  = 4.0  // cost of a certain preemption, in seconds of stall
	stepCost     = 1.0  // cost of a step as long as the gap target
	burstCost    = 6.0  // the same, of computing a prompt, for 100 generations hit
	longCost     = 3.0  // cost of a prompt that takes the gap target, in the wrong group of endpoints
	queueSeconds = 0.2  // stall for each generation that waits in the engine
	queueMax     = 5.0  // most stall that is expected from them
	farSeconds   = 0.03 // latency to another region
	nearSeconds  = 0.001
	farPerMB     = 0.1 // cost of a megabyte between regions

	// A peer's choices resemble this entry's, but less so the older the reports
	// are on which they rest. Taking all of them as equal raised preemptions with
	// reports 5 s late from 3 to 88 for each 1,000 requests.
	mirrorShare   = 0.9
	mirrorSeconds = 1.0

	minPeerTokens = 64 // prompt size assumed before any was seen
	mixPrior      = 4  // own generations that the request counts as in the mix
	maxAge        = 30 // seconds; the age of a report counts no further
)

type (
	candidate struct {
		ep   *endpoint
		cost float64
	}

	// outlook is what doesn't depend on the endpoint.
	outlook struct {
		ahead    load
		now      int64             // Unix nanoseconds
		prompt   float64           // tokens
		size     float64           // prompt tokens that count for the risk
		far      float64           // cost of another region
		alive    [horizons]float64 // share of others' generations that still run
		doubt    [horizons]float64 // variance of that, for each generation
		tokens   [horizons]float64 // the horizons
		peerRate float64           // requests per second and endpoint from peers
		peerVar  float64           // variance of memory that they add per second
		mirror   float64           // peers without this entry, times mirrorShare
		meanSent float64           // mean of what was sent to an endpoint since its report
		fillTime float64           // seconds for one prompt token
		budget   float64
		perStep  float64 // inverse of the step time at which the risk begins
		typical  float64 // fill of the prompt that a typical prompt token belongs to

		meanShare, peerSize float64 // this and the following for previous only
		growth, spread      [horizons]float64
	}
)

// choose gives the endpoint with the lowest cost among those whose risk is
// within the budget. wait is true if there are endpoints, but none within it.
func (s *Scheduler) choose(req *Request, estimate *length.Estimate) (best *endpoint, wait bool) {
	s.match(req)
	var o outlook
	s.look(&o, req, estimate)
	s.scratch = s.scratch[:0]
	lowest := math.Inf(1)
	var used, total float64
	for _, e := range s.list {
		if !s.usable(e, req) {
			continue
		}
		wait = true
		used += e.others + e.used
		total += e.total
		var risk, cost float64
		if s.policy == Previous {
			risk, cost = s.judgeBefore(e, &o)
		} else {
			risk, cost = s.judge(e, &o)
		}
		if risk > o.budget {
			continue
		}
		lowest = min(lowest, cost)
		s.scratch = append(s.scratch, candidate{e, cost})
	}
	s.poolShare = used / max(total, 1)
	if len(s.scratch) == 0 {
		return nil, wait
	}
	return s.pick(lowest, &o), false
}

// pick takes a random one of the candidates whose cost differs from the lowest
// by less than what peers may have added unseen.
func (s *Scheduler) pick(lowest float64, o *outlook) *endpoint {
	slack := 0.002
	switch {
	case s.peers > 1 && s.policy == Previous:
		slack = previousSlack(o)
	case s.peers > 1:
		slack = 0.004 + 0.005*o.peerRate
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

func (s *Scheduler) look(o *outlook, req *Request, estimate *length.Estimate) {
	o.now = s.now.UnixNano()
	o.prompt = float64(req.Prompt)
	o.size = o.prompt
	waited := max(s.now.Sub(req.Arrived).Seconds(), 0)
	o.budget = s.budget(waited)
	if s.policy != Previous {
		// Otherwise small requests would pass a large one for ever.
		fade := min(waited/sizeSeconds, 1)
		o.size += (min(s.flow.tokens, o.prompt) - o.prompt) * fade
	}
	o.ahead = expect(estimate, o.size, 0, &s.ahead)
	bytes := o.prompt*bytesPerPrompt + estimate.Mean(0)*bytesPerToken
	o.far = s.weights.Stall*s.Far + farPerMB*bytes/1e6
	if s.policy == Previous {
		o.far = previousFar + previousFarPerMB*bytes/1e6
	}
	s.lookAtOthers(o)
	o.fillTime = s.fillTime()
	// Waiting doesn't help where even an idle engine misses the gap target.
	o.perStep = 1 / max(gapTarget*gapHeadroom, idleFactor*s.step.predict(1, 0))
	o.typical = s.flow.typical(fill(o.prompt, o.fillTime))
	s.lookAtPeers(o)
}

// lookAtOthers infers from own work how many of other entries' generations
// still run at each horizon. The request itself stands in while there is little
// own work.
func (s *Scheduler) lookAtOthers(o *outlook) {
	for h := range o.alive {
		o.alive[h] = min(max((s.mix.ahead.alive[h]+mixPrior*o.ahead.alive[h])/(float64(s.mix.count)+mixPrior), 0), 1)
	}
	for h, alive := range o.alive {
		o.tokens[h], o.doubt[h] = float64(s.ahead[h]), alive*(1-alive)
	}
	if s.policy == Previous {
		s.lookBefore(o)
	}
}

func (s *Scheduler) lookAtPeers(o *outlook) {
	others := float64(s.peers - 1)
	n := float64(max(len(s.list), 1))
	o.peerRate = s.flow.rateAt(s.now) * others / n
	o.peerSize = max(s.flow.tokens, minPeerTokens)
	o.peerVar = o.peerRate * o.peerSize * o.peerSize
	o.mirror = mirrorShare * others
	o.meanSent = max(s.sentSince, 0) / n
	if s.policy == Previous {
		o.meanShare = s.meanShare()
	}
}

// budget gives the risk that is taken for a request that has waited. It falls
// as the memory of all endpoints fills: in an overload sending more would fill
// the engines and shorten no queue. There it rises steadily with the waiting
// instead, so that the entry with the oldest work gets the memory that becomes
// free; otherwise work expires at entries with more than their share of the
// requests while others hold almost none. After patience anything is sent.
func (s *Scheduler) budget(waited float64) float64 {
	if s.policy == Previous {
		return s.weights.Stall * (previousCalm + waited/previousPatience*waited/previousPatience)
	}
	if waited >= patience {
		return math.Inf(1)
	}
	crowd := min(max((s.poolShare-crowdFrom)/(crowdTo-crowdFrom), 0), 1)
	grown := min(waited/growSeconds*waited/growSeconds, growBudget)
	calm := min(s.weights.Stall*(calmBudget+grown), s.weights.Preempt*uselessRisk)
	crowded := min(s.weights.Stall, s.weights.Preempt) * (crowdBudget + crowdGrow*waited/crowdSeconds)
	return calm + crowd*(crowded-calm)
}

// judge gives the risk and the cost of sending a request to an endpoint.
func (s *Scheduler) judge(e *endpoint, o *outlook) (risk, cost float64) {
	w := &s.weights
	age := float64(min(max(o.now-e.reportAt, 0), maxAge*1e9)) * 1e-9
	// Peers see the same reports and follow the same rule, so they are taken to
	// have favoured the endpoints that this entry has favoured since the report.
	peers := o.mirror * mirrorSeconds / (mirrorSeconds + age) * (e.sentSince - o.meanSent)
	others := max(e.others+peers, 0)
	now := others + e.used
	uncached := max(o.prompt-s.matched(e), 1)

	// The lowest distance to full memory in standard deviations. Signed squares
	// are compared by cross multiplication, which saves roots and divisions.
	spread := o.peerVar * age
	perRun := 1 / max(e.othersRuns, 1)
	floor := now + min(uncached, o.size)
	square, over := math.Inf(1), 1.0
	for h := range o.ahead.mean {
		// Work that ends is followed by other work, so that memory is not expected
		// to shrink below what is in use now.
		grown := others + e.othersRuns*o.tokens[h]
		mean := max(grown*o.alive[h]+e.ahead.mean[h]+o.ahead.mean[h], floor)
		variance := grown*grown*perRun*o.doubt[h] + e.ahead.variance[h] + o.ahead.variance[h] + spread
		variance = max(variance, 1)
		room := e.total - mean
		if room *= math.Abs(room); room*over < square*variance {
			square, over = room, variance
		}
	}
	full := 0.0
	if square < tailRange*tailRange*over {
		full = tail(math.Copysign(math.Sqrt(math.Abs(square)/over), square))
	}

	runs := e.othersRuns + float64(e.count) + 1
	lag := e.slow(o.now)
	step := s.step.predict(runs, now+uncached) * lag
	slow := min(max(step*o.perStep-1, 0)*gapSlope, 1)
	risk = w.Preempt*full + w.Gap*slow

	filling := (e.pending(o.now, o.fillTime) + uncached) * o.fillTime * lag
	burst := max((step+filling)*(1/gapTarget)-1, 0)
	if s.Chunked {
		burst = 0
	}
	cost = w.Stall*(e.queue+filling+step) + w.Gap*(stepCost/gapTarget*step+burstCost/100*burst*runs) +
		w.Preempt*preemptCost*full
	if s.Memory > 0 {
		share := min(floor/e.total, 2)
		cost += s.Memory * share * share
	}
	switch {
	case e.far:
		cost += o.far
	case !e.near:
		cost += w.Stall * nearSeconds
	}
	if !e.long && !s.Chunked {
		cost += w.Gap * longCost * (fill(uncached, o.fillTime) - o.typical)
	}
	return risk, cost
}
