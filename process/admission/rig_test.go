package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/eelgrassdock/eelgrassdock/process/placement"
	"github.com/eelgrassdock/eelgrassdock/process/queue"
)

// The rig plays callers, instances and engines with the figures of
// docs/design/hard-load.md, deployment B, under a clock of its own.
const (
	rigTick      = time.Millisecond
	rigOffer     = 20 * time.Millisecond // as dispatch.PollInterval
	rigMemory    = 26_857                // tokens
	rigSlots     = 24
	rigHeld      = 2 * rigSlots // requests from which an engine rejects others
	rigStep      = 7.0          // ms of a step without work
	rigPerRun    = 0.12         // ms that each running generation adds to a step
	rigChunk     = 256          // prompt tokens that one step computes
	rigPrefill   = 14.0         // prompt tokens per ms
	rigStride    = 4            // tokens in an event
	rigGap       = 180 * time.Millisecond
	rigLateWorth = 0.15 // a late answer is worth 0.06 to 0.23 of one in time
	rigAccounts  = 6

	rigTurn  = 3300 * time.Millisecond // after which a sixth of the engines gets a notice
	rigLeave = 1800 * time.Millisecond // from the notice to the end
	rigStart = 4 * time.Second         // from the end to the start of another engine
)

type (
	rigKind struct {
		name           string
		prompt, tokens float64 // means
		share          float64 // of the requests
		aim, deadline  time.Duration
		rank           int
	}

	// rigRequest is one generation of a caller, with its retry.
	rigRequest struct {
		kind           *rigKind
		prompt, tokens int
		account        string
		size           float64 // relative to the mean of its kind
		arrived        time.Duration
		attempt        int
		in             *rigInstance
		item           *queue.Item
		held           bool
		tried          []string
		until          time.Time
		came           time.Duration // of this attempt
		ticket         placement.Ticket
		engine         *rigEngine
		sent           int

		// At the engine.
		fill, done, order int
		first, last       time.Duration
		gap               time.Duration
		preempted, again  bool
		inferred          time.Time // when its caller made the first attempt, by the instance
		outcome           string
	}

	rigEngine struct {
		id               string
		next             time.Duration
		running, waiting []*rigRequest
		preempted        int
		rejected         int
		leaving, gone    bool
	}

	rigTimer struct {
		at  time.Duration
		run func()
	}

	rigInstance struct {
		sched  *placement.Scheduler
		queue  queue.Queue
		told   map[string]placement.Work
		events []rigView
		ctl    *Controller
	}

	rigView struct {
		at   time.Duration
		work []placement.Work
	}

	rig struct {
		now       time.Duration
		random    *rand.Rand
		kinds     []*rigKind
		engines   []*rigEngine
		instances []*rigInstance
		all       []*rigRequest
		returns   []*rigRequest
		order     int
		current   bool // decisions of this package, else those before it
		timers    []rigTimer
		leaving   int // engines that get a notice each rigTurn
		fifo      bool
		started   int
		bound     int
		room      int // requests that wait at an engine from which it rejects others
	}

	// rigCount is what the callers of a group of requests saw.
	rigCount struct{ n, inTime, late, refused, failed int }
)

var rigEpoch = time.Unix(1_700_000_000, 0)

func (r *rig) clock() time.Time { return rigEpoch.Add(r.now) }

func newRig(seed uint64, engines, instances int, current bool) *rig {
	r := &rig{random: rand.New(rand.NewPCG(seed, 5)), current: current, room: rigHeld}
	r.kinds = []*rigKind{
		{"long", 3079, 748, 0.47, 1800 * time.Millisecond, 39 * time.Second, 2},
		{"short", 2550, 8, 0.53, 1500 * time.Millisecond, 6 * time.Second, 0},
	}
	for range engines {
		r.addEngine()
	}
	for i := range instances {
		n := &rigInstance{told: map[string]placement.Work{}}
		n.sched = &placement.Scheduler{
			Service: "s", Region: "r", EntryPlace: "p", Seed: seed*100 + uint64(i), Chunked: true, MemoryCost: 0.5, FarCost: 0.15,
			LoadAge: 67 * time.Millisecond,
		}
		n.ctl = &Controller{Sched: n.sched, Seed: seed*100 + uint64(i)}
		r.instances = append(r.instances, n)
	}
	r.listEngines()
	return r
}

