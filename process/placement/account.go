package placement

import (
	"math"
	"time"

	"github.com/eelgrassdock/eelgrassdock/process/length"
)

const (
	horizons = 4

	staleAfter     = 10 * time.Second // time since receipt of the last report from which one with an earlier At is accepted, as after a restart with an earlier clock
	sampleInterval = 100 * time.Millisecond
	sampleCount    = 128 // at sampleInterval, covers reports up to 12.8 s late

	flowSeconds = 5.0 // time constant of the average of the own request rate

	bytesPerPrompt = 4   // bytes of a prompt token on the wire
	bytesPerToken  = 150 // bytes of an output token on the wire, as one event
)

// horizonTokens are the default horizons, in tokens ahead, at which memory is
// predicted. They cover the few seconds until a report shows the effect of a
// decision. Longer horizons made entries hold work that would have fitted.
var horizonTokens = [horizons]int{8, 16, 64, 128}

type (
	// load is the expected memory in tokens at each horizon, its variance, and the
	// number of generations that are expected to run then.
	load struct {
		mean, variance, alive [horizons]float64
	}

	// endpoint is the state of an endpoint. The fields that evaluate reads come
	// first, so that they are close together in memory.
	endpoint struct {
		// Own work.
		used  float64 // tokens of prompts and outputs
		count int
		ahead load
		// copied is the part of used, and othersCopied the part of others, that
		// copies use: memory without a running generation.
		copied, othersCopied float64

		// Work of other entries: the report minus own work at its time.
		others     float64
		othersRuns float64
		total      float64 // tokens of memory
		queue      float64 // expected stall, in seconds, behind work that waits in the engine
		reportAt   int64   // Unix nanoseconds
		sentSince  float64 // own prompt tokens placed since the report

		fill     float64 // prompt tokens sent and not computed at fillAt, by estimate
		fillAt   int64   // Unix nanoseconds
		matchSeq uint64  // the matchPrefix call for which cached is valid
		cached   float64 // prompt tokens of that call's request in the prefix cache
		match    float64 // probability that the parts so far are cached; of matchParts
		hit      float64 // the same for one part

		logSlowdown float64 // logarithm of its time for prompts relative to other endpoints
		slowdownAt  int64   // Unix nanoseconds

		took, predicted float64 // seconds that own generations took for tokens, and those predicted for them
		pace            pace    // of the generations of all entries
		relative        float64 // pace relative to that of all endpoints, 0 if none is known

		forecast float64 // seconds until the first token of a request, by the last choose
		stall    float64 // seconds, see stallFor
		stallAt  int64   // Unix nanoseconds

		suspect int64 // time before which it gets no new work; Unix nanoseconds
		silent  bool  // requests wait for it if no other endpoint is usable
		closed  bool  // drained or leaving
		far     bool  // in another region
		near    bool  // in the place of the entry
		long    bool  // preferred for long prompts

		Endpoint
		report      Report
		received    time.Time
		sent        float64 // total of prompt tokens placed
		turnover    float64 // prompt tokens that all entries have placed, less those expected to be cached
		placedSince int     // own generations placed since the report

		// Prefix cache.
		seq   int64
		epoch uint32

		history *history
	}

	reservation struct {
		gen          uint32
		active       bool
		ep           *endpoint
		account      string
		estimate     length.Estimate
		prompt       float64 // prompt tokens that use memory of their own, outside the prefix cache
		placed       int64   // Unix nanoseconds
		copy         bool    // copy of a generation that runs elsewhere
		firstAfter   float64 // seconds until its first token, by forecast; 0 if unknown
		backlog      float64 // prompt tokens to compute at its endpoint when placed, its own included
		done         int
		reforecastAt int // value of done at which ahead is computed again
		ahead        load

		// When the tokens were last counted for the pace, how many there were, and whether
		// the engine seemed to compute no prompt then.
		paceAt   int64 // Unix nanoseconds
		paceDone int
		paceIdle bool
	}

	sample struct {
		at         time.Time
		used, sent float64
		count      int
	}

	// history is a ring of samples of own work, each taken just before a change.
	history struct {
		ring [sampleCount]sample
		n    int
		last int64 // time of the latest sample; Unix nanoseconds
	}

	// ownTotals is the sum of all own work. The future of other entries' work is
	// inferred from it.
	ownTotals struct {
		count int
		used  float64
		ahead load
	}

	// sendStats are moving averages of what this entry sends.
	sendStats struct {
		rate       float64 // requests per second
		tokens     float64 // mean prompt tokens
		fill       float64 // mean of fillShare
		fillSquare float64 // mean of its square
		at         time.Time
	}
)

