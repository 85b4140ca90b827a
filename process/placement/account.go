package placement

import (
	"math"
	"time"

	"github.com/eelgrassdock/eelgrassdock/process/length"
)

const (
	horizons = 4

	staleAfter     = 10 * time.Second // a later report is taken whatever its time
	sampleInterval = 100 * time.Millisecond
	sampleCount    = 128 // covers reports that are up to 12.8 s late

	flowSeconds = 5.0 // time over which the own rate is averaged

	bytesPerPrompt = 4   // bytes of a prompt token on the wire
	bytesPerToken  = 150 // bytes of an output token on the wire, as one event
)

// horizonTokens are the numbers of tokens ahead at which memory is predicted.
// They cover the few seconds after which a report shows what has become of a
// decision. Longer ones made entries hold work that would have fitted.
var horizonTokens = [horizons]int{8, 16, 64, 128}

type (
	// load is memory in tokens, expected at each horizon, with variance, and the
	// number of generations that are expected to run then.
	load struct {
		mean, variance, alive [horizons]float64
	}

	// endpoint has first what judge reads, so that it lies close together.
	endpoint struct {
		// Own work.
		used  float64 // tokens of prompts and outputs
		count int
		ahead load
		// copied is the part of used, and othersCopied that of others, which
		// copies take: memory without a generation.
		copied, othersCopied float64

		// Work of others: the report less own work at its time.
		others     float64
		othersRuns float64
		total      float64 // tokens of memory
		queue      float64 // expected stall behind work that waits in the engine
		reportAt   int64   // Unix nanoseconds
		sentSince  float64 // own prompt tokens placed since the report

		fill   float64 // prompt tokens sent and probably not computed yet
		fillAt int64   // Unix nanoseconds
		mark   uint64  // match for which matched is valid
		cached float64 // prompt tokens of that request in the prefix cache

		lag   float64 // logarithm of the time it takes against other endpoints
		lagAt int64   // Unix nanoseconds

		suspect int64 // no new work before; Unix nanoseconds
		closed  bool  // drained or leaving
		far     bool  // in another region
		near    bool  // in the entry's place
		long    bool  // preferred for long prompts

		Endpoint
		report     Report
		received   time.Time
		sent       float64 // prompt tokens placed in all
		sinceCount int     // own generations placed since the report

		// Prefix cache.
		seq   int64
		epoch uint32

		history *history
	}

	reservation struct {
		gen      uint32
		active   bool
		ep       *endpoint
		account  string
		estimate length.Estimate
		prompt   float64 // prompt tokens that take memory of their own
		placed   int64   // Unix nanoseconds
		copy     bool    // of a generation that runs elsewhere
		backlog  float64 // prompt tokens to compute at its endpoint then, its own included
		done     int
		refresh  int // tokens at which the expectation is computed again
		ahead    load
	}

	sample struct {
		at         time.Time
		used, sent float64
		count      int
	}

	// history remembers own work, as it was just before some of its changes.
	history struct {
		ring [sampleCount]sample
		n    int
		last int64 // Unix nanoseconds of the latest
	}

	// mix is the sum of all own work, from which it is inferred how other
	// entries' work goes on.
	mix struct {
		count int
		used  float64
		ahead load
	}

	// flow is how much this entry sends.
	flow struct {
		rate   float64 // requests per second
		tokens float64 // mean prompt
		fill   float64 // mean fill, and that of its square
		square float64
		at     time.Time
	}
)

func (l *load) add(o *load, sign float64) {
	for h := range l.mean {
		l.mean[h] += sign * o.mean[h]
		l.variance[h] += sign * o.variance[h]
		l.alive[h] += sign * o.alive[h]
	}
}

// expect computes the memory of one generation at each horizon: its context
// then, if it still runs.
func expect(e *length.Estimate, prompt float64, done int, ahead *[horizons]int) (l load) {
	context := prompt + float64(done)
	var survival [horizons]float64
	e.Survivals(done, ahead[:], survival[:])
	for h, alive := range survival {
		size := context + float64(ahead[h])
		l.alive[h] = alive
		l.mean[h] = size * alive
		l.variance[h] = size * size * alive * (1 - alive)
	}
	return l
}

// remember records own work before a change, unless it was recorded lately.
func (s *Scheduler) remember(e *endpoint) {
	h := e.history
	if h.n > 0 && s.nanos-h.last < int64(sampleInterval) {
		return
	}
	h.ring[h.n%sampleCount] = e.sample(s.now)
	h.last = s.nanos
	h.n++
}

// lookup gives own work at a time; now is the present value.
func (h *history) lookup(at time.Time, now sample) sample {
	found := now
	for i := h.n - 1; i >= 0 && i >= h.n-sampleCount; i-- {
		s := h.ring[i%sampleCount]
		if s.at.Before(at) {
			break
		}
		found = s
	}
	return found
}

func (e *endpoint) sample(now time.Time) sample {
	return sample{at: now, used: e.used, sent: e.sent, count: e.count}
}

// take installs a report and gives the change of sentSince.
func (e *endpoint) take(r Report, now time.Time) (change float64) {
	own := e.history.lookup(r.At, e.sample(now))
	e.report, e.received = r, now
	e.reportAt = r.At.UnixNano()
	e.others = max(float64(r.Used)-own.used, 0)
	e.othersRuns = float64(max(r.Running+r.Waiting-own.count, 0))
	e.queue = min(queueSeconds*float64(r.Waiting), queueMax)
	e.sinceCount = max(e.count-own.count, 0)
	before := e.sentSince
	e.sentSince = e.sent - own.sent
	e.settle()
	return e.sentSince - before
}

