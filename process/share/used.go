package share

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

const (
	waiting     = 2 * time.Second // how long a refused caller counts as waiting
	memory      = time.Minute     // how long a caller without work is remembered
	maxCallers  = 256             // callers without work remembered per account
	reserve     = 8               // one in so many is kept for callers with little work
	maxFailures = 4               // doublings of the time between asks that fail
)

type (
	// used is the state of an account at a borrower.
	used struct {
		limit   Limit
		active  int64
		tokens  int64
		callers map[string]*caller
		busy    int64   // callers with work in flight
		waiter  *caller // the refused caller that had least, or nil

		share  Share
		starts float64       // in hand, while the share is valid
		floor  *rate.Limiter // starts without a share; nil until needed
		spent  float64       // starts from the floor since the last ask

		// Demand, in periods of shortRenew.
		period   time.Time
		now, old demand
		started  int64     // starts admitted in this period
		starting int64     // callers that they are of
		seen     time.Time // last request or release

		seq      uint64
		asked    time.Time
		told     bool      // the owner may still count work or a share
		renew    time.Time // when to ask again although nothing is refused
		hold     time.Time // not to ask before
		failures int
		cancel   context.CancelFunc // ends the ask under way
	}

	// demand is what was wanted in one period.
	demand struct {
		starts  int64 // requests, refused ones included
		active  int64 // most in flight
		tokens  int64
		refused int64 // refused for active or tokens
		missing int64 // tokens of the refused
		need    int64 // tokens of the largest request
	}

	// caller is the state of a caller of an account at a borrower.
	caller struct {
		active int64
		tokens int64
		starts int64 // in this period
		seen   time.Time
		waits  time.Time // until when a refused caller counts as waiting
	}

	// room is what the account may have now.
	room struct {
		Limit
		valid bool // the share is valid; else the floor counts
		live  int  // entries among which the floor is divided
	}
)

// valid tells whether the share may be used. After a pause of the process it is
// the deadline that tells.
func (u *used) valid(now time.Time) bool {
	return u.share.ID != 0 && now.Before(u.share.Until)
}

// advance moves the demand to the period of now.
func (u *used) advance(limit Limit, now time.Time) {
	u.limit = limit
	if passed := now.Sub(u.period); passed >= shortRenew {
		u.old = u.now
		if passed >= 2*shortRenew {
			u.old = demand{}
		}
		u.now = demand{}
		u.period = now
		u.started, u.starting = 0, 0
		for _, c := range u.callers {
			c.starts = 0
		}
	}
	u.now.active = max(u.now.active, u.active)
	u.now.tokens = max(u.now.tokens, u.tokens)
	if u.share.ID != 0 && !u.valid(now) {
		u.share, u.starts = Share{}, 0
	}
}

func (u *used) caller(name string, now time.Time) *caller {
	c := u.callers[name]
	if c == nil {
		c = &caller{}
		if u.callers == nil {
			u.callers = make(map[string]*caller)
		}
		u.callers[name] = c
	}
	c.seen, u.seen = now, now
	u.now.starts++
	return c
}

// admit tells which limit is reached, if any, and else takes a start.
func (u *used) admit(c *caller, r *room, tokens int64, now time.Time) refusal.Reason {
	u.now.need = max(u.now.need, tokens)
	if r.Active > 0 && !u.fits(c, r, tokens, now, false) {
		return refusal.ActiveLimit
	}
	if r.Tokens > 0 && !u.fits(c, r, tokens, now, true) {
		return refusal.TokenLimit
	}
	if r.Rate > 0 && (u.greedy(c, now) || !u.start(r, now)) {
		return refusal.RateLimit
	}
	return ""
}

// fits checks one capacity. A floor lets one request through in any case.
func (u *used) fits(c *caller, r *room, tokens int64, now time.Time, byTokens bool) bool {
	size, inUse, own, capacity := int64(1), u.active, c.active, u.share.Active
	limit := int64(r.Active)
	if byTokens {
		size, inUse, own, capacity = tokens, u.tokens, c.tokens, u.share.Tokens
		limit = r.Tokens
	}
	if !r.valid {
		if u.active == 0 {
			return true
		}
		capacity = limit / int64(r.live)
	}
	if inUse+size > capacity {
		return false
	}
	return u.mayTake(c, own+size, inUse+size, capacity, now)
}

