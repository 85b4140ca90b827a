package gateway

import (
	"context"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/eelgrassdock/eelgrassdock/process/roster"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

const (
	silenceTimeout = time.Second            // time without an event after which an engine is probed
	probeLimit     = 400 * time.Millisecond // timeout of a probe; covers a new connection between regions
)

var errSilent = errors.New("engine is silent and does not answer")

// silenceWatch probes the engine of an attempt that has sent nothing for some time.
type silenceWatch struct {
	r        *run
	endpoint roster.Endpoint
	cancel   context.CancelCauseFunc
	timer    *time.Timer

	mu   sync.Mutex
	last time.Time // when the attempt was sent, or its latest event received
}

// watchSilence starts a watch that cancels an attempt if its engine has sent no
// event for some time and does not answer a probe either. An engine that
// answers the probe, with whatever answer, is only slow. The first event may take
// as long as the latency target.
func (r *run) watchSilence(ctx context.Context, e roster.Endpoint, cancel context.CancelCauseFunc) *silenceWatch {
	w := &silenceWatch{r: r, endpoint: e, cancel: cancel, last: time.Now()}
	w.timer = time.AfterFunc(time.Hour, func() { w.probe(ctx) })
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

func (w *silenceWatch) stop() { w.timer.Stop() }

// silence returns the time since the engine's last event.
func (w *silenceWatch) silence() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.last)
}

func (w *silenceWatch) probe(ctx context.Context) {
	for ctx.Err() == nil {
		call, done := context.WithTimeout(ctx, probeLimit)
		_, err := w.r.g.report(call, w.endpoint)
		silent := isSilence(err) || call.Err() != nil
		done()
		if err == nil || !silent {
			w.timer.Reset(silenceTimeout)
			return
		}
		if ctx.Err() == nil {
			w.logSilence(err)
			w.cancel(errSilent)
		}
	}
}

// isSilence reports whether an error of a probe means that the engine did not
// answer.
func isSilence(err error) bool {
	return errors.Is(err, ErrUnreachable) || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded)
}

// logSilence logs what is known of an engine that does not answer.
func (w *silenceWatch) logSilence(err error) {
	counters.Add("engine_silences", 1)
	now, listed := w.r.g.Roster.Get(w.endpoint.ID)
	w.r.g.logDecision(w.r.j, "engine_silent", logrus.Fields{
		"endpoint": w.endpoint.ID, "detail": err.Error(), "silent": w.silence().Milliseconds(),
		"refused": errors.Is(err, ErrRefused), "listed": listed && now.Born == w.endpoint.Born, "leaving": now.Leaving,
		"copy": w.r.usableCopy() != nil, "repeatable": w.r.j.route.Resume, "passed": w.r.headWritten,
	})
}

// silenceError returns the error of an attempt that was canceled by
// watchSilence, and f for other attempts.
func silenceError(ctx context.Context, f *refusal.Error) *refusal.Error {
	if errors.Is(context.Cause(ctx), errSilent) {
		return refusal.New(refusal.Timeout, refusal.Unknown, errSilent.Error())
	}
	return f
}
