package gateway

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/eelgrassdock/eelgrassdock/process/placement"
	"github.com/eelgrassdock/eelgrassdock/process/quarantine"
	"github.com/eelgrassdock/eelgrassdock/process/roster"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
	"github.com/eelgrassdock/eelgrassdock/request/stream"
	"github.com/eelgrassdock/eelgrassdock/version/routing"
)

const (
	streamMaxIdle = 2 * time.Second // longest idle time of a connection that a stream may use
	continueWait  = 4 * time.Second // longest wait of a continuation for an engine with a limit; callers give up about then
	firstEvent    = "0"             // ID that stands for the position before the first event
)

type (
	// run relays one generation to the caller.
	run struct {
		g           *Gateway
		j           *job
		enginePool  *enginePool
		pool        *pool
		engine      *routing.Engine
		begun       time.Time
		header      http.Header        // of the engine where the generation began
		headWritten bool               // header was passed on
		lastEvent   string             // ID of the last event that was passed on
		order       *stream.EventCheck // of the events that are passed on
		tried       []string
		sends       int
		mayHaveRun  bool          // an attempt that has ended may have run
		hops        int           // engines at which the run continued from memory
		firstDelay  time.Duration // from the request's arrival to its first event
		longestGap  time.Duration // longest time between two events
		lastPassed  time.Time     // time at which the latest event was passed on
		parts       []uint64      // of the prompt, as in package quarantine
		keys        []uint64      // parts and the identity of the request
		current     attemptState
		trial       bool // the next attempt tries what has crashed engines
		onTrial     bool // the request was admitted as a trial

		copying atomic.Bool   // its memory is being copied
		charged atomic.Bool   // the next repeat has been charged to the retry budget
		over    chan struct{} // closed when the run is released

		mu       sync.Mutex
		endpoint roster.Endpoint
		ticket   placement.Ticket
		backup   *memoryCopy
		events   int
		ended    bool
		moving   bool                    // it leaves endpoint for another engine
		withdraw context.CancelCauseFunc // ends the current attempt
	}

	// memoryCopy is a copy of a run's memory at another engine, which was
	// acknowledged by the run's engine.
	memoryCopy struct {
		endpoint roster.Endpoint
		ticket   placement.Ticket
		memory   string // identifies the memory, as in Call.Memory
		from     roster.Endpoint
		handle   string // of the copy, at from
		// expiry is the time in Unix nanoseconds until which the engine keeps the
		// copy, counted from the latest acknowledged order.
		expiry atomic.Int64
		taken  atomic.Bool // the run has continued from it
	}

	// attempt holds the engine, the event and the memory from which the next
	// attempt of a run starts.
	attempt struct {
		endpoint roster.Endpoint
		ticket   placement.Ticket
		after    string
		memory   string
		begun    time.Time // when the run began to wait for the engine with the memory
	}
)

// generate sends a request to an engine and relays its events to the caller, at
// further engines if necessary.
func (g *Gateway) generate(ctx context.Context, j *job, s *routing.Service) (err error) {
	r := &run{
		g: g, j: j, engine: s.Engine, enginePool: g.enginePool(j.service, s.Engine), pool: g.countRequest(j.service),
		begun: time.Now(), lastEvent: j.After, order: stream.NewEventCheck(j.After), over: make(chan struct{}),
		parts: quarantine.Hash(j.service, j.Parts),
	}
	r.keys = append(slices.Clip(r.parts), j.identity)
	g.runs.add(r)
	defer r.release()
	defer func() { r.endTrial(err) }()
	if err := r.checkQuarantine(nil); err != nil {
		return err
	}
	next, err := r.place(ctx)
	if err != nil {
		return err
	}
	for {
		if err := r.checkQuarantine(next); err != nil {
			return err
		}
		again, err := r.attempt(ctx, next)
		if again == nil {
			return err
		}
		next = again
	}
}

// place reserves an engine for an attempt that starts without memory.
func (r *run) place(ctx context.Context) (*attempt, error) {
	e, ticket, err := r.enginePool.acquire(ctx, r.j, r.tried)
	if err != nil {
		return nil, err
	}
	observe(heldTime, time.Since(r.begun))
	return &attempt{endpoint: e, ticket: ticket, after: r.lastEvent}, nil
}

