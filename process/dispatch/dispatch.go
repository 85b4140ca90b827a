// Package dispatch gives generations to engines: at once if the scheduler finds
// one that can take them, else from a queue in the queue's order.
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
	// Poll is the interval at which waiting work is offered without another cause.
	Poll = 20 * time.Millisecond

	overloadWait = time.Second // when to come back after a full queue
)

type (
	// Desk places the generations of one service. Fields are set before use; the
	// methods may be called by any number of goroutines.
	Desk struct {
		Service string
		Sched   *placement.Scheduler
		Queue   queue.Queue
		// Now is the clock, time.Now if nil.
		Now func() time.Time
		// Held is called when a request has to wait; may be nil.
		Held func()

		mu sync.Mutex // orders placements, so that waiting work goes first
	}

	waiter struct {
		request placement.Request
		ready   chan placement.Decision
	}
)

func (d *Desk) now() time.Time {
	if d.Now != nil {
		return d.Now()
	}
	return time.Now()
}

// Reserve waits until an endpoint can take the request. The decision names no
// endpoint if none can be used or the item's deadline passed first. An error is
// a *refusal.Error with outcome NotRun.
func (d *Desk) Reserve(ctx context.Context, request placement.Request, item *queue.Item) (placement.Decision, error) {
	w := &waiter{request: request, ready: make(chan placement.Decision, 1)}
	item.Value = w
	decision, err := d.admit(w, item)
	if err != nil || !decision.Wait {
		return decision, err
	}
	if d.Held != nil {
		d.Held()
	}
	select {
	case decision = <-w.ready:
	case <-ctx.Done():
		if d.Queue.Remove(item) {
			return decision, refusal.FromCallError(ctx.Err(), false)
		}
		decision = <-w.ready
	}
	return decision, nil
}

func (d *Desk) admit(w *waiter, item *queue.Item) (placement.Decision, error) {
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
	return placement.Decision{Wait: true}, nil
}

// Offer gives waiting work to endpoints and ends the wait of what is too late.
func (d *Desk) Offer() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.Queue.Len() == 0 {
		return
	}
	now := d.now()
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
