package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc/panics"

	"github.com/eelgrassdock/eelgrassdock/process/roster"
	"github.com/eelgrassdock/eelgrassdock/process/stall"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

type (
	// replicaAttempts holds the attempts of one plain request. A repeatable request may be at
	// two replicas: once most of the latency target has passed while this process ran, a
	// further attempt is added, so that a replica that hangs leaves time for one that
	// works. The earlier attempt goes on until attemptOverlap after the added one has been
	// sent: its replica may only be slow, and the other ones may have ended or turn the
	// request away.
	//
	// An attempt is added only if a replica can be chosen at once, and the retry budget
	// has room.
	replicaAttempts struct {
		g           *Gateway
		ctx, caller context.Context // as those of callReplicas
		j           *job
		p           *pool

		count        int      // attempts begun
		sends        int      // attempts that ended and may have reached a replica
		mayHaveRun   bool     // one of these may have run
		tried        []string // replicas that are not asked again
		connectUntil time.Time

		running []*replicaAttempt // in the order in which they began
		overdue chan struct{}
		timer   *stall.Timer
		ended   chan *replicaAttempt
		lasting chan *replicaAttempt // added ones that have been at their replicas for attemptOverlap
		closed  chan struct{}
	}

	// replicaAttempt is one attempt. Its results are set when it has ended: an answer, a fault,
	// or both if the replica answered with a server error.
	replicaAttempt struct {
		endpoint roster.Endpoint
		number   int // counted from 1
		sent     time.Time
		added    bool // beside an earlier one; charged to the retry budget when it began
		ctx      context.Context
		cancel   context.CancelCauseFunc

		answer   *bufferedAnswer
		fault    *fault
		panicked *panics.Recovered
	}
)

// errAttemptTime is the cause with which an attempt ends after a later one has been sent.
var errAttemptTime = errors.New("replica did not answer in most of the latency target")

// run sends the request to a replica that has been chosen, and returns the attempt that
// decides how it goes on: one with an answer, or else the latest one. No attempt is
// running then.
func (x *replicaAttempts) run(e roster.Endpoint) *replicaAttempt {
	if x.count == 0 {
		x.connectUntil = grantUntil(x.j, time.Now())
	}
	a := x.begin(e, false)
	if !x.mayAdd() {
		x.running = nil
		a.do(x)
		x.record(a)
		return a
	}
	go a.doAndReport(x)
	x.watch()
	for {
		a = x.await()
		latest := a.number == x.count
		switch {
		case a.fault == nil:
			return a
		case len(x.running) == 0:
			return a
		case !latest || a.fault.Outcome == refusal.NotRun && x.ctx.Err() == nil:
			a.discard()
			continue
		}
		return x.abandon(a)
	}
}

// abandon ends the attempts that are running after a later one has been sent in vain, and
// returns that one, unless one of them has an answer after all.
func (x *replicaAttempts) abandon(latest *replicaAttempt) *replicaAttempt {
	x.abandonBefore(latest)
	for len(x.running) > 0 {
		a := <-x.ended
		x.take(a)
		if a.fault == nil {
			latest.discard()
			return a
		}
		a.discard()
	}
	return latest
}

// begin registers an attempt.
func (x *replicaAttempts) begin(e roster.Endpoint, added bool) *replicaAttempt {
	x.count++
	a := &replicaAttempt{endpoint: e, number: x.count, sent: time.Now(), added: added}
	a.ctx, a.cancel = context.WithCancelCause(x.ctx)
	x.running = append(x.running, a)
	return a
}

// mayAdd reports whether a further attempt may be made while those that run go on.
func (x *replicaAttempts) mayAdd() bool {
	r := x.j.route
	return r.Repeatable() && r.Aim > 0 && x.sends+len(x.running) < r.Attempts
}

// limit returns the running time after which an attempt is added.
func (x *replicaAttempts) limit() time.Duration {
	return time.Duration(float64(x.j.route.Aim) * attemptTimeShare)
}

// watch makes await add an attempt once the limit has passed.
func (x *replicaAttempts) watch() {
	x.stopTimer()
	overdue := make(chan struct{}, 1)
	x.overdue = overdue
	x.timer = x.g.Stalls.AfterFunc(x.limit(), func() { overdue <- struct{}{} })
}

func (x *replicaAttempts) stopTimer() {
	if x.timer != nil {
		x.timer.Stop()
	}
}

// await returns the next attempt that ends, and adds one when it is time to.
func (x *replicaAttempts) await() *replicaAttempt {
	for {
		select {
		case a := <-x.ended:
			x.take(a)
			switch f := a.fault; {
			case f == nil || !f.unsent || !a.added || x.ctx.Err() != nil:
			case f.silent:
				x.watch() // it may be asked again, but not at once
			default:
				x.add()
			}
			return a
		case <-x.overdue:
			x.add()
		case a := <-x.lasting:
			if slices.Contains(x.running, a) {
				x.abandonBefore(a)
			}
		}
	}
}

