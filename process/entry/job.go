package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
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
	tokenLife     = time.Hour              // a resume token is accepted for this long after its deadline
	hangupGrace   = 5 * time.Second        // a caller that hung up may resume before its generation is cancelled
	defaultStall  = 10 * time.Second       // a stream that is silent for this long is read over a new connection
	maxVain       = 6                      // connections in a row that an engine may close without a token
	reconnectTime = 8 * time.Second        // how long a lost connection to an engine is tried again
	refusedTime   = time.Second            // the same, while the engine's address refuses connections
	reconnectWait = 100 * time.Millisecond // mean wait before the first new try
	cancelTimeout = 2 * time.Second        // time for an engine to accept a cancellation
)

// job is one completion, from the choice of an endpoint to the last token. It
// outlives connections to engines, and generations as long as the caller has
// received no token.
type job struct {
	e       *Entry
	call    call
	req     CompletionRequest
	service *config.Service
	act     *activity
	out     output

	generation string
	after      int // number of the last token that the caller has
	token      resume.Token
	resumed    bool
	maybe      bool     // a generation of this job may have run
	exclude    []string // endpoints that failed this job
	attempt    int
}

// resumeFrom reads the Last-Event-ID of a caller that comes back.
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
	j.token, j.after, j.resumed, j.maybe = token, n, true, true
	j.out.continueAfter(n)
	return nil
}

// run serves the job. A nil error means that the whole answer was passed on.
func (j *job) run(ctx context.Context) error {
	if j.resumed {
		err := j.resume(ctx)
		if err == nil || !j.mayRestart(err) {
			return j.outcome(ctx, err)
		}
	}
	for {
		err := j.start(ctx)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil || !j.mayRestart(err) {
			return j.outcome(ctx, err)
		}
		fault := *refusal.From(err)
		if fault.Reason == refusal.GenerationLost {
			// Nothing was delivered, so the loss is a failed attempt like others.
			fault.Reason = refusal.Broken
		}
		at, ok := j.e.nextAttempt(j.service.ID, &fault, true, j.attempt, j.call.deadline)
		if !ok {
			return j.outcome(ctx, err)
		}
		j.attempt++
		j.after = 0
		j.out.reset()
		if !sleepUntil(ctx, at, j.e.now()) {
			return j.outcome(ctx, err)
		}
	}
}

// mayRestart tells whether another generation may serve the job: never after
// the caller has received a token, and not for a fault of the request itself.
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

// outcome replaces an error by the reason for which the context ended. It says
// "not run" only if no generation may have run.
func (j *job) outcome(ctx context.Context, err error) error {
	ran := refusal.NotRun
	if j.maybe {
		ran = refusal.Unknown
	}
	switch {
	case err == nil:
		return nil
	case j.e.isExpired():
		return refusal.New(refusal.Stopping, ran, "entry has stopped; resume at another entry")
	case j.act.canceled.Load():
		return refusal.New(refusal.Canceled, ran, "an operator cancelled the stream")
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return refusal.New(refusal.Deadline, ran, "deadline passed")
	case ctx.Err() != nil:
		return refusal.New(refusal.Canceled, ran, "caller hung up")
	}
	return refusal.Doubt(err, j.maybe)
}

// start runs one generation on an endpoint that the service's desk chooses.
func (j *job) start(ctx context.Context) error {
	if j.out.delivered() {
		j.e.violation("single generation", "another generation begun after token "+strconv.Itoa(j.after)+" of "+j.generation)
	}
	s, err := j.e.desk(j.service.ID).acquire(ctx, j)
	if err != nil {
		return err
	}
	j.act.Endpoint.Store(&s.endpoint.ID)
	j.generation = uuid.NewString()
	conn := j.e.engine(s.endpoint)
	reader, err := conn.Generate(ctx, engine.Request{
		Gen: j.generation, Prompt: j.req.Prompt, Max: j.req.Max, Rank: j.call.account.Rank, Model: s.model,
	})
	j.maybe = j.maybe || err == nil || refusal.From(err).Outcome != refusal.NotRun
	if err != nil {
		s.release(false)
		if refusal.From(err).Outcome != refusal.NotRun {
			j.abandon(ctx, conn, j.outcome(ctx, err))
		}
		j.failed(s.endpoint.ID, j.outcome(ctx, err))
		return err
	}
	j.token = resume.Token{
		Service: j.service.ID, Endpoint: s.endpoint.ID, Boot: reader.Boot(), Generation: j.generation,
		Account: j.call.account.ID, Caller: j.call.caller, Until: j.call.deadline.Add(tokenLife),
	}
	err = j.open()
	if err == nil {
		err = j.relay(ctx, conn, reader, s)
	} else {
		_ = reader.Close()
	}
	s.release(err == nil)
	if err != nil {
		j.abandon(ctx, conn, j.outcome(ctx, err))
		j.failed(s.endpoint.ID, j.outcome(ctx, err))
	}
	return err
}

