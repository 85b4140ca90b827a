package order

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sourcegraph/conc"
)

// Run reconciles until ctx ends, and then waits for the visits in progress.
func (r *Reconciler) Run(ctx context.Context) error {
	r.init()
	var visits conc.WaitGroup
	defer visits.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.wake:
		case <-timer.C:
		}
		r.round(ctx, visits.Go)
		timer.Reset(orDefault(r.Poll, defaultPoll))
	}
}

// round starts a visit to each endpoint that is due. It does nothing without
// the lease, or within Margin of the lease's deadline.
func (r *Reconciler) round(ctx context.Context, start func(func())) {
	now := r.now()
	fence, until, ok := r.Lease(now)
	if !ok || !now.Before(until.Add(-orDefault(r.Margin, defaultMargin))) || !r.adoptFence(fence, now) {
		return
	}
	r.sync(r.Desired(), now)
	r.visitsDeferred.Store(false)
	for _, e := range r.list {
		if !r.startVisit(e, now) {
			continue
		}
		start(func() {
			failing := e.failing()
			defer r.endVisit(e, failing)
			r.visit(ctx, e)
		})
	}
}

// adoptFence records the fencing token of the lease, and reports false if it is
// lower than an earlier one. With a new token it discards the recorded orders,
// since another holder may have sent orders in between.
func (r *Reconciler) adoptFence(fence int64, now time.Time) bool {
	highest := r.fence.Load()
	if fence < highest {
		r.reportViolation("the fencing token decreased")
		return false
	}
	if fence == highest {
		return true
	}
	r.fenceSince.Store(now.UnixNano())
	r.fence.Store(fence)
	for _, e := range r.list {
		e.mu.Lock()
		e.sent = sentOrder{}
		e.status.Settled = false
		e.nextVisit = now
		e.mu.Unlock()
	}
	return true
}

// sync replaces the desired states. An endpoint whose desired state changed is
// due at once, unless it is failing.
func (r *Reconciler) sync(desired []Desired, now time.Time) {
	if !r.desiredChanged(desired) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	byID := make(map[string]*endpoint, len(desired))
	list := make([]*endpoint, 0, len(desired))
	for _, d := range desired {
		if byID[d.Endpoint] != nil {
			continue
		}
		e := r.byID[d.Endpoint]
		if e == nil {
			e = &endpoint{backoff: r.newBackoff()}
		}
		e.setDesired(d, now)
		byID[d.Endpoint] = e
		list = append(list, e)
	}
	for id, e := range r.byID {
		if byID[id] != nil {
			continue
		}
		r.loads.releaseAll(id)
		// The endpoint is kept while an order to it may be in flight. If it comes
		// back, a new order must not cross that one.
		if e.markGone(now) {
			byID[id] = e
		}
	}
	r.byID, r.list, r.lastDesired = byID, list, slices.Clone(desired)
}

// desiredChanged reports whether desired differs from the states of the last
// sync. Most rounds change nothing, and this is cheaper than to lock each
// endpoint.
func (r *Reconciler) desiredChanged(desired []Desired) bool {
	if len(desired) != len(r.lastDesired) {
		return true
	}
	for i := range desired {
		if !desired[i].equal(r.lastDesired[i]) {
			return true
		}
	}
	return false
}

// setDesired sets the desired state. An endpoint at another address is another
// process, so its recorded status is discarded.
func (e *endpoint) setDesired(d Desired, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if d.equal(e.desired) && !e.gone {
		return
	}
	e.gone = false
	if d.Addr != e.desired.Addr {
		e.status = Status{}
		e.failures = 0
		e.backoff.Reset()
	}
	e.desired = d
	e.status.Settled = false
	// A failing endpoint keeps its backoff: a new desired state does not repair
	// it.
	if e.failures == 0 {
		e.nextVisit = now
	}
}

// markGone records that the endpoint is no longer desired, and reports whether
// an order to it may be in flight.
func (e *endpoint) markGone(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.gone = true
	return e.visiting || now.Before(e.sent.effectUntil)
}

func (e *endpoint) failing() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.failures > 0
}

// startVisit marks the endpoint as being visited, and reports false if it is
// not due, is being visited already, or too many visits are in progress.
func (r *Reconciler) startVisit(e *endpoint, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.visiting || now.Before(e.nextVisit) {
		return false
	}
	inProgress, limit := &r.healthyVisits, int64(maxHealthyVisits)
	if e.failures > 0 {
		inProgress, limit = &r.failingVisits, maxFailingVisits
	}
	if inProgress.Load() >= limit {
		r.visitsDeferred.Store(true)
		return false
	}
	inProgress.Add(1)
	e.visiting = true
	return true
}

func (r *Reconciler) endVisit(e *endpoint, failing bool) {
	e.mu.Lock()
	e.visiting = false
	e.mu.Unlock()
	if failing {
		r.failingVisits.Add(-1)
	} else {
		r.healthyVisits.Add(-1)
	}
	if r.visitsDeferred.Load() {
		r.Wake()
	}
}

// jitter varies an interval by up to a tenth in either direction, so that
// endpoints that are due at the same time spread out.
func jitter(d time.Duration) time.Duration {
	return d - d/10 + rand.N(d/5+1)
}
