// Package dispatch assigns generations to engines: immediately if the scheduler
// finds an engine with room, otherwise from a queue, in the queue's order.
package dispatch

import (
	"context"
	"sync"
	"time"

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
		// Now is the clock, time.Now if nil.
		Now func() time.Time
		// OnWait, if not nil, is called when a request has to wait.
		OnWait func()

		mu sync.Mutex // serializes placements, so that queued work is placed first
	}

	waiter struct {
		request placement.Request
		ready   chan placement.Decision
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
	w := &waiter{request: request, ready: make(chan placement.Decision, 1)}
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
	if d.Queue.Len() == 0 {
		if decision := d.Sched.Place(w.request, now); !decision.Wait {
			return decision, nil
		}
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

// Offer places queued requests on endpoints that have room, and ends the wait
// of requests whose deadline has passed.
func (d *Dispatcher) Offer() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.Queue.Len() == 0 {
		return
	}
	d.offer(d.now())
}

// offer is Offer with the mutex held.
func (d *Dispatcher) offer(now time.Time) {
	for _, item := range d.Queue.Expire(now) {
		item.Value.(*waiter).ready <- placement.Decision{None: true}
	}
	d.Queue.Next(now, func(item *queue.Item) bool {
		w := item.Value.(*waiter)
		decision := d.Sched.Place(w.request, now)
		if decision.Wait {
			return false
		}
		w.ready <- decision
		return true
	})
}
