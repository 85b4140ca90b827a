package entry

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// pollBudget is the maximum number of regular polls per second of one
	// entry, over all services. At 280 bytes per poll it uses about half of the
	// 14 KB/s that the control traffic of an entry may use.
	pollBudget = 24
	// pollPeriod is the mean poll period of an endpoint. It grows if the budget
	// requires it.
	pollPeriod = time.Second
	// idleAfter is the time without requests after which the endpoints of a
	// service are no longer polled.
	idleAfter = time.Minute
	// pollAge is the maximum age of an endpoint's state when work is sent to
	// it. Together with pollTimeout it ensures that a leaving endpoint gets no
	// new work after 3 s.
	pollAge = 2 * time.Second
	// eventsEvery is the number of polls per read of the cache events, which
	// affect placement less than the load does.
	eventsEvery = 4
)

// poll reads the state of an endpoint periodically until ctx ends.
func (p *enginePool) poll(ctx context.Context, w *watch) {
	p.e.polling.Add(1)
	defer p.e.polling.Add(-1)
	for {
		w.refresh(ctx, p, 0)
		if !p.waitNextPoll(ctx, w) {
			return
		}
	}
}

// waitNextPoll waits until the next poll is due: a period after the begin of the last
// one, so that a silent endpoint is polled almost without a pause, or, if the service
// has been idle for idleAfter and no request waits, until it is used again. It returns
// false when ctx ends.
func (p *enginePool) waitNextPoll(ctx context.Context, w *watch) bool {
	if p.e.now().Sub(time.UnixMilli(p.lastUsed.Load())) >= idleAfter && p.dispatcher.Queue.Len() == 0 {
		p.e.polling.Add(-1)
		defer p.e.polling.Add(1)
		select {
		case <-ctx.Done():
			return false
		case <-w.wake:
			return true
		}
	}
	return sleepUntil(ctx, time.UnixMilli(w.polled.Load()).Add(p.e.pollWait()), p.e.now())
}

// pollWait returns the time between two polls of an endpoint. It varies by a
// quarter of the period in both directions, so that entries do not poll in
// step.
func (e *Entry) pollWait() time.Duration {
	period := max(pollPeriod, time.Duration(e.polling.Load())*time.Second/pollBudget)
	return period*3/4 + rand.N(period/2)
}

// markUsed records a request for the service, and resumes the polls if the
// service was idle.
func (p *enginePool) markUsed() {
	now := p.e.now()
	if now.Sub(time.UnixMilli(p.lastUsed.Swap(now.UnixMilli()))) < idleAfter {
		return
	}
	for _, w := range p.watches() {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
}

// confirmUsable reports whether a chosen endpoint can get work. It polls the
// endpoint first if the state is older than pollAge. It returns false if the
// endpoint is leaving, or if this poll failed.
func (p *enginePool) confirmUsable(endpoint string) bool {
	w := p.findWatch(endpoint)
	if w == nil {
		return true
	}
	// The poll does not use the context of the request: a caller that hangs up
	// would otherwise cancel it and mark the endpoint as down.
	polled := w.refresh(p.e.background, p, pollAge)
	return !w.leaving.Load() && (!polled || !w.down.Load())
}

// refresh polls the endpoint if its state is older than age; 0 means always. It
// reports whether it polled or waited for a poll that was in progress.
func (w *watch) refresh(ctx context.Context, p *enginePool, age time.Duration) bool {
	fresh := func() bool {
		return age > 0 && p.e.now().Sub(time.UnixMilli(w.polled.Load())) <= age
	}
	if fresh() {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if fresh() {
		return true
	}
	begun := p.e.now()
	p.pollOnce(ctx, w)
	w.polled.Store(begun.UnixMilli())
	return true
}
