package entry

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdock/eelgrassdock/connection/engine"
	"github.com/eelgrassdock/eelgrassdock/connection/service"
	"github.com/eelgrassdock/eelgrassdock/process/locate"
	"github.com/eelgrassdock/eelgrassdock/process/placement"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
	"github.com/eelgrassdock/eelgrassdock/version/config"
)

const (
	pollTimeout = 800 * time.Millisecond // an endpoint that does not respond in this time counts as silent
	maxEvents   = 4096                   // maximum number of cache events processed per poll
)

// watch holds the polled state of one endpoint.
type watch struct {
	endpoint  config.Endpoint
	stop      context.CancelFunc
	report    atomic.Pointer[engine.Report]
	leaving   atomic.Bool
	plainBoot atomic.Pointer[string] // of a plain replica, as it last told
	down      atomic.Bool            // the last poll failed
	silent    atomic.Bool            // the endpoint did not respond to a poll or a request, and has not responded since
	failed    atomic.Int64           // Unix ms until which other replicas are preferred after a failure
	polled    atomic.Int64           // Unix ms at which the last poll began
	wake      chan struct{}          // ends the pause of polls of an idle service

	mu    sync.Mutex // held during a poll
	seq   int64      // number of the last cache event
	polls int        // successful polls of an engine
}

// configure applies a configuration to the pool: the placement rule, the
// endpoints that this entry uses, and the watches.
func (p *enginePool) configure(x *config.Index) {
	s := x.Service(p.service)
	if s == nil {
		p.setWatches(nil)
		return
	}
	group := p.e.group(x, p.e.entries(), p.service)
	chosen := p.e.subset(x, group, p.service)
	var endpoints []placement.Endpoint
	for _, endpoint := range chosen {
		endpoints = append(endpoints, placement.Endpoint{
			ID: endpoint.ID, Place: endpoint.Place, Region: endpoint.Region, Tokens: endpoint.Tokens, Drain: p.e.isDraining(endpoint),
		})
	}
	p.sched.SetPolicy(placement.Policy(s.Policy), placement.Weights(s.Weights))
	p.sched.SetEndpoints(endpoints)
	// The scheduler's peers are the entries that share an endpoint, including this
	// one.
	p.sched.SetPeers(entriesPerEndpoint(len(group), len(chosen), len(x.Endpoints(p.service))))
	p.setWatches(chosen)
}

// subset returns the endpoints of a service that this entry uses.
func (e *Entry) subset(x *config.Index, group []locate.Entry, service string) []*config.Endpoint {
	all := x.Endpoints(service)
	list := make([]locate.Endpoint, len(all))
	for i, endpoint := range all {
		list[i] = locate.Endpoint{ID: endpoint.ID, Region: endpoint.Region}
	}
	// An entry outside the group adds itself, because it still serves callers
	// with an older locate answer.
	if !slices.ContainsFunc(group, func(entry locate.Entry) bool { return entry.ID == e.id }) {
		group = append(group, locate.Entry{ID: e.id, Region: e.Settings.Region})
	}
	var chosen []*config.Endpoint
	for _, endpoint := range locate.Subset(list, group, e.id, service, e.Settings.Region, locate.MaxEndpoints) {
		chosen = append(chosen, x.Endpoint(endpoint.ID))
	}
	return chosen
}

// entriesPerEndpoint estimates how many entries share one endpoint, if each
// entry of a group uses chosen of all endpoints of the service. It returns at
// least 1.
func entriesPerEndpoint(group, chosen, all int) int {
	if all == 0 {
		return 1
	}
	return max(1, group*chosen/all)
}

// setWatches starts and stops watches so that exactly these endpoints are
// polled. The watch of an endpoint whose address changed is replaced.
func (p *enginePool) setWatches(endpoints []*config.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wanted := map[string]config.Endpoint{}
	for _, endpoint := range endpoints {
		wanted[endpoint.ID] = *endpoint
	}
	for id, w := range p.watchByID {
		if next, ok := wanted[id]; ok && next.Addr == w.endpoint.Addr {
			delete(wanted, id)
			continue
		}
		w.stop()
		delete(p.watchByID, id)
	}
	for id, endpoint := range wanted {
		ctx, cancel := context.WithCancel(p.e.background)
		w := &watch{endpoint: endpoint, stop: cancel, wake: make(chan struct{}, 1)}
		p.watchByID[id] = w
		p.e.spawn(func() { p.poll(ctx, w) })
	}
}

func (p *enginePool) stopWatches() { p.setWatches(nil) }

// watches returns the watches in no particular order.
func (p *enginePool) watches() []*watch {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Values(p.watchByID))
}

// findWatch returns the watch of an endpoint, or nil.
func (p *enginePool) findWatch(endpoint string) *watch {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.watchByID[endpoint]
}

