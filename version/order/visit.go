package order

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/eelgrassdock/eelgrassdock/connection/engine"
)

var (
	errLapsed   = errors.New("the lease ends before an order could")
	errReplaced = errors.New("the desired state changed")
	errBroken   = errors.New("the order would break an invariant")
)

// visit observes one endpoint, sends it an order if its state differs, and
// reads the state back.
func (r *Reconciler) visit(ctx context.Context, e *endpoint) {
	v, err := r.observe(ctx, e)
	if err != nil {
		r.fail(e, err)
		return
	}
	p := v.plan()
	if !p.send {
		r.finish(e, v, p)
		return
	}
	err = r.send(ctx, e, v, p.order)
	if errors.IsAny(err, errLapsed, errReplaced, errBroken) {
		p.waits = append(p.waits, err.Error())
		r.finish(e, v, p)
		return
	}
	// Whatever the answer was, only the endpoint knows what took effect.
	v, lost := r.observe(ctx, e)
	if lost != nil {
		r.fail(e, errors.CombineErrors(err, lost))
		return
	}
	if err != nil && v.differs(p.order) {
		r.fail(e, err)
		return
	}
	r.finish(e, v, v.plan())
}

// observe reads an endpoint's report.
func (r *Reconciler) observe(ctx context.Context, e *endpoint) (*view, error) {
	d := e.wanted()
	ctx, cancel := context.WithTimeout(ctx, or(r.ObserveTimeout, defaultObserveTimeout))
	defer cancel()
	counters.Add("reports", 1)
	asked := r.now()
	report, err := r.Observe(ctx, d)
	if err != nil {
		return nil, fmt.Errorf("observe endpoint: %w", err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.status.Observed, e.status.Seen = report, r.now()
	return &view{
		desired: d, report: report, fence: r.fence.Load(), now: r.now(), asked: asked,
		tenure: time.Unix(0, r.tenure.Load()), sent: e.sent, r: r,
	}, nil
}

func (e *endpoint) wanted() Desired {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.desired
}

// send sends an order if the lease leaves time for it and the desired state
// is still the one that was planned for.
func (r *Reconciler) send(ctx context.Context, e *endpoint, v *view, o engine.Order) error {
	now := r.now()
	fence, until, ok := r.Lease(now)
	deadline := until.Add(-or(r.Margin, defaultMargin))
	if !ok || fence != o.Fence || fence != r.fence.Load() || !now.Before(deadline) {
		return errLapsed
	}
	ctx, cancel := context.WithTimeout(ctx, min(or(r.OrderTimeout, defaultOrderTimeout), deadline.Sub(now)))
	defer cancel()
	if !e.sending(v, o, now) {
		return errReplaced
	}
	if !r.holds(e, v, o) {
		return errBroken
	}
	e.highest.Store(o.Fence)
	counters.Add("orders", 1)
	err := r.Send(ctx, v.desired, o)
	e.answered(err, now.Add(or(r.OrderTimeout, defaultOrderTimeout)))
	r.logOrder(v.desired, o, err)
	if err != nil {
		return fmt.Errorf("send order: %w", err)
	}
	return nil
}

// sending notes the order before it is sent, unless the endpoint is no longer
// wanted so.
func (e *endpoint) sending(v *view, o engine.Order, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.gone || !e.desired.equal(v.desired) {
		return false
	}
	e.sent = sent{order: o, at: now, open: e.sent.open, boot: v.report.Boot}
	e.status.Sent = now
	e.status.Orders++
	return true
}

// answered notes the answer. Without one, the order can take effect until
// open.
func (e *endpoint) answered(err error, open time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sent.answered = err == nil
	if err != nil {
		e.sent.open = open
	}
}

// holds asserts the invariants at the last moment before an order. It repeats
// what the plan took care of, from fresh values.
func (r *Reconciler) holds(e *endpoint, v *view, o engine.Order) bool {
	now := r.now()
	if _, until, ok := r.Lease(now); ok && !now.Before(until) {
		r.violate("order to " + v.desired.Endpoint + " after the lease's deadline")
		return false
	}
	if o.Fence < e.highest.Load() || o.Fence < v.report.Fence {
		r.violate("order to " + v.desired.Endpoint + " with an old fencing token")
		return false
	}
	for _, model := range without(v.report.Models, o.Models) {
		if v.streams([]string{model}) > 0 {
			r.violate("unload of model " + model + " on " + v.desired.Endpoint + " while streams run")
			return false
		}
	}
	return true
}

// finish notes what a visit found and when to look again.
func (r *Reconciler) finish(e *endpoint, v *view, p plan) {
	r.loads.settle(v.desired.Endpoint, v.report.Models, p.order.Models)
	e.mu.Lock()
	defer e.mu.Unlock()
	now, waits := r.now(), strings.Join(p.waits, "; ")
	e.failures = 0
	e.backoff.Reset()
	e.pause(r, now, p.settled, waits != e.status.Waits || e.status.Sent.After(e.status.Seen))
	e.status.Waits, e.status.Error, e.status.Failures = waits, "", 0
	e.status.Settled = p.settled && e.desired.equal(v.desired)
	if !e.desired.equal(v.desired) {
		e.next = now
	}
}

// pause sets the time of the next visit. An endpoint that waits for the same
// reason is looked at ever more seldom, down to the steady interval: during a
// rollout most endpoints wait for their turn to load.
func (e *endpoint) pause(r *Reconciler, now time.Time, settled, news bool) {
	steady := or(r.Steady, defaultSteady)
	switch {
	case settled:
		e.wait = steady
	case news || e.wait == 0 || e.status.Settled:
		e.wait = or(r.Active, defaultActive)
	default:
		e.wait = min(e.wait*3/2, steady)
	}
	e.next = now.Add(r.spread(e.wait))
}

// fail notes an error. The endpoint is retried after a growing, jittered
// delay.
func (r *Reconciler) fail(e *endpoint, err error) {
	counters.Add("errors", 1)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failures++
	e.next = r.now().Add(e.backoff.NextBackOff())
	e.status.Settled = false
	e.status.Waits, e.status.Error, e.status.Failures = "answer of the endpoint", err.Error(), e.failures
}

func (r *Reconciler) logOrder(d Desired, o engine.Order, err error) {
	if r.Log == nil {
		return
	}
	entry := r.Log.WithFields(logrus.Fields{
		"endpoint": d.Endpoint, "fence": o.Fence, "models": o.Models, "role": o.Role, "drain": o.Drain,
	})
	if err != nil {
		entry.WithError(err).Warn("order not confirmed")
		return
	}
	entry.Info("order sent")
}
