// Package admission decides which generations are sent to engines in an overload, and
// which are held or refused.
//
// A request is sent if an engine is forecast to produce its first token within the latency
// target of the caller's first attempt. One that would be late is not sent: it would take the
// place of one that can be in time, which is worth four times as much or more to its caller. It is held
// while the forecast says that it may still be in time, and refused otherwise, with a time at
// which its caller has another chance. A request that not even an idle engine could serve in
// time is placed as without this package.
//
// Small requests fit into any gap, so that an overload would leave no room for large ones.
// A large request is therefore promised memory at an engine that has no room yet whenever
// fewer than largeShare as many large ones were sent as of all requests of its kind. It
// waits at the engine, and its memory counts as in use, so that no instance sends other
// work there meanwhile. No message is needed for that.
//
// The package has no clock and sends nothing. Its state is that of one instance.
package admission

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/eelgrassdock/eelgrassdock/process/placement"
)

const (
	// HoldShare is the share of the latency target for which a request is held in an
	// overload. Callers lose by a refusal that comes later.
	HoldShare = 1.0 / 8

	// samples is the number of attempts over which the share of those that were sent is
	// averaged. One of 71 instances gets about two a second in a surge, which lasts some seconds.
	samples = 16.0
	// calmShare is the share from which no memory is kept free for more urgent requests.
	calmShare = 0.9
	// largeSize is the size, relative to the mean prompt of its kind, from which a request
	// counts as large. The largest tenth is above it, with a margin for the error of the mean.
	largeSize = 1.5
	// largeShare is the share of large requests that is sent, relative to the share of all:
	// half of it must be, and a margin covers those near the bound.
	largeShare = 0.65
	// maxCredit bounds the large requests that are sent because others were not.
	maxCredit = 2.0
	// rankReserve is the share of an engine's memory that a less urgent request leaves free
	// in an overload, so that more urgent ones are served as often. Without it, 48 of 100 short and
	// 50 of 100 long generations were served at three times the capacity, with it 56 and 45.
	rankReserve = 0.05
	// timelyMargin is the share of the latency target by which a first token must be forecast
	// earlier in an overload: requests of other instances that are not known here yet, and moved
	// generations, delay it. With margins of 0, 0.1, 0.2 and 0.3, 11.8, 13.0, 13.7 and 14.1 requests
	// a second were in time at three times the capacity, and below the capacity it has no effect.
	timelyMargin = 0.35
	// minReturn is the shortest time after which a refused caller may return.
	minReturn = 200 * time.Millisecond
	// returnMargin is kept between the last return and the last start that is in time: a
	// round trip between regions, and the age of the loads of other instances.
	returnMargin = 150 * time.Millisecond
	// minSpread is the shortest time over which callers return who were refused together.
	minSpread = 300 * time.Millisecond
	// maxReturnShare is the share of a caller's remaining time after which it returns at the
	// latest, whatever it is told.
	maxReturnShare = 1.0 / 3
	// wholeMargin covers the time that a first attempt takes on the network and for its body, and
	// wholeShare is the share of attempts with all of the timeout from which less of it shows an
	// earlier attempt.
	wholeMargin = 100 * time.Millisecond
	wholeShare  = 0.4
	// idleShare is the share of the slots in use below which nothing is refused at once while
	// nothing waits, and the share of the memory below which there is no overload.
	idleShare = 0.5
)

// Actions.
const (
	Send   Action = iota
	Hold          // until Decision.Until
	Refuse        // with Decision.RetryAt
)

// Causes of a refusal.
const (
	NoRoom = "no_room" // no engine has memory for it in time
	Late   = "late"    // the prompts that engines still have to compute would make it late
	Held   = "held"    // it was held, and no engine had room for it
)

