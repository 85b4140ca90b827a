package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/eelgrassdock/eelgrassdock/connection/engine"
	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
	"github.com/eelgrassdock/eelgrassdock/request/resume"
	"github.com/eelgrassdock/eelgrassdock/request/stream"
	"github.com/eelgrassdock/eelgrassdock/version/config"
)

const (
	tokenLife     = time.Hour              // resume tokens expire this long after the request's deadline
	hangupGrace   = 5 * time.Second        // time to resume after a hang-up, before the generation is cancelled
	defaultStall  = 10 * time.Second       // a stream without a token for this long is read over a new connection, if the engine accepts one
	maxEmptyConns = 6                      // consecutive connections that an engine may close without a token
	reconnectTime = 8 * time.Second        // how long reconnecting to an engine is attempted
	refusedTime   = time.Second            // how long it is attempted if the engine's address refuses connections
	reconnectWait = 100 * time.Millisecond // mean wait before the first reconnection
	cancelTimeout = 2 * time.Second        // time for an engine to accept a cancellation, which is then tried again
)

// job is one completion request, from the choice of an endpoint to the last
// token. A job may use several connections to an engine, and it may start
// another generation as long as the caller has received no token.
type job struct {
	e         *Entry
	call      call
	req       CompletionRequest
	service   *config.Service
	act       *activity
	out       output
	candidate *candidate

	generation  string
	lastToken   int // number of the last token that the caller has
	resumeToken resume.Token
	resumed     bool     // the caller sent a resume token
	mayHaveRun  bool     // a generation of this job may have run
	exclude     []string // endpoints on which this job failed
	avoid       []string // endpoints that did not respond to this job, excluded while others can be used
	attempt     int      // number of the current attempt, from 0
}

// resumeFrom sets the position of the job from the Last-Event-ID header of a
// caller that resumes a stream. An empty ID starts a new stream.
func (j *job) resumeFrom(id string) error {
	if id == "" {
		return nil
	}
	sealed, n, err := resume.Split(id)
	if err != nil {
		return refusal.New(refusal.BadToken, refusal.NotRun, err.Error())
	}
	token, err := j.e.openToken(j.call, sealed)
	if err != nil {
		return err
	}
	if token.Service != j.service.ID {
		return refusal.New(refusal.BadToken, refusal.NotRun, "token belongs to service \""+token.Service+"\"")
	}
	j.resumeToken, j.lastToken, j.resumed, j.mayHaveRun = token, n, true, true
	j.out.continueAfter(n)
	return nil
}

// run executes the job. A nil error means that the complete output was sent.
func (j *job) run(ctx context.Context) error {
	err := j.runGenerations(ctx)
	j.candidate.end(err)
	return err
}

// runGenerations reads the generation that the caller resumes, and starts generations
// until one is complete or no further one may be started.
func (j *job) runGenerations(ctx context.Context) error {
	if j.resumed {
		err := j.resume(ctx)
		if err == nil || !j.mayRestart(err) {
			return j.finalError(ctx, err)
		}
	}
	for {
		err := j.start(ctx)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil || !j.mayRestart(err) {
			return j.finalError(ctx, err)
		}
		fault := *refusal.From(err)
		if fault.Reason == refusal.GenerationLost {
			// No token was delivered, so the loss is treated as a broken
			// connection, which may be repeated.
			fault.Reason = refusal.Broken
		}
		at, ok := j.e.nextAttempt(j.service.ID, &fault, true, j.attempt, j.call.deadline)
		if !ok {
			return j.finalError(ctx, err)
		}
		j.attempt++
		j.lastToken = 0
		j.out.reset()
		if !sleepUntil(ctx, at, j.e.now()) {
			return j.finalError(ctx, err)
		}
	}
}

