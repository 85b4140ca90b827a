// Package placement chooses the engine that runs a generation, or holds the
// generation at the entry.
//
// A generation takes memory on its engine for its prompt and for each token it
// produces, and nobody knows how many it will produce. When an engine's memory
// fills in the middle of decoding it preempts a generation and computes it
// again later. Every generation in a batch also slows down all the others.
//
// A Scheduler keeps, for each endpoint, the memory of its own generations and
// the expected memory and its variance a few horizons ahead, from the
// distribution of output lengths. The work of other entries is what the last
// report showed beyond the scheduler's own work at the time of that report, so
// own work is never counted twice. What other entries send between reports is
// estimated from what this one sends, and a random choice between near-equal
// candidates keeps entries that decide on the same reports apart.
//
// A step that computes a long prompt delays every generation of its batch. Long
// prompts are therefore drawn to a quarter of the endpoints of each region and
// short ones to the others: the former then run fewer generations on the same
// memory, and fewer of them are delayed. The quarter is chosen by hash, so that
// all entries agree on it without messages.
//
// The risk of sending is the probability that the memory fills plus the excess
// of the step time over the gap target, each times its weight. Work is sent if
// the risk is within a budget that grows with the time the work has waited, so
// that nothing waits for ever; among the endpoints within the budget the one
// with the lowest cost is chosen.
package placement

import (
	"expvar"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/eelgrassdock/eelgrassdock/process/length"
)

// Policies.
const (
	Current    Policy = "current"
	Previous   Policy = "previous"   // the version before Current
	RoundRobin Policy = "roundrobin" // each endpoint in turn
	LeastConn  Policy = "leastconn"  // the fewest generations
	TwoChoice  Policy = "twochoice"  // the better of two random endpoints
)

type (
	// Policy names a rule for choosing an endpoint.
	Policy string

	// Weights say what counts how much. All zero means 1, 1, 1.
	Weights struct {
		Stall   float64 // time to the first token
		Gap     float64 // time between tokens
		Preempt float64 // preemptions
	}

	// Endpoint is an engine as the configuration describes it.
	Endpoint struct {
		ID     string
		Place  string
		Region string
		Tokens int64 // memory; a report's total replaces it
		Drain  bool
	}

	// Report is the load of an endpoint as it was at At.
	Report struct {
		At                     time.Time
		Running, Waiting       int
		Used, Total, Preempted int64
		Leaving                bool
		StepTime               time.Duration // recent time between tokens; zero if unknown
	}

	// CacheEvent is one change of an endpoint's prefix cache.
	CacheEvent struct {
		Seq    int64
		Prefix uint64
		Gone   bool
	}

	// Request is a generation to be placed.
	Request struct {
		ID       uint64 // not used by the decision
		Account  string
		Prompt   int      // tokens
		Prefix   []uint64 // hashes of the prompt's prefixes, one each PrefixTokens
		Max      int      // most tokens to produce; zero for no limit
		Rank     int      // not used by the decision; the queue and the engine use it
		Arrived  time.Time
		Deadline time.Time // the request is not sent from then on; zero for none
		Exclude  []string  // endpoints that have failed this request
	}

	// Ticket is the reservation of a placed generation.
	Ticket uint64

	// Decision says where a generation goes. Exactly one of Endpoint, Wait and
	// None is set.
	Decision struct {
		Endpoint string
		Wait     bool   // no endpoint is worth the risk now; ask again
		None     bool   // no endpoint can be used
		Ticket   Ticket // for Progress and Done, if Endpoint is set
	}

	// Scheduler places the generations of one service at one entry. Exported
	// fields are set before use. It is safe for concurrent use.
	Scheduler struct {
		Policy  Policy  // Current if empty; SetRule changes it later
		Weights Weights // likewise
		Region  string  // of the entry
		// EntryPlace is the place of the entry.
		EntryPlace string
		Seed       uint64
		Service    string
		// Length predicts output lengths; nil means a learner of its own.
		Length *length.Learner
		// PrefixTokens is the number of prompt tokens for each prefix hash, 256
		// if zero.
		PrefixTokens int
		// FillTime is the time an engine takes for 1,000 prompt tokens, 30 ms if
		// zero. Started corrects it.
		FillTime time.Duration
		// Chunked says that engines compute prompts in chunks between the tokens
		// of other generations. A long prompt then delays no step by much, and
		// is not kept away from other work.
		Chunked bool
		// Ahead are the numbers of tokens ahead at which memory is predicted, in
		// ascending order; zero means 8, 16, 64, 128. They should cover a few
		// seconds at the speed of the engines.
		Ahead [horizons]int
		// Memory is the cost, in seconds of stall, of an endpoint whose memory is
		// full against one that is empty. It spreads generations before their
		// memory is short.
		Memory float64
		// Far is the cost of an endpoint in another region, in seconds of stall,
		// beside the bytes; 0.03 if zero.
		Far float64
		// Violation is called when an invariant doesn't hold. If nil, it panics
		// in tests and counts in expvar otherwise.
		Violation func(string)

		mu        sync.Mutex
		policy    Policy // in effect, like the weights
		weights   Weights
		once      sync.Once
		rand      *rand.Rand
		now       time.Time // latest time seen
		nanos     int64     // the same
		peers     int
		list      []*endpoint // in the order of SetEndpoints
		byID      map[string]*endpoint
		slots     []reservation
		free      []uint32
		beliefs   prefixIndex
		step      stepModel
		speed     speed
		flow      flow
		mix       mix
		turn      int
		marks     uint64
		scratch   []candidate
		bytes     int64
		ahead     [horizons]int
		sentSince float64 // sum over the list
		poolShare float64 // memory in use of all usable endpoints, at the last Place
	}
)