// resume goes on with the generation that the caller's token names.
func (j *job) resume(ctx context.Context) error {
	endpoint := j.call.index.Endpoint(j.token.Endpoint)
	if endpoint == nil {
		return refusal.New(refusal.GenerationLost, refusal.Unknown, "endpoint is no longer configured")
	}
	j.act.Endpoint.Store(&endpoint.ID)
	j.generation = j.token.Generation
	conn := j.e.engine(endpoint)
	reader, err := j.reconnect(ctx, conn, j.after)
	if err != nil {
		return err
	}
	if err := j.open(); err != nil {
		_ = reader.Close()
		return err
	}
	err = j.relay(ctx, conn, reader, nil)
	if err != nil {
		j.abandon(ctx, conn, j.outcome(ctx, err))
	}
	return err
}

// engine gives the client of an endpoint.
func (e *Entry) engine(endpoint *config.Endpoint) *engine.Conn {
	return &engine.Conn{Addr: endpoint.Addr, HTTP: e.http, AnswerTimeout: e.stall()}
}

func (e *Entry) stall() time.Duration {
	if e.Stall > 0 {
		return e.Stall
	}
	return defaultStall
}

func (j *job) open() error {
	sealed, err := resume.Sealer{Secrets: j.call.index.Document.Secrets}.Seal(j.token)
	if err != nil {
		return refusal.New(refusal.Internal, refusal.Unknown, err.Error())
	}
	if err := j.out.open(sealed, j.generation); err != nil {
		return refusal.New(refusal.Canceled, refusal.Unknown, "caller hung up")
	}
	return nil
}

// relay passes tokens from the engine to the caller, over as many connections
// as it takes. An engine that keeps closing connections without a token is
// given up, so that it does not occupy the entry until the deadline.
func (j *job) relay(ctx context.Context, conn *engine.Conn, reader *engine.Reader, s *slot) error {
	for vain := 0; ; vain++ {
		begun, before := j.e.now(), j.after
		err := j.pump(ctx, reader, s)
		last := reader.Last()
		_ = reader.Close()
		if err == nil || ctx.Err() != nil || j.e.isExpired() || refusal.From(err).Reason != refusal.Broken {
			return err
		}
		if j.after > before || j.e.now().Sub(begun) >= j.e.stall() {
			vain = 0
		} else if at := j.e.now().Add(reconnectWait << vain); vain >= maxVain || !sleepUntil(ctx, at, j.e.now()) {
			return err
		}
		refusal.CountRetry(refusal.Broken)
		reread.Add(1)
		if reader, err = j.reconnect(ctx, conn, last); err != nil {
			return err
		}
	}
}