// abandonBefore ends the attempts that began before another one.
func (x *replicaAttempts) abandonBefore(a *replicaAttempt) {
	for _, b := range x.running {
		if b.number < a.number {
			b.cancel(errAttemptTime)
		}
	}
}

// add makes a further attempt beside those that run, if a replica can be asked now. If
// not, the next one is due after the same time.
func (x *replicaAttempts) add() {
	if len(x.running) == 0 || !x.mayAdd() {
		return
	}
	budget := &x.p.policy.Budget
	if x.g.tooLate(x.j) || !budget.Take() {
		x.watch()
		return
	}
	exclude := slices.Clone(x.tried)
	for _, a := range x.running {
		exclude = append(exclude, a.endpoint.ID)
	}
	e, ok := x.g.takeReplica(x.j, x.p, exclude)
	if !ok {
		budget.Return()
		x.watch()
		return
	}
	refusal.CountRetry(refusal.Timeout)
	a := x.begin(e, true)
	x.g.logDecision(x.j, "attempt_added", logrus.Fields{
		"endpoint": e.ID, "attempt": a.number, "left": time.Until(x.j.deadline).Milliseconds(), "budget": int(budget.Tokens()),
	})
	go a.doAndReport(x)
	x.watch()
}

// take removes an attempt that has ended from those that run, and records its result.
func (x *replicaAttempts) take(a *replicaAttempt) {
	x.running = slices.DeleteFunc(x.running, func(b *replicaAttempt) bool { return a == b })
	if a.panicked != nil {
		panic(a.panicked)
	}
	x.record(a)
}

func (x *replicaAttempts) record(a *replicaAttempt) {
	if a.answer != nil && a.answer.rest != nil {
		a.answer.rest.Follow(x.caller) // the context of the attempt is for the begin of its answer
	}
	a.cancel(nil)
	f := a.fault
	if f == nil {
		return
	}
	if a.added && f.unsent {
		x.p.policy.Budget.Return()
	}
	if !f.closed && (!f.silent || !time.Now().Before(x.connectUntil)) {
		x.tried = append(x.tried, a.endpoint.ID)
	}
	if !f.unsent {
		x.sends++
	}
	x.mayHaveRun = x.mayHaveRun || f.Outcome != refusal.NotRun
	x.g.logDecision(x.j, "attempt_failed", logrus.Fields{
		"endpoint": a.endpoint.ID, "reason": f.Reason, "outcome": f.Outcome.String(), "detail": f.Detail, "attempt": a.number,
		"left": time.Until(x.j.deadline).Milliseconds(), "budget": int(x.p.policy.Budget.Tokens()), "digest": formatKey(x.j.identity),
	})
}

// close ends the attempts that are left.
func (x *replicaAttempts) close() {
	x.stopTimer()
	close(x.closed)
	for _, a := range x.running {
		a.cancel(errAttemptTime)
	}
}

// do makes the attempt.
func (a *replicaAttempt) do(x *replicaAttempts) {
	a.answer, a.fault = x.g.try(a.ctx, x.j, x.p, a.endpoint, func() { a.onSent(x) })
	x.g.noteAttempt(a.ctx, x.j, a.endpoint, a.sent, a.answer, a.fault)
}

// onSent limits the time for which earlier attempts go on.
func (a *replicaAttempt) onSent(x *replicaAttempts) {
	if !a.added {
		return
	}
	time.AfterFunc(attemptOverlap, func() {
		select {
		case x.lasting <- a:
		case <-x.closed:
		}
	})
}

// doAndReport makes the attempt in a goroutine of its own. A panic is passed on to the
// goroutine of the request.
func (a *replicaAttempt) doAndReport(x *replicaAttempts) {
	a.panicked = panics.Try(func() { a.do(x) })
	select {
	case x.ended <- a:
	case <-x.closed:
		a.discard()
	}
}

// discard closes what is left of an answer that is not passed on.
func (a *replicaAttempt) discard() {
	if a.answer != nil && a.answer.rest != nil {
		a.answer.rest.Close(false)
	}
}

func (a *replicaAttempt) result() callResult { return callResult{a.answer, a.endpoint, a.number} }

// attemptError returns the error of an attempt that ended after a later one had been
// sent, and f for other attempts.
func attemptError(ctx context.Context, f *refusal.Error) *refusal.Error {
	switch {
	case !errors.Is(context.Cause(ctx), errAttemptTime):
		return f
	case f.Outcome == refusal.NotRun:
		return refusal.New(refusal.Dial, refusal.NotRun, errAttemptTime.Error())
	}
	return refusal.New(refusal.Timeout, refusal.Unknown, errAttemptTime.Error())
}
