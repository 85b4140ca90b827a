package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
	"github.com/eelgrassdock/eelgrassdock/process/roster"
)

const (
	stopRunLimit = copyLimit             // for the order that stops a run; the caller waits for it
	stopRunPause = 50 * time.Millisecond // before the order is sent again; doubles each time
)

var (
	// ErrNoRun marks the error of Backend.Move if the engine does not run the request.
	ErrNoRun = errors.New("engine does not run the request")
	// ErrMoveBusy marks the error of Backend.Move while the engine makes another copy of
	// the run.
	ErrMoveBusy = errors.New("another copy of the run is being made")
)

// goOnFromCopy returns the attempt that continues from the copy of the run after an
// attempt that may still run at its engine, or nil if there is no copy.
func (r *run) goOnFromCopy(ctx context.Context, a *attempt) *attempt {
	next := r.takeBackup()
	if next == nil {
		return nil
	}
	r.hops++
	r.stopRun(ctx, a, next)
	return next
}

// stopRun stops the run of an attempt before the request goes on with the next one. The
// end of its connection does not show that it has ended: an engine may go on without one.
// The order that stops it also copies what the next engine lacks of its memory, from which
// the next attempt then continues.
//
// An engine that has ended, does not run the request any more or can't be reached does not
// hold the request up. One that is reached and does not confirm the order does, for
// stopRunLimit at most. An engine that has closed the connection itself has mostly ended,
// so the request goes on beside the order, which takes far less time than two engines may
// work on a request. One that is silent gets the order when it answers again.
func (r *run) stopRun(ctx context.Context, a, next *attempt) {
	if !r.engine.Moves {
		return
	}
	switch used := next.endpoint; { // a copy that is in use is not added to
	case r.current.lost:
		r.g.spawn(func() { r.stopLost(a, used) })
		return
	case r.current.closed:
		r.g.spawn(func() { _ = r.stopBehind(r.g.base, a, used) })
		return
	}
	r.setMoving()
	moved, err := r.repeatStop(ctx, a, next.endpoint, r.copying.Load)
	if isStopped(moved, err) && !moved.Failed {
		next.memory, next.after, next.begun = r.g.Backend.Handle(a.endpoint, moved.Handle), r.resumePoint(), time.Now()
	}
}

// stopBehind stops the run of an attempt that the request has left for an engine, and frees
// the copy of its memory that comes with the order. The error, which is logged, is that of the
// latest order.
func (r *run) stopBehind(ctx context.Context, a *attempt, used roster.Endpoint) error {
	moved, err := r.repeatStop(ctx, a, r.g.anyOther(r.j, a.endpoint, used), func() bool { return false })
	if isStopped(moved, err) {
		r.g.freeCopy(a.endpoint, moved.Handle)
	}
	return err
}

// stopLost is stopBehind for an attempt at a silent engine. The order is repeated until the
// engine answers it, has started again, or must have ended the run because the deadline has
// passed. While the list does not show the engine, no order is sent again: a process that goes
// on writes its row first.
func (r *run) stopLost(a *attempt, used roster.Endpoint) {
	ctx, cancel := context.WithDeadline(r.g.base, r.j.deadline)
	defer cancel()
	for {
		if now, listed := r.g.Roster.Get(a.endpoint.ID); listed && now.Born != a.endpoint.Born {
			return
		}
		if err := r.stopBehind(ctx, a, used); !isSilence(err) && !errors.Is(err, errLimited) {
			return
		}
		if !sleep.For(ctx, silencePause) || !r.g.awaitListed(ctx, a.endpoint) {
			return
		}
	}
}

// awaitListed waits until the list shows an endpoint. It reports false if ctx ends first.
func (g *Gateway) awaitListed(ctx context.Context, e roster.Endpoint) bool {
	for {
		changed := g.Roster.Watch(e.Service)
		if _, listed := g.Roster.Get(e.ID); listed {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// anyOther returns an endpoint that a request may use, that is open and is neither of two,
// the second of these if there is none.
func (g *Gateway) anyOther(j *job, first, second roster.Endpoint) roster.Endpoint {
	list := slices.DeleteFunc(slices.Clone(g.Roster.List(j.service)), func(e roster.Endpoint) bool {
		return e.Closed() || e.ID == first.ID || e.ID == second.ID
	})
	list = g.allowed(j, list)
	if len(list) == 0 {
		return second
	}
	return list[rand.IntN(len(list))]
}

// repeatStop orders the engine of an attempt to stop its run and to copy its memory, again
// until it is known whether the engine runs the request. No order is sent while the run is
// busy: the engine would refuse it.
func (r *run) repeatStop(ctx context.Context, a *attempt, to roster.Endpoint, busy func() bool) (moved Moved, err error) {
	begun := time.Now()
	ctx, cancel := r.g.Stalls.WithTimeout(ctx, stopRunLimit)
	defer cancel()
	for pause := stopRunPause; ; pause *= 2 {
		for busy() && sleep.For(ctx, stopRunPause) {
		}
		moved, err = r.orderStop(ctx, a.endpoint, to, begun.Add(stopRunLimit))
		if isStopped(moved, err) || errors.IsAny(err, ErrNoRun, ErrUnreachable, errLimited, errEvacuated) || !sleep.For(ctx, pause) {
			break
		}
	}
	if err != nil && ctx.Err() != nil {
		err = errors.CombineErrors(ctx.Err(), err) // the end of ctx closes the connection
	}
	switch {
	case isStopped(moved, err):
		counters.Add("runs_stopped", 1)
	case !errors.IsAny(err, ErrNoRun, ErrUnreachable):
		counters.Add("runs_not_stopped", 1)
	}
	r.logAttempt("stop_ordered", a, logrus.Fields{
		"to": to.ID, "stopped": isStopped(moved, err), "copied": isStopped(moved, err) && !moved.Failed, "events": moved.Events,
		"took": time.Since(begun).Milliseconds(), "detail": errorText(err),
	})
	return moved, err
}

// isStopped reports whether an engine has confirmed the order to stop a run. It names a
// handle also if the copy failed.
func isStopped(moved Moved, err error) bool { return err == nil && moved.Handle != "" }

func (r *run) orderStop(ctx context.Context, from, to roster.Endpoint, until time.Time) (Moved, error) {
	if !r.g.limits.Wait(ctx, from.ID, until) {
		return Moved{}, errLimited
	}
	if !r.g.mayCopy(from, to) {
		return Moved{}, errEvacuated
	}
	moved, err := r.g.Backend.Move(ctx, Move{Run: r.j.ID, From: from, To: to, Last: true})
	r.g.heed(from, moved.Signals, roster.FromEndpoint)
	return moved, err
}

// isClosed reports whether the error of an answer shows that the engine has ended it, and not
// this instance because of what it sent.
func isClosed(err error) bool {
	return errors.IsAny(err, errNoEvents, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET)
}

// setMoving records that the run leaves its engine: it is no longer copied there.
func (r *run) setMoving() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.moving = true
}
