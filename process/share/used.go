package share

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

const (
	waitingPeriod   = 2 * time.Second // how long a refused caller counts as waiting
	callerRetention = time.Minute     // how long a caller without work is kept
	maxCallers      = 256             // most callers without work kept per account
	reserveDivisor  = 8               // 1/8 of a capacity is kept for callers with little work
	maxDoublings    = 4               // most doublings of the time between failing requests to the owner
)

type (
	// accountState is the state of an account at a borrower.
	accountState struct {
		limit       Limit
		active      int64
		tokens      int64
		callers     map[string]*caller
		busyCallers int64   // callers with work in flight
		waiter      *caller // the refused caller with the least work, or nil

		share  Share
		starts float64       // unused starts of the share, while it is valid
		floor  *rate.Limiter // limits starts without a share; nil until needed
		spent  float64       // starts from the floor since the last request to the owner

		// Demand, in periods of shortRenew.
		period            time.Time
		current, previous demand
		started           int64     // starts admitted in this period
		startingCallers   int64     // callers with starts in this period
		seen              time.Time // last request or release

		seq         uint64
		lastRequest time.Time
		// counted means that the owner may still reserve capacity for this entry. It
		// is true from a request with demand until one without demand has been
		// answered; until then Renew sends requests also without work.
		counted  bool
		renew    time.Time // when to request a share again although no caller is refused
		holdOff  time.Time // earliest time of the next request to the owner
		failures int
		cancel   context.CancelFunc // cancels the request in flight; nil if none
	}

	// demand is the work of one period, both admitted and refused.
	demand struct {
		starts  int64 // requests, refused ones included
		active  int64 // most in flight
		tokens  int64
		refused int64 // requests refused for ActiveLimit or TokenLimit
		missing int64 // tokens of these requests
		need    int64 // tokens of the largest request
	}

	// caller is the state of a caller of an account at a borrower.
	caller struct {
		active     int64
		tokens     int64
		starts     int64 // in this period
		seen       time.Time
		waitsUntil time.Time // until when a refused caller counts as waiting
	}

	// allowance holds the account's limit and the data that determine which part
	// of it this entry may use now: its share, or its floor.
	allowance struct {
		Limit
		valid bool // the share is valid; otherwise the floor applies
		live  int  // entries among which the limit is divided for the floor
	}
)

// valid reports whether the share may be used. It compares the deadline, so that
// a process that was paused does not use a share that has lapsed.
func (u *accountState) valid(now time.Time) bool {
	return u.share.ID != 0 && now.Before(u.share.Until)
}

// advance sets the limit, starts a new demand period if the current one is over,
// and drops a share that has lapsed.
func (u *accountState) advance(limit Limit, now time.Time) {
	u.limit = limit
	if passed := now.Sub(u.period); passed >= shortRenew {
		u.previous = u.current
		if passed >= 2*shortRenew {
			u.previous = demand{}
		}
		u.current = demand{}
		u.period = now
		u.started, u.startingCallers = 0, 0
		for _, c := range u.callers {
			c.starts = 0
		}
	}
	u.current.active = max(u.current.active, u.active)
	u.current.tokens = max(u.current.tokens, u.tokens)
	if u.share.ID != 0 && !u.valid(now) {
		u.share, u.starts = Share{}, 0
	}
}

// caller returns the state of a caller, which is created if necessary, and counts
// a request.
func (u *accountState) caller(name string, now time.Time) *caller {
	c := u.callers[name]
	if c == nil {
		c = &caller{}
		if u.callers == nil {
			u.callers = make(map[string]*caller)
		}
		u.callers[name] = c
	}
	c.seen, u.seen = now, now
	u.current.starts++
	return c
}

// admit returns the reason if a limit is reached, and otherwise takes a start.
func (u *accountState) admit(c *caller, r *allowance, tokens int64, now time.Time) refusal.Reason {
	u.current.need = max(u.current.need, tokens)
	if r.Active > 0 && !u.fits(c, r, tokens, now, false) {
		return refusal.ActiveLimit
	}
	if r.Tokens > 0 && !u.fits(c, r, tokens, now, true) {
		return refusal.TokenLimit
	}
	if r.Rate > 0 && (u.exceedsFairStarts(c, now) || !u.start(r, now)) {
		return refusal.RateLimit
	}
	return ""
}

