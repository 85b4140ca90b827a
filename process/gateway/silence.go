package gateway

import (
	"context"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
	"github.com/eelgrassdock/eelgrassdock/process/roster"
	"github.com/eelgrassdock/eelgrassdock/process/stall"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

const (
	silenceTimeout = time.Second            // time without an event after which an engine is probed
	silencePause   = 200 * time.Millisecond // pause between two probes of a silent engine
	probeLimit     = 400 * time.Millisecond // timeout of a probe; covers a new connection between regions
	// minLossTime is the shortest silence after which an engine counts as lost: a
	// sound one may be silent for a second or more.
	minLossTime = 3500 * time.Millisecond
	// lossBeats is the number of beats without a sign of life after which the
	// platform's list drops an endpoint.
	lossBeats = 3
)

// Reasons for which an attempt is ended although its connection is open.
var (
	errSilent = errors.New("engine is silent for as long as one that has ended")
	errGone   = errors.New("engine is silent and its process has ended")
)

// silenceWatch probes the engine of an attempt that has sent nothing for some time.
//
// Silence alone ends no attempt: an engine that is silent may be sound and go on.
// The attempt ends if the engine's process has ended: the list has dropped it or shows a
// later start. An attempt that can go on elsewhere also ends if the engine has been silent
// for lossTime. Only the time counts in which this process ran: in a stall it reads nothing.
//
// A refused connection shows only that no process accepts connections there: an engine that
// leaves may close its listener and finish its streams. As its host answers, the attempt's
// own connection tells whether the process has ended: the host's kernel then resets it.
type silenceWatch struct {
	r        *run
	endpoint roster.Endpoint
	cancel   context.CancelCauseFunc
	timer    *stall.Timer
	// listed is set if the engine was in the list when the attempt was sent,
	// repeatable if the request may be sent once more after this attempt.
	listed, repeatable bool

	mu       sync.Mutex
	last     time.Time // when the attempt was sent, or its latest event received
	answered time.Time // when the engine last answered a probe
}

// lossTime returns the silence after which an engine counts as lost although
// nothing else shows that it has ended.
func (g *Gateway) lossTime() time.Duration {
	return max(lossBeats*time.Duration(g.Settings.Beat)*time.Millisecond, minLossTime)
}

// watchSilence starts the watch of an attempt. The first event may take as long as the
// latency target.
func (r *run) watchSilence(ctx context.Context, e roster.Endpoint, cancel context.CancelCauseFunc) *silenceWatch {
	_, listed := r.g.Roster.Get(e.ID)
	w := &silenceWatch{
		r: r, endpoint: e, cancel: cancel, last: time.Now(), listed: listed,
		repeatable: r.j.route.Resume && r.sends+1 < max(r.j.route.Attempts, 1),
	}
	w.timer = r.g.Stalls.AfterFunc(time.Hour, func() { w.probe(ctx) })
	w.timer.Reset(max(r.j.route.Aim, silenceTimeout)) // the function uses w.timer, so it may run only after the assignment
	return w
}

// event records that the engine has sent an event.
func (w *silenceWatch) event() {
	w.mu.Lock()
	w.last = time.Now()
	w.mu.Unlock()
	w.timer.Reset(silenceTimeout)
}

// answer records that the engine has answered a probe.
func (w *silenceWatch) answer() {
	w.mu.Lock()
	w.answered = time.Now()
	w.mu.Unlock()
}

func (w *silenceWatch) stop() { w.timer.Stop() }

func (w *silenceWatch) lastEvent() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.last
}

// silentSince returns the start of a silence in which a probe was sent at first and not
// answered. That an engine sends no events for some time shows nothing by itself: it may
// be computing a prompt.
func (w *silenceWatch) silentSince(first time.Time) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.MaxFunc([]time.Time{w.last, w.answered, first.Add(-silenceTimeout)}, time.Time.Compare)
}