// mayRestart reports whether the job may continue with another generation. It
// may not after the caller has received a token, nor if the request itself was
// at fault.
func (j *job) mayRestart(err error) bool {
	if j.out.delivered() {
		return false
	}
	switch refusal.From(err).Reason {
	case refusal.Dial, refusal.Broken, refusal.Timeout, refusal.Garbage, refusal.GenerationLost,
		refusal.Rejected, refusal.Leaving:
		return true
	}
	return false
}

// finalError returns the error to report for a job that ended with err: the
// reason for which ctx ended, if it did, otherwise err. The outcome is NotRun
// only if no generation can have run.
func (j *job) finalError(ctx context.Context, err error) error {
	ran := refusal.NotRun
	if j.mayHaveRun {
		ran = refusal.Unknown
	}
	switch {
	case err == nil:
		return nil
	case j.e.isExpired():
		return refusal.New(refusal.Stopping, ran, "entry has stopped; resume at another entry")
	case isWithdrawn(ctx):
		return refusal.New(refusal.Quarantined, ran, errCondemned.Error())
	case j.act.canceled.Load():
		return refusal.New(refusal.Canceled, ran, "an operator cancelled the stream")
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return refusal.New(refusal.Deadline, ran, "deadline passed")
	case ctx.Err() != nil:
		return refusal.New(refusal.Canceled, ran, "caller hung up")
	}
	return refusal.Downgrade(err, j.mayHaveRun)
}

// start runs one generation on an endpoint that the pool of the service
// chooses.
func (j *job) start(ctx context.Context) error {
	if j.out.delivered() {
		j.e.violation("single generation", "another generation begun after token "+strconv.Itoa(j.lastToken)+" of "+j.generation)
	}
	if err := j.candidate.check(); err != nil {
		return err
	}
	s, err := j.e.pool(j.service.ID).acquire(ctx, j)
	if err != nil {
		return err
	}
	if err := j.candidate.check(); err != nil { // the job may have waited for long
		s.release(false)
		return err
	}
	j.candidate.markSent()
	j.act.Endpoint.Store(&s.endpoint.ID)
	j.generation = uuid.NewString()
	conn := j.e.engine(s.endpoint)
	attempt := crash{candidate: j.candidate, service: j.service.ID, endpoint: s.endpoint.ID, boot: s.boot(), since: j.e.now()}
	reader, err := conn.Generate(ctx, engine.Request{
		Gen: j.generation, Prompt: j.req.Prompt, Max: j.req.Max, Rank: j.call.account.Rank, Model: s.model,
	})
	j.mayHaveRun = j.mayHaveRun || err == nil || refusal.From(err).Outcome != refusal.NotRun
	if err != nil {
		s.release(false)
		j.noteCrash(ctx, attempt, err)
		if refusal.From(err).Outcome != refusal.NotRun {
			j.abandon(ctx, conn, j.finalError(ctx, err))
		}
		j.excludeEndpoint(s.endpoint.ID, j.finalError(ctx, err))
		return err
	}
	j.resumeToken = resume.Token{
		Service: j.service.ID, Endpoint: s.endpoint.ID, Boot: reader.Boot(), Generation: j.generation,
		Account: j.call.account.ID, Caller: j.call.caller, Until: j.call.deadline.Add(tokenLife),
	}
	attempt.begun, attempt.since = true, j.e.now()
	if boot := reader.Boot(); boot != "" {
		attempt.boot = boot
	}
	err = j.open()
	if err == nil {
		err = j.relay(ctx, conn, reader, s)
	} else {
		_ = reader.Close()
	}
	s.release(err == nil)
	if err != nil {
		j.noteCrash(ctx, attempt, err)
		j.abandon(ctx, conn, j.finalError(ctx, err))
		j.excludeEndpoint(s.endpoint.ID, j.finalError(ctx, err))
	}
	return err
}

// noteCrash reports the job as a suspect if the engine ended the connection of an attempt
// before the first token and has crashed.
func (j *job) noteCrash(ctx context.Context, attempt crash, err error) {
	reason := refusal.From(err).Reason
	if j.lastToken == 0 && ctx.Err() == nil && (reason == refusal.Broken || reason == refusal.GenerationLost) {
		j.e.noteCrash(attempt)
	}
}

