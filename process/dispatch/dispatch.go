// Package dispatch assigns generations to engines: immediately if the scheduler
// finds an engine with room, otherwise from a queue, in the queue's order.
package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/eelgrassdock/eelgrassdock/process/admission"
	"github.com/eelgrassdock/eelgrassdock/process/placement"
	"github.com/eelgrassdock/eelgrassdock/process/queue"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

const (
	// PollInterval is the interval at which callers invoke Offer even if no capacity was
	// seen to become free.
	PollInterval = 20 * time.Millisecond

	overloadWait = time.Second // retry delay sent with a refusal for a full queue
)

type (
	// Dispatcher places the generations of one service. Set its fields before first
	// use; the methods are safe for concurrent use.
	Dispatcher struct {
		Service string
		Sched   *placement.Scheduler
		Queue   queue.Queue
		// Admission decides about the requests of Admit.
		Admission *admission.Controller
		// Now is the clock, time.Now if nil.
		Now func() time.Time
		// OnWait, if not nil, is called when a request has to wait.
		OnWait func()

		mu sync.Mutex // serializes placements, so that queued work is placed first
	}

	waiter struct {
		request placement.Request
		ready   chan placement.Decision
		// admit and admitted are the request and the decision of Admit; nil without it.
		admit    *admission.Request
		admitted admission.Decision
	}
)

func (d *Dispatcher) now() time.Time {
	if d.Now != nil {
		return d.Now()
	}
	return time.Now()
}

// Reserve waits until an endpoint can take the request. The decision names no
// endpoint if no endpoint is usable or the item's deadline passed first. An
// error is a *refusal.Error with outcome NotRun.
func (d *Dispatcher) Reserve(ctx context.Context, request placement.Request, item *queue.Item) (placement.Decision, error) {
	return d.reserve(ctx, &waiter{request: request, ready: make(chan placement.Decision, 1)}, item)
}

// Admit does the same for a request that is held or refused in an overload. If its
// second result is Refuse, the request has no endpoint.
func (d *Dispatcher) Admit(ctx context.Context, request placement.Request, admit *admission.Request, item *queue.Item) (placement.Decision, admission.Decision, error) {
	w := &waiter{request: request, ready: make(chan placement.Decision, 1), admit: admit}
	d.Admission.Arrive(admit)
	decision, err := d.reserve(ctx, w, item)
	return decision, w.admitted, err
}

func (d *Dispatcher) reserve(ctx context.Context, w *waiter, item *queue.Item) (placement.Decision, error) {
	item.Value = w
	decision, err := d.placeOrEnqueue(w, item)
	if err != nil || !decision.Wait {
		return decision, err
	}
	if d.OnWait != nil {
		d.OnWait()
	}
	select {
	case decision = <-w.ready:
	case <-ctx.Done():
		if d.Queue.Remove(item) {
			return decision, refusal.FromContext(ctx.Err())
		}
		decision = <-w.ready
	}
	return decision, nil
}

// placeOrEnqueue places the request if the queue is empty and an endpoint can
// take it, and enqueues it otherwise. It returns a refusal if the queue is full.
func (d *Dispatcher) placeOrEnqueue(w *waiter, item *queue.Item) (placement.Decision, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	if w.admit != nil {
		d.offer(now) // what waits goes first
	}
	if d.Queue.Len() == 0 || w.admit != nil {
		decision := d.place(w, true, now)
		if w.admitted.Action == admission.Refuse {
			return placement.Decision{None: true}, nil
		}
		if !decision.Wait {
			return decision, nil
		}
	}
	if until := w.admitted.Until; !until.IsZero() && until.Before(item.Deadline) {
		item.Deadline = until
	}
	if err := d.Queue.Push(item); err != nil {
		fault := refusal.New(refusal.Overload, refusal.NotRun, "queue of service \""+d.Service+"\" is full")
		fault.RetryAt = now.Add(overloadWait)
		return placement.Decision{}, fault
	}
	// Work that waits for a full or silent region would else delay all other work until
	// the next call of Offer.
	if d.Queue.Bound() > 0 {
		d.offer(now)
	}
	return placement.Decision{Wait: true}, nil
}

// place places a request as its way demands.
func (d *Dispatcher) place(w *waiter, first bool, now time.Time) (decision placement.Decision) {
	if w.admit == nil {
		return d.Sched.Place(w.request, now)
	}
	ahead := 0.0
	if first {
		ahead = float64(d.Queue.Len() * w.request.Prompt)
	}
	decision, w.admitted = d.Admission.Place(w.request, w.admit, first, ahead, now)
	return decision
}

// Offer places queued requests on endpoints that have room, and ends the wait
// of requests whose deadline has passed.
func (d *Dispatcher) Offer() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.offer(d.now())
}

func (d *Dispatcher) offer(now time.Time) {
	if d.Queue.Len() == 0 {
		return
	}
	for _, item := range d.Queue.Expire(now) {
		w := item.Value.(*waiter)
		if w.admit != nil {
			w.admitted = d.Admission.Expire(w.request, w.admit, now)
		}
		w.ready <- placement.Decision{None: true}
	}
	d.Queue.Next(now, func(item *queue.Item) bool {
		w := item.Value.(*waiter)
		decision := d.place(w, false, now)
		if decision.Wait {
			return false
		}
		w.ready <- decision
		return true
	})
}