// probe probes the engine until it answers or sends an event, or the attempt ends. An
// engine that answers, with whatever answer, is only slow.
func (w *silenceWatch) probe(ctx context.Context) {
	last, logged := w.lastEvent(), false
	since := w.silentSince(time.Now())
	for w.lastEvent().Equal(last) {
		err := w.r.enginePool.probeKnown(ctx, w.endpoint)
		switch {
		case ctx.Err() != nil || !w.lastEvent().Equal(last):
			return
		case errors.Is(err, errEvacuated): // it is not asked any more; only the list shows whether it has ended
		case !isSilence(err):
			if !errors.Is(err, errLimited) {
				w.answer()
			}
			w.timer.Reset(silenceTimeout)
			return
		}
		if !logged && !errors.Is(err, errEvacuated) {
			logged = true
			w.logSilence(err, since)
			w.r.enginePool.avoid(w.endpoint.ID)
		}
		pause := silencePause
		if errors.Is(err, ErrRefused) {
			since, pause = time.Now(), silenceTimeout // the host is not silent
		}
		if cause := w.evidence(ctx, err, since); cause != nil && w.lastEvent().Equal(last) {
			w.r.g.logDecision(w.r.j, "engine_lost", logrus.Fields{
				"endpoint": w.endpoint.ID, "silent": w.r.g.Stalls.RanSince(since).Milliseconds(), "detail": cause.Error(),
			})
			w.cancel(cause)
			return
		}
		if !sleep.For(ctx, pause) {
			return
		}
	}
}

// evidence returns the reason to end the attempt at an engine that did not answer a
// probe, which failed with err, and has been silent since a time, or nil.
func (w *silenceWatch) evidence(ctx context.Context, err error, since time.Time) error {
	silent := w.r.g.Stalls.RanSince(since)
	now, listed := w.r.g.Roster.Get(w.endpoint.ID)
	switch {
	case listed && now.Born > w.endpoint.Born:
		return errGone
	case w.listed && !listed && silent >= minLossTime: // an engine that leaves is dropped while it still works
		return errGone
	case !errors.Is(err, errEvacuated) && silent >= w.r.g.lossTime() && w.canContinue(ctx):
		return errSilent
	}
	return nil
}

// canContinue reports whether the request can go on at another engine that answers:
// from a copy of its memory, or as a repetition, which is then charged to the retry
// budget.
func (w *silenceWatch) canContinue(ctx context.Context) bool {
	if b := w.r.usableCopy(); b != nil {
		err := w.r.enginePool.probe(ctx, b.endpoint)
		if w.r.g.isDelayed(b.endpoint, err) {
			return !w.r.enginePool.isDown(b.endpoint.ID)
		}
		return !isSilence(err) && !errors.IsAny(err, errLimited, errEvacuated)
	}
	budget := &w.r.pool.policy.Budget
	return w.repeatable && !w.r.g.tooLate(w.r.j) && budget.Tokens() >= 1 && w.r.enginePool.hasOther(ctx, w.r.j, w.endpoint.ID) && w.r.charge()
}

// isSilence reports whether an error of a probe means that the engine did not
// answer.
func isSilence(err error) bool {
	return errors.Is(err, ErrUnreachable) || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded)
}

// logSilence logs what is known of an engine that does not answer.
func (w *silenceWatch) logSilence(err error, since time.Time) {
	counters.Add("engine_silences", 1)
	now, listed := w.r.g.Roster.Get(w.endpoint.ID)
	w.r.g.logDecision(w.r.j, "engine_silent", logrus.Fields{
		"endpoint": w.endpoint.ID, "detail": err.Error(), "silent": w.r.g.Stalls.RanSince(since).Milliseconds(),
		"refused": errors.Is(err, ErrRefused), "listed": listed && now.Born == w.endpoint.Born, "leaving": now.Leaving,
		"copy": w.r.usableCopy() != nil, "repeatable": w.repeatable,
	})
}

// isLost reports whether an attempt was ended by its silenceWatch.
func isLost(ctx context.Context) bool { return errors.IsAny(context.Cause(ctx), errSilent, errGone) }

// lossError returns the error of an attempt that was ended by its silenceWatch, and
// f for other attempts.
func lossError(ctx context.Context, f *refusal.Error) *refusal.Error {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errSilent):
		return refusal.New(refusal.Timeout, refusal.Unknown, cause.Error())
	case errors.Is(cause, errGone):
		return refusal.New(refusal.Broken, refusal.Unknown, cause.Error())
	}
	return f
}

// awaitCopy waits before a further attempt to continue at the engine that has a copy
// of the run's memory, which accepted no connection. It reports false if that engine
// has ended or has been silent for too long.
func (r *run) awaitCopy(ctx context.Context, a *attempt) bool {
	if r.g.Stalls.RanSince(a.begun) > r.g.lossTime() || !sleep.For(ctx, silencePause) {
		return false
	}
	return r.g.stays(a.endpoint) && !r.enginePool.isGone(a.endpoint.ID)
}
