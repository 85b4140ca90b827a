package placement

import (
	"math"

	"github.com/eelgrassdock/eelgrassdock/process/length"
)

// Changes of the constants without a physical meaning can be evaluated with
// internal/compare.
const (
	gapTarget   = 0.071 // seconds between tokens
	gapHeadroom = 0.9   // share of the gap target from which a step time adds risk
	gapSlope    = 4.0   // risk per relative excess of the step time over that bound
	idleFactor  = 1.5   // the bound is at least the step time of an idle engine times this

	baseBudget          = 0.32 // risk accepted without waiting
	overloadBudget      = 0.03 // risk accepted without waiting in an overload
	overloadGrowth      = 0.20 // accepted risk that waiting for overloadSeconds adds in an overload
	overloadFrom        = 0.93 // share of all memory in use from which the budget falls
	overloadTo          = 0.97 // share of all memory in use from which an overload is assumed
	maxBudgetGrowth     = 0.06 // maximum that waiting less than maxWaitSeconds adds
	maxUsefulRisk       = 0.40 // risk above which preemptions cost more stall than sending saves
	budgetGrowthSeconds = 20.0 // the budget grows by (waiting time / this)²
	overloadSeconds     = 30.0 // waiting time that adds overloadGrowth
	sizeSeconds         = 10.0 // waiting time after which a request counts as one of mean size
	maxWaitSeconds      = 60.0 // waiting time after which any risk is accepted

	preemptCost  = 4.0   // cost of a preemption with probability 1, in seconds of stall
	stepCost     = 1.0   // cost of a step as long as the gap target
	burstCost    = 6.0   // cost of a prompt that delays 100 generations by one gap target beyond the target
	longCost     = 3.0   // cost, at an endpoint not preferred for long prompts, per unit of fillShare above typicalFill; negative below it
	queueSeconds = 0.2   // expected stall for each generation that waits in the engine
	queueMax     = 5.0   // upper bound of that stall, in seconds
	farSeconds   = 0.03  // latency to another region
	nearSeconds  = 0.001 // latency to another place of the region
	farPerMB     = 0.1   // cost of a megabyte between regions

	// Peers make choices similar to this entry's, but the less so the older the
	// reports are that the choices are based on. Assuming equal choices raised
	// preemptions, with reports 5 s late, from 3 to 88 per 1,000 requests.
	peerSimilarity   = 0.9
	peerDecaySeconds = 1.0

	minPeerTokens = 64 // least prompt size assumed for peers
	ownPrior      = 4  // weight of the request's own survival in inferSurvival, in generations
	maxAge        = 30 // seconds; older reports count as of this age
)

type (
	// candidate is an endpoint whose risk is within the budget.
	candidate struct {
		ep    *endpoint
		cost  float64
		saved float64 // part of the cost that cached parts of the prompt save
	}

	// inputs are the values of a decision that do not depend on the endpoint.
	inputs struct {
		ahead         load
		now           int64             // Unix nanoseconds
		prompt        float64           // tokens
		size          float64           // prompt tokens counted for the risk
		farCost       float64           // cost of another region
		alive         [horizons]float64 // share of other entries' generations that still run
		aliveVariance [horizons]float64 // variance of alive for one generation
		tokens        [horizons]float64 // horizons in tokens ahead
		peerRate      float64           // requests of peers per second and endpoint
		peerVar       float64           // variance of the memory that peers add per second
		peerWeight    float64           // number of other entries times peerSimilarity
		meanSent      float64           // mean of sentSince over the endpoints
		fillTime      float64           // seconds for one prompt token
		budget        float64
		reserve       float64 // share of the memory that must stay free
		firstBy       float64 // seconds from now; endpoints whose first token is forecast later are left out
		first         float64 // forecast of the last evaluate, in seconds from now
		perStep       float64 // inverse of the step time from which steps add risk
		typicalFill   float64 // mean fillShare of prompts, weighted by fillShare

		meanShare, peerSize float64           // meanShare is for Previous only; peerSize enters peerVar under every policy
		growth, spread      [horizons]float64 // for Previous only
	}
)