var counters = expvar.NewMap("placement")

// SetEndpoints sets the endpoints. Generations on an endpoint that is no longer
// listed keep their reservations.
func (s *Scheduler) SetEndpoints(endpoints []Endpoint) {
	s.once.Do(s.init)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list, s.sentSince = s.list[:0], 0
	listed := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		if listed[e.ID] {
			continue
		}
		listed[e.ID] = true
		ep := s.byID[e.ID]
		if ep == nil {
			ep = &endpoint{history: &history{}}
			s.byID[e.ID] = ep
		}
		ep.Endpoint = e
		ep.settle()
		ep.far = e.Region != s.Region
		ep.near = e.Place == s.EntryPlace
		s.list = append(s.list, ep)
		s.sentSince += ep.sentSince
	}
	for id := range s.byID {
		if !listed[id] {
			delete(s.byID, id)
		}
	}
	s.chooseLong()
}

// SetRule replaces the policy and the weights for the decisions that follow.
// Generations that run keep their reservations.
func (s *Scheduler) SetRule(policy Policy, weights Weights) {
	s.once.Do(s.init)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setRule(policy, weights)
}

func (s *Scheduler) setRule(policy Policy, weights Weights) {
	if weights == (Weights{}) {
		weights = Weights{Stall: 1, Gap: 1, Preempt: 1}
	}
	s.policy, s.weights = policy, weights
	ahead := horizonTokens
	if s.Ahead != ([horizons]int{}) {
		ahead = s.Ahead
	}
	if policy == Previous {
		ahead = previousHorizons
	}
	if ahead == s.ahead {
		return
	}
	s.ahead = ahead
	for i := range s.slots {
		if r := &s.slots[i]; r.active {
			s.replan(r, 0)
		}
	}
}

// SetPeers sets how many entries, this one included, share the endpoints.
func (s *Scheduler) SetPeers(n int) {
	s.once.Do(s.init)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers = max(n, 1)
}

// Report takes in a report of an endpoint's load. Reports may be late; one that
// is older than another already taken in is dropped.
func (s *Scheduler) Report(id string, r Report, now time.Time) {
	s.once.Do(s.init)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	ep := s.byID[id]
	if ep == nil || r.At.Before(ep.report.At) && now.Sub(ep.received) < staleAfter {
		return
	}
	if r.At.After(now) {
		r.At = now
	}
	s.sentSince += ep.take(r, now)
	if r.StepTime > 0 && r.Running > 0 {
		s.step.learn(float64(r.Running), float64(r.Used), r.StepTime.Seconds())
	}
}

// Cache takes in changes of an endpoint's prefix cache. Events may be late and
// have gaps.
func (s *Scheduler) Cache(id string, events []CacheEvent) {
	s.once.Do(s.init)
	s.mu.Lock()
	defer s.mu.Unlock()
	ep := s.byID[id]
	if ep == nil {
		return
	}
	for _, e := range events {
		s.beliefs.apply(ep, e)
	}
}

// Suspect keeps new work from an endpoint until a time.
func (s *Scheduler) Suspect(id string, until time.Time) {
	s.once.Do(s.init)
	s.mu.Lock()
	defer s.mu.Unlock()
	if ep := s.byID[id]; ep != nil {
		ep.suspect = until.UnixNano()
	}
}

// Place chooses an endpoint and reserves memory there until Done.
func (s *Scheduler) Place(req Request, now time.Time) Decision {
	s.once.Do(s.init)
	estimate := s.Length.Predict(s.Service, req.Account, req.Max)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	if !req.Deadline.IsZero() && !s.now.Before(req.Deadline) {
		return Decision{Wait: true}
	}
	var ep *endpoint
	var wait bool
	switch s.policy {
	case RoundRobin:
		ep = s.roundRobin(&req)
	case LeastConn:
		ep = s.leastConn(&req)
	case TwoChoice:
		ep = s.twoChoice(&req)
	default:
		ep, wait = s.choose(&req, &estimate)
	}
	if ep == nil {
		return Decision{Wait: wait, None: !wait}
	}
	return Decision{Endpoint: ep.ID, Ticket: s.reserve(ep, &req, &estimate)}
}

// Bytes gives the bytes that placed work has moved between regions.
func (s *Scheduler) Bytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes
}

func (s *Scheduler) init() {
	s.rand = rand.New(rand.NewPCG(s.Seed, 0x706c616365))
	s.byID = make(map[string]*endpoint)
	s.beliefs.init()
	s.peers = 1
	s.step.init()
	s.setRule(s.Policy, s.Weights)
	s.turn = int(s.Seed % 1024)
	if s.PrefixTokens == 0 {
		s.PrefixTokens = 256
	}
	if s.FillTime == 0 {
		s.FillTime = 30 * time.Millisecond
	}
	if s.Far == 0 {
		s.Far = farSeconds
	}
	if s.Length == nil {
		s.Length = &length.Learner{}
	}
}

// advance keeps the time from going backwards when callers race.
func (s *Scheduler) advance(now time.Time) {
	if now.After(s.now) {
		s.now, s.nanos = now, now.UnixNano()
	}
}

func (s *Scheduler) violate(what string) {
	if s.Violation != nil {
		s.Violation(what)
		return
	}
	if testing.Testing() {
		panic("placement: " + what)
	}
	counters.Add("violations", 1)
}