type (
	// Action is what becomes of a request.
	Action int

	// Request is a request to be admitted.
	Request struct {
		Kind     string    // requests of one kind are alike: the route
		Prompt   int       // tokens
		Rank     int       // 0 is the most urgent
		Arrived  time.Time // of this attempt
		Deadline time.Time
		Aim      time.Duration // latency target, from the caller's first attempt to the first event
		Timeout  time.Duration // of the route, 0 if it has none
		// First is the time of the caller's first attempt. Arrive sets it if it is zero.
		First time.Time
	}

	// Decision is the decision about a request.
	Decision struct {
		Action  Action
		Until   time.Time // Hold
		RetryAt time.Time // Refuse
		Cause   string    // Refuse
		First   time.Time // forecast time of the first event
		Room    time.Time // forecast time at which an engine has room
		Late    bool      // Send: it is forecast to be late
		Bound   bool      // Send: to an engine without room
	}

	// Controller decides for the requests of one service at one instance. Set its fields
	// before first use; the methods are safe for concurrent use.
	Controller struct {
		Sched *placement.Scheduler
		Seed  uint64

		mu    sync.Mutex
		rand  *rand.Rand
		sent  float64 // recent share of attempts that were sent
		kinds map[string]*kind
	}

	// kind holds what is known of the requests of one kind.
	kind struct {
		prompt float64 // mean, in tokens
		whole  float64 // recent share of attempts that had all of the route's timeout left
		credit float64 // large requests that should have been sent and were not
	}
)

func (c *Controller) init() {
	if c.kinds == nil {
		c.kinds, c.sent, c.rand = map[string]*kind{}, 1, rand.New(rand.NewPCG(c.Seed, 0x61646d6974))
	}
}

func (c *Controller) kind(r *Request) *kind {
	k := c.kinds[r.Kind]
	if k == nil {
		k = &kind{prompt: float64(r.Prompt)}
		c.kinds[r.Kind] = k
	}
	return k
}

func (k *kind) isLarge(r *Request) bool { return float64(r.Prompt) > largeSize*k.prompt }

// Arrive records the size of a request. It is called once for each attempt, before Place.
func (c *Controller) Arrive(r *Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	k := c.kind(r)
	k.prompt += (float64(r.Prompt) - k.prompt) / samples
	c.inferFirst(k, r)
	if k.isLarge(r) {
		k.credit = min(k.credit+largeShare*c.sent, maxCredit)
	}
}

// inferFirst sets the time of the caller's first attempt if it is zero. A caller that returns
// has less of the route's timeout left. That shows only while callers use that timeout as
// their deadline: then half of the attempts or more have all of it. A caller returns after
// no more than a third; one with less time has a deadline of its own.
func (c *Controller) inferFirst(k *kind, r *Request) {
	left := r.Deadline.Sub(r.Arrived)
	x := 0.0
	if r.Timeout > 0 && left >= r.Timeout-wholeMargin {
		x = 1
	}
	k.whole += (x - k.whole) / samples
	if !r.First.IsZero() {
		return
	}
	r.First = r.Arrived
	elapsed := r.Timeout - left
	if x == 0 && k.whole >= wholeShare && elapsed <= time.Duration(float64(r.Timeout)*maxReturnShare)+r.Aim {
		r.First = r.Arrived.Add(-elapsed)
	}
}

