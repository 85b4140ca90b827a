package entry

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/eelgrassdock/eelgrassdock/connection/engine"
	"github.com/eelgrassdock/eelgrassdock/connection/service"
	"github.com/eelgrassdock/eelgrassdock/process/locate"
	"github.com/eelgrassdock/eelgrassdock/process/placement"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
	"github.com/eelgrassdock/eelgrassdock/version/config"
)

const (
	pollTimeout = 800 * time.Millisecond // an endpoint that does not report in this time is suspect
	maxEvents   = 4096                   // cache events taken from one poll
)

// watch polls one endpoint for its load.
type watch struct {
	endpoint config.Endpoint
	stop     context.CancelFunc
	report   atomic.Pointer[engine.Report]
	leaving  atomic.Bool
	down     atomic.Bool
	failed   atomic.Int64 // Unix ms until which the endpoint is tried last
	polled   atomic.Int64 // Unix ms at which the last poll began
	wake     chan struct{}

	mu    sync.Mutex // held by a poll
	seq   int64      // last cache event
	polls int
}

// configure takes a new configuration in.
func (d *desk) configure(x *config.Index) {
	s := x.Service(d.service)
	if s == nil {
		d.setWatches(nil)
		return
	}
	group := d.e.group(x, d.e.entries(), d.service)
	chosen := d.e.subset(x, group, d.service)
	var endpoints []placement.Endpoint
	for _, endpoint := range chosen {
		endpoints = append(endpoints, placement.Endpoint{
			ID: endpoint.ID, Place: endpoint.Place, Region: endpoint.Region, Tokens: endpoint.Tokens, Drain: d.e.drains(endpoint),
		})
	}
	d.sched.SetRule(placement.Policy(s.Policy), placement.Weights(s.Weights))
	d.sched.SetEndpoints(endpoints)
	d.sched.SetPeers(sharing(len(group), len(chosen), len(x.Endpoints(d.service))))
	d.setWatches(chosen)
}

// subset gives the endpoints of a service that this entry uses.
func (e *Entry) subset(x *config.Index, group []locate.Entry, service string) []*config.Endpoint {
	all := x.Endpoints(service)
	list := make([]locate.Endpoint, len(all))
	for i, endpoint := range all {
		list[i] = locate.Endpoint{ID: endpoint.ID, Region: endpoint.Region}
	}
	// An entry outside of the group counts itself in: it serves callers that
	// come with an old answer.
	if !slices.ContainsFunc(group, func(entry locate.Entry) bool { return entry.ID == e.id }) {
		group = append(group, locate.Entry{ID: e.id, Region: e.Settings.Region})
	}
	var chosen []*config.Endpoint
	for _, endpoint := range locate.Subset(list, group, e.id, service, e.Settings.Region, locate.Endpoints) {
		chosen = append(chosen, x.Endpoint(endpoint.ID))
	}
	return chosen
}

// sharing estimates how many of a group of entries share the endpoints that
// one of them uses, out of all endpoints of the service.
func sharing(group, chosen, all int) int {
	if all == 0 {
		return 1
	}
	return max(1, group*chosen/all)
}

func (d *desk) setWatches(endpoints []*config.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	wanted := map[string]config.Endpoint{}
	for _, endpoint := range endpoints {
		wanted[endpoint.ID] = *endpoint
	}
	for id, w := range d.watch {
		if next, ok := wanted[id]; ok && next.Addr == w.endpoint.Addr {
			delete(wanted, id)
			continue
		}
		w.stop()
		delete(d.watch, id)
	}
	for id, endpoint := range wanted {
		ctx, cancel := context.WithCancel(d.e.background)
		w := &watch{endpoint: endpoint, stop: cancel, wake: make(chan struct{}, 1)}
		d.watch[id] = w
		d.e.spawn(func() { d.poll(ctx, w) })
	}
}

func (d *desk) stopWatches() { d.setWatches(nil) }

// watches lists the watches in no particular order.
func (d *desk) watches() []*watch {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Collect(maps.Values(d.watch))
}

// watchOf gives the watch of an endpoint, or nil.
func (d *desk) watchOf(endpoint string) *watch {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.watch[endpoint]
}