// choose returns the endpoint with the lowest cost, or nearly so, among those
// whose risk is within the budget. wait is true if there are usable endpoints,
// but none within the budget.
func (s *Scheduler) choose(req *Request, estimate *length.Estimate) (best *endpoint, wait bool) {
	s.matchPrefix(req)
	s.matchParts(req)
	var o inputs
	s.fillInputs(&o, req, estimate)
	s.scratch, s.late = s.scratch[:0], false
	lowest := math.Inf(1)
	var used, total float64
	for _, e := range s.list {
		if !s.usable(e, req) {
			continue
		}
		wait = true
		if _, ready := s.limitOf(e); !ready {
			continue
		}
		used += e.others + e.used
		total += e.total
		var risk, cost float64
		if s.policy == Previous {
			risk, cost = s.evaluatePrevious(e, &o)
		} else {
			risk, cost = s.evaluate(e, &o)
		}
		if risk > o.budget {
			continue
		}
		s.late = true
		e.forecast = o.first
		if o.first > o.firstBy {
			continue
		}
		lowest = min(lowest, cost)
		s.scratch = append(s.scratch, candidate{e, cost, s.savedBy(e, &o)})
	}
	if req.Regions == nil {
		s.poolShare = used / max(total, 1)
	}
	if req.Bind && len(s.scratch) == 0 {
		return s.bind(req, &o), wait
	}
	if len(s.scratch) == 0 {
		return nil, wait
	}
	if s.LoadAge > 0 && s.policy != Previous {
		return s.pickWithParts(&o), false
	}
	return s.pick(lowest, &o), false
}

// limitOf returns the result of Limited for an endpoint.
func (s *Scheduler) limitOf(e *endpoint) (limited, ready bool) {
	if s.Limited == nil {
		return false, true
	}
	return s.Limited(e.ID)
}

