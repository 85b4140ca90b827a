// Package progress ends calls that make no progress, however long they take in all.
//
// A limit on the whole of a transfer gives up one that its link only makes slow, and what
// was given up is sent again from its beginning.
package progress

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrStalled is the cause with which a context of With ends.
var ErrStalled = errors.New("no progress in time")

type (
	// deadline is the deadline of a context, which progress moves.
	deadline struct {
		mu    sync.Mutex
		at    time.Time
		last  time.Time // at is never later
		stall time.Duration
		timer *time.Timer
	}

	key struct{}

	reader struct {
		ctx context.Context
		r   io.Reader
	}
)

// With returns a context that ends after limit or, if progress is made before, as soon as
// none has been made for the time stall, but not before limit. It ends after longest in
// any case.
func With(ctx context.Context, limit, stall, longest time.Duration) (context.Context, context.CancelFunc) {
	now := time.Now()
	d := &deadline{at: now.Add(limit), last: now.Add(max(longest, limit)), stall: stall}
	ctx, cancel := context.WithCancelCause(context.WithValue(ctx, key{}, d))
	d.timer = time.AfterFunc(limit, func() { d.expire(cancel) })
	return ctx, func() {
		d.timer.Stop()
		cancel(nil)
	}
}

// expire ends the context, or waits for a deadline that has been moved.
func (d *deadline) expire(cancel context.CancelCauseFunc) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if left := time.Until(d.at); left > 0 {
		d.timer.Reset(left)
		return
	}
	cancel(ErrStalled)
}

// Made records progress of the call that a context belongs to. It does nothing if the
// context does not come from With.
func Made(ctx context.Context) {
	d, ok := ctx.Value(key{}).(*deadline)
	if !ok {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	at := time.Now().Add(d.stall)
	if at.After(d.last) {
		at = d.last
	}
	if at.After(d.at) {
		d.at = at
	}
}

// Reader returns a reader that records progress whenever bytes are read from r.
func Reader(ctx context.Context, r io.Reader) io.Reader { return &reader{ctx, r} }

func (p *reader) Read(b []byte) (int, error) {
	n, err := p.r.Read(b)
	if n > 0 {
		Made(p.ctx)
	}
	return n, err
}
