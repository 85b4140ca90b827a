package ratelimit

import (
	"context"
	"math"
	"time"
)

// Limited reports whether a limit of an endpoint is in force.
func (l *Limiter) Limited(endpoint string) bool {
	if l.limited.Load() == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.limits[endpoint]
	return x != nil && x.rate > 0
}

// Any reports whether a limit, a pause or a cold time of any endpoint may be in force.
func (l *Limiter) Any() bool { return l.limited.Load()+l.paused.Load()+l.cold.Load() > 0 }

// Asked reports whether a limit or a pause that an endpoint has asked for may be in force.
func (l *Limiter) Asked() bool { return l.limited.Load()+l.paused.Load() > 0 }

// Take grants one request to an endpoint now, and reports whether it did. A request
// to an endpoint without a limit and a pause that is not cold is always granted.
func (l *Limiter) Take(endpoint string, now time.Time) bool {
	return l.take(endpoint, now, true)
}

// Ready reports whether Take would grant a request.
func (l *Limiter) Ready(endpoint string, now time.Time) bool {
	return l.take(endpoint, now, false)
}

func (l *Limiter) take(endpoint string, now time.Time, grant bool) bool {
	if !l.Any() {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.limits[endpoint]
	if x == nil {
		return true
	}
	at, _, ok := l.opens(x, now)
	if !ok || now.Before(at) {
		if grant && x.cold != nil {
			x.cold.refused++
		}
		return false
	}
	if grant && x.rate > 0 {
		x.next = now.Add(x.interval)
		x.granted++
	}
	if grant {
		x.grantCold(now, now)
	}
	return true
}

// Next returns when Take will grant the next request to an endpoint: a time in the
// past if it would do so now, and false if this instance may not send to it.
func (l *Limiter) Next(endpoint string, now time.Time) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.limits[endpoint]
	if x == nil {
		return time.Time{}, true
	}
	at, _, ok := l.opens(x, now)
	return at, ok
}

// Due returns how many requests of this instance to an endpoint will be granted by a
// time; many if the endpoint has neither a limit nor a pause
// and is not cold.
func (l *Limiter) Due(endpoint string, until, now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.limits[endpoint]
	if x == nil {
		return math.MaxInt32
	}
	at, interval, ok := l.opens(x, now)
	switch {
	case !ok || at.After(until):
		return 0
	case interval == 0, x.rate == 0 && x.cold != nil && !until.Before(x.cold.Until):
		return math.MaxInt32
	}
	return 1 + int(until.Sub(at)/interval)
}

// Wait waits for a grant of one request to an endpoint, and reports whether it was
// granted. Requests are granted in the order of the calls. It fails at once if the
// grant would come after a time, and when ctx ends.
func (l *Limiter) Wait(ctx context.Context, endpoint string, until time.Time) bool {
	for {
		at, changed, ok := l.reserve(endpoint, until, time.Now())
		if !ok {
			return false
		}
		// The race detector crashes on a select with a timer that has expired in a synctest
		// bubble. Most grants are due at once.
		if d := time.Until(at); d > 0 {
			timer := time.NewTimer(d)
			select {
			case <-timer.C:
			case <-changed:
				timer.Stop()
			case <-ctx.Done():
				timer.Stop()
				l.cancel(endpoint, at)
				return false
			}
		} else if ctx.Err() != nil {
			l.cancel(endpoint, at)
			return false
		}
		select {
		case <-changed: // the place in the order was one of the previous rate
		default:
			l.count(endpoint)
			return true
		}
	}
}

// reserve grants the next request to an endpoint, for a time not after until. The
// grant is void if changed is closed before that time.
func (l *Limiter) reserve(endpoint string, until, now time.Time) (at time.Time, changed <-chan struct{}, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.limits[endpoint]
	if x == nil {
		return now, nil, true
	}
	at, interval, ok := l.opens(x, now)
	at = later(at, now)
	if !ok || at.After(until) {
		if x.cold != nil {
			x.cold.refused++
		}
		return at, nil, false
	}
	if x.cold != nil && at.After(now) {
		x.cold.delayed++
	}
	counted := x.grantCold(at, now)
	switch {
	case x.rate > 0:
		x.next = at.Add(x.interval)
	case interval > 0 && !counted:
		x.release = at.Add(ReleaseInterval)
	}
	return at, x.changed, true
}

// count records that a request was granted.
func (l *Limiter) count(endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if x := l.limits[endpoint]; x != nil {
		x.granted++
	}
}

// cancel takes a grant back if no later one depends on it.
func (l *Limiter) cancel(endpoint string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.limits[endpoint]
	if x == nil {
		return
	}
	if x.interval > 0 && x.next.Equal(at.Add(x.interval)) {
		x.next = at
	}
	if x.cold != nil {
		x.cold.cancel(at)
	}
}