// mayTake keeps one caller from crowding out the others. A caller with less
// than an equal part may take anything that is free. One with more leaves a
// reserve if there are other callers, and takes nothing while others wait.
func (u *used) mayTake(c *caller, own, all, capacity int64, now time.Time) bool {
	if len(u.callers) < 2 || c.active == 0 {
		return true
	}
	n, waits := u.busy, u.waiter != nil && now.Before(u.waiter.waits) && u.waiter.active < c.active
	if waits && u.waiter.active == 0 {
		n++
	}
	if own <= capacity/(n+1) {
		return true
	}
	return all <= capacity-capacity/reserve && (!waits || own <= capacity/n)
}

// greedy tells whether the caller has had its part of the starts while another
// with fewer waits.
func (u *used) greedy(c *caller, now time.Time) bool {
	w := u.waiter
	if w == nil || w == c || !now.Before(w.waits) || w.starts >= c.starts {
		return false
	}
	n := u.starting
	if w.starts == 0 {
		n++
	}
	return c.starts*n > u.started
}

// start takes a start from the share or, without one, from the floor.
func (u *used) start(r *room, now time.Time) bool {
	if r.valid {
		if u.starts < 1 {
			return false
		}
		u.starts--
		return true
	}
	live := float64(r.live)
	every, burst := rate.Limit(r.Rate/live), max(int(r.burst()/live), 1)
	if u.floor == nil {
		u.floor = rate.NewLimiter(every, burst)
	} else if u.floor.Limit() != every || u.floor.Burst() != burst {
		u.floor.SetLimitAt(now, every)
		u.floor.SetBurstAt(now, burst)
	}
	if !u.floor.AllowN(now, 1) {
		return false
	}
	u.spent++
	return true
}

func (u *used) add(c *caller, tokens int64) {
	u.active++
	u.tokens += tokens
	if c.active == 0 {
		u.busy++
	}
	if c.starts == 0 {
		u.starting++
	}
	c.active++
	c.tokens += tokens
	c.starts++
	u.started++
	c.waits = time.Time{}
	u.now.active = max(u.now.active, u.active)
	u.now.tokens = max(u.now.tokens, u.tokens)
}

// within tells whether the work in flight is inside the share or, without one,
// inside the floor that the package comment states.
func (u *used) within(r *room) bool {
	if r.valid {
		return u.starts >= 0 && (r.Active <= 0 || u.active <= u.share.Active) && (r.Tokens <= 0 || u.tokens <= u.share.Tokens)
	}
	return u.active == 1 || (r.Active <= 0 || u.active <= int64(r.Active/r.live)) &&
		(r.Tokens <= 0 || u.tokens <= r.Tokens/int64(r.live))
}

func (u *used) refused(c *caller, reason refusal.Reason, tokens int64, now time.Time) {
	c.waits = now.Add(waiting)
	if w := u.waiter; w == nil || !now.Before(w.waits) || c.active < w.active || c.active == w.active && c.starts < w.starts {
		u.waiter = c
	}
	if reason != refusal.RateLimit {
		u.now.refused++
		u.now.missing += tokens
	}
}

// lavish tells whether most of a large share has no use here any more.
func (u *used) lavish(now time.Time) bool {
	if now.Sub(u.asked) < shortRenew {
		return false
	}
	active, tokens := max(u.old.active, u.now.active), max(u.old.tokens, u.now.tokens)
	return 4*active < u.share.Active && u.share.Active > int64(u.limit.Active)/4 ||
		4*tokens < u.share.Tokens && u.share.Tokens > u.limit.Tokens/4
}

