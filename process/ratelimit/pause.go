package ratelimit

import "time"

// ReleaseInterval is the mean interval at which requests that waited for an endpoint are
// sent to it, so that they do not reach it together.
const ReleaseInterval = 10 * time.Millisecond

// Pause grants no more requests of this instance to an endpoint before a time. Other
// instances are not concerned. A pause that ends earlier than the one in force changes
// nothing, and only a later start of the endpoint ends it sooner.
func (l *Limiter) Pause(e Endpoint, until, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !until.After(now) || l.isEarlier(e) {
		return
	}
	x := l.find(e)
	if !until.After(x.pause) {
		return
	}
	if x.pause.IsZero() {
		l.paused.Add(1)
	}
	x.pause = until
	x.reorder(now)
}

// reorder voids the grants for later times, so that those who wait for one ask again. The
// lock must be held.
func (x *limit) reorder(now time.Time) {
	x.release = time.Time{}
	if x.interval > 0 {
		x.next = x.latest(now).Add(x.interval)
	}
	x.notify(now)
}

// opens returns the time of the next grant, as far as this instance may send at all, and
// the interval to the one after it; both are zero if there is nothing to wait for. It
// reports false if this instance may not send. The lock must be held.
func (l *Limiter) opens(x *limit, now time.Time) (at time.Time, interval time.Duration, ok bool) {
	if x.cold != nil && !now.Before(x.cold.Until) {
		l.endCold(x, now)
	}
	at, interval = l.opensWarm(x, now)
	ok = x.rate == 0 || interval > 0
	if x.cold == nil {
		return at, interval, ok
	}
	coldAt, coldInterval, holds := l.opensCold(x, now)
	return later(at, coldAt), max(interval, coldInterval), ok && holds
}

// opensWarm returns what opens does if an endpoint is not cold. The interval is zero if there
// is a rate and this instance has no part of it. The lock must be held.
func (l *Limiter) opensWarm(x *limit, now time.Time) (at time.Time, interval time.Duration) {
	if !x.pause.IsZero() && !now.Before(x.pause) {
		l.endPause(x)
	}
	if x.rate > 0 {
		l.divide(x, now)
		return later(x.next, x.pause), x.interval
	}
	if at = later(x.release, x.pause); at.After(now) {
		return at, ReleaseInterval
	}
	return time.Time{}, 0
}

// endPause removes the pause of a record that has one. The lock must be held.
func (l *Limiter) endPause(x *limit) {
	x.pause = time.Time{}
	l.paused.Add(-1)
}

// latest returns the time of the latest grant that was not for a later time. The lock
// must be held.
func (x *limit) latest(now time.Time) time.Time {
	at := x.next.Add(-x.interval)
	if ahead := at.Sub(now); ahead > 0 {
		at = at.Add(-(ahead/x.interval + 1) * x.interval)
	}
	return at
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
