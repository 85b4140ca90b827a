package ratelimit

import (
	"math"
	"slices"
	"time"
)

const (
	// coldWindow is the time in which the instances together send a cold endpoint no more
	// than its quota: the second of the bound, 100 ms by which requests may be delayed on
	// the way, and as much again for a new connection.
	coldWindow = 1200 * time.Millisecond
	// coldSplit is the share of the bound that instances which know each other use. Two
	// groups that do not know of each other keep the bound together.
	coldSplit = 0.5
	// coldUse is the share of the rate that is used at least where work waits, if the bound
	// allows it.
	coldUse = 2.0 / 3
	// maxColdWait is the longest rest of a cold time whose end counts as the next grant at
	// an instance without a part in the quota. It is the longest time for which requests
	// wait: 0.6 of 4 s. For a longer one, another instance may have a grant earlier.
	maxColdWait = 2400 * time.Millisecond
	// coldCopyTime is the longest rest of a cold time for which copies are placed at an
	// endpoint if this instance has no part in the quota: an engine ends 1.5 s after its
	// notice at the earliest, and its runs continue at their copies then.
	coldCopyTime = 1500 * time.Millisecond
)

type (
	// Cold says until when an endpoint is cold and how many requests it tolerates.
	Cold struct {
		Rate   float64   // requests per second that it tolerates, from all instances together
		Most   float64   // requests that may reach it in any one second, from all instances together
		Until  time.Time // by the clock of this instance
		Source string    // by which this instance learned of it, for the log
	}

	// ColdChange reports that a cold time has begun or ended at this instance.
	ColdChange struct {
		Endpoint string
		Source   string
		Until    time.Time
		Ended    bool
		// The others are set if the cold time has ended: how long it was, and the requests
		// of this instance that were granted, refused a grant, and granted one for later.
		Lasted                    time.Duration
		Granted, Refused, Delayed int64
	}

	// coldTime is the cold time of an endpoint. Its quota, the number of requests in any
	// coldWindow, is divided among holders as a limit is. It keeps the bound whenever its
	// holders begin: none depends on the time at which another one has learned of it.
	coldTime struct {
		Cold
		since   time.Time
		part    int         // requests of this instance in any coldWindow, 0 if it is no holder
		view    int         // Limiter.views for which part was computed
		granted []time.Time // grants of about the last coldWindow and for later times, in order

		total, refused, delayed int64
	}
)

// quota returns how many requests the instances together send in any coldWindow.
func (c Cold) quota() int {
	use := max(math.Floor(c.Most*coldSplit), math.Ceil(c.Rate*coldUse*coldWindow.Seconds()))
	return int(max(min(use, math.Floor(c.Most), math.MaxInt32), 0))
}

// Cool records that an endpoint is cold until a time. The latest of the times that are
// recorded for one of its processes applies.
func (l *Limiter) Cool(e Endpoint, c Cold, now time.Time) {
	l.mu.Lock()
	if !c.Until.After(now) || l.isEarlier(e) {
		l.mu.Unlock()
		return
	}
	x := l.find(e)
	if x.cold != nil && !now.Before(x.cold.Until) {
		l.endCold(x, now)
	}
	begins := x.cold == nil
	switch {
	case begins:
		x.cold = &coldTime{Cold: c, since: now, view: -1}
		l.cold.Add(1)
		x.reorder(now)
	case c.Until.After(x.cold.Until):
		x.cold.Until = c.Until
		x.reorder(now) // those that waited for the end
	}
	if x.cold.Rate != c.Rate || x.cold.Most != c.Most {
		x.cold.Rate, x.cold.Most, x.cold.view = c.Rate, c.Most, -1
	}
	l.mu.Unlock()
	if begins && l.ColdChanged != nil {
		l.ColdChanged(ColdChange{Endpoint: e.ID, Source: c.Source, Until: c.Until})
	}
}

// IsCold reports whether an endpoint is cold.
func (l *Limiter) IsCold(endpoint string, now time.Time) bool {
	if l.cold.Load() == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.limits[endpoint]
	return x != nil && x.cold != nil && now.Before(x.cold.Until)
}

