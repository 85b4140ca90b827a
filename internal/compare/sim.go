package compare

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/eelgrassdock/eelgrassdock/process/length"
	"github.com/eelgrassdock/eelgrassdock/process/placement"
	"github.com/eelgrassdock/eelgrassdock/standin/model"
)

const (
	regions           = 3
	pollInterval      = time.Second
	retryPeriod       = 100 * time.Millisecond // between attempts to place held requests
	localDelay        = time.Millisecond       // one-way network delay within a region
	farDelay          = 30 * time.Millisecond  // one-way network delay between regions
	firstTokenTimeout = 30 * time.Second       // from arrival to the first token
	maxUnplaced       = 4                      // failed attempts after which a pass over the held requests stops
)

type (
	// sim is one simulation: engines and entries under a manual clock. Times
	// are relative to its start.
	sim struct {
		load    Load
		now     time.Duration
		events  eventHeap
		order   uint64 // of the last event
		engines []*engine
		entries []*entry
		flights map[string]*flight // unfinished requests by generation ID
		rand    *rand.Rand
		from    time.Duration // start of the measured window
		to      time.Duration // end of the measured window
		result  *result
		// needsProgress is true if the policy's decisions depend on the number
		// of tokens that each generation has produced.
		needsProgress bool
	}

	// event is a function that is due at a time. Events due at the same time
	// run by order.
	event struct {
		at    time.Duration
		order uint64
		run   func()
	}

	eventHeap []event

	engine struct {
		*model.Engine
		index            int
		region           int
		busy             bool  // a step is running
		lost             bool  // has failed
		preemptedAtStart int64 // preemptions up to the start of the window
	}

	entry struct {
		index    int
		region   int
		sched    *placement.Scheduler
		held     []*flight // not placed yet, by rank and then by arrival
		retrying bool      // a retryTick is scheduled
		seen     []int64   // sequence number of the last cache event read, for each engine
	}

	// flight is one request, from its arrival until it completes or is refused.
	flight struct {
		arrival
		id       uint64
		gen      string
		entry    *entry
		engine   *engine // nil while held
		ticket   placement.Ticket
		exclude  []string      // engines that failed or rejected the request
		tokens   int           // produced so far
		last     time.Duration // time of the last token
		finished bool
	}

	// result holds the raw measurements of one simulation.
	result struct {
		stall, gap *hdrhistogram.Histogram // in microseconds
		requests   int
		preempted  int64
		refused    map[string]int // by reason
		bytes      int64          // moved between regions
		tokens     int64
		seconds    float64 // length of the window
		used       float64 // sum of the sampled shares of memory in use
		samples    int
	}
)

// epoch is the wall clock time at which each simulation starts.
var epoch = time.Unix(1_700_000_000, 0)

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}

func newResult() *result {
	return &result{
		stall: hdrhistogram.New(1, 600_000_000, 3), gap: hdrhistogram.New(1, 600_000_000, 3),
		refused: map[string]int{},
	}
}

// after schedules run for the time d from now.
func (s *sim) after(d time.Duration, run func()) {
	s.order++
	heap.Push(&s.events, event{s.now + d, s.order, run})
}

// clock returns the simulated time as wall clock time.
func (s *sim) clock() time.Time { return epoch.Add(s.now) }

// inWindow reports whether a time lies in the measured window.
func (s *sim) inWindow(at time.Duration) bool { return at >= s.from && at < s.to }

