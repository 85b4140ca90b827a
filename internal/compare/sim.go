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
	regions      = 3
	pollInterval = time.Second
	retryPeriod  = 100 * time.Millisecond // between attempts to place held work
	localDelay   = time.Millisecond
	farDelay     = 30 * time.Millisecond
	firstLimit   = 30 * time.Second // deadline for the first token
	maxPassed    = 4                // held requests that may be passed by later ones
)

type (
	// sim is one run: engines and entries under a manual clock.
	sim struct {
		load    Load
		now     time.Duration
		events  eventHeap
		order   uint64
		engines []*engine
		entries []*entry
		flights map[string]*flight
		rand    *rand.Rand
		from    time.Duration // start and end of the measured window
		to      time.Duration
		result  *result
		// progress is false for policies whose decisions don't depend on it.
		progress bool
	}

	event struct {
		at    time.Duration
		order uint64
		run   func()
	}

	eventHeap []event

	engine struct {
		*model.Engine
		index   int
		region  int
		busy    bool
		lost    bool
		started int64 // preemptions at the start of the window
	}

	entry struct {
		index    int
		region   int
		sched    *placement.Scheduler
		held     []*flight
		retrying bool
		seen     []int64 // cache events seen, for each engine
	}

	// flight is one request.
	flight struct {
		arrival
		id       uint64
		gen      string
		entry    *entry
		engine   *engine
		ticket   placement.Ticket
		exclude  []string
		tokens   int
		last     time.Duration
		finished bool
	}

	result struct {
		stall, gap *hdrhistogram.Histogram // in microseconds
		requests   int
		preempted  int64
		refused    map[string]int
		bytes      int64
		tokens     int64
		seconds    float64
		used       float64 // sum of samples of the share of memory in use
		samples    int
	}
)

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

func (s *sim) after(d time.Duration, run func()) {
	s.order++
	heap.Push(&s.events, event{s.now + d, s.order, run})
}

func (s *sim) clock() time.Time { return epoch.Add(s.now) }

func (s *sim) measured(at time.Duration) bool { return at >= s.from && at < s.to }

// simulate runs one policy on one trace.
func simulate(l Load, o *Options, policy placement.Policy, weights placement.Weights, seed uint64, arrivals []arrival) *result {
	span := l.warm(o) + o.Window
	s := &sim{
		load: l, flights: map[string]*flight{}, rand: rand.New(rand.NewPCG(seed, 0x73696d)),
		from: l.warm(o), to: span, result: newResult(),
		progress: policy != placement.RoundRobin && policy != placement.LeastConn,
	}
	s.build(l, o, policy, weights, seed)
	for i, a := range arrivals {
		s.order++
		heap.Push(&s.events, event{a.at, s.order, func() { s.arrive(a, i) }})
	}
	s.after(s.from, s.open)
	s.after(s.to, s.shut)
	if l.Lost {
		s.after((s.from+s.to)/2, func() { s.lose(s.engines[0]) })
	}
	// After the window, first tokens are waited for, and nothing else is measured.
	for len(s.events) > 0 && s.now < s.to+firstLimit+time.Second {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.result.seconds = o.Window.Seconds()
	return s.result
}

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
			Region: name(e.region), EntryPlace: name(e.region), Length: s.learned(l, seed), PrefixTokens: prefixLen,
		}
		e.sched.SetEndpoints(endpoints)
		e.sched.SetPeers(l.Entries)
		s.entries = append(s.entries, e)
		s.after(time.Duration(s.rand.Int64N(int64(pollInterval))), func() { s.poll(e) })
	}
}

func name(i int) string { return fmt.Sprintf("%c", 'a'+i) }

// learned gives a learner as an entry has it that has run for a while.
func (s *sim) learned(l Load, seed uint64) *length.Learner {
	src := newSource(l, seed)
	var learner length.Learner
	for range 2000 {
		a := src.draw()
		learner.Observe("s", name(a.account), a.work.Length, epoch)
	}
	return &learner
}

// arrive sends a request to one of the two entries that serve its account.
func (s *sim) arrive(a arrival, i int) {
	f := &flight{arrival: a, id: uint64(i), gen: fmt.Sprint(i)}
	f.entry = s.entries[(a.account*7+3*s.rand.IntN(2))%len(s.entries)]
	f.work.Gen = f.gen
	if s.measured(s.now) {
		s.result.requests++
	}
	s.flights[f.gen] = f
	s.after(firstLimit, func() { s.expire(f) })
	if !s.place(f) {
		s.hold(f)
	}
}

