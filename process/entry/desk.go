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
	suspectTime  = 3 * time.Second // an endpoint that failed gets no new work for this long
	overloadWait = time.Second     // when to come back after a full queue
	largePrompt  = 8 << 10         // bytes from which a prompt is compared with the endpoints' memory
)

type (
	// desk places the generations of one service: at once if an endpoint can
	// take them, else from a queue.
	desk struct {
		e       *Entry
		service string
		sched   *placement.Scheduler
		desk    dispatch.Desk
		next    atomic.Uint64
		used    atomic.Int64 // Unix ms of the last use
		start   sync.Once

		mu    sync.Mutex
		watch map[string]*watch
	}

	// slot is a reservation at an endpoint. It is released once.
	slot struct {
		desk     *desk
		endpoint *config.Endpoint
		model    string
		ticket   placement.Ticket
		tokens   int
	}
)

// desk gives the desk of a service.
func (e *Entry) desk(service string) *desk {
	if d, ok := e.desks.Load(service); ok {
		d.(*desk).prepare()
		return d.(*desk)
	}
	d := &desk{e: e, service: service, watch: map[string]*watch{}}
	d.sched = &placement.Scheduler{
		Service: service, Region: e.Settings.Region, EntryPlace: e.Settings.Place, Length: &e.lengths,
		PrefixTokens: engine.BlockBytes / engine.BytesPerToken, Seed: hashID(e.id + service),
	}
	if s := e.config().Service(service); s != nil {
		d.sched.Policy = placement.Policy(s.Policy)
		d.sched.Weights = placement.Weights(s.Weights)
	}
	d.desk.Service, d.desk.Sched, d.desk.Now, d.desk.Held = service, d.sched, e.now, func() { held.Add(1) }
	d.desk.Queue.Weight = e.accountWeight
	d.used.Store(e.now().UnixMilli())
	actual, _ := e.desks.LoadOrStore(service, d)
	d = actual.(*desk)
	d.prepare()
	return d
}

// prepare starts the desk. Requests that come at the same time wait for it:
// they would find no endpoint before.
func (d *desk) prepare() {
	d.start.Do(func() {
		regions.Set(d.service, expvar.Func(func() any { return d.sched.Bytes() }))
		d.configure(d.e.config())
		d.e.spawn(func() { d.run(d.e.background) })
	})
}

// request describes a job to the scheduler.
func (d *desk) request(j *job) placement.Request {
	return placement.Request{
		ID: d.next.Add(1), Account: j.call.account.ID, Prompt: engine.EstimateTokens(j.req.Prompt),
		Prefix: engine.PrefixHashes(j.req.Prompt), Max: j.req.Max, Rank: j.call.account.Rank,
		Arrived: j.call.arrived, Deadline: j.call.deadline, Exclude: j.exclude,
	}
}

// acquire waits until an endpoint whose state is known can take the job. An
// error is a *refusal.Error with outcome NotRun.
func (d *desk) acquire(ctx context.Context, j *job) (*slot, error) {
	d.use()
	for {
		if err := d.tooLarge(j.req.Prompt); err != nil {
			return nil, err
		}
		s, err := d.reserve(ctx, j)
		if err != nil || d.confirm(s.endpoint.ID) && d.holds(s.endpoint.ID, j.req.Prompt) {
			return s, err
		}
		s.release(false)
		j.exclude = append(j.exclude, s.endpoint.ID)
	}
}

// tooLarge refuses a prompt that fits into the memory of no endpoint. It would
// otherwise wait for memory that never becomes free.
func (d *desk) tooLarge(prompt string) error {
	if len(prompt) < largePrompt {
		return nil
	}
	watches := d.watches()
	if len(watches) == 0 || slices.ContainsFunc(watches, func(w *watch) bool { return w.holds(prompt) }) {
		return nil
	}
	return refusal.New(refusal.BadRequest, refusal.NotRun, fmt.Sprintf(
		"prompt of about %d tokens is larger than the memory of every endpoint of service %q", engine.EstimateTokens(prompt), d.service))
}

