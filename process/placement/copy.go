package placement

import (
	"math"
	"slices"
	"time"
)

const (
	// copyBudget is the risk that a copy of a generation's memory may bring to
	// its endpoint. It is below calmBudget: a copy must not keep out requests.
	copyBudget = 0.02
	// moveBudget is the same for a generation whose endpoint goes away, which is
	// lost otherwise.
	moveBudget = uselessRisk
	// Copies fill an endpoint up to copyMost of its memory while requests use
	// less than copyFrom of all memory, and up to copyLeast when they use copyTo:
	// what copies take preempts generations then.
	copyMost  = 0.6
	copyLeast = 0.35
	copyFrom  = 0.35
	copyTo    = 0.55
	// copyAwayCost is the cost of a copy to another place than the source's, in
	// seconds of stall: the transfer takes twice as long and crosses links that
	// are paid by volume.
	copyAwayCost = 3.0
	// copySpread is the difference in cost, in seconds of stall, at which the chance of
	// an endpoint to be chosen for an urgent copy falls to 1/e. A notice makes all
	// instances choose in the same moment, and a quarter of an endpoint's memory is
	// what several of them may bring there.
	copySpread = 0.25
)

// Copy is a running generation whose memory goes to a second endpoint.
type Copy struct {
	Account string
	From    string // endpoint at which it runs
	Place   string // of that endpoint
	Prompt  int    // tokens
	Done    int    // tokens produced
	Max     int    // most tokens to produce; zero for no limit
	Exclude []string
	Urgent  bool // its endpoint goes away
	Near    bool // only an endpoint in the same place will do
}

// PlaceCopy chooses an endpoint for a copy and reserves memory there until
// Done. It never waits: without an endpoint within the risk, None is set.
func (s *Scheduler) PlaceCopy(c Copy, now time.Time) Decision {
	s.once.Do(s.init)
	estimate := s.Length.Predict(s.Service, c.Account, c.Max)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	req := &Request{Account: c.Account, Prompt: c.Prompt + c.Done, Arrived: now, Exclude: append(slices.Clone(c.Exclude), c.From)}
	s.match(req)
	var o outlook
	s.look(&o, req, &estimate)
	o.ahead = expect(&estimate, float64(c.Prompt), c.Done, &s.ahead)
	limit := copyBudget
	if c.Urgent {
		limit = moveBudget
	}
	ceiling := s.copyCeiling()
	if c.Urgent {
		ceiling = math.Inf(1)
	}
	s.scratch = s.scratch[:0]
	lowest := math.Inf(1)
	for _, e := range s.list {
		if !s.usable(e, req) || c.Near && e.Place != c.Place {
			continue
		}
		risk, cost := s.judge(e, &o)
		if risk > limit || e.others+e.used+float64(req.Prompt) > ceiling*e.total {
			continue
		}
		if e.Place != c.Place {
			cost += copyAwayCost
		}
		// Fewer generations and less memory in use spread the copies.
		cost += (e.others + e.used) / e.total
		lowest = min(lowest, cost)
		s.scratch = append(s.scratch, candidate{e, cost})
	}
	if len(s.scratch) == 0 {
		return Decision{None: true}
	}
	best := s.pickForCopy(lowest, c.Urgent)
	ticket := s.reserve(best, req, &estimate)
	// A copy is not computed.
	best.fill = max(best.fill-float64(req.Prompt), 0)
	best.sent -= float64(req.Prompt)
	best.sentSince -= float64(req.Prompt)
	s.sentSince -= float64(req.Prompt)
	if r := s.find(ticket); r != nil {
		r.prompt, r.done = max(float64(c.Prompt), 1), c.Done
		s.replan(r, 0)
		r.copy = true
		best.copied += r.prompt + float64(r.done)
	}
	return Decision{Endpoint: best.ID, Ticket: ticket}
}

// pickForCopy takes the candidate with the lowest cost, or, for an urgent copy, a
// random one of those that cost little more.
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

// copyCeiling gives the share of an endpoint's memory up to which copies may
// fill it.
func (s *Scheduler) copyCeiling() float64 {
	var requests, total float64
	for _, e := range s.list {
		if !e.closed {
			requests += e.others + e.used - e.copied - e.othersCopied
			total += e.total
		}
	}
	crowd := (requests/max(total, 1) - copyFrom) / (copyTo - copyFrom)
	return copyMost + min(max(crowd, 0), 1)*(copyLeast-copyMost)
}

// Adopt says that a generation goes on from its copy.
func (s *Scheduler) Adopt(ticket Ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.find(ticket); r != nil {
		s.uncopy(r)
	}
}

// uncopy makes the memory of a copy that of a generation.
func (s *Scheduler) uncopy(r *reservation) {
	if !r.copy {
		return
	}
	r.copy = false
	r.ep.copied = max(r.ep.copied-r.prompt-float64(r.done), 0)
}
