package gateway

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/eelgrassdock/eelgrassdock/process/placement"
	"github.com/eelgrassdock/eelgrassdock/process/roster"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
	"github.com/eelgrassdock/eelgrassdock/request/stream"
	"github.com/eelgrassdock/eelgrassdock/version/routing"
)

const (
	streamFresh = 2 * time.Second        // a stream uses no connection that was idle for longer
	silence     = time.Second            // without an event, after which an engine is asked whether it lives
	probeLimit  = 400 * time.Millisecond // for its answer; covers a new connection between regions
	firstEvent  = "0"                    // the event before the first
)

var errSilent = errors.New("engine is silent and does not answer")

type (
	// run is one generation on its way to the caller.
	run struct {
		g      *Gateway
		j      *job
		desk   *desk
		pool   *pool
		engine *routing.Engine
		begun  time.Time
		header http.Header // of the engine at which the generation began
		headed bool        // it was passed on
		last   string      // ID of the last event that was passed on
		tried  []string
		sends  int
		hops   int           // engines that the run went on at
		first  time.Duration // until the first event
		pause  time.Duration // longest time between two events
		passed time.Time     // when the latest event was passed on

		copying atomic.Bool // its memory is being copied after a notice

		mu       sync.Mutex
		endpoint roster.Endpoint
		ticket   placement.Ticket
		backup   *replica
		events   int
		ended    bool
	}

	// replica is a copy of a run's memory at another engine.
	replica struct {
		endpoint roster.Endpoint
		ticket   placement.Ticket
		from     string // the memory, in the form of Call.From
	}

	// attempt is what the next attempt of a run begins from.
	attempt struct {
		endpoint roster.Endpoint
		ticket   placement.Ticket
		after    string
		from     string
	}
)

// generate passes a request to an engine and its events to the caller.
func (g *Gateway) generate(ctx context.Context, j *job, s *routing.Service) error {
	r := &run{
		g: g, j: j, engine: s.Engine, desk: g.desk(j.service, s.Engine), pool: g.arrived(j.service),
		begun: time.Now(), last: j.After,
	}
	if g.Stopping() && !j.route.Repeatable() {
		// It would probably outlive this instance.
		return refusal.New(refusal.Stopping, refusal.NotRun, "instance is stopping; use another one")
	}
	g.runs.add(r)
	defer r.end()
	next, err := r.place(ctx)
	if err != nil {
		return err
	}
	for {
		again, err := r.attempt(ctx, next)
		if again == nil {
			return err
		}
		next = again
	}
}

// place finds an engine for a new run.
func (r *run) place(ctx context.Context) (*attempt, error) {
	e, ticket, err := r.desk.acquire(ctx, r.j, r.tried)
	if err != nil {
		return nil, err
	}
	observe(heldTime, time.Since(r.begun))
	return &attempt{endpoint: e, ticket: ticket, after: r.last}, nil
}

// attempt sends the request once and relays what comes. It gives the next
// attempt, or none if the request has ended with the error or without one.
func (r *run) attempt(ctx context.Context, a *attempt) (*attempt, error) {
	here, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r.adopt(a)
	c := Call{
		Request: r.j.Request, Endpoint: a.endpoint, Account: r.j.account, Deadline: r.j.deadline,
		Since: time.Now().Add(-streamFresh), Rank: r.j.rank, Stream: true, After: a.after, From: a.from,
	}
	if b := r.copyTo(a); b != nil {
		c.Backup = b.endpoint.Addr
	}
	quiet := r.watch(here, a.endpoint, cancel)
	defer quiet.Stop()
	sent := time.Now()
	answer, err := r.g.Backend.Send(here, c)
	if err != nil {
		return r.unsent(ctx, a, silenced(here, refusal.From(err)))
	}
	r.g.learn(a.endpoint, answer)
	if answer.NotRun {
		answer.Close(false)
		return r.refused(ctx, a, answer)
	}
	if answer.Status != http.StatusOK || !strings.HasPrefix(answer.Header.Get("Content-Type"), "text/event-stream") {
		return r.other(ctx, a, answer)
	}
	r.sends++
	if r.header == nil || a.from == "" {
		r.header = answer.Header
	}
	r.g.decided(r.j, "relaying", logrus.Fields{
		"endpoint": a.endpoint.ID, "after": a.after, "from": a.from, "backup": c.Backup, "prompt": r.j.Prompt,
		"held": sent.Sub(r.begun).Milliseconds(), "waited": time.Since(r.begun).Milliseconds(), "connect": answer.Connect.Milliseconds(),
	})
	err = r.relay(answer, quiet)
	answer.Close(err == nil)
	if err == nil {
		r.completed()
		observe(pauseTime, r.pause)
		r.note("served", a, logrus.Fields{
			"first": r.first.Milliseconds(), "pause": r.pause.Milliseconds(), "events": r.events, "hops": r.hops,
		})
		return nil, nil
	}
	return r.broken(ctx, a, err)
}

