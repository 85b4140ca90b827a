package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/eelgrassdock/eelgrassdock/process/dispatch"
	"github.com/eelgrassdock/eelgrassdock/process/loads"
	"github.com/eelgrassdock/eelgrassdock/process/placement"
	"github.com/eelgrassdock/eelgrassdock/process/queue"
	"github.com/eelgrassdock/eelgrassdock/process/roster"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
	"github.com/eelgrassdock/eelgrassdock/version/routing"
)

const (
	suspectMost = 8 * time.Second // longest time that a failed engine gets no new work
	suspectTime = time.Second     // an engine that failed gets no new work for this long
	// farCost is two round trips between regions, one to connect and one for the
	// request, and as much again when a generation goes on at another engine.
	farCost     = 0.15
	memoryCost  = 0.5         // seconds of stall that a full engine costs against an empty one
	holdShare   = 0.6         // share of the aim for which a request waits for an engine
	defaultHold = time.Second // the same on a route without an aim
)

// desk places the generations of one service.
type desk struct {
	g       *Gateway
	service string
	sched   *placement.Scheduler
	desk    dispatch.Dispatcher
	start   sync.Once

	mu      sync.Mutex
	failed  map[string]int  // engines that failed, with the number of times in a row
	checked map[string]bool // engines that are being checked
	down    map[string]bool // those of them that cannot be reached
}

func (g *Gateway) desk(service string, engine *routing.Engine) *desk {
	if d, ok := g.desks.Load(service); ok {
		return d.(*desk)
	}
	d := &desk{g: g, service: service, failed: map[string]int{}, checked: map[string]bool{}, down: map[string]bool{}}
	d.sched = &placement.Scheduler{
		Service: service, Region: g.Settings.Region, EntryPlace: g.Settings.Place, Length: &g.lengths,
		Seed: xxhash.Sum64String(g.id + service), Violation: g.violated, Chunked: true,
		MemoryCost: memoryCost, FarCost: farCost,
	}
	d.desk.Service, d.desk.Sched = service, d.sched
	actual, _ := g.desks.LoadOrStore(service, d)
	d = actual.(*desk)
	d.start.Do(func() {
		d.refresh(engine)
		g.spawn(d.offer)
	})
	return d
}

// refresh hands the known engines and the load of other instances to the
// scheduler.
func (d *desk) refresh(engine *routing.Engine) {
	list := d.g.Roster.List(d.service)
	endpoints := make([]placement.Endpoint, 0, len(list))
	for _, e := range list {
		endpoints = append(endpoints, placement.Endpoint{
			ID: e.ID, Place: e.Place, Region: d.g.Settings.RegionOf(e.Place), Tokens: engine.Tokens, Drain: e.Leaving,
		})
	}
	d.sched.SetEndpoints(endpoints)
	for _, e := range list {
		d.others(d.g.board.Sum(e.ID))
	}
}

// others takes in what other instances have at an engine.
func (d *desk) others(l loads.Load) {
	d.sched.SetOthers(placement.Work{
		Endpoint: l.Endpoint, Runs: l.Runs, Tokens: float64(l.Tokens), Copied: float64(l.Copied), Sent: float64(l.Sent),
	}, time.Now())
}

func (d *desk) offer() {
	ticker := time.NewTicker(dispatch.PollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.g.base.Done():
			return
		case <-ticker.C:
			d.desk.Offer()
		}
	}
}

// acquire waits for an engine. An error is a *refusal.Error with outcome NotRun.
func (d *desk) acquire(ctx context.Context, j *job, tried []string) (roster.Endpoint, placement.Ticket, error) {
	now := time.Now()
	hold := defaultHold
	if j.route.Aim > 0 {
		hold = time.Duration(float64(j.route.Aim) * holdShare)
	}
	until := now.Add(hold)
	if j.deadline.Before(until) {
		until = j.deadline
	}
	request := placement.Request{
		Account: j.route.Name, Prompt: j.Prompt, Max: j.Max, Rank: j.rank, Arrived: now, Deadline: until, Exclude: tried,
	}
	item := &queue.Item{
		Account: j.account, Rank: queue.MaxRank - j.rank, Arrived: now, Deadline: until, Cost: float64(j.Prompt),
	}
	decision, err := d.desk.Reserve(ctx, request, item)
	if err != nil {
		return roster.Endpoint{}, 0, err
	}
	if decision.Endpoint == "" {
		reason, detail := refusal.NoEndpoint, "no engine of service "+d.service+" can be used"
		if len(d.g.Roster.List(d.service)) > 0 {
			reason, detail = refusal.Overload, "no engine of service "+d.service+" had memory for the request in time"
		}
		fault := refusal.New(reason, refusal.NotRun, detail)
		fault.RetryAt = comeBackAt(time.Now())
		d.g.decided(j, "not_placed", logrus.Fields{
			"reason": reason, "waited": time.Since(now).Milliseconds(), "queue": d.desk.Queue.Len(),
		})
		return roster.Endpoint{}, 0, fault
	}
	e, ok := d.g.Roster.Get(decision.Endpoint)
	if !ok {
		d.sched.Done(decision.Ticket, 0, false, time.Now())
		return e, 0, refusal.New(refusal.NoEndpoint, refusal.NotRun, "the engine has left")
	}
	d.g.announce()
	return e, decision.Ticket, nil
}

func (d *desk) done(t placement.Ticket, tokens int, completed bool) {
	d.sched.Done(t, tokens, completed, time.Now())
	d.desk.Offer()
	d.g.announce()
}

// suspect keeps new work from an engine that failed, for longer each time, and
// as long as it cannot be reached.
func (d *desk) suspect(id string) {
	d.mu.Lock()
	n := d.failed[id]
	d.failed[id] = n + 1
	d.mu.Unlock()
	d.sched.Suspect(id, time.Now().Add(min(suspectTime<<min(n, 10), suspectMost)))
	d.check(id, true)
}

// trust ends the count of failures of an engine.
func (d *desk) trust(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.failed, id)
}