func (l *load) add(o *load, sign float64) {
	for h := range l.mean {
		l.mean[h] += sign * o.mean[h]
		l.variance[h] += sign * o.variance[h]
		l.alive[h] += sign * o.alive[h]
	}
}

// expectedLoad returns the expected memory of one generation at each horizon: the
// size of its context at that time, if it still runs.
func expectedLoad(e *length.Estimate, prompt float64, done int, ahead *[horizons]int) (l load) {
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

// recordSample records own work before a change, at most once per sampleInterval.
func (s *Scheduler) recordSample(e *endpoint) {
	h := e.history
	if h.n > 0 && s.nanos-h.last < int64(sampleInterval) {
		return
	}
	h.ring[h.n%sampleCount] = e.sample(s.now)
	h.last = s.nanos
	h.n++
}

// lookup returns own work at the time at; now is the current value.
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

// applyReport installs a report and returns the change of sentSince.
func (e *endpoint) applyReport(r Report, now time.Time) (change float64) {
	own := e.history.lookup(r.At, e.sample(now))
	e.report, e.received = r, now
	e.reportAt = r.At.UnixNano()
	e.others = max(float64(r.Used)-own.used, 0)
	e.othersRuns = float64(max(r.Running+r.Waiting-own.count, 0))
	e.queue = min(queueSeconds*float64(r.Waiting), queueMax)
	e.placedSince = max(e.count-own.count, 0)
	before := e.sentSince
	e.sentSince = e.sent - own.sent
	e.updateDerived()
	return e.sentSince - before
}

// updateDerived sets the fields that depend on both configuration and report.
func (e *endpoint) updateDerived() {
	e.closed = e.Drain || e.report.Leaving
	e.total = max(float64(e.Tokens), 1)
	if e.report.Total > 0 {
		e.total = float64(e.report.Total)
	}
}

// adjustOwn changes the own work of an endpoint and the totals of the scheduler.
func (s *Scheduler) adjustOwn(e *endpoint, count int, used float64, ahead *load, sign float64) {
	s.recordSample(e)
	e.count += count
	e.used += used
	e.ahead.add(ahead, sign)
	s.own.count += count
	s.own.used += used
	s.own.ahead.add(ahead, sign)
	if e.count == 0 {
		// Sums of floating point numbers leave a rounding residue.
		if math.Abs(e.used) > 1 {
			s.reportViolation("memory left without reservations")
		}
		e.used, e.ahead = 0, load{}
	}
	if e.count < 0 || e.used < -1 {
		s.reportViolation("own work is negative")
		e.count, e.used = max(e.count, 0), max(e.used, 0)
	}
}

// reserve adds a reservation for the request at the endpoint.
func (s *Scheduler) reserve(ep *endpoint, req *Request, estimate *length.Estimate) Ticket {
	var i uint32
	if n := len(s.free); n > 0 {
		i, s.free = s.free[n-1], s.free[:n-1]
	} else {
		i = uint32(len(s.slots))
		s.slots = append(s.slots, reservation{})
	}
	cached := min(s.cachedTokens(ep), float64(req.Prompt))
	r := &s.slots[i]
	*r = reservation{gen: r.gen + 1, active: true, ep: ep, account: req.Account, estimate: *estimate}
	r.prompt = max(float64(req.Prompt)-cached, 1)
	r.forecast(&s.ahead)
	s.adjustOwn(ep, 1, r.prompt, &r.ahead, 1)
	ep.sent += r.prompt
	ep.sentSince += r.prompt
	s.sentSince += r.prompt
	ep.placedSince++
	now := s.now.UnixNano()
	ep.fill = ep.pending(now, s.fillTime()) + r.prompt
	ep.fillAt = now
	s.sending.recordPlacement(r.prompt, s.now)
	r.placed, r.backlog = now, ep.fill
	s.sending.recordFill(fillShare(r.prompt, s.fillTime()))
	ep.turnover += r.prompt
	s.prefixes.placed(ep, req.Prefix)
	if s.Parts {
		s.parts.placed(ep, req.Parts, now)
	}
	s.countTransfer(ep, req.Prompt*bytesPerPrompt)
	return Ticket(uint64(r.gen)<<32 | uint64(i))
}

// forecast computes the expected load and when to compute it again: growth by an
// eighth changes the conditional distribution little.
func (r *reservation) forecast(ahead *[horizons]int) {
	r.ahead = expectedLoad(&r.estimate, r.prompt, r.done, ahead)
	r.reforecastAt = r.done + max(16, r.done/8)
}

// Progress records that a generation has produced n tokens in total.
func (s *Scheduler) Progress(ticket Ticket, n int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	if r := s.find(ticket); r != nil {
		s.progress(r, n)
		s.observePace(r)
	}
}

func (s *Scheduler) progress(r *reservation, n int) {
	if n <= r.done {
		return
	}
	grown := float64(n - r.done)
	r.done = n
	if n >= r.reforecastAt {
		s.reforecast(r, grown)
		return
	}
	// Most calls, one for each token, end here; adjustOwn would have the same
	// effect but is slower.
	s.recordSample(r.ep)
	r.ep.used += grown
	if r.copy {
		r.ep.copied += grown
	}
	s.own.used += grown
}

// reforecast computes the expected load of a reservation again and adds the
// tokens by which the generation has grown.
func (s *Scheduler) reforecast(r *reservation, grown float64) {
	before := r.ahead
	r.forecast(&s.ahead)
	delta := r.ahead
	delta.add(&before, -1)
	s.adjustOwn(r.ep, 0, grown, &delta, 1)
	if r.copy {
		r.ep.copied += grown
	}
}

// Done records that a generation has ended after n tokens and releases its
// reservation. completed means that it was not cut off, so that its length is
// learned.
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
	s.countTransfer(r.ep, max(n, r.done)*bytesPerToken)
	s.adjustOwn(r.ep, -1, -(r.prompt + float64(r.done)), &r.ahead, -1)
	s.endCopy(r)
	account = r.account
	r.active, r.ep, r.account = false, nil, ""
	s.free = append(s.free, uint32(ticket))
	return account, true
}