// resume continues the generation of the caller's resume token.
func (j *job) resume(ctx context.Context) error {
	endpoint := j.call.index.Endpoint(j.resumeToken.Endpoint)
	if endpoint == nil {
		return refusal.New(refusal.GenerationLost, refusal.Unknown, "endpoint is no longer configured")
	}
	j.act.Endpoint.Store(&endpoint.ID)
	j.generation = j.resumeToken.Generation
	conn := j.e.engine(endpoint)
	reader, err := j.reconnect(ctx, conn, j.lastToken)
	if err != nil {
		return err
	}
	if err := j.open(); err != nil {
		_ = reader.Close()
		return err
	}
	err = j.relay(ctx, conn, reader, nil)
	if err != nil {
		j.abandon(ctx, conn, j.finalError(ctx, err))
	}
	return err
}

// engine returns a client of the engine at an endpoint.
func (e *Entry) engine(endpoint *config.Endpoint) *engine.Conn {
	return &engine.Conn{Addr: endpoint.Addr, HTTP: e.requests, AnswerTimeout: e.stall()}
}

func (e *Entry) stall() time.Duration {
	if e.Stall > 0 {
		return e.Stall
	}
	return defaultStall
}

// open seals the resume token and opens the output with it.
func (j *job) open() error {
	sealed, err := resume.Sealer{Secrets: j.call.index.Document.Secrets}.Seal(j.resumeToken)
	if err != nil {
		return refusal.New(refusal.Internal, refusal.Unknown, err.Error())
	}
	if err := j.out.open(sealed, j.generation); err != nil {
		return refusal.New(refusal.Canceled, refusal.Unknown, "caller hung up")
	}
	return nil
}

// relay forwards tokens from the engine to the caller, and reconnects to the
// engine when a connection breaks. It returns an error if an engine closes more
// than maxEmptyConns consecutive connections early and without a token, because
// the job would otherwise occupy the entry until the deadline. The slot is nil
// for a resumed stream.
func (j *job) relay(ctx context.Context, conn *engine.Conn, reader *engine.Reader, s *slot) error {
	for emptyConns := 0; ; emptyConns++ {
		begun, before := j.e.now(), j.lastToken
		err := j.pump(ctx, conn, reader, s)
		last := reader.Last()
		_ = reader.Close()
		if err == nil || ctx.Err() != nil || j.e.isExpired() || refusal.From(err).Reason != refusal.Broken {
			return err
		}
		if j.lastToken > before || j.e.now().Sub(begun) >= j.e.stall() {
			emptyConns = 0
		} else if at := j.e.now().Add(reconnectWait << emptyConns); emptyConns >= maxEmptyConns || !sleepUntil(ctx, at, j.e.now()) {
			return err
		}
		refusal.CountRetry(refusal.Broken)
		reconnects.Add(1)
		if reader, err = j.reconnect(ctx, conn, last); err != nil {
			return err
		}
	}
}