// draw returns a new request. Its size is log-normal with mean 1, four at the most.
func (r *rig) draw() *rigRequest {
	k := r.kinds[0]
	if r.random.Float64() >= k.share {
		k = r.kinds[1]
	}
	const sigma = 0.6
	size := min(math.Exp(r.random.NormFloat64()*sigma-sigma*sigma/2), 4)
	memory := (k.prompt + k.tokens) * size
	tokens := min(k.tokens*size, 2*k.tokens)                                     // more would not end by the deadline at an idle engine
	account := fmt.Sprint("a", max(r.random.IntN(2*rigAccounts)-rigAccounts, 0)) // the first sends more than half
	return &rigRequest{kind: k, size: size, prompt: int(memory - tokens), tokens: max(int(tokens), rigStride), account: account}
}

// play runs a load, in requests per second, and returns the requests that arrived after
// the warm time.
func (r *rig) play(rate func(now time.Duration) float64, warm, window time.Duration) []*rigRequest {
	end := warm + window
	if r.leaving > 0 {
		r.after(rigTurn, r.wave)
	}
	for r.now = 0; r.now < end || r.isBusy(); r.now += rigTick {
		if r.now < end {
			for p := rate(r.now) * rigTick.Seconds(); r.random.Float64() < p; p-- {
				q := r.draw()
				q.arrived = r.now
				r.all = append(r.all, q)
				r.attempt(q)
			}
		}
		r.callers()
		for _, t := range r.timers {
			if t.at == r.now {
				t.run()
			}
		}
		r.timers = slices.DeleteFunc(r.timers, func(t rigTimer) bool { return t.at <= r.now })
		for _, e := range r.engines {
			if e.next > r.now || e.gone || len(e.running)+len(e.waiting) == 0 {
				continue
			}
			took, ended := e.step(r)
			e.next = r.now + took
			r.report(e, ended)
		}
		if r.now%rigOffer == 0 {
			for _, n := range r.instances {
				r.offer(n)
			}
		}
		if r.now%rigOffer == 0 {
			r.exchange()
		}
	}
	return slices.DeleteFunc(slices.Clone(r.all), func(q *rigRequest) bool { return q.arrived < warm })
}

// isBusy reports whether a request has not ended.
func (r *rig) isBusy() bool {
	return slices.ContainsFunc(r.all, func(q *rigRequest) bool { return q.outcome == "" && r.now < q.arrived+q.kind.deadline+time.Second })
}

// attempt brings a request to an instance.
func (r *rig) attempt(q *rigRequest) {
	q.attempt++
	q.came = r.now
	q.in = r.instances[min(r.random.IntN(len(r.instances)+1), len(r.instances)-1)] // the last has twice the part of another
	q.tried, q.sent = nil, 0
	r.acquire(q)
}

func (r *rig) deadline(q *rigRequest) time.Time { return rigEpoch.Add(q.arrived + q.kind.deadline) }

func (r *rig) placementRequest(q *rigRequest) placement.Request {
	return placement.Request{
		Account: q.kind.name, Prompt: q.prompt, Max: int(4 * q.kind.tokens), Rank: q.kind.rank,
		Arrived: rigEpoch.Add(q.came), Deadline: q.until, Exclude: q.tried,
	}
}

func (r *rig) admission(q *rigRequest) *Request {
	return &Request{
		Kind: q.kind.name, Prompt: q.prompt, Rank: q.kind.rank, Arrived: rigEpoch.Add(q.came),
		Deadline: r.deadline(q), Aim: q.kind.aim, Timeout: q.kind.deadline, First: q.inferred,
	}
}

