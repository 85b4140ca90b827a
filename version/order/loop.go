package order

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sourcegraph/conc"
)

// Run reconciles until ctx ends, and waits for the orders in flight.
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
		timer.Reset(or(r.Poll, defaultPoll))
	}
}

// round starts a visit to each endpoint that is due.
func (r *Reconciler) round(ctx context.Context, start func(func())) {
	now := r.now()
	fence, until, ok := r.Lease(now)
	if !ok || !now.Before(until.Add(-or(r.Margin, defaultMargin))) || !r.begin(fence, now) {
		return
	}
	r.sync(r.Desired(), now)
	r.full.Store(false)
	for _, e := range r.list {
		if !r.claim(e, now) {
			continue
		}
		start(func() {
			failing := e.failing()
			defer r.release(e, failing)
			r.visit(ctx, e)
		})
	}
}

// begin notes the token. With a new one, everything known of earlier orders
// is void, since another holder may have sent orders in between.
func (r *Reconciler) begin(fence int64, now time.Time) bool {
	highest := r.fence.Load()
	if fence < highest {
		r.violate("the fencing token decreased")
		return false
	}
	if fence == highest {
		return true
	}
	r.tenure.Store(now.UnixNano())
	r.fence.Store(fence)
	for _, e := range r.list {
		e.mu.Lock()
		e.sent = sent{}
		e.status.Settled = false
		e.next = now
		e.mu.Unlock()
	}
	return true
}

// sync takes over the newest desired states. An endpoint whose state changed
// is due at once.
func (r *Reconciler) sync(desired []Desired, now time.Time) {
	if !r.changed(desired) {
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
			e = &endpoint{backoff: r.retry()}
		}
		e.want(d, now)
		byID[d.Endpoint] = e
		list = append(list, e)
	}
	for id, e := range r.byID {
		if byID[id] != nil {
			continue
		}
		r.loads.forget(id)
		// Kept while an order may be in flight, so that none can cross it if the
		// endpoint comes back.
		if e.drop(now) {
			byID[id] = e
		}
	}
	r.byID, r.list, r.last = byID, list, slices.Clone(desired)
}

// changed compares with the last states, which is cheaper than to visit each
// endpoint's lock: most rounds change nothing.
func (r *Reconciler) changed(desired []Desired) bool {
	if len(desired) != len(r.last) {
		return true
	}
	for i := range desired {
		if !desired[i].equal(r.last[i]) {
			return true
		}
	}
	return false
}

// want sets the desired state. An endpoint at another address is another
// process, and nothing is known of it.
func (e *endpoint) want(d Desired, now time.Time) {
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
	// A dead endpoint keeps its backoff: a change does not bring it back.
	if e.failures == 0 {
		e.next = now
	}
}

// drop marks an endpoint as no longer desired and tells whether an order to
// it may be in flight.
func (e *endpoint) drop(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.gone = true
	return e.visiting || now.Before(e.sent.open)
}

func (e *endpoint) failing() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.failures > 0
}

// claim takes an endpoint for a visit if it is due and there is room.
func (r *Reconciler) claim(e *endpoint, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.visiting || now.Before(e.next) {
		return false
	}
	running, most := &r.busy, int64(maxVisits)
	if e.failures > 0 {
		running, most = &r.failed, maxFailed
	}
	if running.Load() >= most {
		r.full.Store(true)
		return false
	}
	running.Add(1)
	e.visiting = true
	return true
}

func (r *Reconciler) release(e *endpoint, failing bool) {
	e.mu.Lock()
	e.visiting = false
	e.mu.Unlock()
	if failing {
		r.failed.Add(-1)
	} else {
		r.busy.Add(-1)
	}
	if r.full.Load() {
		r.Wake()
	}
}

// vary changes an interval by up to a tenth, so that endpoints that were due
// at once do not stay so.
func vary(d time.Duration) time.Duration {
	return d - d/10 + rand.N(d/5+1)
}