// pump forwards tokens from one connection until the generation ends, the
// connection fails, or no token is received for the stall time. A stalled connection
// to an engine that refuses new ones is kept: the engine may be leaving and finish its
// streams, and a connection to a process that has ended is reset by its host.
func (j *job) pump(ctx context.Context, conn *engine.Conn, reader *engine.Reader, s *slot) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stall := j.e.stall()
	var passed atomic.Int64 // last token that the caller has
	passed.Store(int64(j.lastToken))
	var watch *time.Timer
	watch = time.AfterFunc(time.Hour, func() {
		if j.isRefused(ctx, conn, int(passed.Load())) {
			watch.Reset(stall)
			return
		}
		_ = reader.Close()
	})
	watch.Reset(stall + timerInterval) // the function uses watch, so it may run only after the assignment
	defer watch.Stop()
	armed := time.Now()
	stop := context.AfterFunc(ctx, func() { _ = reader.Close() })
	defer stop()
	for {
		f, err := reader.Next()
		if err != nil {
			return err
		}
		if now := time.Now(); now.Sub(armed) >= timerInterval {
			armed = now
			watch.Reset(stall + timerInterval)
		}
		if f.End {
			return j.finish(f)
		}
		if j.e.isExpired() {
			return refusal.New(refusal.Stopping, refusal.Unknown, "entry has stopped; resume at another entry")
		}
		if err := j.out.token(f, reader.Buffered()); err != nil {
			return refusal.New(refusal.Canceled, refusal.Unknown, "caller hung up")
		}
		if j.lastToken == 0 {
			j.candidate.survived()
		}
		j.act.Tokens.Store(int64(f.N))
		if f.N != j.lastToken+1 {
			j.e.violation("token order", fmt.Sprintf("token %d delivered after token %d of %s", f.N, j.lastToken, j.generation))
		}
		j.lastToken = f.N
		passed.Store(int64(f.N))
		if s != nil {
			s.progress(f.N)
		}
	}
}

// isRefused reports whether the engine refuses a further connection that reads the
// generation after token n.
func (j *job) isRefused(ctx context.Context, conn *engine.Conn, n int) bool {
	ctx, cancel := j.e.Stalls.WithTimeout(ctx, pollTimeout)
	defer cancel()
	reader, err := conn.Resume(ctx, j.generation, j.resumeToken.Boot, n)
	if err != nil {
		return isConnRefused(err)
	}
	_ = reader.Close()
	return false
}

// finish handles the last frame of a generation.
func (j *job) finish(f stream.Frame) error {
	if f.Error != "" {
		return refusal.New(refusal.GenerationLost, refusal.Unknown, "engine ended the generation: "+f.Error)
	}
	if err := j.out.end(f.N); err != nil {
		return refusal.New(refusal.Canceled, refusal.Unknown, "caller hung up")
	}
	j.e.recordSuccess(j.service.ID)
	return nil
}

// reconnect opens a new connection that reads the generation after token n. An
// unreachable engine is retried for up to reconnectTime, or a shorter time if
// its address refuses connections. It returns the error GenerationLost if the
// engine no longer has the generation.
func (j *job) reconnect(ctx context.Context, conn *engine.Conn, n int) (*engine.Reader, error) {
	// An engine that refuses connections has most likely ended. As long as the
	// caller has no token, a new generation on another engine costs less than
	// waiting, so connection refusals are not retried at all. refusedUntil is the
	// time at which retries end once a connection was refused.
	refusedUntil, until := j.e.now(), j.e.now().Add(reconnectTime)
	if j.out.delivered() {
		refusedUntil = refusedUntil.Add(refusedTime)
	}
	wait := reconnectWait
	for {
		reader, err := conn.Resume(ctx, j.generation, j.resumeToken.Boot, n)
		if err == nil && reader.Boot() == j.resumeToken.Boot {
			return reader, nil
		}
		if err == nil {
			_ = reader.Close()
			return nil, refusal.New(refusal.GenerationLost, refusal.Unknown, "engine has restarted")
		}
		fault := refusal.From(err)
		at := j.e.now().Add(time.Duration((0.5 + rand.Float64()) * float64(wait)))
		if fault.Reason == refusal.GenerationLost || fault.Reason == refusal.Garbage {
			return nil, err
		}
		if isConnRefused(err) {
			until = refusedUntil
		}
		if at.After(until) {
			return nil, j.unreachableError(err)
		}
		if !sleepUntil(ctx, at, j.e.now()) {
			return nil, err
		}
		wait *= 2
	}
}

// isConnRefused reports whether err was caused by a refused connection. It
// compares texts because the error is a refusal, which carries only the text of
// its cause.
func isConnRefused(err error) bool {
	return strings.Contains(err.Error(), syscall.ECONNREFUSED.Error())
}