// holds tells whether a prompt fits into the memory of the endpoint, as far as
// the endpoint reported it.
func (w *watch) holds(prompt string) bool {
	r := w.report.Load()
	return r == nil || r.Total == 0 || int64(engine.EstimateTokens(prompt)) < r.Total
}

// pollOnce reads the state of an endpoint. The lock of the watch is held.
func (d *desk) pollOnce(ctx context.Context, w *watch) {
	if s := d.e.config().Service(d.service); s != nil && s.Kind == config.Plain {
		d.pollPlain(ctx, w)
		return
	}
	w.seq = d.pollEngine(ctx, w, w.seq)
}

func (d *desk) pollEngine(ctx context.Context, w *watch, seq int64) int64 {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	conn := &engine.Conn{Addr: w.endpoint.Addr, HTTP: d.e.http}
	r, err := conn.Load(ctx)
	w.down.Store(err != nil)
	if err != nil {
		d.sched.Suspect(w.endpoint.ID, d.e.now().Add(suspectTime))
		return seq
	}
	old := w.report.Swap(&r)
	w.leaving.Store(r.Leaving)
	now := d.e.now()
	d.sched.Report(w.endpoint.ID, placement.Report{
		At: time.UnixMilli(r.At), Running: r.Running, Waiting: r.Waiting, Used: r.Used, Total: r.Total,
		Preempted: r.Preempted, Leaving: r.Leaving, StepTime: time.Duration(r.Step) * time.Microsecond,
	}, now)
	if old != nil && old.Boot != r.Boot {
		seq = 0
	}
	w.polls++
	if w.polls%eventsEvery != 1 {
		return seq
	}
	events, err := conn.Events(ctx, seq)
	if err != nil || len(events) == 0 {
		return seq
	}
	list := make([]placement.CacheEvent, 0, min(len(events), maxEvents))
	for _, ev := range events[:min(len(events), maxEvents)] {
		list = append(list, placement.CacheEvent(ev))
	}
	d.sched.Cache(w.endpoint.ID, list)
	return list[len(list)-1].Seq
}

func (d *desk) pollPlain(ctx context.Context, w *watch) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	h, err := (&service.Conn{Addr: w.endpoint.Addr, HTTP: d.e.http}).Health(ctx)
	w.down.Store(err != nil)
	if err == nil {
		w.leaving.Store(h.Leaving)
	}
}

// freshReplica chooses a replica whose state is known.
func (e *Entry) freshReplica(s *config.Service, exclude []string) (*config.Endpoint, error) {
	d := e.desk(s.ID)
	d.use()
	for {
		endpoint, err := e.replica(s, exclude)
		if err != nil || d.confirm(endpoint.ID) {
			return endpoint, err
		}
	}
}

// replica chooses a replica of a plain service: a random one of those that
// work, own region first.
func (e *Entry) replica(s *config.Service, exclude []string) (*config.Endpoint, error) {
	now := e.now().UnixMilli()
	best, most := (*config.Endpoint)(nil), 0
	for _, w := range e.desk(s.ID).watches() {
		endpoint := e.config().Endpoint(w.endpoint.ID)
		if endpoint == nil || e.drains(endpoint) || w.leaving.Load() {
			continue
		}
		score := rand.IntN(100) + 1
		for i, good := range []bool{
			endpoint.Region == e.Settings.Region, !w.down.Load(), now > w.failed.Load(), !slices.Contains(exclude, endpoint.ID),
		} {
			// Each condition counts for more than all before it together.
			if good {
				score += 100 << i
			}
		}
		if score > most {
			best, most = endpoint, score
		}
	}
	if best == nil {
		fault := refusal.New(refusal.NoEndpoint, refusal.NotRun, "no replica of service \""+s.ID+"\" can be used")
		fault.RetryAt = e.now().Add(overloadWait)
		return nil, fault
	}
	return best, nil
}

// replicaFailed makes a replica the last choice for a while.
func (e *Entry) replicaFailed(service, id string) {
	if w := e.desk(service).watchOf(id); w != nil {
		w.failed.Store(e.now().Add(suspectTime).UnixMilli())
	}
}