// fits reports whether the request fits into one capacity, tokens or active
// requests. The floor always admits one request.
func (u *accountState) fits(c *caller, r *allowance, tokens int64, now time.Time, byTokens bool) bool {
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

// mayTake reports whether the caller may take free capacity without starving the
// other callers. Let n be the number of callers with work in flight, plus one if
// a caller without any waits. The caller may take capacity if
//
//   - it is the only caller, or has no work in flight, or
//   - it then has at most 1/(n+1) of the capacity, an equal part that leaves room
//     for one more caller, or
//   - 1/reserveDivisor of the capacity stays free and, while a caller with less
//     work waits, it then has at most 1/n of the capacity.
func (u *accountState) mayTake(c *caller, own, all, capacity int64, now time.Time) bool {
	if len(u.callers) < 2 || c.active == 0 {
		return true
	}
	n, waits := u.busyCallers, u.waiter != nil && now.Before(u.waiter.waitsUntil) && u.waiter.active < c.active
	if waits && u.waiter.active == 0 {
		n++
	}
	if own <= capacity/(n+1) {
		return true
	}
	return all <= capacity-capacity/reserveDivisor && (!waits || own <= capacity/n)
}

// exceedsFairStarts reports whether the caller has had more than an equal part of the
// starts of this period while a caller with fewer starts waits.
func (u *accountState) exceedsFairStarts(c *caller, now time.Time) bool {
	w := u.waiter
	if w == nil || w == c || !now.Before(w.waitsUntil) || w.starts >= c.starts {
		return false
	}
	n := u.startingCallers
	if w.starts == 0 {
		n++
	}
	return c.starts*n > u.started
}

// start takes a start from the share or, without one, from the floor.
func (u *accountState) start(r *allowance, now time.Time) bool {
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

// add counts an admitted request.
func (u *accountState) add(c *caller, tokens int64) {
	u.active++
	u.tokens += tokens
	if c.active == 0 {
		u.busyCallers++
	}
	if c.starts == 0 {
		u.startingCallers++
	}
	c.active++
	c.tokens += tokens
	c.starts++
	u.started++
	c.waitsUntil = time.Time{}
	u.current.active = max(u.current.active, u.active)
	u.current.tokens = max(u.current.tokens, u.tokens)
}

// withinAllowance reports whether the work in flight is within the share or,
// without one, within the floor that the package comment states.
func (u *accountState) withinAllowance(r *allowance) bool {
	if r.valid {
		return u.starts >= 0 && (r.Active <= 0 || u.active <= u.share.Active) && (r.Tokens <= 0 || u.tokens <= u.share.Tokens)
	}
	return u.active == 1 || (r.Active <= 0 || u.active <= int64(r.Active/r.live)) &&
		(r.Tokens <= 0 || u.tokens <= r.Tokens/int64(r.live))
}

// countRefusal records the demand of a refused request, and the caller as
// waiting.
func (u *accountState) countRefusal(c *caller, reason refusal.Reason, tokens int64, now time.Time) {
	c.waitsUntil = now.Add(waitingPeriod)
	if w := u.waiter; w == nil || !now.Before(w.waitsUntil) || c.active < w.active || c.active == w.active && c.starts < w.starts {
		u.waiter = c
	}
	if reason != refusal.RateLimit {
		u.current.refused++
		u.current.missing += tokens
	}
}

// oversized reports whether the share is more than a quarter of a limit and less
// than a quarter of it was used in the last two periods. It returns false within
// shortRenew of the last request to the owner.
func (u *accountState) oversized(now time.Time) bool {
	if now.Sub(u.lastRequest) < shortRenew {
		return false
	}
	active, tokens := max(u.previous.active, u.current.active), max(u.previous.tokens, u.current.tokens)
	return 4*active < u.share.Active && u.share.Active > int64(u.limit.Active)/4 ||
		4*tokens < u.share.Tokens && u.share.Tokens > u.limit.Tokens/4
}

// lowOnStarts reports whether the unused starts are less than half of the demand
// of a period.
func (u *accountState) lowOnStarts(now time.Time) bool {
	return u.limit.Rate > 0 && u.valid(now) && u.starts < float64(max(u.previous.starts, u.current.starts))/2
}

// retryAt estimates when a refused request may be admitted.
func (u *accountState) retryAt(reason refusal.Reason, limit Limit, now time.Time) time.Time {
	at := now.Add(minRequestInterval)
	if reason == refusal.RateLimit {
		at = later(at, now.Add(min(time.Duration(float64(time.Second)/limit.Rate), ShortTerm)))
	}
	return later(at, u.holdOff)
}

// hasDemand reports whether the account has had work in the last two periods.
func (u *accountState) hasDemand() bool {
	return u.active > 0 || u.current.starts > 0 || u.previous.starts > 0 || u.current.active > 0 || u.previous.active > 0
}

// newRequest returns a request to the owner that reports the use and demand of
// the account. The demand is the maximum of the last two periods plus the
// refused requests and some capacity for growth. Without work the share is
// returned: it is dropped here, so the owner may lend it again at once.
func (u *accountState) newRequest(entry, account string, now time.Time) Request {
	refused := max(u.previous.refused, u.current.refused)
	missing := max(u.previous.missing, u.current.missing)
	starts := float64(max(u.previous.starts, u.current.starts))
	if !u.hasDemand() {
		u.share = Share{}
	}
	req := Request{
		Entry: entry, Account: account, Have: u.share.ID, Limit: u.limit,
		Used: Amount{Active: u.active, Tokens: u.tokens},
		Need: max(u.previous.need, u.current.need), Spent: u.spent,
	}
	if active := max(u.previous.active, u.current.active) + refused; active > 0 {
		req.Want.Active = active + active/4 + 1
		if refused > 0 {
			req.Want.Active += active / 4
		}
	}
	if tokens := max(u.previous.tokens, u.current.tokens) + missing; tokens > 0 {
		req.Want.Tokens = tokens + max(tokens/4, req.Need)
	}
	target := 2 * starts
	if u.starts > target+1 {
		req.Back = u.starts - target
		u.starts = target
	}
	if target > 0 {
		req.Want.Starts = max(target-u.starts, 0)
	}
	u.seq = max(u.seq+1, uint64(max(now.UnixNano(), 0)))
	req.Seq = u.seq
	u.spent, u.lastRequest = 0, now
	u.counted = u.counted || u.hasDemand()
	return req
}

// handleReply applies the owner's reply to a request sent at sentAt.
func (u *accountState) handleReply(req Request, share Share, err error, sentAt time.Time) {
	if req.Seq != u.seq {
		return // this request was canceled; a newer one is in flight
	}
	u.cancel = nil
	if err != nil {
		u.holdOff = sentAt.Add(minRequestInterval << min(u.failures, maxDoublings))
		u.renew = u.holdOff
		u.failures++
		u.spent += req.Spent // may be reported twice, which errs on the safe side
		return
	}
	u.failures = 0
	u.counted = req.Want != (Amount{})
	if share.ID == 0 {
		u.renew = share.Renew
		if req.Want != (Amount{}) {
			u.holdOff = sentAt.Add(shortRenew)
		}
		return
	}
	if share.ID <= u.share.ID {
		return
	}
	u.share = share
	u.starts += share.Starts
	u.renew = share.Renew
	if share.Active < req.Want.Active || share.Tokens < req.Want.Tokens || share.Starts < req.Want.Starts {
		u.renew = sentAt.Add(shortRenew)
	}
}

// dropCallers drops callers without work that have not been seen for a minute,
// and those in excess of maxCallers.
func (u *accountState) dropCallers(now time.Time) {
	idle := 0
	for name, c := range u.callers {
		if c.active > 0 {
			continue
		}
		if idle++; idle > maxCallers || now.Sub(c.seen) > callerRetention {
			delete(u.callers, name)
			if u.waiter == c {
				u.waiter = nil
			}
		}
	}
}

// idle reports whether the state can be dropped: the account has not been used
// for idleAfter, no work or request to the owner is in flight, no share is valid,
// and the floor's bucket is full again.
func (u *accountState) idle(now time.Time) bool {
	if u.active > 0 || u.cancel != nil || now.Sub(u.seen) < idleAfter || u.valid(now) {
		return false
	}
	return u.floor == nil || u.floor.TokensAt(now) >= float64(u.floor.Burst())
}
