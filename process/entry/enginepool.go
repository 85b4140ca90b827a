package entry

import (
	"context"
	"expvar"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrassdock/eelgrassdock/connection/engine"
	"github.com/eelgrassdock/eelgrassdock/process/dispatch"
	"github.com/eelgrassdock/eelgrassdock/process/placement"
	"github.com/eelgrassdock/eelgrassdock/process/queue"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
	"github.com/eelgrassdock/eelgrassdock/request/retry"
	"github.com/eelgrassdock/eelgrassdock/version/config"
)

const (
	suspectTime  = 3 * time.Second // how long an endpoint is avoided after a failure
	overloadWait = time.Second     // retry time sent to callers if no endpoint is usable
	largePrompt  = 8 << 10         // prompts of at least this many bytes are compared with the endpoints' memory
)

type (
	// enginePool holds the endpoints of one service that this entry uses. It
	// polls their state and places the generations of the service on them: at
	// once if an endpoint has room, otherwise from a queue. For a plain service
	// it only polls the replicas.
	enginePool struct {
		e          *Entry
		service    string
		sched      *placement.Scheduler
		dispatcher dispatch.Dispatcher
		lastID     atomic.Uint64 // last request ID
		lastUsed   atomic.Int64  // Unix ms of the last use
		start      sync.Once

		mu        sync.Mutex
		watchByID map[string]*watch // by endpoint ID
	}

	// slot is a reservation at an endpoint. It must be released exactly once.
	slot struct {
		pool     *enginePool
		endpoint *config.Endpoint
		model    string
		ticket   placement.Ticket
		tokens   int
	}
)

// pool returns the pool of a service, which it creates and starts on first use.
func (e *Entry) pool(service string) *enginePool {
	if p, ok := e.pools.Load(service); ok {
		p.(*enginePool).ensureStarted()
		return p.(*enginePool)
	}
	p := &enginePool{e: e, service: service, watchByID: map[string]*watch{}}
	p.sched = &placement.Scheduler{
		Service: service, Region: e.Settings.Region, EntryPlace: e.Settings.Place, Length: &e.lengths,
		PrefixTokens: engine.BlockBytes / engine.BytesPerToken, Seed: hashID(e.id + service),
	}
	if s := e.config().Service(service); s != nil {
		p.sched.Policy = placement.Policy(s.Policy)
		p.sched.Weights = placement.Weights(s.Weights)
	}
	p.dispatcher.Service, p.dispatcher.Sched, p.dispatcher.Now, p.dispatcher.OnWait = service, p.sched, e.now, func() { held.Add(1) }
	p.dispatcher.Queue.Weight = e.accountWeight
	p.lastUsed.Store(e.now().UnixMilli())
	actual, _ := e.pools.LoadOrStore(service, p)
	p = actual.(*enginePool)
	p.ensureStarted()
	return p
}

// ensureStarted starts the pool once. Concurrent requests wait for the start,
// because they would find no endpoint before it.
func (p *enginePool) ensureStarted() {
	p.start.Do(func() {
		interRegionBytes.Set(p.service, expvar.Func(func() any { return p.sched.Bytes() }))
		p.configure(p.e.config())
		p.e.spawn(func() { p.run(p.e.background) })
	})
}

// request returns the scheduler's description of a job.
func (p *enginePool) request(j *job) placement.Request {
	return placement.Request{
		ID: p.lastID.Add(1), Account: j.call.account.ID, Prompt: engine.EstimateTokens(j.req.Prompt),
		Prefix: engine.PrefixHashes(j.req.Prompt), Max: j.req.Max, Rank: j.call.account.Rank,
		Arrived: j.call.arrived, Deadline: j.call.deadline, Exclude: slices.Concat(j.exclude, j.avoid),
	}
}

// acquire reserves a slot for the job and waits for one if necessary. The state
// of the chosen endpoint is polled if it is too old; an endpoint that turns out
// to be unusable is excluded, unless it is only silent. Errors are of type
// *refusal.Error with the outcome NotRun.
func (p *enginePool) acquire(ctx context.Context, j *job) (*slot, error) {
	p.markUsed()
	for {
		if err := p.tooLarge(j.req.Prompt); err != nil {
			return nil, err
		}
		s, err := p.reserve(ctx, j)
		if err != nil || p.confirmUsable(s.endpoint.ID) && p.promptFits(s.endpoint.ID, j.req.Prompt) {
			return s, err
		}
		s.release(false)
		if !p.isSilent(s.endpoint.ID) {
			j.exclude = append(j.exclude, s.endpoint.ID)
		}
	}
}

// tooLarge returns a refusal for a prompt that fits into the memory of no
// endpoint. Such a request would otherwise wait for memory that never becomes
// free.
func (p *enginePool) tooLarge(prompt string) error {
	if len(prompt) < largePrompt {
		return nil
	}
	watches := p.watches()
	if len(watches) == 0 || slices.ContainsFunc(watches, func(w *watch) bool { return w.promptFits(prompt) }) {
		return nil
	}
	return refusal.New(refusal.BadRequest, refusal.NotRun, fmt.Sprintf(
		"prompt of about %d tokens is larger than the memory of every endpoint of service %q", engine.EstimateTokens(prompt), p.service))
}