// isNoResponse reports whether an attempt failed only because the endpoint sent nothing
// in time, neither an answer nor a sign that no process listens there.
func isNoResponse(fault *refusal.Error) bool {
	return fault.Reason == refusal.Timeout || fault.Reason == refusal.Dial &&
		(strings.Contains(fault.Detail, os.ErrDeadlineExceeded.Error()) || strings.Contains(fault.Detail, context.DeadlineExceeded.Error()))
}

// unreachableError returns the refusal for an engine that could not be reached
// for reconnectTime. If its address refuses connections, no process listens
// there and its generations are lost. Otherwise the link may be stalled, and
// the caller can resume the stream later.
func (j *job) unreachableError(err error) error {
	if isConnRefused(err) {
		return refusal.New(refusal.GenerationLost, refusal.Unknown, "engine is gone: "+err.Error())
	}
	fault := *refusal.From(err)
	fault.Outcome, fault.RetryAt = refusal.Unknown, j.e.now().Add(reconnectTime)
	return &fault
}

// excludeEndpoint excludes an endpoint on which the job failed from further
// attempts and reports it to the pool as suspect. One that only did not respond is
// reported as silent, and is tried again if no other can be used.
func (j *job) excludeEndpoint(endpoint string, err error) {
	switch fault := refusal.From(err); fault.Reason {
	case refusal.Canceled, refusal.Deadline, refusal.Stopping:
	default:
		if isNoResponse(fault) {
			j.avoid = append(j.avoid, endpoint)
			j.e.pool(j.service.ID).setSilent(endpoint)
		} else {
			j.exclude = append(j.exclude, endpoint)
			j.e.pool(j.service.ID).suspect(endpoint, fault)
		}
		j.e.Log.WithFields(logrus.Fields{
			"endpoint": endpoint, "reason": fault.Reason, "gen": j.generation, "after": j.lastToken,
		}).Warn("generation failed: " + fault.Detail)
	}
}

// abandon cancels a generation that this job no longer reads. A caller that
// hung up or already has tokens may resume through any entry, so its generation
// is cancelled only after hangupGrace, and only if it has no reader then.
func (j *job) abandon(ctx context.Context, conn *engine.Conn, err error) {
	reason := refusal.From(err).Reason
	if reason == refusal.Stopping || j.e.isExpired() {
		return // the caller resumes the stream through another entry
	}
	cancel, at := conn.Cancel, j.e.now()
	hungUp := errors.Is(ctx.Err(), context.Canceled) && reason != refusal.Quarantined || reason == refusal.Canceled
	if (hungUp || j.out.delivered()) && !j.act.canceled.Load() {
		cancel, at = conn.CancelIdle, at.Add(hangupGrace)
	}
	generation, until := j.generation, j.call.deadline
	j.e.spawn(func() {
		if sleepUntil(j.e.background, at, j.e.now()) {
			j.e.cancelGeneration(generation, until, cancel)
		}
	})
}

// cancelGeneration cancels a generation. An engine that does not respond is tried again
// until the given time, unless its address refuses connections.
func (e *Entry) cancelGeneration(generation string, until time.Time, cancel func(ctx context.Context, gen string) error) {
	for wait := reconnectWait; ; wait = min(2*wait, reconnectTime) {
		ctx, stop := context.WithTimeout(e.background, cancelTimeout)
		err := cancel(ctx, generation)
		stop()
		if err == nil {
			return
		}
		at := e.now().Add(wait)
		if isConnRefused(err) || at.After(until) || !sleepUntil(e.background, at, e.now()) {
			e.Log.WithError(err).WithField("gen", generation).Debug("generation could not be cancelled")
			return
		}
	}
}

// sleepUntil waits until the time at. It reports whether ctx has not ended.
func sleepUntil(ctx context.Context, at, now time.Time) bool {
	return sleep.For(ctx, at.Sub(now))
}