// holds tells whether a prompt fits into the memory of an endpoint.
func (d *desk) holds(id, prompt string) bool {
	if len(prompt) < largePrompt {
		return true
	}
	w := d.watchOf(id)
	return w == nil || w.holds(prompt)
}

func (d *desk) reserve(ctx context.Context, j *job) (*slot, error) {
	request := d.request(j)
	item := &queue.Item{
		Account: j.call.account.ID, Caller: j.call.caller, Rank: j.call.account.Rank,
		Arrived: j.call.arrived, Deadline: j.call.deadline, Cost: float64(request.Prompt),
	}
	decision, err := d.desk.Reserve(ctx, request, item)
	if err != nil {
		return nil, err
	}
	return d.slot(j, decision)
}

// slot turns a decision into a slot or a refusal.
func (d *desk) slot(j *job, decision placement.Decision) (*slot, error) {
	if decision.Endpoint == "" {
		if !d.e.now().Before(j.call.deadline) {
			return nil, refusal.New(refusal.Deadline, refusal.NotRun, "deadline passed while waiting for an endpoint")
		}
		fault := refusal.New(refusal.NoEndpoint, refusal.NotRun, "no endpoint of service \""+d.service+"\" can be used")
		fault.RetryAt = d.e.now().Add(overloadWait)
		return nil, fault
	}
	s := &slot{desk: d, ticket: decision.Ticket, model: j.service.Model}
	if s.model == "" {
		s.model = j.service.ID
	}
	if s.endpoint = d.e.config().Endpoint(decision.Endpoint); s.endpoint == nil {
		s.endpoint = j.call.index.Endpoint(decision.Endpoint)
	}
	if s.endpoint == nil {
		s.release(false)
		return nil, refusal.New(refusal.NoEndpoint, refusal.NotRun, "endpoint was removed from the configuration")
	}
	return s, nil
}

// run offers waiting work and watches the endpoints until ctx ends.
func (d *desk) run(ctx context.Context) {
	ticker := time.NewTicker(dispatch.Poll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			d.stopWatches()
			return
		case <-ticker.C:
			d.desk.Offer()
		}
	}
}

// suspect keeps new work from an endpoint that failed.
func (d *desk) suspect(endpoint string, fault *refusal.Error) {
	if fault.Reason == refusal.GenerationLost {
		return
	}
	d.sched.Suspect(endpoint, d.e.now().Add(suspectTime))
	d.e.Log.WithFields(logrus.Fields{"endpoint": endpoint, "reason": fault.Reason}).Debug("endpoint suspected")
}

func (s *slot) progress(n int) {
	s.tokens = n
	// The scheduler's estimate changes little from token to token.
	if n&7 == 1 {
		s.desk.sched.Progress(s.ticket, n, s.desk.e.now())
	}
}

// release gives the reservation back. Completed generations teach lengths.
func (s *slot) release(completed bool) {
	s.desk.sched.Done(s.ticket, s.tokens, completed, s.desk.e.now())
	s.desk.desk.Offer()
}

// nextAttempt decides about the repetition of a failed attempt, counted from 0.
func (e *Entry) nextAttempt(service string, fault *refusal.Error, idempotent bool, attempt int, deadline time.Time) (time.Time, bool) {
	policy := e.retryPolicy(service)
	at, ok := policy.Next(fault.Outcome, fault.Reason, idempotent, attempt+1, deadline, e.now())
	return at, ok
}

func (e *Entry) succeeded(service string) { e.retryPolicy(service).Budget.Success() }

func (e *Entry) retryPolicy(service string) *retry.Policy {
	if p, ok := e.retries.Load(service); ok {
		return p.(*retry.Policy)
	}
	p, _ := e.retries.LoadOrStore(service, &retry.Policy{})
	return p.(*retry.Policy)
}
