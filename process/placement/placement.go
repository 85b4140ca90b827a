// Package placement chooses the engine that runs a generation, or holds the
// generation at the entry.
//
// A generation uses memory on its engine for its prompt and for each token that
// it produces, and its output length is not known in advance. An engine whose
// memory fills during decoding preempts a generation and computes it again
// later. Each generation in a batch also slows down all others in it.
//
// For each endpoint, a Scheduler keeps the memory used by its own generations
// and, from the distribution of output lengths, the mean and variance of that
// memory at a few horizons ahead. The work of other entries is the load in the
// last report minus the scheduler's own work at the time of that report, so that
// own work is never counted twice. Work that other entries send between reports
// is estimated from what this entry sends. The choice between candidates of
// nearly equal cost is random, so that entries which decide on the same reports
// do not all choose the same endpoint.
//
// A step that computes a long prompt delays every generation of its batch. Long
// prompts are therefore steered to a quarter of the endpoints of each region and
// short ones to the rest: the former then run fewer generations on the same
// memory, so that fewer generations are delayed. The quarter is selected by
// hash, so that all entries agree on it without messages.
//
// Engines differ in speed. Entries that exchange their work also exchange the time that
// generations took for tokens, and the time that was predicted for these; the ratio, relative
// to that of all engines, scales what a step and a prompt are expected to take there.
//
// The risk of sending is the probability that the memory fills plus the excess
// of the step time over the gap target, each times its weight. Work is sent if
// the risk is within a budget that grows with the time the work has waited, so
// that no work waits indefinitely. Among the endpoints within the budget, the
// one with the lowest cost is chosen.
package placement

import (
	"expvar"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/eelgrassdock/eelgrassdock/process/length"
	"github.com/eelgrassdock/eelgrassdock/version/routing"
)

// Policies.
const (
	Current    Policy = "current"
	Previous   Policy = "previous"   // the version before Current
	RoundRobin Policy = "roundrobin" // each endpoint in turn
	LeastConn  Policy = "leastconn"  // the fewest own generations
	TwoChoice  Policy = "twochoice"  // the better of two random endpoints
)

type (
	// Policy names a rule for choosing an endpoint.
	Policy string

	// Weights are the relative weights of the goals. The zero value means 1 each.
	Weights struct {
		Stall   float64 // time to the first token
		Gap     float64 // time between tokens
		Preempt float64 // preemptions
	}

	// Endpoint is the configuration of an engine.
	Endpoint struct {
		ID     string
		Place  string
		Region string
		Tokens int64 // memory; replaced by the total in a report
		Born   int64 // start of the process in Unix milliseconds, 0 if unknown
		Drain  bool
		Slots  int // generations that it runs at once; zero means unknown
	}

	// Report is the load of an endpoint at the time At.
	Report struct {
		At                     time.Time
		Running, Waiting       int
		Used, Total, Preempted int64
		Leaving                bool
		StepTime               time.Duration // recent time between tokens; zero means unknown
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
		Prefix   []uint64 // hashes of the prompt's prefixes, one every PrefixTokens
		Parts    []Part   // of the prompt, in order; used if Scheduler.Parts is set
		Max      int      // limit of tokens to produce; zero means none
		Rank     int      // for the queue and the engine; not used by the decision
		Arrived  time.Time
		Deadline time.Time       // time from which the request is not sent; zero means none
		Exclude  []string        // endpoints that have failed this request
		Regions  routing.Regions // in which it may run; nil allows all
		// FirstBy is the time by which the first token is wanted; zero means no such time.
		// An endpoint that is forecast to produce it later is not chosen.
		FirstBy time.Time
		// ReserveShare is the share of an endpoint's memory that must stay free beside the request.
		ReserveShare float64
		// Bind sends the request also if no endpoint has room for it: to the one that is
		// forecast to have room first, where it waits. Other entries see its memory in use.
		Bind bool
	}

	// Ticket is the reservation of a placed generation.
	Ticket uint64

	// Decision is the result of a placement. Exactly one of Endpoint, Wait and
	// None is set.
	Decision struct {
		Endpoint string
		Wait     bool   // no endpoint is within the risk budget now; try again later
		Late     bool   // with Wait: an endpoint is within the risk budget, but not by FirstBy
		None     bool   // no endpoint is usable
		Ticket   Ticket // for Progress and Done, if Endpoint is set
	}

	// Scheduler places the generations of one service at one entry. Set the
	// exported fields before first use. It is safe for concurrent use.
	Scheduler struct {
		Policy  Policy  // initial policy, Current if empty; SetPolicy replaces it
		Weights Weights // initial weights; SetPolicy replaces them
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
		// Parts weighs, for each request with Request.Parts, the computing time that an
		// endpoint saves which has probably cached the beginning of the prompt.
		Parts bool
		// FillTime is the prefill time of an engine for 1,000 prompt tokens, 30 ms if
		// zero. Started corrects the estimate with observed times.
		FillTime time.Duration
		// Chunked means that engines compute prompts in chunks between the tokens
		// of other generations. A long prompt then delays no step by much and is
		// not separated from other work.
		Chunked bool
		// Ahead holds the horizons at which memory is predicted, in tokens ahead
		// and in ascending order; zero means 8, 16, 64, 128. They should cover a
		// few seconds at the speed of the engines.
		Ahead [horizons]int
		// MemoryCost is the cost, in seconds of stall, of an endpoint with full memory
		// compared with an empty one. It spreads generations before memory gets
		// scarce.
		MemoryCost float64
		// LoadAge is the mean age of the work that SetOthers passes; SetLoadAge replaces it. If
		// it is not zero, the choice allows for the requests that other entries have placed in
		// this time.
		LoadAge time.Duration
		// Limited reports whether an endpoint takes no copies, because it has named a
		// limit on its requests for example, and whether a request may be sent to it
		// now. If nil, all endpoints take both.
		Limited func(endpoint string) (limited, ready bool)
		// FarCost is the cost of an endpoint in another region, in seconds of stall,
		// in addition to the cost of the bytes; 0.03 if zero.
		FarCost float64
		// Forecast, if not nil, is called at each first token with the time that was forecast
		// for it and the time that it took. It must not call the Scheduler.
		Forecast func(forecast, took time.Duration)
		// Violation is called when an invariant does not hold. If nil, a violation
		// panics in tests and is counted in expvar otherwise.
		Violation func(string)

		mu        sync.Mutex
		policy    Policy // in effect, as are the weights
		weights   Weights
		once      sync.Once
		rand      *rand.Rand
		now       time.Time // latest time seen
		nanos     int64     // now in Unix nanoseconds
		peers     int
		list      []*endpoint // in the order of SetEndpoints
		byID      map[string]*endpoint
		slots     []reservation
		free      []uint32
		prefixes  prefixIndex
		parts     partIndex
		step      stepModel
		fillSpeed fillSpeed
		pace      pace // of all endpoints
		unseen    unseenWork
		sending   sendStats
		own       ownTotals
		turn      int
		matchSeq  uint64
		scratch   []candidate
		bytes     int64
		ahead     [horizons]int
		sentSince float64 // sum over list
		late      bool    // the last choose left an endpoint out because of FirstBy only
		poolShare float64 // share of the memory of all usable endpoints in use at the last Place without regions
	}
)