// low tells whether the starts in hand will soon be used up.
func (u *used) low(now time.Time) bool {
	return u.limit.Rate > 0 && u.valid(now) && u.starts < float64(max(u.old.starts, u.now.starts))/2
}

// retry estimates when a refused request may be admitted.
func (u *used) retry(reason refusal.Reason, limit Limit, now time.Time) time.Time {
	at := now.Add(urgent)
	if reason == refusal.RateLimit {
		at = later(at, now.Add(min(time.Duration(float64(time.Second)/limit.Rate), ShortTerm)))
	}
	return later(at, u.hold)
}

// wants tells whether the account has had work in the last two periods.
func (u *used) wants() bool {
	return u.active > 0 || u.now.starts > 0 || u.old.starts > 0 || u.now.active > 0 || u.old.active > 0
}

// ask says what the account uses and wants: the most of the last two periods,
// what was refused, and some more to grow. Without work the share is given back:
// it is dropped here, so the owner may lend it again at once.
func (u *used) ask(entry, account string, now time.Time) Ask {
	refused := max(u.old.refused, u.now.refused)
	missing := max(u.old.missing, u.now.missing)
	starts := float64(max(u.old.starts, u.now.starts))
	if !u.wants() {
		u.share = Share{}
	}
	a := Ask{
		Entry: entry, Account: account, Have: u.share.ID, Limit: u.limit,
		Used: Amount{Active: u.active, Tokens: u.tokens},
		Need: max(u.old.need, u.now.need), Spent: u.spent,
	}
	if active := max(u.old.active, u.now.active) + refused; active > 0 {
		a.Want.Active = active + active/4 + 1
		if refused > 0 {
			a.Want.Active += active / 4
		}
	}
	if tokens := max(u.old.tokens, u.now.tokens) + missing; tokens > 0 {
		a.Want.Tokens = tokens + max(tokens/4, a.Need)
	}
	target := 2 * starts
	if u.starts > target+1 {
		a.Back = u.starts - target
		u.starts = target
	}
	if target > 0 {
		a.Want.Starts = max(target-u.starts, 0)
	}
	u.seq = max(u.seq+1, uint64(max(now.UnixNano(), 0)))
	a.Seq = u.seq
	u.spent, u.asked = 0, now
	u.told = u.told || u.wants()
	return a
}

// answer takes over what the owner answered to an ask made at the time asked.
func (u *used) answer(ask Ask, share Share, err error, asked time.Time) {
	if ask.Seq != u.seq {
		return // given up; a newer ask is under way
	}
	u.cancel = nil
	if err != nil {
		u.hold = asked.Add(urgent << min(u.failures, maxFailures))
		u.renew = u.hold
		u.failures++
		u.spent += ask.Spent // may be reported twice, which errs on the safe side
		return
	}
	u.failures = 0
	u.told = ask.Want != (Amount{})
	if share.ID == 0 {
		u.renew = share.Renew
		if ask.Want != (Amount{}) {
			u.hold = asked.Add(shortRenew)
		}
		return
	}
	if share.ID <= u.share.ID {
		return
	}
	u.share = share
	u.starts += share.Starts
	u.renew = share.Renew
	if share.Active < ask.Want.Active || share.Tokens < ask.Want.Tokens || share.Starts < ask.Want.Starts {
		u.renew = asked.Add(shortRenew)
	}
}

// forget drops callers without work.
func (u *used) forget(now time.Time) {
	idle := 0
	for name, c := range u.callers {
		if c.active > 0 {
			continue
		}
		if idle++; idle > maxCallers || now.Sub(c.seen) > memory {
			delete(u.callers, name)
			if u.waiter == c {
				u.waiter = nil
			}
		}
	}
}

// idle tells whether the state can be dropped: nothing is in flight, no share
// is in hand, and the floor's bucket is full again.
func (u *used) idle(now time.Time) bool {
	if u.active > 0 || u.cancel != nil || now.Sub(u.seen) < idleAfter || u.valid(now) {
		return false
	}
	return u.floor == nil || u.floor.TokensAt(now) >= float64(u.floor.Burst())
}