// attempt sends the request once and relays the events. It returns the next
// attempt to make, or nil if the request has ended, with or without an error.
func (r *run) attempt(ctx context.Context, a *attempt) (*attempt, error) {
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r.switchTo(a, cancel)
	c := Call{
		Request: r.j.Request, Endpoint: a.endpoint, Account: r.j.account, Deadline: r.j.deadline,
		Since: time.Now().Add(-streamMaxIdle), Rank: r.j.rank, Stream: true, After: a.after, Memory: a.memory,
	}
	quiet := r.watchSilence(attemptCtx, a.endpoint, cancel)
	defer quiet.stop()
	if a.memory != "" && !r.g.limits.Wait(ctx, a.endpoint.ID, earlier(r.j.deadline, time.Now().Add(continueWait))) {
		f := refusal.New(refusal.EndpointLimit, refusal.NotRun, "no request to the engine with the copy is due in time")
		r.logFailure(a, f)
		return r.rerun(ctx, a, f)
	}
	if a.memory != "" && (r.leaves(a.endpoint) || !r.isAllowed(a.endpoint)) {
		f := refusal.New(refusal.NoEndpoint, refusal.NotRun, "the engine with the copy has left")
		r.logFailure(a, f)
		return r.rerun(ctx, a, f)
	}
	sent := time.Now()
	r.current = attemptState{since: sent}
	answer, err := r.g.send(attemptCtx, c)
	if err != nil && isWithdrawn(attemptCtx) {
		return nil, r.withdrawn(a)
	}
	if errors.Is(err, ErrClosed) {
		return r.sendElsewhere(ctx, a, refusal.From(err))
	}
	if err != nil {
		r.current.lost = isLost(attemptCtx)
		return r.handleSendError(ctx, a, lossError(attemptCtx, refusal.From(err)))
	}
	r.g.checkAddress(a.endpoint, answer)
	if answer.NotRun {
		answer.Close(false)
		return r.handleRefusal(ctx, a, answer)
	}
	r.mayHaveRun = true
	if answer.Status != http.StatusOK || !strings.HasPrefix(answer.Header.Get("Content-Type"), "text/event-stream") {
		return r.handlePlainAnswer(ctx, a, answer)
	}
	r.sends++
	r.current = attemptState{since: time.Now(), answering: true}
	if r.header == nil || a.memory == "" {
		r.header = answer.Header
	}
	r.g.logDecision(r.j, "relaying", logrus.Fields{
		"endpoint": a.endpoint.ID, "after": a.after, "from": a.memory, "prompt": r.j.Prompt,
		"held": sent.Sub(r.begun).Milliseconds(), "waited": time.Since(r.begun).Milliseconds(), "connect": answer.Connect.Milliseconds(),
	})
	err = r.relay(answer, quiet)
	answer.Close(err == nil)
	if err == nil {
		r.markCompleted()
		observe(pauseTime, r.longestGap)
		r.recordTimes()
		r.logAttempt("served", a, logrus.Fields{
			"first": r.firstDelay.Milliseconds(), "pause": r.longestGap.Milliseconds(), "events": r.events, "hops": r.hops,
		})
		return nil, nil
	}
	if isWithdrawn(attemptCtx) {
		return nil, r.withdrawn(a)
	}
	r.current.lost, r.current.closed = isLost(attemptCtx), isClosed(err)
	return r.handleBrokenStream(ctx, a, err, lossError(attemptCtx, streamRefusal(err)))
}

// switchTo makes the engine of an attempt the current engine of the run and
// releases the room at the previous one. The function withdraw ends the attempt.
func (r *run) switchTo(a *attempt, withdraw context.CancelCauseFunc) {
	r.mu.Lock()
	old, tokens := r.ticket, r.events*r.engine.Stride
	r.endpoint, r.ticket, r.withdraw, r.moving = a.endpoint, a.ticket, withdraw, false
	r.mu.Unlock()
	if a.memory != "" {
		r.enginePool.sched.Adopt(a.ticket)
	}
	if old != 0 && old != a.ticket {
		r.enginePool.release(old, tokens, false)
	}
}

func (r *run) markCompleted() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
}

// release removes the run and releases the room that it holds at engines.
func (r *run) release() {
	r.g.runs.remove(r)
	r.mu.Lock()
	completed := r.ended
	r.ended = true
	ticket, backup, tokens := r.ticket, r.backup, r.events*r.engine.Stride
	r.ticket, r.backup = 0, nil
	r.mu.Unlock()
	close(r.over)
	if r.charged.Swap(false) {
		r.pool.policy.Budget.Return()
	}
	if ticket != 0 {
		r.enginePool.release(ticket, tokens, completed)
	}
	if backup != nil {
		r.enginePool.release(backup.ticket, tokens, false)
	}
}

// handleSendError decides how to proceed after an attempt without an answer.
func (r *run) handleSendError(ctx context.Context, a *attempt, f *refusal.Error) (*attempt, error) {
	r.mayHaveRun = r.mayHaveRun || f.Outcome != refusal.NotRun
	// A request that ended before an answer was due says nothing about its engine.
	known := ctx.Err() == nil || r.g.Stalls.RanSince(r.current.since) >= max(r.j.route.Aim, silenceTimeout)
	switch {
	case f.Reason == refusal.Dial && known:
		r.enginePool.avoid(a.endpoint.ID)
	case known:
		r.enginePool.suspect(a.endpoint.ID)
	}
	if f.Reason != refusal.Dial {
		r.sends++
	}
	r.logFailure(a, f)
	r.checkCrash(a, f)
	if a.memory != "" {
		if f.Reason == refusal.Dial && r.awaitCopy(ctx, a) {
			return a, nil
		}
		// A copy that was named in a request is not tried again: its engine gives it
		// to the first attempt that names it.
		return r.rerun(ctx, a, f)
	}
	if f.Outcome == refusal.NotRun && ctx.Err() == nil {
		return r.retryElsewhere(ctx, a, f)
	}
	if ctx.Err() == nil {
		if next := r.goOnFromCopy(ctx, a); next != nil {
			return next, nil
		}
	}
	return r.rerun(ctx, a, f)
}