// find returns the reservation of a ticket. If it has been released, find reports
// a violation and returns nil.
func (s *Scheduler) find(ticket Ticket) *reservation {
	i, gen := uint32(ticket), uint32(ticket>>32)
	if int(i) >= len(s.slots) || !s.slots[i].active || s.slots[i].gen != gen {
		s.reportViolation("reservation used after its release")
		return nil
	}
	return &s.slots[i]
}

// countTransfer counts bytes to or from an endpoint in another region.
func (s *Scheduler) countTransfer(ep *endpoint, bytes int) {
	if ep.far {
		s.bytes += int64(bytes)
		counters.Add("bytes", int64(bytes))
	}
}

// pending returns the prompt tokens that were sent and not computed yet, assuming
// that the engine computes nothing else.
func (e *endpoint) pending(now int64, fillTime float64) float64 {
	if e.fill == 0 {
		return 0
	}
	return max(e.fill-float64(now-e.fillAt)*1e-9/(fillTime*e.slowdown(now)), 0)
}

// recordPlacement updates the averages of request rate and prompt size with one
// placement. The rate covers the last few seconds.
func (f *sendStats) recordPlacement(tokens float64, now time.Time) {
	f.rate = f.rateAt(now) + 1/flowSeconds
	f.at = now
	f.tokens += (tokens - f.tokens) * 0.05
}

func (f *sendStats) rateAt(now time.Time) float64 {
	if f.at.IsZero() {
		return 0
	}
	return f.rate * math.Exp(-max(now.Sub(f.at).Seconds(), 0)/flowSeconds)
}
