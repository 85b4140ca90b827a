package placement

import (
	"math"
	"slices"
	"time"

	"github.com/eelgrassdock/eelgrassdock/version/routing"
)

const (
	// copyBudget is the risk accepted for a copy of a generation's memory. It is
	// below baseBudget, because a copy must not displace requests.
	copyBudget = 0.02
	// moveBudget is the risk accepted for an urgent copy: the generation is lost
	// without it, since its endpoint leaves.
	moveBudget = maxUsefulRisk
	// Copies fill an endpoint up to copyMost of its memory while requests use
	// less than copyFrom of all memory. The bound falls to copyLeast when requests
	// use copyTo, because the memory of copies then causes preemptions.
	copyMost  = 0.6
	copyLeast = 0.35
	copyFrom  = 0.35
	copyTo    = 0.55
	// copyAwayCost is the cost, in seconds of stall, of a copy to another place
	// than the source's: the transfer takes twice as long and uses links that are
	// charged by volume.
	copyAwayCost = 3.0
	// copySpread is the difference in cost, in seconds of stall, at which the
	// probability that an endpoint is chosen for an urgent copy falls to 1/e. A
	// notice makes all instances choose at the same moment, and the copies of
	// several of them together may fill a quarter of one endpoint's memory, which
	// PlaceCopy counts as a cost of 0.25.
	copySpread = 0.25
)

// Copy describes a running generation whose memory is copied to a second
// endpoint.
type Copy struct {
	Account string
	From    string // endpoint at which it runs
	Place   string // place of that endpoint
	Prompt  int    // tokens
	Done    int    // tokens produced
	Max     int    // limit of tokens to produce; zero means none
	Exclude []string
	Urgent  bool            // its endpoint is about to leave
	Near    bool            // allow only endpoints in the same place
	Regions routing.Regions // in which the copy may be kept; nil allows all
}

// PlaceCopy chooses an endpoint for a copy and reserves memory there until Done.
// The decision is never Wait: None is set if no endpoint is within the accepted
// risk and the bound on the memory of copies.
func (s *Scheduler) PlaceCopy(c Copy, now time.Time) Decision {
	s.once.Do(s.init)
	estimate := s.Length.Predict(s.Service, c.Account, c.Max)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	req := &Request{Account: c.Account, Prompt: c.Prompt + c.Done, Arrived: now, Exclude: append(slices.Clone(c.Exclude), c.From), Regions: c.Regions}
	s.matchPrefix(req)
	var o inputs
	s.fillInputs(&o, req, &estimate)
	o.ahead = expectedLoad(&estimate, float64(c.Prompt), c.Done, &s.ahead)
	budget := copyBudget
	if c.Urgent {
		budget = moveBudget
	}
	ceiling := s.copyCeiling()
	if c.Urgent {
		ceiling = math.Inf(1)
	}
	s.scratch = s.scratch[:0]
	lowest := math.Inf(1)
	for _, e := range s.list {
		if limited, _ := s.limitOf(e); limited || !s.usable(e, req) || c.Near && e.Place != c.Place {
			continue
		}
		risk, cost := s.evaluate(e, &o)
		if risk > budget || e.others+e.used+float64(req.Prompt) > ceiling*e.total {
			continue
		}
		if e.Place != c.Place {
			cost += copyAwayCost
		}
		// Preferring endpoints with less memory in use spreads the copies.
		cost += (e.others + e.used) / e.total
		lowest = min(lowest, cost)
		s.scratch = append(s.scratch, candidate{ep: e, cost: cost})
	}
	if len(s.scratch) == 0 {
		return Decision{None: true}
	}
	best := s.pickForCopy(lowest, c.Urgent)
	ticket := s.reserve(best, req, &estimate)
	// The prompt of a copy is transferred, not computed.
	best.fill = max(best.fill-float64(req.Prompt), 0)
	best.sent -= float64(req.Prompt)
	best.sentSince -= float64(req.Prompt)
	s.sentSince -= float64(req.Prompt)
	if r := s.find(ticket); r != nil {
		r.prompt, r.done = max(float64(c.Prompt), 1), c.Done
		s.reforecast(r, 0)
		r.copy = true
		best.copied += r.prompt + float64(r.done)
	}
	return Decision{Endpoint: best.ID, Ticket: ticket}
}

// pickForCopy returns the candidate with the lowest cost. For an urgent copy, it
// returns a random one, with a probability that decreases with the cost.
func (s *Scheduler) pickForCopy(lowest float64, urgent bool) (best *endpoint) {
	var sum float64
	for _, c := range s.scratch {
		if !urgent {
			if c.cost == lowest {
				return c.ep
			}
			continue
		}
		weight := math.Exp((lowest - c.cost) / copySpread)
		if sum += weight; s.rand.Float64()*sum < weight {
			best = c.ep
		}
	}
	return best
}

// copyCeiling returns the share of an endpoint's memory up to which copies may
// fill it.
func (s *Scheduler) copyCeiling() float64 {
	var requests, total float64
	for _, e := range s.list {
		if !e.closed {
			requests += e.others + e.used - e.copied - e.othersCopied
			total += e.total
		}
	}
	overload := (requests/max(total, 1) - copyFrom) / (copyTo - copyFrom)
	return copyMost + min(max(overload, 0), 1)*(copyLeast-copyMost)
}

// Adopt records that a generation continues from its copy.
func (s *Scheduler) Adopt(ticket Ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.find(ticket); r != nil {
		s.endCopy(r)
	}
}

// endCopy stops counting a reservation as a copy. Its memory stays reserved.
func (s *Scheduler) endCopy(r *reservation) {
	if !r.copy {
		return
	}
	r.copy = false
	r.ep.copied = max(r.ep.copied-r.prompt-float64(r.done), 0)
}
