package stall

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

type (
	// Timer calls a function once it is due in running time.
	Timer struct {
		m *Meter
		f func()

		mu    sync.Mutex
		timer *time.Timer
		due   time.Duration // running time after since
		since time.Time
	}

	// limitedContext ends with its parent, or with context.DeadlineExceeded.
	limitedContext struct {
		context.Context // ends with the cause context.DeadlineExceeded

		done chan struct{}
	}
)

// AfterFunc calls f in its own goroutine after the process has run for d, and not before
// what arrived in a stall can have been handled. f may call Reset.
func (m *Meter) AfterFunc(d time.Duration, f func()) *Timer {
	t := &Timer{m: m, f: f, due: d, since: time.Now()}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(d, t.fire)
	return t
}

// Reset makes the timer due after the process has run for d from now on.
func (t *Timer) Reset(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.due, t.since = d, time.Now()
	t.timer.Reset(d)
}

// Stop keeps the timer from firing, unless it has fired.
func (t *Timer) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer.Stop()
}

// fire calls the function, unless the timer is not due because of a stall or a Reset.
func (t *Timer) fire() {
	t.m.hold()
	t.mu.Lock()
	left := t.due - t.m.RanSince(t.since)
	if now := time.Now(); t.m.StalledSince(t.since) {
		left = max(left, settleTime-now.Sub(t.m.stallEnd(now)))
	}
	if left > 0 {
		t.timer.Reset(left)
	}
	t.mu.Unlock()
	if left <= 0 {
		t.f()
	}
}

// WithTimeout returns a context that ends with ctx, or with context.DeadlineExceeded when a
// Timer would fire. It states no deadline.
func (m *Meter) WithTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	c, cancel := newLimited(ctx)
	timer := m.AfterFunc(d, func() { cancel(context.DeadlineExceeded) })
	return c, func() {
		timer.Stop()
		cancel(nil)
	}
}

// WithDeadline returns a context that ends with ctx, or with context.DeadlineExceeded at a
// time. If the process stands still then, the context ends once what arrived in the stall
// can have been handled; late is called at the end of the stall. It states no deadline.
func (m *Meter) WithDeadline(ctx context.Context, at time.Time, late func()) (context.Context, context.CancelFunc) {
	c, cancel := newLimited(ctx)
	var timer *time.Timer
	var mu sync.Mutex // held until timer is set
	mu.Lock()
	timer = time.AfterFunc(time.Until(at), func() {
		m.hold()
		mu.Lock()
		defer mu.Unlock()
		now := time.Now()
		if left := settleTime - now.Sub(m.stallEnd(now)); left > 0 {
			late()
			timer.Reset(left)
			return
		}
		cancel(context.DeadlineExceeded)
	})
	mu.Unlock()
	return c, func() {
		timer.Stop()
		cancel(nil)
	}
}

// newLimited returns a context that ends with ctx or when the function is called, with a
// cause.
func newLimited(ctx context.Context) (*limitedContext, context.CancelCauseFunc) {
	inner, cancel := context.WithCancelCause(ctx)
	c := &limitedContext{Context: inner, done: make(chan struct{})}
	stop := context.AfterFunc(inner, func() { close(c.done) })
	return c, func(cause error) {
		first := stop()
		cancel(cause)
		if first {
			close(c.done)
		}
	}
}

// Done returns a channel of its own: package context would take the error of a context
// with the channel of the inner one from that.
func (c *limitedContext) Done() <-chan struct{} { return c.done }

// Err returns why the context has ended. It does so at once when the parent ends; the
// channel of Done is closed right after.
func (c *limitedContext) Err() error {
	err := c.Context.Err()
	if err != nil && errors.Is(context.Cause(c.Context), context.DeadlineExceeded) {
		return context.DeadlineExceeded
	}
	return err
}

// AfterFunc lets package context end derived contexts without a goroutine for each.
func (c *limitedContext) AfterFunc(f func()) func() bool {
	return context.AfterFunc(c.Context, func() {
		<-c.done
		f()
	})
}
