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
	// errLeaseEnding means that the order was not sent because the lease ends
	// within Margin, is not held, or has a different fencing token by now.
	errLeaseEnding = errors.New("the lease ends before an order could")
	errReplaced    = errors.New("the desired state changed")
	errBroken      = errors.New("the order would break an invariant")
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
	if errors.IsAny(err, errLeaseEnding, errReplaced, errBroken) {
		p.waits = append(p.waits, err.Error())
		r.finish(e, v, p)
		return
	}
	// Whatever the answer was, only a new report shows what took effect.
	v, observeErr := r.observe(ctx, e)
	if observeErr != nil {
		r.fail(e, errors.CombineErrors(err, observeErr))
		return
	}
	if err != nil && v.differs(p.order) {
		r.fail(e, err)
		return
	}
	r.finish(e, v, v.plan())
}

// observe reads an endpoint's report and returns it with all else that a plan
// needs.
func (r *Reconciler) observe(ctx context.Context, e *endpoint) (*view, error) {
	d := e.desiredState()
	ctx, cancel := context.WithTimeout(ctx, orDefault(r.ObserveTimeout, defaultObserveTimeout))
	defer cancel()
	counters.Add("reports", 1)
	requestedAt := r.now()
	report, err := r.Observe(ctx, d)
	if err != nil {
		return nil, fmt.Errorf("observe endpoint: %w", err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.status.Observed, e.status.Seen = report, r.now()
	return &view{
		desired: d, report: report, fence: r.fence.Load(), now: r.now(), requestedAt: requestedAt,
		fenceSince: time.Unix(0, r.fenceSince.Load()), sent: e.sent, r: r,
	}, nil
}

func (e *endpoint) desiredState() Desired {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.desired
}

// send sends an order, unless the lease would end too early, the desired state
// has changed since the plan, or the order would violate an invariant.
func (r *Reconciler) send(ctx context.Context, e *endpoint, v *view, o engine.Order) error {
	now := r.now()
	fence, until, ok := r.Lease(now)
	deadline := until.Add(-orDefault(r.Margin, defaultMargin))
	if !ok || fence != o.Fence || fence != r.fence.Load() || !now.Before(deadline) {
		return errLeaseEnding
	}
	ctx, cancel := context.WithTimeout(ctx, min(orDefault(r.OrderTimeout, defaultOrderTimeout), deadline.Sub(now)))
	defer cancel()
	if !e.recordSend(v, o, now) {
		return errReplaced
	}
	if !r.checkInvariants(e, v, o) {
		return errBroken
	}
	e.lastFence.Store(o.Fence)
	counters.Add("orders", 1)
	err := r.Send(ctx, v.desired, o)
	e.recordAnswer(err, now.Add(orDefault(r.OrderTimeout, defaultOrderTimeout)))
	r.logOrder(v.desired, o, err)
	if err != nil {
		return fmt.Errorf("send order: %w", err)
	}
	return nil
}

// recordSend records the order before it is sent. It reports false if the
// desired state has changed since the plan.
func (e *endpoint) recordSend(v *view, o engine.Order, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.gone || !e.desired.equal(v.desired) {
		return false
	}
	e.sent = sentOrder{order: o, at: now, effectUntil: e.sent.effectUntil, boot: v.report.Boot}
	e.status.Sent = now
	e.status.Orders++
	return true
}

// recordAnswer records whether the order was answered. Without an answer it can
// take effect until effectUntil.
func (e *endpoint) recordAnswer(err error, effectUntil time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sent.answered = err == nil
	if err != nil {
		e.sent.effectUntil = effectUntil
	}
}

// checkInvariants checks the invariants immediately before an order is sent. It
// repeats checks of the plan with the current clock, lease and streams.
func (r *Reconciler) checkInvariants(e *endpoint, v *view, o engine.Order) bool {
	now := r.now()
	if _, until, ok := r.Lease(now); ok && !now.Before(until) {
		r.reportViolation("order to " + v.desired.Endpoint + " after the lease's deadline")
		return false
	}
	if o.Fence < e.lastFence.Load() || o.Fence < v.report.Fence {
		r.reportViolation("order to " + v.desired.Endpoint + " with an old fencing token")
		return false
	}
	for _, model := range without(v.report.Models, o.Models) {
		if v.streams([]string{model}) > 0 {
			r.reportViolation("unload of model " + model + " on " + v.desired.Endpoint + " while streams run")
			return false
		}
	}
	return true
}

// finish records the result of a visit and schedules the next one.
func (r *Reconciler) finish(e *endpoint, v *view, p plan) {
	r.loads.release(v.desired.Endpoint, v.report.Models, p.order.Models)
	e.mu.Lock()
	defer e.mu.Unlock()
	now, waits := r.now(), strings.Join(p.waits, "; ")
	e.failures = 0
	e.backoff.Reset()
	e.scheduleNext(r, now, p.settled, waits != e.status.Waits || e.status.Sent.After(e.status.Seen))
	e.status.Waits, e.status.Error, e.status.Failures = waits, "", 0
	e.status.Settled = p.settled && e.desired.equal(v.desired)
	if !e.desired.equal(v.desired) {
		e.nextVisit = now
	}
}

// scheduleNext sets the time of the next visit. While an endpoint waits for the
// same reason, its interval grows up to SettledInterval: during a rollout most
// endpoints wait for their turn to load. changed means that the reason is a new
// one, or that an order was sent after the last report.
func (e *endpoint) scheduleNext(r *Reconciler, now time.Time, settled, changed bool) {
	steady := orDefault(r.SettledInterval, defaultSettledInterval)
	switch {
	case settled:
		e.interval = steady
	case changed || e.interval == 0 || e.status.Settled:
		e.interval = orDefault(r.WaitingInterval, defaultWaitingInterval)
	default:
		e.interval = min(e.interval*3/2, steady)
	}
	e.nextVisit = now.Add(r.jitter(e.interval))
}

// fail records an error. The endpoint is visited again after an increasing,
// jittered delay.
func (r *Reconciler) fail(e *endpoint, err error) {
	counters.Add("errors", 1)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failures++
	e.nextVisit = r.now().Add(e.backoff.NextBackOff())
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
