package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/eelgrassdock/eelgrassdock/internal/port"
	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
	"github.com/eelgrassdock/eelgrassdock/platform/fake"
)

const (
	reclaimNotice = 1800 * time.Millisecond // from the notice that an engine will leave to its end
	drainTime     = 4 * time.Second         // from the notice that a plain replica will leave to its end
	rowTTL        = 1500 * time.Millisecond // until the row of a silent endpoint is deleted
	faultShare    = 0.3                     // share of requests that a faulty endpoint mishandles
	lastingSites  = 2                       // one engine in this many works on without its connection
	plainDuration = 30 * time.Millisecond   // for one request at a plain replica
)

// site runs one endpoint of a service after another, each with a new ID and
// address.
type site struct {
	s       *Soak
	n       int // index among the sites of the service
	service string
	place   string

	mu       sync.Mutex
	random   *rand.Rand
	endpoint *fake.Endpoint
	link     *relay
	busy     bool // the endpoint is about to leave, or the next one to start
	leaving  bool // the endpoint is listed as leaving
	ended    bool // the endpoint has ended, and the next one has not started
	stopped  bool // at the end of the soak
	starts   int  // endpoints started so far

	hungUntil time.Time // end of the latest hang
}

// start starts an endpoint with a new ID and address and lists it in the store.
func (p *site) start() error { return p.startAs("", "") }

// startAs is start with an ID and an address, or with new ones if they are empty.
func (p *site) startAs(id, addr string) error {
	l, err := port.Listen()
	if err != nil {
		return fmt.Errorf("listen for an endpoint: %w", err)
	}
	listen := l.Addr().String()
	link, err := newRelay(addr, listen)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.starts++
	if id == "" {
		id = fmt.Sprintf("%s-%s-%d", p.service, listen[len(listen)-5:], p.starts)
	}
	e := &fake.Endpoint{
		ID: id, Service: p.service, Addr: link.addr, Place: p.place,
		Slots: fake.Slots, Work: plainDuration, Seed: p.s.Seed + uint64(p.starts), Began: p.s.recordRun, Reached: p.s.ledger.Reached,
		SaysLeaving: p.s.ledger.SaysLeaving, SaysBusy: p.s.ledger.SaysBusy,
		Ended: func(r fake.Run, whole bool) { p.s.ledger.Ended(r.Request, r.Endpoint, whole) }, Peer: p.s.endpointAt,
	}
	e.Spoils = func(r fake.Run) { p.s.ledger.Spoils(r.Request) }
	e.Crashes = func(r fake.Run) { p.crashes(e, r) }
	p.mu.Unlock()
	e.Start(l)
	p.s.ledger.starts(e.ID, p.place)
	e.SetFaults(p.s.defaultFaults(p.n))
	p.mu.Lock()
	p.endpoint, p.link, p.busy, p.leaving, p.ended = e, link, false, false, false
	p.s.store.PutEndpoint(e, false)
	stopped := p.stopped
	p.mu.Unlock()
	if stopped {
		p.stop()
	}
	return nil
}

// acquire marks the site as busy and returns its endpoint and link. It returns
// false if the site is busy already.
func (p *site) acquire() (*fake.Endpoint, *relay, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy {
		return nil, nil, false
	}
	p.busy = true
	return p.endpoint, p.link, true
}

// current returns the endpoint and its link.
func (p *site) current() (*fake.Endpoint, *relay) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endpoint, p.link
}

// reclaim lists the endpoint as leaving, ends it after the notice time, and
// starts another one later.
func (p *site) reclaim() {
	e, link, ok := p.acquire()
	if !ok {
		return
	}
	if p.s.Sabotage != Leaving {
		e.Leave()
	}
	if p.s.Sabotage != Leaving && p.s.Sabotage != Drain {
		p.listLeaving(e)
	}
	p.s.ledger.Leaves(e.ID, time.Now())
	// To break the promises Leaving and Drain on purpose, the endpoint is not listed as
	// leaving, for Leaving says nothing of it either, and must receive a request more than
	// leaveBound after Leaves. An engine would have ended by then with reclaimNotice, so it
	// also gets drainTime.
	notice := drainTime
	if p.service == fake.EngineService && p.s.Sabotage != Leaving && p.s.Sabotage != Drain {
		notice = reclaimNotice
	}
	sleep.For(p.s.ctx, notice)
	p.end(e, link)
	p.s.store.RemoveEndpoint(e.ID)
	p.restart()
}