var counters = expvar.NewMap("placement")

// SetEndpoints replaces the list of endpoints. Generations on an endpoint that is
// no longer listed keep their reservations.
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
		if ep.Born != e.Born {
			ep.turnover += ep.total // nothing that was cached before is left
		}
		ep.Endpoint = e
		ep.updateDerived()
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
	s.chooseLongEndpoints()
}

// SetPolicy replaces the policy and the weights for later decisions. Running
// generations keep their reservations.
func (s *Scheduler) SetPolicy(policy Policy, weights Weights) {
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
			s.reforecast(r, 0)
		}
	}
}

// SetLoadAge replaces LoadAge.
func (s *Scheduler) SetLoadAge(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.LoadAge = age
}

// SetPeers sets the number of entries, including this one, that share the
// endpoints.
func (s *Scheduler) SetPeers(n int) {
	s.once.Do(s.init)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers = max(n, 1)
}

// Report applies a report of an endpoint's load. Reports may be late: one that is
// older than the last applied report is dropped, unless that was received at
// least staleAfter ago.
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
	s.sentSince += ep.applyReport(r, now)
	if r.StepTime > 0 && r.Running > 0 {
		s.step.learn(float64(r.Running), float64(r.Used), r.StepTime.Seconds())
	}
}

// Cache applies changes of an endpoint's prefix cache. Events may be late and
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
		s.prefixes.apply(ep, e)
	}
}

// Suspect keeps new work from an endpoint until the given time.
func (s *Scheduler) Suspect(id string, until time.Time) {
	s.once.Do(s.init)
	s.mu.Lock()
	defer s.mu.Unlock()
	if ep := s.byID[id]; ep != nil {
		ep.suspect = until.UnixNano()
	}
}

// SuspectedUntil returns the time until which an endpoint gets no new work because of
// the last call of Suspect, zero if it is not known.
func (s *Scheduler) SuspectedUntil(id string) time.Time {
	s.once.Do(s.init)
	s.mu.Lock()
	defer s.mu.Unlock()
	if ep := s.byID[id]; ep != nil && ep.suspect != 0 {
		return time.Unix(0, ep.suspect)
	}
	return time.Time{}
}

// SetSilent marks an endpoint as silent, or ends that. A silent endpoint does not
// respond, but nothing shows that it has ended: it gets no new work, and a request for
// which no other endpoint is usable waits.
func (s *Scheduler) SetSilent(id string, silent bool) {
	s.once.Do(s.init)
	s.mu.Lock()
	defer s.mu.Unlock()
	if ep := s.byID[id]; ep != nil {
		ep.silent = silent
	}
}

// Place chooses an endpoint for a request and reserves memory there until Done.
// At or after the request's deadline the decision is Wait.
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
		wait = wait || slices.ContainsFunc(s.list, func(e *endpoint) bool { return s.mayBecomeUsable(e, &req) })
		return Decision{Wait: wait, None: !wait, Late: wait && s.late}
	}
	ticket := s.reserve(ep, &req, &estimate)
	s.find(ticket).firstAfter = ep.forecast
	return Decision{Endpoint: ep.ID, Ticket: ticket}
}

// Bytes returns the number of bytes that placed work has moved between regions.
func (s *Scheduler) Bytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes
}

func (s *Scheduler) init() {
	s.rand = rand.New(rand.NewPCG(s.Seed, 0x706c616365))
	s.byID = make(map[string]*endpoint)
	s.prefixes.init()
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
	if s.FarCost == 0 {
		s.FarCost = farSeconds
	}
	if s.Length == nil {
		s.Length = &length.Learner{}
	}
}

// advance sets the current time, but never moves it back: concurrent callers may
// pass their times out of order.
func (s *Scheduler) advance(now time.Time) {
	if now.After(s.now) {
		s.now, s.nanos = now, now.UnixNano()
	}
}

// reportViolation reports that an invariant does not hold, as Violation says.
func (s *Scheduler) reportViolation(what string) {
	if s.Violation != nil {
		s.Violation(what)
		return
	}
	if testing.Testing() {
		panic("placement: " + what)
	}
	counters.Add("violations", 1)
}