// settle derives the fields that depend on both configuration and report.
func (e *endpoint) settle() {
	e.closed = e.Drain || e.report.Leaving
	e.total = max(float64(e.Tokens), 1)
	if e.report.Total > 0 {
		e.total = float64(e.report.Total)
	}
}

// change adjusts own work of an endpoint and of the whole scheduler.
func (s *Scheduler) change(e *endpoint, count int, used float64, ahead *load, sign float64) {
	s.remember(e)
	e.count += count
	e.used += used
	e.ahead.add(ahead, sign)
	s.mix.count += count
	s.mix.used += used
	s.mix.ahead.add(ahead, sign)
	if e.count == 0 {
		// Sums of floating point numbers keep a residue.
		if math.Abs(e.used) > 1 {
			s.violate("memory left without reservations")
		}
		e.used, e.ahead = 0, load{}
	}
	if e.count < 0 || e.used < -1 {
		s.violate("own work is negative")
		e.count, e.used = max(e.count, 0), max(e.used, 0)
	}
}

func (s *Scheduler) reserve(ep *endpoint, req *Request, estimate *length.Estimate) Ticket {
	var i uint32
	if n := len(s.free); n > 0 {
		i, s.free = s.free[n-1], s.free[:n-1]
	} else {
		i = uint32(len(s.slots))
		s.slots = append(s.slots, reservation{})
	}
	cached := min(s.matched(ep), float64(req.Prompt))
	r := &s.slots[i]
	*r = reservation{gen: r.gen + 1, active: true, ep: ep, account: req.Account, estimate: *estimate}
	r.prompt = max(float64(req.Prompt)-cached, 1)
	r.plan(&s.ahead)
	s.change(ep, 1, r.prompt, &r.ahead, 1)
	ep.sent += r.prompt
	ep.sentSince += r.prompt
	s.sentSince += r.prompt
	ep.sinceCount++
	now := s.now.UnixNano()
	ep.fill = ep.pending(now, s.fillTime()) + r.prompt
	ep.fillAt = now
	s.flow.sent(r.prompt, s.now)
	r.placed, r.backlog = now, ep.fill
	s.flow.filled(fill(r.prompt, s.fillTime()))
	s.beliefs.placed(ep, req.Prefix)
	s.move(ep, req.Prompt*bytesPerPrompt)
	return Ticket(uint64(r.gen)<<32 | uint64(i))
}

// plan computes the expectation and when to compute it again: growth by an
// eighth changes the conditional distribution little.
func (r *reservation) plan(ahead *[horizons]int) {
	r.ahead = expect(&r.estimate, r.prompt, r.done, ahead)
	r.refresh = r.done + max(16, r.done/8)
}

// Progress says that a generation has produced n tokens in all.
func (s *Scheduler) Progress(ticket Ticket, n int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	if r := s.find(ticket); r != nil {
		s.progress(r, n)
	}
}

func (s *Scheduler) progress(r *reservation, n int) {
	if n <= r.done {
		return
	}
	grown := float64(n - r.done)
	r.done = n
	if n >= r.refresh {
		s.replan(r, grown)
		return
	}
	// Most calls come here, one for each token; change would do the same slower.
	s.remember(r.ep)
	r.ep.used += grown
	if r.copy {
		r.ep.copied += grown
	}
	s.mix.used += grown
}

// replan computes the expectation again and takes in what the generation has
// grown.
func (s *Scheduler) replan(r *reservation, grown float64) {
	before := r.ahead
	r.plan(&s.ahead)
	delta := r.ahead
	delta.add(&before, -1)
	s.change(r.ep, 0, grown, &delta, 1)
	if r.copy {
		r.ep.copied += grown
	}
}

// Done says that a generation has ended after n tokens and releases its
// reservation. completed means that it ended by itself, so that its length is
// worth learning.
func (s *Scheduler) Done(ticket Ticket, n int, completed bool, now time.Time) {
	account, ok := s.release(ticket, n, now)
	if ok && completed {
		s.Length.Observe(s.Service, account, n, now)
	}
}

func (s *Scheduler) release(ticket Ticket, n int, now time.Time) (account string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	r := s.find(ticket)
	if r == nil {
		return "", false
	}
	s.move(r.ep, max(n, r.done)*bytesPerToken)
	s.change(r.ep, -1, -(r.prompt + float64(r.done)), &r.ahead, -1)
	s.uncopy(r)
	account = r.account
	r.active, r.ep, r.account = false, nil, ""
	s.free = append(s.free, uint32(ticket))
	return account, true
}

func (s *Scheduler) find(ticket Ticket) *reservation {
	i, gen := uint32(ticket), uint32(ticket>>32)
	if int(i) >= len(s.slots) || !s.slots[i].active || s.slots[i].gen != gen {
		s.violate("reservation used after its release")
		return nil
	}
	return &s.slots[i]
}

// move counts bytes between regions.
func (s *Scheduler) move(ep *endpoint, bytes int) {
	if ep.far {
		s.bytes += int64(bytes)
		counters.Add("bytes", int64(bytes))
	}
}

// pending gives the prompt tokens sent that the engine has not computed yet,
// if it computes nothing else.
func (e *endpoint) pending(now int64, fillTime float64) float64 {
	if e.fill == 0 {
		return 0
	}
	return max(e.fill-float64(now-e.fillAt)*1e-9/(fillTime*e.slow(now)), 0)
}

// sent takes in one placement. Rate and size follow the last few seconds.
func (f *flow) sent(tokens float64, now time.Time) {
	f.rate = f.rateAt(now) + 1/flowSeconds
	f.at = now
	f.tokens += (tokens - f.tokens) * 0.05
}

func (f *flow) rateAt(now time.Time) float64 {
	if f.at.IsZero() {
		return 0
	}
	return f.rate * math.Exp(-max(now.Sub(f.at).Seconds(), 0)/flowSeconds)
}