// promptFits reports whether a prompt fits into the memory of the endpoint. It
// returns true if the endpoint has not reported its memory.
func (w *watch) promptFits(prompt string) bool {
	r := w.report.Load()
	return r == nil || r.Total == 0 || int64(engine.EstimateTokens(prompt)) < r.Total
}

// boot returns what identifies the process of the endpoint, as it last told, or an empty
// string.
func (w *watch) boot() string {
	if r := w.report.Load(); r != nil {
		return r.Boot
	}
	if boot := w.plainBoot.Load(); boot != nil {
		return *boot
	}
	return ""
}

// pollOnce reads the state of an endpoint. The caller must hold w.mu.
func (p *enginePool) pollOnce(ctx context.Context, w *watch) {
	if s := p.e.config().Service(p.service); s != nil && s.Kind == config.KindPlain {
		p.pollPlain(ctx, w)
		return
	}
	w.seq = p.pollEngine(ctx, w, w.seq)
}

// pollEngine reads the load of an engine and, every eventsEvery polls, its
// cache events after the number seq. It returns the number of the last event
// read. A silent engine gets no new work until it responds; one that shows by its
// response, or by refusing or breaking the connection, that it cannot serve is suspected
// for suspectTime.
func (p *enginePool) pollEngine(ctx context.Context, w *watch, seq int64) int64 {
	ctx, cancel := p.e.Stalls.WithTimeout(ctx, pollTimeout)
	defer cancel()
	conn := &engine.Conn{Addr: w.endpoint.Addr, HTTP: p.e.polls}
	r, err := conn.Load(ctx)
	w.down.Store(err != nil)
	w.silent.Store(isTimeout(err))
	p.sched.SetSilent(w.endpoint.ID, w.silent.Load())
	if err != nil {
		if !w.silent.Load() {
			p.sched.Suspect(w.endpoint.ID, p.e.now().Add(suspectTime))
		}
		return seq
	}
	old := w.report.Swap(&r)
	w.leaving.Store(r.Leaving)
	now := p.e.now()
	p.sched.Report(w.endpoint.ID, placement.Report{
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
	p.sched.Cache(w.endpoint.ID, list)
	return list[len(list)-1].Seq
}

// isTimeout reports whether an operation ended because nothing arrived in time.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// setSilent keeps new work from an endpoint that did not respond to a request, until it
// responds to a poll.
func (p *enginePool) setSilent(endpoint string) {
	if w := p.findWatch(endpoint); w != nil {
		w.silent.Store(true)
		p.sched.SetSilent(endpoint, true)
	}
}

// isSilent reports whether an endpoint did not respond to its last poll or request.
func (p *enginePool) isSilent(endpoint string) bool {
	w := p.findWatch(endpoint)
	return w != nil && w.silent.Load()
}

// pollPlain reads the health of a replica of a plain service.
func (p *enginePool) pollPlain(ctx context.Context, w *watch) {
	ctx, cancel := p.e.Stalls.WithTimeout(ctx, pollTimeout)
	defer cancel()
	h, err := (&service.Conn{Addr: w.endpoint.Addr, HTTP: p.e.polls}).Health(ctx)
	w.down.Store(err != nil)
	if err == nil {
		w.leaving.Store(h.Leaving)
		w.plainBoot.Store(&h.Boot)
	}
}

// freshReplica chooses a replica whose state is at most pollAge old.
func (e *Entry) freshReplica(s *config.Service, exclude []string) (*config.Endpoint, error) {
	p := e.pool(s.ID)
	p.markUsed()
	for {
		endpoint, err := e.replica(s, exclude)
		if err != nil || p.confirmUsable(endpoint.ID) {
			return endpoint, err
		}
	}
}

// replica chooses a replica of a plain service. Replicas on which this call has
// not failed are preferred, then those without a recent failure, then those
// that responded to the last poll, then those in the region of the entry. Among
// equals the choice is random.
func (e *Entry) replica(s *config.Service, exclude []string) (*config.Endpoint, error) {
	now := e.now().UnixMilli()
	best, most := (*config.Endpoint)(nil), 0
	for _, w := range e.pool(s.ID).watches() {
		endpoint := e.config().Endpoint(w.endpoint.ID)
		if endpoint == nil || e.isDraining(endpoint) || w.leaving.Load() {
			continue
		}
		score := rand.IntN(100) + 1
		for i, good := range []bool{
			endpoint.Region == e.Settings.Region, !w.down.Load(), now > w.failed.Load(), !slices.Contains(exclude, endpoint.ID),
		} {
			// Each condition outweighs all earlier ones together.
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

// replicaFailed makes the entry prefer other replicas for suspectTime.
func (e *Entry) replicaFailed(service, id string) {
	if w := e.pool(service).findWatch(id); w != nil {
		w.failed.Store(e.now().Add(suspectTime).UnixMilli())
	}
}
