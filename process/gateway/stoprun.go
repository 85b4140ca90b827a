package gateway

import (
	"context"
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

// stopRun stops the run of an attempt before the request goes on with the next one. The
// end of its connection does not show that it has ended: an engine may go on without one.
// The order that stops it also copies what the next engine lacks of its memory, from which
// the next attempt then continues.
//
// An engine that has ended, does not run the request any more or can't be reached does not
// hold the request up. One that is reached and does not confirm the order does, for
// stopRunLimit at most.
func (r *run) stopRun(ctx context.Context, a, next *attempt) {
	if !r.engine.Moves || r.current.lost {
		return
	}
	r.setMoving()
	begun := time.Now()
	ctx, cancel := r.g.Stalls.WithTimeout(ctx, stopRunLimit)
	defer cancel()
	var moved Moved
	var err error
	for pause := stopRunPause; ; pause *= 2 {
		moved, err = r.orderStop(ctx, a.endpoint, next.endpoint, begun.Add(stopRunLimit))
		if isStopped(moved, err) || errors.IsAny(err, ErrNoRun, ErrUnreachable, errLimited) || !sleep.For(ctx, pause) {
			break
		}
	}
	switch {
	case isStopped(moved, err):
		counters.Add("runs_stopped", 1)
	case !errors.IsAny(err, ErrNoRun, ErrUnreachable):
		counters.Add("runs_not_stopped", 1)
	}
	copied := isStopped(moved, err) && !moved.Failed
	if copied {
		next.memory, next.after, next.begun = r.g.Backend.Handle(a.endpoint, moved.Handle), r.resumePoint(), time.Now()
	}
	r.logAttempt("stop_ordered", a, logrus.Fields{
		"to": next.endpoint.ID, "stopped": isStopped(moved, err), "copied": copied, "events": moved.Events,
		"took": time.Since(begun).Milliseconds(), "detail": errorText(err),
	})
}

// isStopped reports whether an engine has confirmed the order to stop a run. It names a
// handle also if the copy failed.
func isStopped(moved Moved, err error) bool { return err == nil && moved.Handle != "" }

// orderStop orders an engine to stop the run and to copy its memory. An order is not
// sent while another copy of the run is being made, because the engine would refuse it.
func (r *run) orderStop(ctx context.Context, from, to roster.Endpoint, until time.Time) (Moved, error) {
	for r.copying.Load() {
		if !sleep.For(ctx, stopRunPause) {
			return Moved{}, ErrMoveBusy
		}
	}
	if !r.g.limits.Wait(ctx, from.ID, until) {
		return Moved{}, errLimited
	}
	moved, err := r.g.Backend.Move(ctx, Move{Run: r.j.ID, From: from, To: to, Last: true})
	r.g.heed(from, moved.Signals, roster.FromEndpoint)
	return moved, err
}

// setMoving records that the run leaves its engine: it is no longer copied there.
func (r *run) setMoving() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.moving = true
}
