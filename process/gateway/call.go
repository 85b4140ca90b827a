package gateway

import (
	"context"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/eelgrassdock/eelgrassdock/process/balance"
	"github.com/eelgrassdock/eelgrassdock/process/roster"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
	"github.com/eelgrassdock/eelgrassdock/request/retry"
	"github.com/eelgrassdock/eelgrassdock/version/routing"
)

const (
	defaultDeadline = 60 * time.Second       // of a request without a deadline on a route without a timeout
	onceFresh       = 250 * time.Millisecond // a request that runs once uses no connection that was idle for longer
	repeatFresh     = 3 * time.Second        // the same, of a request that may be repeated
	attemptShare    = 0.8                    // of the aim, after which a request that may be repeated is sent elsewhere
	answerMost      = 1 << 20                // bytes of a plain answer that is held until it is whole
	startHold       = 400 * time.Millisecond // covers a connection to the store and a read between regions
	comeBack        = 200 * time.Millisecond // earliest return after a refusal
	comeBackSpread  = 300 * time.Millisecond // callers that were refused together return spread over this
)

// pool is what this instance knows of one service of any kind.
type pool struct {
	balance balance.Balancer
	policy  retry.Policy
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

// arrived adds a request to what the service's retry budget allows.
func (g *Gateway) arrived(service string) *pool {
	p := g.pool(service)
	p.policy.Budget.Resize(g.budgetSize())
	p.policy.Budget.Success()
	return p
}

// call passes a request to replicas of a plain service.
func (g *Gateway) call(ctx context.Context, j *job) error {
	p := g.arrived(j.service)
	var (
		tried []string
		maybe bool // an attempt may have run
		sends int
	)
	for attempt := 1; ; attempt++ {
		e, ok := p.balance.Pick(g.Roster.List(j.service), tried)
		if !ok {
			fault := refusal.New(refusal.NoEndpoint, refusal.NotRun, "no replica of service "+j.service+" can be used")
			fault.RetryAt = comeBackAt(time.Now())
			return refusal.Doubt(fault, maybe)
		}
		limited, cancel := g.patience(ctx, j, sends)
		kept, fault := g.try(limited, j, p, e)
		cancel()
		if fault == nil {
			observe(callTime, time.Since(j.Arrived))
			return g.answered(j, kept, e, attempt)
		}
		tried = append(tried, e.ID)
		if !fault.unsent {
			sends++
		}
		maybe = maybe || fault.Outcome != refusal.NotRun
		g.decided(j, "attempt_failed", logrus.Fields{
			"endpoint": e.ID, "reason": fault.Reason, "outcome": fault.Outcome.String(), "detail": fault.Detail, "attempt": attempt,
			"left": time.Until(j.deadline).Milliseconds(), "budget": int(p.policy.Budget.Tokens()),
		})
		if ctx.Err() != nil || sends >= max(j.route.Attempts, 1) {
			return g.giveUp(j, kept, fault, maybe, e, attempt)
		}
		if fault.unsent {
			// The service saw nothing of this attempt, so it costs it nothing.
			refusal.CountRetry(fault.Reason)
			continue
		}
		at, ok := p.policy.Next(fault.Outcome, fault.Reason, j.route.Repeatable(), attempt, j.deadline, time.Now())
		if !ok || !waitUntil(ctx, at) {
			return g.giveUp(j, kept, fault, maybe, e, attempt)
		}
	}
}

// patience bounds an attempt of a request that may be sent to another replica
// afterwards, so that a replica that hangs leaves time for one that does not.
func (g *Gateway) patience(ctx context.Context, j *job, sends int) (context.Context, context.CancelFunc) {
	if !j.route.Repeatable() || sends+1 >= j.route.Attempts || j.route.Aim <= 0 {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, time.Duration(float64(j.route.Aim)*attemptShare))
}

type (
	// whole is a plain answer that was read to its end, or to a size from which
	// it is passed on while it is read.
	whole struct {
		status int
		header http.Header
		body   []byte
		rest   *Answer // nil if body is all
		length int64
	}

	// fault is why an attempt gave no answer to pass on.
	fault struct {
		*refusal.Error
		unsent bool // not a byte reached the endpoint, or another one has its address
	}
)

// try makes one attempt. With a fault it may give an answer as well: that of a
// replica that ran the request and failed.
func (g *Gateway) try(ctx context.Context, j *job, p *pool, e roster.Endpoint) (*whole, *fault) {
	begun := time.Now()
	since := begun.Add(-repeatFresh)
	if j.route.Kind == routing.Once {
		since = begun.Add(-onceFresh)
	}
	answer, err := g.Backend.Send(ctx, Call{
		Request: j.Request, Endpoint: e, Account: j.account, Deadline: j.deadline, Since: since, Rank: j.rank, After: j.After,
	})
	if err != nil {
		f := refusal.From(err)
		unsent := f.Reason == refusal.Dial
		p.balance.Done(e.ID, balance.Result{Took: time.Since(begun), Failed: ctx.Err() == nil, Dead: unsent})
		return nil, &fault{Error: f, unsent: unsent}
	}
	g.learn(e, answer)
	if answer.NotRun {
		answer.Close(false)
		p.balance.Done(e.ID, balance.Result{Refused: true})
		return nil, &fault{
			Error:  refusal.New(refusal.Rejected, refusal.NotRun, "replica did not run the request"),
			unsent: answer.Elsewhere,
		}
	}
	a, err := hold(answer)
	if err != nil {
		if ctx.Err() != nil {
			err = errors.CombineErrors(ctx.Err(), err)
		}
		p.balance.Done(e.ID, balance.Result{Took: time.Since(begun), Failed: ctx.Err() == nil})
		return nil, &fault{Error: refusal.Failed(err, true)}
	}
	failed := a.status >= http.StatusInternalServerError
	p.balance.Done(e.ID, balance.Result{Took: time.Since(begun), Failed: failed})
	if failed && j.route.Repeatable() {
		return a, &fault{Error: refusal.New(refusal.Broken, refusal.Unknown, "replica answered "+strconv.Itoa(a.status))}
	}
	return a, nil
}

// hold reads an answer up to answerMost bytes.
func hold(answer *Answer) (*whole, error) {
	a := &whole{status: answer.Status, header: answer.Header, length: answer.Length}
	body, err := io.ReadAll(io.LimitReader(answer.Body, answerMost))
	if err != nil {
		answer.Close(false)
		return nil, err
	}
	a.body = body
	if len(body) == answerMost {
		a.rest = answer
		return a, nil
	}
	answer.Close(true)
	return a, nil
}

// learn takes in what an answer says of its endpoint.
func (g *Gateway) learn(e roster.Endpoint, answer *Answer) {
	if answer.Elsewhere {
		g.Roster.MarkLeaving(e.ID, roster.FromAddress)
		g.Backend.Forget(e.Addr)
	}
}

// answered passes the answer of a replica on, which may tell of its failure.
func (g *Gateway) answered(j *job, a *whole, e roster.Endpoint, attempt int) error {
	event := "served"
	if a.status >= http.StatusInternalServerError {
		event = "failure_passed_on"
	}
	g.decided(j, event, logrus.Fields{
		"endpoint": e.ID, "status": a.status, "attempt": attempt, "took": time.Since(j.Arrived).Milliseconds(),
	})
	return g.deliver(j, a)
}

// deliver writes a plain answer.
func (g *Gateway) deliver(j *job, a *whole) error {
	maps.Copy(j.w.Header(), a.header)
	if a.length >= 0 {
		j.w.Header().Set("Content-Length", strconv.FormatInt(a.length, 10))
	}
	j.w.WriteHeader(a.status)
	if _, err := j.w.Write(a.body); err != nil {
		if a.rest != nil {
			a.rest.Close(false)
		}
		return errors.Wrap(ErrCut, "caller left: "+err.Error())
	}
	if a.rest == nil {
		return nil
	}
	_, err := io.Copy(j.w, a.rest.Body)
	a.rest.Close(err == nil)
	if err != nil {
		return errors.Wrap(ErrCut, "long answer: "+err.Error())
	}
	return nil
}

// giveUp ends a request whose last attempt failed: with the replica's own
// failure if there is one, else with what is known.
func (g *Gateway) giveUp(j *job, kept *whole, f *fault, maybe bool, e roster.Endpoint, attempt int) error {
	if kept != nil {
		return g.answered(j, kept, e, attempt)
	}
	if f.Outcome == refusal.NotRun && f.RetryAt.IsZero() {
		f.RetryAt = comeBackAt(time.Now())
	}
	return refusal.Doubt(f.Error, maybe)
}
