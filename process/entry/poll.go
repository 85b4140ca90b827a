package entry

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// pollBudget is the maximum number of regular polls per second of one entry,
	// over all services. At 280 bytes per poll it uses about half of the 14 KB/s
	// that the control traffic of an entry may use.
	pollBudget = 24
	// pollPeriod is the mean poll period of an endpoint. It grows if the budget
	// requires it.
	pollPeriod = time.Second
	// idleAfter is the time without requests after which the endpoints of a
	// service are no longer polled.
	idleAfter = time.Minute
	// pollAge is the maximum age of an endpoint's state when work is sent to it.
	// Together with pollTimeout it ensures that a leaving endpoint gets no new
	// work after 3 s.
	pollAge = 2 * time.Second
	// eventsEvery is the number of polls per read of the cache events, which
	// affect placement less than the load does.
	eventsEvery = 4
)

// poll reads the state of an endpoint periodically until ctx ends.
func (d *desk) poll(ctx context.Context, w *watch) {
	d.e.polling.Add(1)
	defer d.e.polling.Add(-1)
	for {
		w.refresh(ctx, d, 0)
		if !d.pause(ctx, w) {
			return
		}
	}
}

// pause waits until the next poll is due: for a period or, if the service has
// been idle for idleAfter, until it is used again. It returns false when ctx
// ends.
func (d *desk) pause(ctx context.Context, w *watch) bool {
	if d.e.now().Sub(time.UnixMilli(d.used.Load())) >= idleAfter {
		d.e.polling.Add(-1)
		defer d.e.polling.Add(1)
		select {
		case <-ctx.Done():
			return false
		case <-w.wake:
			return true
		}
	}
	return sleepUntil(ctx, d.e.now().Add(d.e.pollWait()), d.e.now())
}

// pollWait returns the time between two polls of an endpoint. It varies by a
// quarter of the period in both directions, so that entries do not poll in
// step.
func (e *Entry) pollWait() time.Duration {
	period := max(pollPeriod, time.Duration(e.polling.Load())*time.Second/pollBudget)
	return period*3/4 + rand.N(period/2)
}

// use records a request for the service, and resumes the polls if the service
// was idle.
func (d *desk) use() {
	now := d.e.now()
	if now.Sub(time.UnixMilli(d.used.Swap(now.UnixMilli()))) < idleAfter {
		return
	}
	for _, w := range d.watches() {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
}

// confirm reports whether a chosen endpoint can get work. It polls the endpoint
// first if the state is older than pollAge. It returns false if the endpoint is
// leaving, or if this poll failed.
func (d *desk) confirm(endpoint string) bool {
	w := d.watchOf(endpoint)
	if w == nil {
		return true
	}
	// The poll does not use the context of the request: a caller that hangs up
	// would otherwise cancel it and mark the endpoint as down.
	polled := w.refresh(d.e.background, d, pollAge)
	return !w.leaving.Load() && (!polled || !w.down.Load())
}

// refresh polls the endpoint if its state is older than age; 0 means always. It
// reports whether it polled or waited for a poll that was in progress.
func (w *watch) refresh(ctx context.Context, d *desk, age time.Duration) bool {
	fresh := func() bool {
		return age > 0 && d.e.now().Sub(time.UnixMilli(w.polled.Load())) <= age
	}
	if fresh() {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if fresh() {
		return true
	}
	begun := d.e.now()
	d.pollOnce(ctx, w)
	w.polled.Store(begun.UnixMilli())
	return true
}
