package gateway

import (
	"context"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/eelgrassdock/eelgrassdock/connection/intake"
	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
	"github.com/eelgrassdock/eelgrassdock/process/balance"
	"github.com/eelgrassdock/eelgrassdock/process/roster"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
	"github.com/eelgrassdock/eelgrassdock/request/retry"
	"github.com/eelgrassdock/eelgrassdock/version/routing"
)

const (
	defaultDeadline   = 60 * time.Second       // for a request without a deadline on a route without a timeout
	onceMaxIdle       = 250 * time.Millisecond // longest idle time of a connection that a non-repeatable request may use
	repeatableMaxIdle = 3 * time.Second        // longest idle time of a connection that a repeatable request may use
	attemptTimeShare  = 0.8                    // share of the latency target after which a repeatable request is sent to another replica too
	attemptOverlap    = 100 * time.Millisecond // for which the earlier attempt goes on after that: covers a replica's refusal in another region
	maxBufferedAnswer = 1 << 20                // bytes of a plain answer that are buffered before it is passed on
	startupWait       = 400 * time.Millisecond // covers a connection to the store and a read from it in another region
	connectPause      = 50 * time.Millisecond  // before a further connection to a replica that accepted none
	writeReserve      = 500 * time.Millisecond // after the deadline, for the caller to receive a refusal
	minRetryDelay     = 200 * time.Millisecond // shortest retry delay sent with a refusal
	retryDelaySpread  = 300 * time.Millisecond // range of the random delay that spreads callers refused at the same time
)

// pool holds the load balancer and the retry policy of one service, plain or
// engine.
type pool struct {
	balance balance.Balancer
	policy  retry.Policy
	waiting atomic.Int32 // plain requests that wait for a replica to be listed
}

func (g *Gateway) pool(service string) *pool {
	if p, ok := g.pools.Load(service); ok {
		return p.(*pool)
	}
	p := &pool{balance: balance.Balancer{Place: g.Settings.Place, Region: g.Settings.RegionOf}}
	p.policy.Budget.Ratio = g.Settings.Retry.Ratio * budgetShare
	p.policy.Attempts = 1 << 20 // the route limits the attempts
	actual, _ := g.pools.LoadOrStore(service, p)
	return actual.(*pool)
}

// countRequest credits the retry budget of a service with one request and
// returns the service's pool.
func (g *Gateway) countRequest(service string) *pool {
	p := g.pool(service)
	p.policy.Budget.Resize(g.budgetSize())
	p.policy.Budget.Success()
	return p
}

// callReplicas sends a request to replicas of a plain service until one answers or no
// further attempt is allowed. The context caller is that of the request; ctx may end
// earlier.
func (g *Gateway) callReplicas(ctx, caller context.Context, j *job, onTrial bool) (callResult, error) {
	p := g.countRequest(j.service)
	x := &replicaAttempts{g: g, ctx: ctx, caller: caller, j: j, p: p, ended: make(chan *replicaAttempt), lasting: make(chan *replicaAttempt), closed: make(chan struct{})}
	defer x.close()
	var last *replicaAttempt // the latest that ended
	for {
		next, refused := g.pickAllowed(ctx, j, p, x.tried, onTrial && x.sends == 0)
		if refused != nil && last != nil && last.answer != nil && last.answer.rest == nil {
			return last.result(), nil
		}
		if refused != nil {
			return callResult{}, refusal.Downgrade(refused, x.mayHaveRun)
		}
		last = x.run(next)
		fault := last.fault
		if fault == nil {
			observe(callTime, time.Since(j.Arrived))
			return last.result(), nil
		}
		if ctx.Err() != nil || x.sends >= max(j.route.Attempts, 1) {
			return g.giveUp(j, last.result(), fault, x.mayHaveRun)
		}
		if fault.unsent {
			// The attempt put no load on the service, so it takes nothing from
			// the retry budget.
			refusal.CountRetry(fault.Reason)
			if fault.silent && !sleep.For(ctx, connectPause) {
				return g.giveUp(j, last.result(), fault, x.mayHaveRun)
			}
			continue
		}
		at, ok := p.policy.Next(fault.Outcome, fault.Reason, j.route.Repeatable(), last.number, j.deadline, time.Now())
		if !ok || !waitUntil(ctx, at) {
			return g.giveUp(j, last.result(), fault, x.mayHaveRun)
		}
		last.discard()
	}
}

type (
	// bufferedAnswer is a plain answer. Its body has been read to the end, or
	// up to maxBufferedAnswer bytes, after which the rest is streamed.
	bufferedAnswer struct {
		status int
		header http.Header
		body   []byte
		rest   *Answer // nil if body is complete
		length int64
	}

	// sourceReader records the error with which r failed.
	sourceReader struct {
		r   io.Reader
		err error
	}

	// callResult is the answer to a request, the replica that gave it, and the number of
	// the attempt.
	callResult struct {
		answer   *bufferedAnswer
		endpoint roster.Endpoint
		attempt  int
	}

	// fault is the reason why an attempt has no answer that can be passed on.
	fault struct {
		*refusal.Error
		unsent bool // nothing reached the endpoint, or another endpoint now has its address
		silent bool // the endpoint accepted no connection, but its host did not refuse one
		closed bool // the endpoint was closed before the request was sent
	}
)