// listLeaving lists the endpoint as leaving.
func (p *site) listLeaving(e *fake.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = true
	p.s.store.PutEndpoint(e, true)
}

// end ends the endpoint.
func (p *site) end(e *fake.Endpoint, link *relay) {
	p.mu.Lock()
	p.ended = true
	p.mu.Unlock()
	e.Kill()
	link.close()
}

// writeAgain writes the row of the endpoint again unless it has ended, as endpoints do
// when the store has lost their rows.
func (p *site) writeAgain() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ended {
		p.s.store.PutEndpoint(p.endpoint, p.leaving)
	}
}

// crash ends the endpoint without notice, removes its row after rowTTL, and
// starts another endpoint later.
func (p *site) crash() {
	e, link, ok := p.acquire()
	if !ok {
		return
	}
	p.s.ledger.Disturb(e.ID, time.Now())
	p.end(e, link)
	sleep.For(p.s.ctx, rowTTL)
	p.s.store.RemoveEndpoint(e.ID)
	p.restart()
}

// restart starts another endpoint after a random delay.
func (p *site) restart() {
	p.mu.Lock()
	away := minFault + time.Duration(p.random.Int64N(int64(maxFault/2)))
	p.mu.Unlock()
	sleep.For(p.s.ctx, away)
	if p.s.ctx.Err() != nil {
		return
	}
	if err := p.start(); err != nil {
		p.s.recordError(err)
	}
}

// injectFaults sets faults of the endpoint for a limited time.
func (p *site) injectFaults(m fake.EndpointFaults, last time.Duration) {
	e, _ := p.current()
	p.s.ledger.Disturb(e.ID, time.Now().Add(last))
	m.WorksOn = p.s.defaultFaults(p.n).WorksOn
	p.holdFaults(e, m, last)
}

// spoil makes the endpoint spoil events for a limited time, which is no disturbance: the
// runs are sound.
func (p *site) spoil(last time.Duration) {
	e, _ := p.current()
	m := p.s.defaultFaults(p.n)
	m.Spoil = faultShare
	p.holdFaults(e, m, last)
}

// holdFaults sets faults of an endpoint of the site, and its default ones after a time.
func (p *site) holdFaults(e *fake.Endpoint, m fake.EndpointFaults, last time.Duration) {
	e.SetFaults(m)
	sleep.For(p.s.ctx, last)
	e.SetFaults(p.s.defaultFaults(p.n))
}

// harmLink disturbs the link to the endpoint for a limited time.
func (p *site) harmLink(harm string, last time.Duration) {
	e, link := p.current()
	until := time.Now().Add(last)
	p.s.ledger.Disturb(e.ID, until)
	link.applyHarm(harm, until)
}

// stop ends the endpoint at the end of the soak.
func (p *site) stop() {
	p.mu.Lock()
	e, link := p.endpoint, p.link
	p.stopped = true
	p.mu.Unlock()
	e.Kill()
	link.close()
}

// defaultFaults returns the faults that the n-th endpoint of a service has
// throughout: none, unless a promise is violated on purpose. Some engines work on a run
// without its connection, which is no fault.
func (s *Soak) defaultFaults(n int) fake.EndpointFaults {
	switch s.Sabotage {
	case NotRun:
		// The caller receives "not run" only if the last attempt does, so every
		// endpoint must run the request and deny it.
		return fake.EndpointFaults{FalseNotRun: true}
	case Once:
		// An instance tries a request again that an endpoint ran and denied, and an
		// endpoint without the fault runs it a second time.
		return fake.EndpointFaults{FalseNotRun: n%2 == 0}
	case Whole:
		return fake.EndpointFaults{Cut: faultShare}
	case Single:
		return fake.EndpointFaults{IgnoreCancel: true, Cut: faultShare}
	case Budget:
		return fake.EndpointFaults{Fail: 1}
	case Drain:
		return fake.EndpointFaults{HeadersHidden: true}
	case Backoff:
		return fake.EndpointFaults{Refuse: faultShare, RetryAt: time.Now().Add(s.Duration), HeadersHidden: true}
	case Served:
		return fake.EndpointFaults{Refuse: 1}
	case Limits:
		return fake.EndpointFaults{Limit: minLimit, LimitHidden: true}
	}
	return fake.EndpointFaults{WorksOn: s.Sabotage == "" && n%lastingSites == 0}
}