// simulate runs one policy on one trace and returns its measurements.
func simulate(l Load, o *Options, policy placement.Policy, weights placement.Weights, seed uint64, arrivals []arrival) *result {
	span := l.warm(o) + o.Window
	s := &sim{
		load: l, flights: map[string]*flight{}, rand: rand.New(rand.NewPCG(seed, 0x73696d)),
		from: l.warm(o), to: span, result: newResult(),
		needsProgress: policy != placement.RoundRobin && policy != placement.LeastConn,
	}
	s.build(l, o, policy, weights, seed)
	for i, a := range arrivals {
		s.order++
		heap.Push(&s.events, event{a.at, s.order, func() { s.arrive(a, i) }})
	}
	s.after(s.from, s.openWindow)
	s.after(s.to, s.closeWindow)
	if l.Lost {
		s.after((s.from+s.to)/2, func() { s.failEngine(s.engines[0]) })
	}
	// After the window the simulation goes on until each request that arrived in
	// it has its first token or is refused. Nothing else is measured then.
	for len(s.events) > 0 && s.now < s.to+firstTokenTimeout+time.Second {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.result.seconds = o.Window.Seconds()
	return s.result
}

// build creates the engines and entries and schedules the entries' first polls.
func (s *sim) build(l Load, o *Options, policy placement.Policy, weights placement.Weights, seed uint64) {
	var endpoints []placement.Endpoint
	for i := range o.Engines {
		cfg := o.Engine
		cfg.Seed = seed*1000 + uint64(i)
		s.engines = append(s.engines, &engine{Engine: model.New(cfg), index: i, region: i % regions})
		endpoints = append(endpoints, placement.Endpoint{
			ID: name(i), Region: name(i % regions), Place: name(i % regions), Tokens: cfg.Memory,
		})
	}
	for i := range l.Entries {
		e := &entry{index: i, region: i % regions, seen: make([]int64, o.Engines)}
		e.sched = &placement.Scheduler{
			Policy: policy, Weights: weights, Seed: seed*100 + uint64(i), Service: "s",
			Region: name(e.region), EntryPlace: name(e.region), Length: s.trainedLearner(l, seed), PrefixTokens: prefixLen,
		}
		e.sched.SetEndpoints(endpoints)
		e.sched.SetPeers(l.Entries)
		s.entries = append(s.entries, e)
		s.after(time.Duration(s.rand.Int64N(int64(pollInterval))), func() { s.poll(e) })
	}
}

// name returns the ID of engine, region or account i, one letter.
func name(i int) string { return fmt.Sprintf("%c", 'a'+i) }

// trainedLearner returns a learner with 2,000 observed output lengths, like that
// of an entry that has been running for a while.
func (s *sim) trainedLearner(l Load, seed uint64) *length.Learner {
	src := newSource(l, seed)
	var learner length.Learner
	for range 2000 {
		a := src.draw()
		learner.Observe("s", name(a.account), a.work.Length, epoch)
	}
	return &learner
}

// arrive sends a request to one of at most two entries that depend on the account.
// With 7 entries, the default, these are entries 0 and 3 for every account; with
// 3 entries, each account has just one.
func (s *sim) arrive(a arrival, i int) {
	f := &flight{arrival: a, id: uint64(i), gen: fmt.Sprint(i)}
	f.entry = s.entries[(a.account*7+3*s.rand.IntN(2))%len(s.entries)]
	f.work.Gen = f.gen
	if s.inWindow(s.now) {
		s.result.requests++
	}
	s.flights[f.gen] = f
	s.after(firstTokenTimeout, func() { s.expire(f) })
	if !s.place(f) {
		s.hold(f)
	}
}

// place sends a request to the engine that the policy chooses. It returns false
// if the policy does not place the request yet.
func (s *sim) place(f *flight) bool {
	d := f.entry.sched.Place(placement.Request{
		ID: f.id, Account: name(f.account), Prompt: int(f.work.Prompt), Prefix: f.work.Prefix,
		Max: f.work.Max, Rank: f.work.Rank, Arrived: epoch.Add(f.at), Deadline: epoch.Add(f.at + firstTokenTimeout),
		Exclude: f.exclude,
	}, s.clock())
	if d.Endpoint == "" {
		return false
	}
	f.ticket = d.Ticket
	f.engine = s.engines[d.Endpoint[0]-'a']
	e := f.engine
	s.after(delay(f.entry, e), func() { s.submit(f, e) })
	return true
}

// delay returns the one-way network delay between an entry and an engine.
func delay(e *entry, to *engine) time.Duration {
	if e.region == to.region {
		return localDelay
	}
	return farDelay
}

// submit delivers a request to an engine.
func (s *sim) submit(f *flight, e *engine) {
	if f.finished {
		return
	}
	if e.lost || !e.Submit(f.work) {
		s.retryElsewhere(f, e)
		return
	}
	if !e.busy {
		s.step(e)
	}
}

// retryElsewhere places a request again after its engine failed before the
// first token, or rejected it. The entry excludes that engine for this request
// and, because it suspects it, sends no new work of other requests there either
// until an hour after the start of the simulation. The default loads end earlier.
func (s *sim) retryElsewhere(f *flight, e *engine) {
	f.entry.sched.Done(f.ticket, 0, false, s.clock())
	f.entry.sched.Suspect(name(e.index), epoch.Add(time.Hour))
	f.engine = nil
	f.exclude = append(f.exclude, name(e.index))
	if !s.place(f) {
		s.hold(f)
	}
}

// step runs an engine's steps one after another until it has no work or fails.
func (s *sim) step(e *engine) {
	tokens, took := e.Step()
	e.busy = took > 0
	if !e.busy || e.lost {
		return
	}
	// Step reuses the slice of tokens, so they are read before the next step.
	s.after(took, func() {
		if e.lost {
			return
		}
		now := s.clock()
		for _, t := range tokens {
			s.recordToken(s.flights[t.Gen], t, now)
		}
		s.step(e)
	})
}

// recordToken measures one token and reports it to the scheduler. After the last
// token of a generation, the entry retries its held requests.
func (s *sim) recordToken(f *flight, t model.Token, now time.Time) {
	if f == nil || f.finished {
		return
	}
	if f.tokens == 0 && s.inWindow(f.at) {
		_ = s.result.stall.RecordValue(max(int64((s.now-f.at+delay(f.entry, f.engine))/time.Microsecond), 1))
	}
	if s.inWindow(s.now) {
		s.result.tokens++
		if f.tokens > 0 {
			_ = s.result.gap.RecordValue(max(int64((s.now-f.last)/time.Microsecond), 1))
		}
	}
	f.tokens, f.last = t.N, s.now
	if s.needsProgress {
		f.entry.sched.Progress(f.ticket, t.N, now)
	}
	if t.End {
		s.finish(f, true)
		s.retry(f.entry)
	}
}

// finish removes a request. completed means that its generation ended by
// itself, so that the scheduler learns its length.
func (s *sim) finish(f *flight, completed bool) {
	f.finished = true
	delete(s.flights, f.gen)
	if f.engine != nil {
		f.entry.sched.Done(f.ticket, f.tokens, completed, s.clock())
	}
}

// refuse ends a request with a reason for its refusal and cancels its
// generation.
func (s *sim) refuse(f *flight, reason string) {
	if s.inWindow(f.at) {
		s.result.refused[reason]++
	}
	if f.engine != nil {
		f.engine.Cancel(f.gen)
	}
	s.finish(f, false)
}

// expire refuses a request that has no first token at its deadline.
func (s *sim) expire(f *flight) {
	if !f.finished && f.tokens == 0 {
		f.entry.held = slices.DeleteFunc(f.entry.held, func(o *flight) bool { return o == f })
		s.refuse(f, "deadline")
	}
}

// hold queues a request at its entry, by rank and then by arrival, and starts
// the periodic retries if they are not running.
func (s *sim) hold(f *flight) {
	e := f.entry
	i, _ := slices.BinarySearchFunc(e.held, f, func(a, b *flight) int {
		if a.work.Rank != b.work.Rank {
			return b.work.Rank - a.work.Rank
		}
		return int(a.id) - int(b.id)
	})
	e.held = slices.Insert(e.held, i, f)
	if !e.retrying {
		e.retrying = true
		s.after(retryPeriod, func() { s.retryTick(e) })
	}
}

// retryTick retries the held requests of an entry once a retryPeriod while there
// are any.
func (s *sim) retryTick(e *entry) {
	s.retry(e)
	if e.retrying = len(e.held) > 0; e.retrying {
		s.after(retryPeriod, func() { s.retryTick(e) })
	}
}

// retry tries to place held requests in order. Later requests may overtake a
// few that cannot be placed: the pass stops after maxUnplaced failed attempts.
func (s *sim) retry(e *entry) {
	for i := 0; i < len(e.held) && i < maxUnplaced; {
		if s.place(e.held[i]) {
			e.held = slices.Delete(e.held, i, i+1)
			continue
		}
		i++
	}
}

// poll reads the load and cache events of all engines and delivers them to the
// entry after the load's lag and the network delay. It schedules the next poll.
func (s *sim) poll(e *entry) {
	s.after(pollInterval, func() { s.poll(e) })
	at := s.clock()
	if e.index == 0 && s.inWindow(s.now) {
		s.sampleMemory()
	}
	for i, en := range s.engines {
		if en.lost {
			continue
		}
		r := en.Report()
		report := placement.Report{
			At: at, Running: r.Running, Waiting: r.Waiting, Used: r.Used, Total: r.Total,
			Preempted: r.Preempted, Leaving: r.Leaving, StepTime: r.StepTime,
		}
		var events []placement.CacheEvent
		for _, c := range en.Events(e.seen[i]) {
			events = append(events, placement.CacheEvent(c))
			e.seen[i] = c.Seq
		}
		s.after(s.load.Lag+delay(e, en), func() {
			e.sched.Report(name(i), report, s.clock())
			e.sched.Cache(name(i), events)
		})
	}
	s.after(s.load.Lag+farDelay, func() { s.retry(e) })
}

// failEngine makes an engine fail. Requests without a token are placed at other
// engines, requests with tokens are refused.
func (s *sim) failEngine(e *engine) {
	e.lost = true
	var affected []*flight
	for _, f := range s.flights {
		if f.engine == e {
			affected = append(affected, f)
		}
	}
	slices.SortFunc(affected, func(a, b *flight) int { return int(a.id) - int(b.id) })
	for _, f := range affected {
		if f.tokens > 0 {
			s.refuse(f, "generation_lost")
		} else if e.Cancel(f.gen) {
			s.retryElsewhere(f, e)
		}
	}
	for _, entry := range s.entries {
		entry.sched.Suspect(name(e.index), epoch.Add(time.Hour))
	}
}

// openWindow subtracts the bytes moved before the window and records the
// engines' preemptions up to its start.
func (s *sim) openWindow() {
	for _, e := range s.engines {
		e.preemptedAtStart = e.Report().Preempted
	}
	for _, e := range s.entries {
		s.result.bytes -= e.sched.Bytes()
	}
}

// closeWindow adds up the preemptions and the bytes moved in the window.
func (s *sim) closeWindow() {
	for _, e := range s.engines {
		s.result.preempted += e.Report().Preempted - e.preemptedAtStart
	}
	for _, e := range s.entries {
		s.result.bytes += e.sched.Bytes()
	}
}

// sampleMemory records the share of memory in use at each engine that has not
// failed.
func (s *sim) sampleMemory() {
	for _, e := range s.engines {
		if r := e.Report(); !e.lost {
			s.result.used += float64(r.Used) / float64(r.Total)
			s.result.samples++
		}
	}
}