// promptFits reports whether a prompt fits into the memory of an endpoint.
func (p *enginePool) promptFits(id, prompt string) bool {
	if len(prompt) < largePrompt {
		return true
	}
	w := p.findWatch(id)
	return w == nil || w.promptFits(prompt)
}

// reserve waits for the scheduler's decision about a job.
func (p *enginePool) reserve(ctx context.Context, j *job) (*slot, error) {
	request := p.request(j)
	item := &queue.Item{
		Account: j.call.account.ID, Caller: j.call.caller, Rank: j.call.account.Rank,
		Arrived: j.call.arrived, Deadline: j.call.deadline, Cost: float64(request.Prompt),
	}
	decision, err := p.dispatcher.Reserve(ctx, request, item)
	if err != nil {
		return nil, err
	}
	if decision.None && len(j.avoid) > 0 {
		j.avoid = nil
		return p.reserve(ctx, j)
	}
	return p.slot(j, decision)
}

// slot converts a decision of the scheduler to a slot or a refusal.
func (p *enginePool) slot(j *job, decision placement.Decision) (*slot, error) {
	if decision.Endpoint == "" {
		if !p.e.now().Before(j.call.deadline) {
			return nil, refusal.New(refusal.Deadline, refusal.NotRun, "deadline passed while waiting for an endpoint")
		}
		fault := refusal.New(refusal.NoEndpoint, refusal.NotRun, "no endpoint of service \""+p.service+"\" can be used")
		fault.RetryAt = p.e.now().Add(overloadWait)
		return nil, fault
	}
	s := &slot{pool: p, ticket: decision.Ticket, model: j.service.Model}
	if s.model == "" {
		s.model = j.service.ID
	}
	if s.endpoint = p.e.config().Endpoint(decision.Endpoint); s.endpoint == nil {
		s.endpoint = j.call.index.Endpoint(decision.Endpoint)
	}
	if s.endpoint == nil {
		s.release(false)
		return nil, refusal.New(refusal.NoEndpoint, refusal.NotRun, "endpoint was removed from the configuration")
	}
	return s, nil
}

// run periodically offers the queued requests to the endpoints until ctx ends,
// then stops the polls.
func (p *enginePool) run(ctx context.Context) {
	ticker := time.NewTicker(dispatch.PollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.stopWatches()
			return
		case <-ticker.C:
			p.dispatcher.Offer()
		}
	}
}

// suspect excludes a failed endpoint from new work for suspectTime. A lost
// generation alone is no reason to suspect its endpoint.
func (p *enginePool) suspect(endpoint string, fault *refusal.Error) {
	if fault.Reason == refusal.GenerationLost {
		return
	}
	p.sched.Suspect(endpoint, p.e.now().Add(suspectTime))
	p.e.Log.WithFields(logrus.Fields{"endpoint": endpoint, "reason": fault.Reason}).Debug("endpoint suspected")
}

// progress records that the generation has produced n tokens.
func (s *slot) progress(n int) {
	s.tokens = n
	// Every eighth token is reported, because the scheduler's estimate changes
	// little from token to token.
	if n&7 == 1 {
		s.pool.sched.Progress(s.ticket, n, s.pool.e.now())
	}
}

// boot returns what identifies the process of the engine, as it last told, or an empty
// string.
func (s *slot) boot() string {
	if w := s.pool.findWatch(s.endpoint.ID); w != nil {
		return w.boot()
	}
	return ""
}

// release returns the reservation. The length of a completed generation is used
// to predict later ones.
func (s *slot) release(completed bool) {
	s.pool.sched.Done(s.ticket, s.tokens, completed, s.pool.e.now())
	s.pool.dispatcher.Offer()
}

// nextAttempt decides whether and when a failed attempt is repeated. Attempts
// are counted from 0. A repeat takes nothing from the retry budget if no connection was
// made in time: that put no load on the service, and took so long that the repeat puts
// little on it.
func (e *Entry) nextAttempt(service string, fault *refusal.Error, idempotent bool, attempt int, deadline time.Time) (time.Time, bool) {
	policy := e.retryPolicy(service)
	if fault.Reason == refusal.Dial && isNoResponse(fault) {
		at := e.now().Add(policy.Backoff.Wait(attempt + 1))
		if attempt+1 >= retry.DefaultAttempts || !at.Before(deadline) {
			return at, false
		}
		refusal.CountRetry(fault.Reason)
		return at, true
	}
	at, ok := policy.Next(fault.Outcome, fault.Reason, idempotent, attempt+1, deadline, e.now())
	return at, ok
}

func (e *Entry) recordSuccess(service string) { e.retryPolicy(service).Budget.Success() }

func (e *Entry) retryPolicy(service string) *retry.Policy {
	if p, ok := e.retries.Load(service); ok {
		return p.(*retry.Policy)
	}
	p, _ := e.retries.LoadOrStore(service, &retry.Policy{})
	return p.(*retry.Policy)
}