// try makes one attempt, and calls onSent, which may be nil, when the request has been
// written. It returns both an answer and a fault if a replica
// answered a repeatable request with a server error.
func (g *Gateway) try(ctx context.Context, j *job, p *pool, e roster.Endpoint, onSent func()) (*bufferedAnswer, *fault) {
	begun := time.Now()
	since := begun.Add(-repeatableMaxIdle)
	if j.route.Kind == routing.Once {
		since = begun.Add(-onceMaxIdle)
	}
	answer, err := g.send(ctx, Call{
		Request: j.Request, Endpoint: e, Account: j.account, Deadline: j.deadline, Since: since, Rank: j.rank, After: j.After, Sent: onSent,
	})
	if errors.Is(err, ErrClosed) {
		p.balance.Done(e.ID, balance.Result{Refused: true})
		return nil, &fault{Error: refusal.From(err), unsent: true, closed: true}
	}
	if err != nil {
		f := attemptError(ctx, refusal.From(err))
		unsent := f.Reason == refusal.Dial
		p.balance.Done(e.ID, balance.Result{Took: g.Stalls.RanSince(begun), Failed: ctx.Err() == nil, ConnectFailed: unsent})
		return nil, &fault{Error: f, unsent: unsent, silent: unsent && !errors.Is(err, ErrRefused)}
	}
	g.checkAddress(e, answer)
	if answer.NotRun {
		answer.Close(false)
		p.balance.Done(e.ID, balance.Result{Refused: true})
		return nil, &fault{
			Error:  refusal.New(refusal.Rejected, refusal.NotRun, "replica did not run the request"),
			unsent: answer.AddressReused,
		}
	}
	a, err := bufferAnswer(answer, j.answers)
	if err != nil {
		if ctx.Err() != nil {
			err = errors.CombineErrors(ctx.Err(), err)
		}
		p.balance.Done(e.ID, balance.Result{Took: g.Stalls.RanSince(begun), Failed: ctx.Err() == nil})
		return nil, &fault{Error: attemptError(ctx, refusal.FromCallError(err, true))}
	}
	failed := a.status >= http.StatusInternalServerError
	pauses := !answer.RetryAt.IsZero() // turned away, which is no failure
	p.balance.Done(e.ID, balance.Result{Took: g.Stalls.RanSince(begun), Failed: failed && !pauses, Refused: pauses})
	if failed && j.route.Repeatable() {
		return a, &fault{Error: refusal.New(refusal.Broken, refusal.Unknown, "replica answered "+strconv.Itoa(a.status))}
	}
	return a, nil
}

// bufferAnswer reads an answer up to maxBufferedAnswer bytes, or as far as there is memory
// for it.
func bufferAnswer(answer *Answer, charges *intake.Account) (*bufferedAnswer, error) {
	a := &bufferedAnswer{status: answer.Status, header: answer.Header, length: answer.Length}
	body, whole, err := intake.Buffer(answer.Body, answer.Length, maxBufferedAnswer, charges)
	if err != nil {
		answer.Close(false)
		return nil, err
	}
	a.body = body
	if !whole {
		a.rest = answer
		return a, nil
	}
	answer.Close(true)
	return a, nil
}

// checkAddress marks an endpoint as leaving, and closes the kept connections to
// its address, if the answer shows that another endpoint has this address.
func (g *Gateway) checkAddress(e roster.Endpoint, answer *Answer) {
	if answer.AddressReused {
		g.Roster.MarkLeaving(e.ID, e.Born, roster.FromAddress)
		g.Backend.CloseConnections(e.Addr)
	}
}

// finish logs the answer of a replica, which may be a server error, and writes
// it to the caller.
func (g *Gateway) finish(j *job, a *bufferedAnswer, e roster.Endpoint, attempt int) error {
	event := "served"
	if a.status >= http.StatusInternalServerError {
		event = "failure_passed_on"
	}
	g.logDecision(j, event, logrus.Fields{
		"endpoint": e.ID, "status": a.status, "attempt": attempt, "took": time.Since(j.Arrived).Milliseconds(),
	})
	return g.writeAnswer(j, a, e)
}

// writeAnswer writes a plain answer to the caller.
func (g *Gateway) writeAnswer(j *job, a *bufferedAnswer, e roster.Endpoint) error {
	maps.Copy(j.w.Header(), a.header)
	if a.length >= 0 {
		j.w.Header().Set("Content-Length", strconv.FormatInt(a.length, 10))
	}
	j.w.WriteHeader(a.status)
	if _, err := j.w.Write(a.body); err != nil {
		if a.rest != nil {
			a.rest.Close(false)
		}
		return CutByWrite(err)
	}
	if a.rest == nil {
		return nil
	}
	source := &sourceReader{r: a.rest.Body}
	_, err := io.Copy(j.w, source)
	a.rest.Close(err == nil)
	switch {
	case source.err != nil:
		return &CutError{Cause: CutByEndpoint, Err: errors.Wrap(source.err, "answer of "+e.ID)}
	case err != nil:
		return CutByWrite(err)
	}
	return nil
}

// Read reads from r and records a failure.
func (s *sourceReader) Read(p []byte) (int, error) {
	n, err := s.r.Read(p)
	if err != nil && err != io.EOF {
		s.err = err
	}
	return n, err
}

// giveUp returns the result of a request whose last attempt failed: the server error of
// the replica if there is one, else the error of that attempt. The outcome is unknown if
// an earlier attempt may have run.
func (g *Gateway) giveUp(j *job, last callResult, f *fault, mayHaveRun bool) (callResult, error) {
	if last.answer != nil {
		return last, nil
	}
	if f.Outcome == refusal.NotRun && f.RetryAt.IsZero() {
		f.RetryAt = g.returnTime(j)
	}
	return callResult{}, refusal.Downgrade(f.Error, mayHaveRun)
}