// isAdmitted reports whether the decisions of this package apply to a request.
func (r *rig) isAdmitted(q *rigRequest) bool { return r.current && !q.again }

// place places a request, or ends its wait. It returns false if it waits.
func (r *rig) place(q *rigRequest, first bool) bool {
	n, now := q.in, r.clock()
	if !r.isAdmitted(q) {
		d := n.sched.Place(r.placementRequest(q), now)
		if d.Endpoint != "" {
			q.held = false
			r.send(q, d)
		}
		return d.Endpoint != ""
	}
	ahead := 0.0
	if first {
		ahead = float64(n.queue.Len() * q.prompt)
	}
	d, a := n.ctl.Place(r.placementRequest(q), r.admission(q), first, ahead, now)
	switch {
	case d.Endpoint != "":
		q.held = false
		r.bound += map[bool]int{true: 1}[a.Bound]
		r.send(q, d)
		return true
	case first && a.Action == Refuse:
		r.refuse(q, a.RetryAt.Sub(now))
		return true
	case first && !a.Until.IsZero():
		q.until = a.Until
	}
	return false
}

// acquire decides as enginePool.acquire and dispatch.Dispatcher do.
func (r *rig) acquire(q *rigRequest) {
	n := q.in
	now := r.clock()
	q.until = now.Add(time.Duration(float64(q.kind.aim) * 0.6))
	if r.current && !q.again {
		q.until = now.Add(time.Duration(float64(q.kind.aim) * 1.0 / 8))
	}
	if d := r.deadline(q); d.Before(q.until) {
		q.until = d
	}
	q.item = &queue.Item{
		Account: q.account, Rank: queue.MaxRank - q.kind.rank, Arrived: now, Deadline: q.until, Cost: float64(q.prompt), Value: q,
	}
	if r.isAdmitted(q) {
		q.inferred = time.Time{}
		a := r.admission(q)
		n.ctl.Arrive(a)
		q.inferred = a.First
	}
	if n.queue.Len() > 0 {
		r.offer(n)
	}
	if (n.queue.Len() == 0 || r.isAdmitted(q)) && r.place(q, true) {
		return
	}
	q.held = true
	q.item.Deadline = q.until
	_ = n.queue.Push(q.item)
}

// offer places what waits at an instance.
func (r *rig) offer(n *rigInstance) {
	now := r.clock()
	for _, it := range n.queue.Expire(now) {
		q := it.Value.(*rigRequest)
		q.held = false
		if r.isAdmitted(q) {
			r.refuse(q, n.ctl.Expire(r.placementRequest(q), r.admission(q), now).RetryAt.Sub(now))
			continue
		}
		r.refuse(q, r.spread())
	}
	n.queue.Next(now, func(it *queue.Item) bool { return r.place(it.Value.(*rigRequest), false) })
}

func (r *rig) spread() time.Duration {
	return 200*time.Millisecond + time.Duration(r.random.Int64N(int64(300*time.Millisecond)))
}

// send brings a request to an engine.
func (r *rig) send(q *rigRequest, d placement.Decision) {
	i := slices.IndexFunc(r.engines, func(e *rigEngine) bool { return e.id == d.Endpoint })
	e := r.engines[i]
	q.sent++
	if len(e.running)+len(e.waiting) >= rigHeld || len(e.waiting) >= r.room {
		e.rejected++
		if r.current {
			q.in.sched.Rejected(e.id, r.clock())
		}
		q.in.sched.Done(d.Ticket, 0, false, r.clock())
		q.tried = append(q.tried, e.id)
		if q.sent >= 2 {
			r.refuse(q, r.spread())
			return
		}
		r.after(rigTick, func() { r.acquire(q) })
		return
	}
	q.ticket, q.engine, q.fill = d.Ticket, e, q.prompt+q.done
	e.enqueue(r, q)
}