// watch ends an attempt whose engine is silent and does not answer a question
// either. An engine that answers is only slow.
func (r *run) watch(ctx context.Context, e roster.Endpoint, cancel context.CancelCauseFunc) *time.Timer {
	var quiet *time.Timer
	quiet = time.AfterFunc(time.Hour, func() {
		for ctx.Err() == nil {
			call, done := context.WithTimeout(ctx, probeLimit)
			_, err := r.g.Backend.Report(call, e)
			done()
			if err == nil {
				quiet.Reset(silence)
				return
			}
			if ctx.Err() == nil {
				r.g.decided(r.j, "engine_silent", logrus.Fields{"endpoint": e.ID, "detail": err.Error()})
				cancel(errSilent)
			}
		}
	})
	quiet.Reset(max(r.j.route.Aim, silence)) // after quiet is set
	return quiet
}

// silenced names the cause of an attempt that watch has ended.
func silenced(ctx context.Context, f *refusal.Error) *refusal.Error {
	if errors.Is(context.Cause(ctx), errSilent) {
		return refusal.New(refusal.Timeout, refusal.Unknown, errSilent.Error())
	}
	return f
}

// adopt makes an attempt's engine that of the run.
func (r *run) adopt(a *attempt) {
	r.mu.Lock()
	old, tokens := r.ticket, r.events*r.engine.Stride
	r.endpoint, r.ticket = a.endpoint, a.ticket
	r.mu.Unlock()
	if a.from != "" {
		r.desk.sched.Adopt(a.ticket)
	}
	if old != 0 && old != a.ticket {
		r.desk.done(old, tokens, false)
	}
}

// relay passes events on until the stream ends. It returns nil at the proper
// end of the stream.
func (r *run) relay(answer *Answer, quiet *time.Timer) error {
	events := stream.NewEventReader(answer.Body)
	flush := http.NewResponseController(r.j.w)
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			r.head()
			return nil
		}
		if err != nil {
			return fmt.Errorf("stream of %s: %w", r.endpoint.ID, err)
		}
		r.head()
		if _, err := r.j.w.Write(event.Raw); err != nil {
			return errors.Wrap(ErrCut, "caller left: "+err.Error())
		}
		if !events.Pending() {
			if err := flush.Flush(); err != nil {
				return errors.Wrap(ErrCut, "caller left: "+err.Error())
			}
		}
		if event.ID != "" {
			r.last = event.ID
		}
		r.progress()
		quiet.Reset(silence)
	}
}

// head passes on the head of the answer at which the generation began.
func (r *run) head() {
	if r.headed {
		return
	}
	r.headed = true
	maps.Copy(r.j.w.Header(), r.header)
	r.j.w.WriteHeader(http.StatusOK)
	r.first, r.passed = time.Since(r.j.Arrived), time.Now()
	observe(firstTime, r.first)
	r.desk.sched.Started(r.ticket, r.passed)
	r.desk.trust(r.endpoint.ID)
}

func (r *run) progress() {
	now := time.Now()
	r.pause, r.passed = max(r.pause, now.Sub(r.passed)), now
	r.mu.Lock()
	r.events++
	tokens, ticket, backup := r.events*r.engine.Stride, r.ticket, r.backup
	r.mu.Unlock()
	if r.events&3 != 1 {
		return // the scheduler's estimate changes little from event to event
	}
	r.desk.sched.Progress(ticket, tokens, now)
	if backup != nil {
		r.desk.sched.Progress(backup.ticket, tokens, now)
	}
}

func (r *run) completed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
}

// end releases what the run holds.
func (r *run) end() {
	r.g.runs.remove(r)
	r.mu.Lock()
	completed := r.ended
	r.ended = true
	ticket, backup, tokens := r.ticket, r.backup, r.events*r.engine.Stride
	r.ticket, r.backup = 0, nil
	r.mu.Unlock()
	if ticket != 0 {
		r.desk.done(ticket, tokens, completed)
	}
	if backup != nil {
		r.desk.done(backup.ticket, tokens, false)
	}
}