// Holds reports whether this instance has a part in the quota of an endpoint that is cold.
func (l *Limiter) Holds(endpoint string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.limits[endpoint]
	if x == nil || x.cold == nil {
		return false
	}
	l.allot(x, now)
	return x.cold.part > 0
}

// AllowsCopies reports whether copies may be placed at an endpoint, which are no requests: it
// has neither a limit nor a pause, and if it is cold, runs can soon continue there.
func (l *Limiter) AllowsCopies(endpoint string, now time.Time) bool {
	if !l.Any() {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.limits[endpoint]
	if x == nil {
		return true
	}
	l.opens(x, now) // ends what has ended
	switch {
	case x.rate > 0, now.Before(x.pause), x.cold == nil && now.Before(x.release):
		return false
	}
	return x.cold == nil || x.cold.part > 0 || !x.cold.Until.After(now.Add(coldCopyTime))
}

// opensCold returns the time of the next grant to a cold endpoint, the mean interval of
// grants, and whether this instance may send there. Without a part in the quota, it sends when
// the cold time has ended. The lock must be held.
func (l *Limiter) opensCold(x *limit, now time.Time) (at time.Time, interval time.Duration, ok bool) {
	c := x.cold
	l.allot(x, now)
	if c.part == 0 {
		return c.Until, ReleaseInterval, !c.Until.After(now.Add(maxColdWait))
	}
	if at = c.next(); at.After(c.Until) {
		at = c.Until
	}
	return at, coldWindow / time.Duration(c.part), true
}

// allot computes the part of this instance in the quota of a cold endpoint. Holders whose
// parts would differ by less than one differ by one in the order of the holders. The lock
// must be held.
func (l *Limiter) allot(x *limit, now time.Time) {
	c := x.cold
	l.settle(now)
	if c.view == l.views {
		return
	}
	c.view = l.views
	part, quota := 0, c.quota()
	near := l.ranked(x)
	n := min(max(len(near), 1), quota)
	i := slices.Index(near, l.id)
	if len(near) == 0 {
		i = 0
	}
	if l.settled && i >= 0 && i < n {
		part = quota / n
		if i < quota%n {
			part++
		}
	}
	if part == c.part {
		return
	}
	c.part = part
	x.reorder(now)
}

// endCold ends the cold time of a record that has one. The lock must be held.
func (l *Limiter) endCold(x *limit, now time.Time) {
	c := x.cold
	x.cold = nil
	l.cold.Add(-1)
	l.warm = append(l.warm, ColdChange{
		Endpoint: x.ID, Source: c.Source, Until: c.Until, Ended: true, Lasted: now.Sub(c.since),
		Granted: c.total, Refused: c.refused, Delayed: c.delayed,
	})
}

// reportWarm reports the cold times that have ended.
func (l *Limiter) reportWarm() {
	l.mu.Lock()
	list := l.warm
	l.warm = nil
	l.mu.Unlock()
	for _, c := range list {
		if l.ColdChanged != nil {
			l.ColdChanged(c)
		}
	}
}

// grantCold counts a grant for a time, and reports whether the endpoint is cold then. The
// lock must be held.
func (x *limit) grantCold(at, now time.Time) bool {
	c := x.cold
	if c == nil || !at.Before(c.Until) {
		return false
	}
	c.total++
	for len(c.granted) > 0 && c.granted[0].Add(coldWindow).Before(now) {
		c.granted = c.granted[1:]
	}
	c.granted = append(c.granted, at)
	return true
}

// next returns the earliest time of the next grant. c.part must not be zero.
func (c *coldTime) next() time.Time {
	n := len(c.granted)
	switch {
	case n == 0:
		return time.Time{}
	case n < c.part:
		return c.granted[n-1]
	}
	return later(c.granted[n-1], c.granted[n-c.part].Add(coldWindow))
}

// void removes the grants for later times.
func (c *coldTime) void(now time.Time) {
	for n := len(c.granted); n > 0 && c.granted[n-1].After(now); n = len(c.granted) {
		c.granted = c.granted[:n-1]
	}
}

// cancel takes a grant back if no later one depends on it.
func (c *coldTime) cancel(at time.Time) {
	if n := len(c.granted); n > 0 && c.granted[n-1].Equal(at) {
		c.granted = c.granted[:n-1]
	}
}
