package gateway

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/eelgrassdock/eelgrassdock/process/admission"
	"github.com/eelgrassdock/eelgrassdock/process/dispatch"
	"github.com/eelgrassdock/eelgrassdock/process/loads"
	"github.com/eelgrassdock/eelgrassdock/process/placement"
	"github.com/eelgrassdock/eelgrassdock/process/quarantine"
	"github.com/eelgrassdock/eelgrassdock/process/queue"
	"github.com/eelgrassdock/eelgrassdock/process/roster"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
	"github.com/eelgrassdock/eelgrassdock/version/routing"
)

const (
	maxSuspectTime = 8 * time.Second // limit of the doubling of suspectTime
	suspectTime    = time.Second     // an engine that failed once gets no new work for this long; doubles with each failure in a row
	// farCost is the cost in seconds of an engine in another region: two round
	// trips, one to connect and one for the request, and as much again when a
	// generation continues at another engine.
	farCost          = 0.15
	memoryCost       = 0.5         // seconds of stall time that a full engine costs more than an empty one
	queueTimeShare   = 0.6         // share of the latency target for which a request waits for an engine
	defaultQueueTime = time.Second // time that a request waits for an engine on a route without a latency target
)

// enginePool places the generations of one service on its engines.
type enginePool struct {
	g          *Gateway
	service    string
	sched      *placement.Scheduler
	dispatcher dispatch.Dispatcher
	start      sync.Once
	waiting    waitCounter // requests in acquire

	mu       sync.Mutex
	failures map[string]int           // failures in a row, by engine
	checking map[string]bool          // engines that are being probed
	avoided  map[string]bool          // engines among them that did not answer a request
	down     map[string]error         // engines among them that do not answer, with the error of the latest probe
	gone     map[string]bool          // engines among them that refuse connections or count as lost
	reported map[string]bool          // engines among them that another instance does not reach
	back     map[string]chan struct{} // closed when another instance gets an answer, by engine
}

func (g *Gateway) enginePool(service string, engine *routing.Engine) *enginePool {
	if d, ok := g.enginePools.Load(service); ok {
		return d.(*enginePool)
	}
	d := &enginePool{
		g: g, service: service, failures: map[string]int{},
		checking: map[string]bool{}, avoided: map[string]bool{}, down: map[string]error{}, gone: map[string]bool{},
		reported: map[string]bool{}, back: map[string]chan struct{}{},
	}
	d.sched = &placement.Scheduler{
		Service: service, Region: g.Settings.Region, EntryPlace: g.Settings.Place, Length: &g.lengths,
		Seed: xxhash.Sum64String(g.id + service), Violation: g.logViolation, Chunked: true,
		MemoryCost: memoryCost, FarCost: farCost, LoadAge: g.exchange.Age(), Limited: g.limitOf, Forecast: observeForecast,
		Parts: g.Settings.Prefix,
	}
	d.dispatcher.Service, d.dispatcher.Sched = service, d.sched
	d.dispatcher.Admission = &admission.Controller{Sched: d.sched, Seed: d.sched.Seed}
	actual, _ := g.enginePools.LoadOrStore(service, d)
	d = actual.(*enginePool)
	d.start.Do(func() {
		d.refresh(engine)
		g.keep(d.offerLoop)
	})
	return d
}

// refresh passes the engines of the roster and the load of the other instances
// to the scheduler.
func (p *enginePool) refresh(engine *routing.Engine) {
	list := p.g.Roster.List(p.service)
	endpoints := make([]placement.Endpoint, 0, len(list))
	for _, e := range list {
		endpoints = append(endpoints, placement.Endpoint{
			ID: e.ID, Place: e.Place, Region: p.g.Settings.RegionOf(e.Place), Tokens: engine.Tokens, Born: e.Born,
			Drain: e.Closed() || p.isGone(e.ID), Slots: e.Slots,
		})
	}
	p.sched.SetEndpoints(endpoints)
	for _, e := range list {
		p.setRemoteLoad(p.g.board.Sum(e.ID))
	}
}

// setRemoteLoad passes the load of the other instances on an engine to the
// scheduler.
func (p *enginePool) setRemoteLoad(l loads.Load) {
	p.sched.SetOthers(placement.Work{
		Endpoint: l.Endpoint, Runs: l.Runs, Tokens: float64(l.Tokens), Copied: float64(l.Copied), Sent: float64(l.Sent),
	}, time.Now())
}

func (p *enginePool) offerLoop() {
	ticker := time.NewTicker(dispatch.PollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.g.base.Done():
			return
		case <-ticker.C:
			p.dispatcher.Offer()
		}
	}
}

// queueTime returns the time for which a request may wait for an engine.
func (j *job) queueTime() time.Duration {
	if j.route.Aim > 0 {
		return time.Duration(float64(j.route.Aim) * queueTimeShare)
	}
	return defaultQueueTime
}

// listedUntil returns the time until which a request waits for an engine to be listed if
// all are closed: a first attempt until it would be refused anyway. A repeat may be the
// rest of a stream, and waits for as long as a continuation.
func (j *job) listedUntil(tried []string, now, until time.Time) time.Time {
	if len(tried) == 0 {
		return until
	}
	return later(until, earlier(j.deadline, now.Add(continueWait)))
}