// refuse ends an attempt. Its caller returns once, and waits for no more than a third of
// the time that it has.
func (r *rig) refuse(q *rigRequest, wait time.Duration) {
	left := q.arrived + q.kind.deadline - r.now
	if q.attempt >= 2 || left <= 0 || q.again {
		q.outcome = "refused"
		return
	}
	q.came = r.now + min(wait, left/3)
	r.returns = append(r.returns, q)
}

// callers lets callers return, and leave at their deadline.
func (r *rig) callers() {
	due := r.returns
	r.returns = nil
	for _, q := range due {
		if q.came <= r.now {
			r.attempt(q)
		} else {
			r.returns = append(r.returns, q)
		}
	}
	if r.now%(10*time.Millisecond) != 0 {
		return
	}
	for _, e := range r.engines {
		for _, q := range slices.Concat(e.running, e.waiting) {
			if r.now < q.arrived+q.kind.deadline {
				continue
			}
			same := func(o *rigRequest) bool { return o == q }
			e.running, e.waiting = slices.DeleteFunc(e.running, same), slices.DeleteFunc(e.waiting, same)
			q.in.sched.Done(q.ticket, q.done, false, r.clock())
			q.outcome = "failed"
		}
	}
}

// report tells the instances of the progress of their generations.
func (r *rig) report(e *rigEngine, ended []*rigRequest) {
	now := r.clock()
	for _, q := range e.running {
		if q.done == rigStride && q.fill == 0 && q.first == r.now {
			q.in.sched.Started(q.ticket, now)
		}
		if q.done > 0 && q.done%rigStride == 0 {
			q.in.sched.Progress(q.ticket, q.done, now)
		}
	}
	for _, q := range ended {
		if q.done == rigStride {
			q.in.sched.Started(q.ticket, now)
		}
		q.in.sched.Done(q.ticket, q.done, true, now)
		q.outcome = "in time"
		if q.first-q.arrived > q.kind.aim || q.gap > rigGap {
			q.outcome = "late"
		}
		r.offer(q.in)
	}
}

// exchange tells each instance the work of the others, 35 to 100 ms late.
func (r *rig) exchange() {
	for _, n := range r.instances {
		n.events = append(n.events, rigView{at: r.now, work: n.sched.Own()})
	}
	for i, n := range r.instances {
		sums := map[string]placement.Work{}
		for k, other := range r.instances {
			if i == k {
				continue
			}
			age := time.Duration(35+(i*31+k*17+int(r.now/time.Second)*7)%66) * time.Millisecond
			at := slices.IndexFunc(other.events, func(v rigView) bool { return v.at > r.now-age })
			if at <= 0 {
				continue
			}
			for _, w := range other.events[at-1].work {
				sum := sums[w.Endpoint]
				sum.Endpoint, sum.Runs, sum.Tokens, sum.Sent = w.Endpoint, sum.Runs+w.Runs, sum.Tokens+w.Tokens, sum.Sent+w.Sent
				sums[w.Endpoint] = sum
			}
		}
		for _, e := range r.engines {
			w, ok := sums[e.id]
			if !ok {
				continue
			}
			total := max(w.Sent, n.told[e.id].Sent)
			w.Sent = total - n.told[e.id].Sent
			n.sched.SetOthers(w, r.clock())
			n.told[e.id] = placement.Work{Sent: total}
		}
	}
	for _, n := range r.instances {
		if len(n.events) > 20 {
			n.events = n.events[len(n.events)-20:]
		}
	}
}

func count(list []*rigRequest, match func(*rigRequest) bool) (c rigCount) {
	for _, q := range list {
		if !match(q) {
			continue
		}
		c.n++
		switch q.outcome {
		case "in time":
			c.inTime++
		case "late":
			c.late++
		case "refused":
			c.refused++
		default:
			c.failed++
		}
	}
	return c
}

func rigAccountNames() (names []string) {
	for i := range rigAccounts {
		names = append(names, fmt.Sprint("a", i))
	}
	return names
}