// Place places a request, or decides what becomes of it. At the first offer of a request
// first is set, and the prompt tokens that wait before it are ahead. The second result is
// valid unless the first says that no endpoint is usable.
func (c *Controller) Place(p placement.Request, r *Request, first bool, ahead float64, now time.Time) (placement.Decision, Decision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	k := c.kind(r)
	aimAt := r.First.Add(r.Aim)
	isCalm := c.sent >= calmShare
	var engines []placement.EngineLoad
	var f Times
	timely := p
	timely.FirstBy = aimAt
	if !isCalm {
		engines = c.Sched.Engines(p, now)
		f = Forecast(engines, float64(r.Prompt), ahead)
		margin := time.Duration(float64(r.Aim) * timelyMargin)
		if f.Memory < idleShare {
			// What is sent now shows whether prompts are still as slow as they were in the
			// overload. Without it, nothing might be sent any more.
			margin = 0
		}
		timely.FirstBy = aimAt.Add(-margin)
		if r.Rank > 0 {
			timely.ReserveShare = rankReserve
		}
	}
	d := c.Sched.Place(timely, now)
	if d.Endpoint != "" {
		c.record(k, r, true)
		return d, Decision{Action: Send}
	}
	if d.None {
		return d, Decision{}
	}
	if isCalm {
		engines = c.Sched.Engines(p, now)
		f = Forecast(engines, float64(r.Prompt), ahead)
	}
	if len(engines) == 0 { // all are silent, and may answer again
		return d, Decision{Action: Hold}
	}
	out := Decision{First: now.Add(f.First), Room: now.Add(f.Room)}
	// What even an idle engine would answer late: a large request, or that of a caller that
	// has returned late. In an overload it is not sent, unless its whole kind is like that.
	isKindLate := float64(f.Idle)*k.prompt > float64(r.Aim)*float64(max(r.Prompt, 1))
	if now.Add(f.Idle).After(aimAt) && (isCalm || f.Memory < idleShare || isKindLate) {
		if d = c.Sched.Place(p, now); d.Endpoint != "" {
			c.record(k, r, true)
			out.Late = true
			return d, out
		}
	}
	if k.isLarge(r) && k.credit >= 1 && out.First.Before(r.Deadline) {
		bound := p
		bound.Bind = true
		if d = c.Sched.Place(bound, now); d.Endpoint != "" {
			c.record(k, r, true)
			out.Bound = true
			return d, out
		}
	}
	out.Until = r.Arrived.Add(time.Duration(float64(r.Aim) * HoldShare))
	mayBeInTime := !out.First.After(aimAt)
	isIdle := ahead == 0 && f.Slots < idleShare
	if now.Before(out.Until) && (mayBeInTime || isIdle) {
		out.Action = Hold
		return d, out
	}
	if !first {
		out.Action = Hold // until its time is over
		return d, out
	}
	out.Action, out.Cause = Refuse, NoRoom
	if f.Room == 0 {
		out.Cause = Late
	}
	out.RetryAt = c.returnTime(r, f, now)
	c.record(k, r, false)
	return d, out
}

// Expire decides about a request that was held until its time was over.
func (c *Controller) Expire(p placement.Request, r *Request, now time.Time) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	f := Forecast(c.Sched.Engines(p, now), float64(r.Prompt), 0)
	c.record(c.kind(r), r, false)
	return Decision{
		Action: Refuse, Cause: Held, First: now.Add(f.First), Room: now.Add(f.Room), RetryAt: c.returnTime(r, f, now),
	}
}

// record records whether a request was sent.
func (c *Controller) record(k *kind, r *Request, sent bool) {
	x := 0.0
	if sent {
		x = 1
		if k.isLarge(r) {
			k.credit = max(k.credit-1, -maxCredit)
		}
	}
	c.sent += (x - c.sent) / samples
}

// returnTime returns a random time at which a refused caller may return. If it can still be
// in time then, the times are spread over those at which it can; the chance to be in time is worth
// more than a late answer. Otherwise they begin when there is room by the forecast.
func (c *Controller) returnTime(r *Request, f Times, now time.Time) time.Time {
	left := max(r.Deadline.Sub(now), 0)
	latest := time.Duration(float64(left) * maxReturnShare)
	from, to := minReturn, r.First.Add(r.Aim).Sub(now)-f.Idle-returnMargin
	if to < from+minSpread/2 {
		from, to = max(f.Room, minReturn), latest
	}
	to = min(max(to, from+minSpread), latest)
	from = min(from, to/2)
	return now.Add(from + time.Duration(c.rand.Float64()*float64(to-from)))
}