// acquire waits for an engine and reserves room for the request there. An error
// is a *refusal.Error with outcome NotRun.
func (p *enginePool) acquire(ctx context.Context, j *job, tried []string) (roster.Endpoint, placement.Ticket, error) {
	now := time.Now()
	until := now.Add(j.queueTime())
	if j.deadline.Before(until) {
		until = j.deadline
	}
	// placement uses Account only to learn and predict output lengths, which the
	// gateway does for each route, here and in PlaceCopy. The queue item has the
	// client account.
	request := placement.Request{
		Account: j.route.Name, Prompt: j.Prompt, Max: j.Max, Rank: j.rank, Arrived: now, Deadline: until, Exclude: tried,
		Regions: j.regions, Parts: p.parts(j),
	}
	if f := p.g.checkStop(j); f != nil {
		return roster.Endpoint{}, 0, f
	}
	wait, done := p.g.waitContext(ctx, j)
	defer done()
	p.waiting.add(j.regions, 1)
	defer p.waiting.add(j.regions, -1)
	for {
		if err := p.checkLimits(j, tried, until); err != nil {
			return roster.Endpoint{}, 0, err
		}
		if list := p.g.endpointsFor(j); len(list) > 0 && areEvacuated(list) {
			counters.Add("refused_all_evacuated", 1)
			return roster.Endpoint{}, 0, p.notPlaced(j, tried, now) // in the queue it could wait behind others
		}
		item := &queue.Item{
			Account: j.account, Rank: queue.MaxRank - j.rank, Arrived: now, Deadline: until, Cost: float64(j.Prompt), Regions: j.regions,
		}
		decision, refused, err := p.reserve(wait, j, request, item)
		listed := err == nil && refused == nil && decision.Endpoint == "" && p.g.awaitEndpoint(wait, j, j.listedUntil(tried, now, until))
		if wait.Err() != nil && ctx.Err() == nil {
			if decision.Endpoint != "" {
				p.sched.Done(decision.Ticket, 0, false, time.Now())
			}
			return roster.Endpoint{}, 0, p.g.refuseWaiting()
		}
		if err != nil {
			return roster.Endpoint{}, 0, err
		}
		if refused != nil {
			return roster.Endpoint{}, 0, p.refuseCrowded(j, refused, now)
		}
		if listed {
			until = later(until, earlier(j.deadline, time.Now().Add(j.queueTime())))
			request.Deadline = until
			continue
		}
		if decision.Endpoint == "" {
			return roster.Endpoint{}, 0, p.notPlaced(j, tried, now)
		}
		e, ok := p.g.Roster.Get(decision.Endpoint)
		switch {
		case !ok || e.Closed(): // since it was chosen
			request.Exclude = append(slices.Clip(request.Exclude), decision.Endpoint)
		case !p.g.allows(j, e): // its row names another place by now
			request.Exclude = append(slices.Clip(request.Exclude), decision.Endpoint)
		case p.g.limits.Take(e.ID, time.Now()):
			p.g.announce()
			return e, decision.Ticket, nil
		}
		p.sched.Done(decision.Ticket, 0, false, time.Now()) // the engine left, or another request took the grant
	}
}

// parts returns the parts of the prompt of a request, nil if they are not used to place it.
func (p *enginePool) parts(j *job) []placement.Part {
	if !p.sched.Parts || !j.route.Affinity {
		return nil
	}
	parts := make([]placement.Part, len(j.First))
	for i, part := range j.First {
		parts[i] = placement.Part{ID: quarantine.ID(j.service, part.ID), Tokens: part.Tokens}
	}
	return parts
}

// checkLimits returns a refusal if all engines that the request can use have limits and these
// allow fewer requests by until than are waiting, with this one.
func (p *enginePool) checkLimits(j *job, tried []string, until time.Time) error {
	if !p.g.limits.Any() {
		return nil
	}
	now := time.Now()
	list := p.g.endpointsFor(j)
	best, next := p.g.nextGrant(list, tried, now)
	due := 0
	for _, e := range list {
		if !e.Closed() && !slices.Contains(tried, e.ID) {
			due = min(due+p.g.limits.Due(e.ID, until, now), math.MaxInt32)
		}
	}
	if best.ID == "" || due >= p.waiting.competing(j.regions) {
		return nil
	}
	if !next.After(until) {
		next = until
	}
	return p.g.refuseLimited(j, next, now)
}

// notPlaced returns the refusal of a request that has waited for an engine since begun.
func (p *enginePool) notPlaced(j *job, tried []string, begun time.Time) error {
	if err := p.checkLimits(j, tried, time.Now()); err != nil {
		return err
	}
	if f := p.g.checkRegions(j); f != nil {
		return f
	}
	reason, detail := refusal.NoEndpoint, "no engine of service "+p.service+" can be used"
	if list := p.g.endpointsFor(j); len(list) > 0 && !areEvacuated(list) {
		reason, detail = refusal.Overload, "no engine of service "+p.service+" had memory for the request in time"
	}
	fault := refusal.New(reason, refusal.NotRun, detail)
	fault.RetryAt = p.g.returnTime(j)
	p.g.logDecision(j, "not_placed", logrus.Fields{
		"reason": reason, "waited": time.Since(begun).Milliseconds(), "queue": p.dispatcher.Queue.Len(),
	})
	return fault
}

func (p *enginePool) release(t placement.Ticket, tokens int, completed bool) {
	p.sched.Done(t, tokens, completed, time.Now())
	p.dispatcher.Offer()
	p.g.announce()
}

// suspect keeps new work from an engine that failed: for a time that doubles
// with each failure in a row, up to maxSuspectTime, and for as long as the
// engine cannot be reached.
func (p *enginePool) suspect(id string) {
	p.mu.Lock()
	n := p.failures[id]
	p.failures[id] = n + 1
	p.mu.Unlock()
	p.sched.Suspect(id, time.Now().Add(min(suspectTime<<min(n, 10), maxSuspectTime)))
	p.startCheck(id, true)
}

// clearFailures resets the failure count of an engine.
func (p *enginePool) clearFailures(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.failures, id)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