// pump passes tokens on until the generation ends or the connection fails.
func (j *job) pump(ctx context.Context, reader *engine.Reader, s *slot) error {
	stall := j.e.stall()
	watch := time.AfterFunc(stall+timerGrain, func() { _ = reader.Close() })
	defer watch.Stop()
	armed := time.Now()
	stop := context.AfterFunc(ctx, func() { _ = reader.Close() })
	defer stop()
	for {
		f, err := reader.Next()
		if err != nil {
			return err
		}
		if now := time.Now(); now.Sub(armed) >= timerGrain {
			armed = now
			watch.Reset(stall + timerGrain)
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
		j.act.Tokens.Store(int64(f.N))
		if f.N != j.after+1 {
			j.e.violation("token order", fmt.Sprintf("token %d delivered after token %d of %s", f.N, j.after, j.generation))
		}
		j.after = f.N
		if s != nil {
			s.progress(f.N)
		}
	}
}

func (j *job) finish(f stream.Frame) error {
	if f.Error != "" {
		return refusal.New(refusal.GenerationLost, refusal.Unknown, "engine ended the generation: "+f.Error)
	}
	if err := j.out.end(f.N); err != nil {
		return refusal.New(refusal.Canceled, refusal.Unknown, "caller hung up")
	}
	j.e.succeeded(j.service.ID)
	return nil
}

// reconnect reads the generation on after token n. An unreachable engine is
// tried for a while; one that no longer has the generation ends the job.
func (j *job) reconnect(ctx context.Context, conn *engine.Conn, n int) (*engine.Reader, error) {
	// An engine that refuses connections has most likely ended. Until the
	// caller has a token, running elsewhere costs less than waiting.
	first, until := j.e.now(), j.e.now().Add(reconnectTime)
	if j.out.delivered() {
		first = first.Add(refusedTime)
	}
	wait := reconnectWait
	for {
		reader, err := conn.Resume(ctx, j.generation, j.token.Boot, n)
		if err == nil && reader.Boot() == j.token.Boot {
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
		if refused(err) {
			until = first
		}
		if at.After(until) {
			return nil, j.unreachable(err)
		}
		if !sleepUntil(ctx, at, j.e.now()) {
			return nil, err
		}
		wait *= 2
	}
}

func refused(err error) bool {
	return strings.Contains(err.Error(), syscall.ECONNREFUSED.Error())
}

// unreachable judges an engine that could not be connected to for a while. An
// address that refuses connections has no process, so its generations are
// gone; a silent one may be behind a stalled link and can be resumed later.
func (j *job) unreachable(err error) error {
	if refused(err) {
		return refusal.New(refusal.GenerationLost, refusal.Unknown, "engine is gone: "+err.Error())
	}
	fault := *refusal.From(err)
	fault.Outcome, fault.RetryAt = refusal.Unknown, j.e.now().Add(reconnectTime)
	return &fault
}

// failed remembers an endpoint that could not serve the job and reports it as
// suspect to the desk.
func (j *job) failed(endpoint string, err error) {
	switch fault := refusal.From(err); fault.Reason {
	case refusal.Canceled, refusal.Deadline, refusal.Stopping:
	default:
		j.exclude = append(j.exclude, endpoint)
		j.e.desk(j.service.ID).suspect(endpoint, fault)
		j.e.Log.WithFields(logrus.Fields{
			"endpoint": endpoint, "reason": fault.Reason, "gen": j.generation, "after": j.after,
		}).Warn("generation failed: " + fault.Detail)
	}
}

// abandon cancels a generation that this job no longer reads. A caller that
// hung up may come back through any entry, so its generation is cancelled only
// after a while and only if nobody reads it then.
func (j *job) abandon(ctx context.Context, conn *engine.Conn, err error) {
	reason := refusal.From(err).Reason
	if reason == refusal.Stopping || j.e.isExpired() {
		return // the caller goes on reading through another entry
	}
	cancel, at := conn.Cancel, j.e.now()
	hungUp := errors.Is(ctx.Err(), context.Canceled) || reason == refusal.Canceled
	if (hungUp || j.out.delivered()) && !j.act.canceled.Load() {
		cancel, at = conn.CancelIdle, at.Add(hangupGrace)
	}
	generation := j.generation
	j.e.spawn(func() {
		if !sleepUntil(j.e.background, at, j.e.now()) {
			return
		}
		ctx, stop := context.WithTimeout(j.e.background, cancelTimeout)
		defer stop()
		if err := cancel(ctx, generation); err != nil {
			j.e.Log.WithError(err).WithField("gen", generation).Debug("generation could not be cancelled")
		}
	})
}

// sleepUntil waits until the time at and tells whether ctx is still alive.
func sleepUntil(ctx context.Context, at, now time.Time) bool {
	return sleep.For(ctx, at.Sub(now))
}