func (s *sim) place(f *flight) bool {
	d := f.entry.sched.Place(placement.Request{
		ID: f.id, Account: name(f.account), Prompt: int(f.work.Prompt), Prefix: f.work.Prefix,
		Max: f.work.Max, Rank: f.work.Rank, Arrived: epoch.Add(f.at), Deadline: epoch.Add(f.at + firstLimit),
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

func delay(e *entry, to *engine) time.Duration {
	if e.region == to.region {
		return localDelay
	}
	return farDelay
}

func (s *sim) submit(f *flight, e *engine) {
	if f.finished {
		return
	}
	if e.lost || !e.Submit(f.work) {
		s.again(f, e)
		return
	}
	if !e.busy {
		s.step(e)
	}
}

// again places a request elsewhere whose engine was lost before its first token.
func (s *sim) again(f *flight, e *engine) {
	f.entry.sched.Done(f.ticket, 0, false, s.clock())
	f.entry.sched.Suspect(name(e.index), epoch.Add(time.Hour))
	f.engine = nil
	f.exclude = append(f.exclude, name(e.index))
	if !s.place(f) {
		s.hold(f)
	}
}

func (s *sim) step(e *engine) {
	tokens, took := e.Step()
	e.busy = took > 0
	if !e.busy || e.lost {
		return
	}
	// The engine's slice is reused, but not before the next step.
	s.after(took, func() {
		if e.lost {
			return
		}
		now := s.clock()
		for _, t := range tokens {
			s.token(s.flights[t.Gen], t, now)
		}
		s.step(e)
	})
}

func (s *sim) token(f *flight, t model.Token, now time.Time) {
	if f == nil || f.finished {
		return
	}
	if f.tokens == 0 && s.measured(f.at) {
		_ = s.result.stall.RecordValue(max(int64((s.now-f.at+delay(f.entry, f.engine))/time.Microsecond), 1))
	}
	if s.measured(s.now) {
		s.result.tokens++
		if f.tokens > 0 {
			_ = s.result.gap.RecordValue(max(int64((s.now-f.last)/time.Microsecond), 1))
		}
	}
	f.tokens, f.last = t.N, s.now
	if s.progress {
		f.entry.sched.Progress(f.ticket, t.N, now)
	}
	if t.End {
		s.finish(f, true)
		s.retry(f.entry)
	}
}

func (s *sim) finish(f *flight, completed bool) {
	f.finished = true
	delete(s.flights, f.gen)
	if f.engine != nil {
		f.entry.sched.Done(f.ticket, f.tokens, completed, s.clock())
	}
}

func (s *sim) refuse(f *flight, reason string) {
	if s.measured(f.at) {
		s.result.refused[reason]++
	}
	if f.engine != nil {
		f.engine.Cancel(f.gen)
	}
	s.finish(f, false)
}

func (s *sim) expire(f *flight) {
	if !f.finished && f.tokens == 0 {
		f.entry.held = slices.DeleteFunc(f.entry.held, func(o *flight) bool { return o == f })
		s.refuse(f, "deadline")
	}
}

// hold queues a request at its entry, by rank and then by arrival.
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
		s.after(retryPeriod, func() { s.tick(e) })
	}
}

func (s *sim) tick(e *entry) {
	s.retry(e)
	if e.retrying = len(e.held) > 0; e.retrying {
		s.after(retryPeriod, func() { s.tick(e) })
	}
}

// retry places held work in order. A few requests may be passed by later ones.
func (s *sim) retry(e *entry) {
	for i := 0; i < len(e.held) && i < maxPassed; {
		if s.place(e.held[i]) {
			e.held = slices.Delete(e.held, i, i+1)
			continue
		}
		i++
	}
}

// poll takes the reports of all engines, which reach the entry after the lag.
func (s *sim) poll(e *entry) {
	s.after(pollInterval, func() { s.poll(e) })
	at := s.clock()
	if e.index == 0 && s.measured(s.now) {
		s.sample()
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

// lose ends an engine. Work without a token runs elsewhere.
func (s *sim) lose(e *engine) {
	e.lost = true
	var hit []*flight
	for _, f := range s.flights {
		if f.engine == e {
			hit = append(hit, f)
		}
	}
	slices.SortFunc(hit, func(a, b *flight) int { return int(a.id) - int(b.id) })
	for _, f := range hit {
		if f.tokens > 0 {
			s.refuse(f, "generation_lost")
		} else if e.Cancel(f.gen) {
			s.again(f, e)
		}
	}
	for _, entry := range s.entries {
		entry.sched.Suspect(name(e.index), epoch.Add(time.Hour))
	}
}

func (s *sim) open() {
	for _, e := range s.engines {
		e.started = e.Report().Preempted
	}
	for _, e := range s.entries {
		s.result.bytes -= e.sched.Bytes()
	}
}

func (s *sim) shut() {
	for _, e := range s.engines {
		s.result.preempted += e.Report().Preempted - e.started
	}
	for _, e := range s.entries {
		s.result.bytes += e.sched.Bytes()
	}
}

func (s *sim) sample() {
	for _, e := range s.engines {
		if r := e.Report(); !e.lost {
			s.result.used += float64(r.Used) / float64(r.Total)
			s.result.samples++
		}
	}
}