// unsent decides after an attempt that got no answer.
func (r *run) unsent(ctx context.Context, a *attempt, f *refusal.Error) (*attempt, error) {
	r.desk.suspect(a.endpoint.ID)
	if f.Reason != refusal.Dial {
		r.sends++
	}
	r.note("attempt_failed", a, logrus.Fields{"reason": f.Reason, "outcome": f.Outcome.String(), "detail": f.Detail})
	if a.from != "" {
		// The memory is used up, or its engine has gone.
		return r.rerun(ctx, a, f)
	}
	if f.Outcome == refusal.NotRun && ctx.Err() == nil {
		return r.elsewhere(ctx, a, f)
	}
	if next := r.fromBackup(); next != nil && ctx.Err() == nil {
		r.hops++
		return next, nil
	}
	return r.rerun(ctx, a, f)
}

// refused decides after an engine said that it did not run the request.
func (r *run) refused(ctx context.Context, a *attempt, answer *Answer) (*attempt, error) {
	if !answer.Elsewhere {
		r.sends++
	}
	r.note("attempt_refused", a, logrus.Fields{"status": answer.Status, "elsewhere": answer.Elsewhere})
	f := refusal.New(refusal.Rejected, refusal.NotRun, "engine did not run the request")
	if a.from != "" {
		return r.rerun(ctx, a, f)
	}
	return r.elsewhere(ctx, a, f)
}

// elsewhere tries another engine for a request that has not run at this one.
func (r *run) elsewhere(ctx context.Context, a *attempt, f *refusal.Error) (*attempt, error) {
	r.tried = append(r.tried, a.endpoint.ID)
	if r.sends >= max(r.j.route.Attempts, 1) {
		return nil, r.failed(f)
	}
	if f.Reason != refusal.Dial && !r.pool.policy.Budget.Take() {
		return nil, r.failed(f)
	}
	refusal.CountRetry(f.Reason)
	next, err := r.place(ctx)
	if err != nil {
		return nil, r.failed(refusal.From(err))
	}
	return next, nil
}

// rerun runs a request again from its last event, if its route allows that.
func (r *run) rerun(ctx context.Context, a *attempt, f *refusal.Error) (*attempt, error) {
	if f.Outcome != refusal.NotRun || r.sends > 0 {
		f = refusal.New(f.Reason, refusal.Unknown, f.Detail)
	}
	if ctx.Err() != nil || !r.j.route.Resume || r.sends >= max(r.j.route.Attempts, 1) {
		return nil, r.failed(f)
	}
	return r.elsewhere(ctx, a, f)
}

// other passes an answer on that is no stream of events.
func (r *run) other(ctx context.Context, a *attempt, answer *Answer) (*attempt, error) {
	r.sends++
	kept, err := hold(answer)
	var f *refusal.Error
	switch {
	case err != nil:
		f = refusal.FromCallError(err, true)
	case r.headed:
		f = refusal.New(refusal.Broken, refusal.Unknown, "engine answered "+strconv.Itoa(kept.status)+" to the rest of a stream")
	}
	if f != nil {
		r.note("attempt_failed", a, logrus.Fields{"reason": f.Reason, "outcome": f.Outcome.String(), "detail": f.Detail})
		return r.rerun(ctx, a, f)
	}
	return nil, r.g.answered(r.j, kept, a.endpoint, r.sends)
}

// broken decides after a stream ended early.
func (r *run) broken(ctx context.Context, a *attempt, err error) (*attempt, error) {
	if errors.Is(err, ErrCut) || ctx.Err() != nil {
		return nil, r.failed(refusal.FromCallError(errors.CombineErrors(ctx.Err(), err), true))
	}
	r.mu.Lock()
	events, copied := r.events, r.backup != nil
	r.mu.Unlock()
	r.note("stream_broken", a, logrus.Fields{"detail": err.Error(), "events": events, "backup": copied})
	r.desk.suspect(a.endpoint.ID)
	if next := r.fromBackup(); next != nil {
		r.hops++
		return next, nil
	}
	return r.rerun(ctx, a, refusal.FromCallError(err, true))
}

// failed gives the error that ends a request.
func (r *run) failed(f *refusal.Error) error {
	if r.headed {
		return errors.Wrap(ErrCut, f.Error())
	}
	if f.Outcome == refusal.NotRun && f.RetryAt.IsZero() {
		f.RetryAt = comeBackAt(time.Now())
	}
	return f
}

func (r *run) note(event string, a *attempt, fields logrus.Fields) {
	fields["endpoint"], fields["from"], fields["after"] = a.endpoint.ID, a.from, a.after
	fields["left"] = time.Until(r.j.deadline).Milliseconds()
	r.g.decided(r.j, event, fields)
}