// handleRefusal decides how to proceed after an engine reported that it did not
// run the request.
func (r *run) handleRefusal(ctx context.Context, a *attempt, answer *Answer) (*attempt, error) {
	if !answer.AddressReused {
		r.sends++
	}
	r.enginePool.sched.Rejected(a.endpoint.ID, time.Now())
	r.logAttempt("attempt_refused", a, logrus.Fields{"status": answer.Status, "elsewhere": answer.AddressReused})
	f := refusal.New(refusal.Rejected, refusal.NotRun, "engine did not run the request")
	if a.memory != "" {
		return r.rerun(ctx, a, f)
	}
	return r.retryElsewhere(ctx, a, f)
}

// retryElsewhere returns an attempt at another engine. It must be called only
// if the request did not run at this engine or may run again.
func (r *run) retryElsewhere(ctx context.Context, a *attempt, f *refusal.Error) (*attempt, error) {
	if f.Reason != refusal.Dial || time.Since(r.begun) >= r.j.queueTime() {
		// An engine that could not be connected to is avoided for a while, but may
		// take the request later.
		r.tried = append(r.tried, a.endpoint.ID)
	}
	if r.sends >= max(r.j.route.Attempts, 1) {
		return nil, r.finalError(f)
	}
	if f.Reason != refusal.Dial {
		if !r.charge() {
			return nil, r.finalError(f)
		}
		r.charged.Store(false)
	}
	refusal.CountRetry(f.Reason)
	next, err := r.place(ctx)
	if err != nil {
		return nil, r.finalError(refusal.From(err))
	}
	return next, nil
}

// charge charges the next repeat to the retry budget, once, and reports whether the budget
// allows it. The end of the run returns the token of a repeat that was not made.
func (r *run) charge() bool {
	if r.charged.Load() {
		return true
	}
	if !r.pool.policy.Budget.Take() {
		return false
	}
	if r.charged.Swap(true) {
		r.pool.policy.Budget.Return() // charged meanwhile
	}
	return true
}

// sendElsewhere returns an attempt in place of one that was not sent, because its engine
// was closed since it had been chosen, or gets no request now. That costs nothing of the retry budget, unless the
// run left another engine for this one.
func (r *run) sendElsewhere(ctx context.Context, a *attempt, f *refusal.Error) (*attempt, error) {
	r.logFailure(a, f)
	if a.memory != "" && !r.g.isClosed(a.endpoint) {
		return a, nil // it waits for another grant
	}
	if a.memory != "" {
		return r.rerun(ctx, a, f)
	}
	refusal.CountRetry(f.Reason)
	next, err := r.place(ctx)
	if err != nil {
		return nil, r.finalError(refusal.From(refusal.Downgrade(err, r.sends > 0)))
	}
	return next, nil
}

// rerun returns an attempt that runs the request again from the last event that
// was passed on, if the route allows this.
func (r *run) rerun(ctx context.Context, a *attempt, f *refusal.Error) (*attempt, error) {
	mayRun := f.Outcome != refusal.NotRun
	if mayRun || r.sends > 0 {
		f = refusal.New(f.Reason, refusal.Unknown, f.Detail)
	}
	if ctx.Err() != nil || !r.j.route.Resume || r.sends >= max(r.j.route.Attempts, 1) {
		return nil, r.finalError(f)
	}
	next, err := r.retryElsewhere(ctx, a, f)
	if next != nil && mayRun {
		r.stopRun(ctx, a, next)
	}
	return next, err
}

// finalError returns the error that ends a request: a *CutError if a part of the
// answer was passed on. The outcome is unknown if an earlier attempt may have run.
func (r *run) finalError(f *refusal.Error) error {
	if r.headWritten {
		return cutByFault(f)
	}
	if f.Outcome == refusal.NotRun && f.RetryAt.IsZero() {
		f.RetryAt = r.g.returnTime(r.j)
	}
	return refusal.Downgrade(f, r.mayHaveRun)
}

// logFailure logs an attempt that ended without an answer that could be passed on.
func (r *run) logFailure(a *attempt, f *refusal.Error) {
	r.logAttempt("attempt_failed", a, logrus.Fields{"reason": f.Reason, "outcome": f.Outcome.String(), "detail": f.Detail})
}

func (r *run) logAttempt(event string, a *attempt, fields logrus.Fields) {
	fields["endpoint"], fields["from"], fields["after"] = a.endpoint.ID, a.memory, a.after
	fields["left"] = time.Until(r.j.deadline).Milliseconds()
	if event != "served" {
		fields["digest"] = formatKey(r.j.identity)
	}
	r.g.logDecision(r.j, event, fields)
}