// pick returns a random one of the candidates whose cost exceeds the lowest by
// no more than a slack for work that peers may have sent since the last reports.
func (s *Scheduler) pick(lowest float64, o *inputs) *endpoint {
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

// fillInputs computes the inputs of a decision.
func (s *Scheduler) fillInputs(o *inputs, req *Request, estimate *length.Estimate) {
	o.now = s.now.UnixNano()
	o.prompt = float64(req.Prompt)
	o.size = o.prompt
	waited := max(s.now.Sub(req.Arrived).Seconds(), 0)
	o.budget = s.budget(waited, s.poolShareFor(req))
	o.firstBy, o.reserve = math.Inf(1), req.ReserveShare
	if !req.FirstBy.IsZero() {
		o.firstBy = req.FirstBy.Sub(s.now).Seconds()
	}
	if s.policy != Previous {
		// Without this, small requests could overtake a large one without end.
		fade := min(waited/sizeSeconds, 1)
		o.size += (min(s.sending.tokens, o.prompt) - o.prompt) * fade
	}
	o.ahead = expectedLoad(estimate, o.size, 0, &s.ahead)
	bytes := o.prompt*bytesPerPrompt + estimate.Mean(0)*bytesPerToken
	o.farCost = s.weights.Stall*s.FarCost + farPerMB*bytes/1e6
	if s.policy == Previous {
		o.farCost = previousFar + previousFarPerMB*bytes/1e6
	}
	s.inferSurvival(o)
	o.fillTime = s.fillTime()
	// Waiting does not help if even an idle engine misses the gap target.
	o.perStep = 1 / max(gapTarget*gapHeadroom, idleFactor*s.step.predict(1, 0))
	o.typicalFill = s.sending.typicalFill(fillShare(o.prompt, o.fillTime))
	s.inferPeerArrivals(o)
}

// inferSurvival infers from own work the share of other entries' generations that
// still run at each horizon. The request counts as ownPrior generations, which
// dominates while there is little own work.
func (s *Scheduler) inferSurvival(o *inputs) {
	for h := range o.alive {
		o.alive[h] = min(max((s.own.ahead.alive[h]+ownPrior*o.ahead.alive[h])/(float64(s.own.count)+ownPrior), 0), 1)
	}
	for h, alive := range o.alive {
		o.tokens[h], o.aliveVariance[h] = float64(s.ahead[h]), alive*(1-alive)
	}
	if s.policy == Previous {
		s.inferGrowth(o)
	}
}

// inferPeerArrivals estimates the work that peers send from what this entry
// sends.
func (s *Scheduler) inferPeerArrivals(o *inputs) {
	others := float64(s.peers - 1)
	n := float64(max(len(s.list), 1))
	o.peerRate = s.sending.rateAt(s.now) * others / n
	o.peerSize = max(s.sending.tokens, minPeerTokens)
	o.peerVar = o.peerRate * o.peerSize * o.peerSize
	o.peerWeight = peerSimilarity * others
	o.meanSent = max(s.sentSince, 0) / n
	if s.policy == Previous {
		o.meanShare = s.meanShare()
	}
}

// poolShareFor returns the share of memory in use from which an overload is assumed. A
// region may be full while others have room, so a request that names regions counts its own
// endpoints, and does not change what the others see.
func (s *Scheduler) poolShareFor(req *Request) float64 {
	if req.Regions == nil {
		return s.poolShare
	}
	var used, total float64
	for _, e := range s.list {
		if s.usable(e, req) {
			used += e.others + e.used
			total += e.total
		}
	}
	return used / max(total, 1)
}

// budget returns the risk that is accepted for a request that has waited for the
// given number of seconds. It falls as poolShare, the share of memory in use, rises: in an
// overload, sending more would fill the engines without shortening any queue.
// Instead, the budget then grows linearly with the waiting time, so that the
// entry with the oldest work gets memory that becomes free; otherwise, work
// expires at entries with more than their share of the requests while other
// entries hold almost none. After maxWaitSeconds there is no bound.
func (s *Scheduler) budget(waited, poolShare float64) float64 {
	if s.policy == Previous {
		return s.weights.Stall * (previousBaseBudget + waited/previousGrowthSeconds*waited/previousGrowthSeconds)
	}
	if waited >= maxWaitSeconds {
		return math.Inf(1)
	}
	overload := min(max((poolShare-overloadFrom)/(overloadTo-overloadFrom), 0), 1)
	growth := min(waited/budgetGrowthSeconds*waited/budgetGrowthSeconds, maxBudgetGrowth)
	base := min(s.weights.Stall*(baseBudget+growth), s.weights.Preempt*maxUsefulRisk)
	// In an overload the stall weight alone does not raise the budget: when it
	// did, a stall weight of 4 raised preemptions from 38 to 574 per 1,000
	// requests.
	overloaded := min(s.weights.Stall, s.weights.Preempt) * (overloadBudget + overloadGrowth*waited/overloadSeconds)
	return base + overload*(overloaded-base)
}

// evaluate returns the risk and the cost of sending a request to an endpoint.
func (s *Scheduler) evaluate(e *endpoint, o *inputs) (risk, cost float64) {
	w := &s.weights
	age := float64(min(max(o.now-e.reportAt, 0), maxAge*1e9)) * 1e-9
	// Peers see the same reports and follow the same rule, so they are assumed to
	// have preferred the endpoints that this entry has preferred since the report.
	peers := o.peerWeight * peerDecaySeconds / (peerDecaySeconds + age) * (e.sentSince - o.meanSent)
	others := max(e.others+peers, 0)
	inUse := others + e.used
	uncached := max(o.prompt-s.cachedTokens(e), 1)

	// Find the horizon with the lowest distance to full memory in standard
	// deviations. roomSquare is the square of the free memory expected there, with
	// its sign, and roomVariance the variance of the memory in use. Comparing
	// signed squares by cross multiplication avoids roots and divisions.
	spread := o.peerVar * age
	perRun := 1 / max(e.othersRuns, 1)
	floor := inUse + min(uncached, o.size)
	roomSquare, roomVariance := math.Inf(1), 1.0
	for h := range o.ahead.mean {
		// New work follows work that ends, so memory is not expected to shrink
		// below what is in use now.
		grown := others + e.othersRuns*o.tokens[h]
		mean := max(grown*o.alive[h]+e.ahead.mean[h]+o.ahead.mean[h], floor)
		variance := grown*grown*perRun*o.aliveVariance[h] + e.ahead.variance[h] + o.ahead.variance[h] + spread
		variance = max(variance, 1)
		room := e.total*(1-o.reserve) - mean
		if room *= math.Abs(room); room*roomVariance < roomSquare*variance {
			roomSquare, roomVariance = room, variance
		}
	}
	memoryRisk := 0.0
	if roomSquare < tailRange*tailRange*roomVariance {
		memoryRisk = tail(math.Copysign(math.Sqrt(math.Abs(roomSquare)/roomVariance), roomSquare))
	}

	runs := e.othersRuns + float64(e.count) + 1
	slowdown := e.slowdown(o.now)
	step := s.step.predict(runs, inUse+uncached) * slowdown
	gapRisk := min(max(step*o.perStep-1, 0)*gapSlope, 1)
	risk = w.Preempt*memoryRisk + w.Gap*gapRisk

	filling := (e.pending(o.now, o.fillTime) + uncached) * o.fillTime * slowdown
	o.first = e.queue + filling + step + e.stallFor(o.now)
	burst := max((step+filling)*(1/gapTarget)-1, 0)
	if s.Chunked {
		burst = 0
	}
	cost = w.Stall*(e.queue+filling+step) + w.Gap*(stepCost/gapTarget*step+burstCost/100*burst*runs) +
		w.Preempt*preemptCost*memoryRisk
	if s.MemoryCost > 0 {
		share := min(floor/e.total, 2)
		cost += s.MemoryCost * share * share
	}
	switch {
	case e.far:
		cost += o.farCost
	case !e.near:
		cost += w.Stall * nearSeconds
	}
	if !e.long && !s.Chunked {
		cost += w.Gap * longCost * (fillShare(uncached, o.fillTime) - o.typicalFill)
	}
	return risk, cost
}
