package entry

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// pollBudget bounds the regular polls of one entry over all services. At
	// 280 bytes for a poll it is about half of the 14 KB/s that the control
	// traffic of an entry may take.
	pollBudget = 24
	// pollPeriod is the mean period while the budget allows it.
	pollPeriod = time.Second
	// idleAfter is the time without requests after which the endpoints of a
	// service are no longer polled.
	idleAfter = time.Minute
	// pollAge is the greatest age of the state of an endpoint that gets work.
	// With pollTimeout it keeps the 3 s after which a leaving endpoint gets none.
	pollAge = 2 * time.Second
	// eventsEvery polls the cache events are read. They change placement less
	// than the load does.
	eventsEvery = 4
)

// poll reads the load of an endpoint once a period until ctx ends.
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

// pause waits for the next poll: a period, or until the service is used again.
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

// pollWait gives the time between two polls of one endpoint. Half of it varies,
// so that entries do not poll in step.
func (e *Entry) pollWait() time.Duration {
	period := max(pollPeriod, time.Duration(e.polling.Load())*time.Second/pollBudget)
	return period*3/4 + rand.N(period/2)
}

// use notes a request and wakes the polls of a service that had none for a while.
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

// confirm polls an endpoint that is about to get work if its state is too old.
// It is false if the endpoint is leaving, which a poll may have told since it
// was chosen, or turns out to be down.
func (d *desk) confirm(endpoint string) bool {
	w := d.watchOf(endpoint)
	if w == nil {
		return true
	}
	// A caller that hangs up must not make the endpoint look down.
	polled := w.refresh(d.e.background, d, pollAge)
	return !w.leaving.Load() && (!polled || !w.down.Load())
}

// refresh polls the endpoint if its state is older than age, and tells whether
// it did, or waited for another poll that was under way.
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
