package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/eelgrassdock/eelgrassdock/internal/port"
	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
	"github.com/eelgrassdock/eelgrassdock/platform/stage"
)

const (
	reclaimNotice = 1800 * time.Millisecond // from the news that an engine leaves to its end
	drainTime     = 4 * time.Second         // the same for a replica of a plain service
	lapse         = 1500 * time.Millisecond // until the row of a silent endpoint is dropped
	moodShare     = 0.3                     // of the requests of a faulty endpoint
	plainWork     = 30 * time.Millisecond
)

// site is a place at which one endpoint after another runs.
type site struct {
	s       *Soak
	n       int // among the sites of the service
	service string
	place   string

	mu     sync.Mutex
	random *rand.Rand
	at     *stage.Endpoint
	link   *relay
	busy   bool // an endpoint leaves or starts
	count  int
}

// begin starts an endpoint with a new ID and address.
func (p *site) begin() error {
	l, err := port.Listen()
	if err != nil {
		return fmt.Errorf("address of an endpoint: %w", err)
	}
	listen := l.Addr().String()
	link, err := newRelay(listen)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.count++
	e := &stage.Endpoint{
		ID: fmt.Sprintf("%s-%s-%d", p.service, listen[len(listen)-5:], p.count), Service: p.service, Addr: link.addr, Place: p.place,
		Slots: stage.Slots, Work: plainWork, Seed: p.s.Seed + uint64(p.count), Began: p.s.began,
		Ended: func(r stage.Run, whole bool) { p.s.ledger.Ended(r.Request, r.Endpoint, whole) }, Peer: p.s.endpoint,
	}
	p.at, p.link, p.busy = e, link, false
	p.mu.Unlock()
	e.Start(l)
	e.SetFaults(p.s.mood(p.n))
	p.s.store.PutEndpoint(e, false)
	return nil
}

// claim gives the endpoint if it is not about to change, and keeps it so.
func (p *site) claim() (*stage.Endpoint, *relay, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy {
		return nil, nil, false
	}
	p.busy = true
	return p.at, p.link, true
}

// current gives the endpoint and its link.
func (p *site) current() (*stage.Endpoint, *relay) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.at, p.link
}

// reclaim takes the endpoint away at short notice and starts another later.
func (p *site) reclaim() {
	e, link, ok := p.claim()
	if !ok {
		return
	}
	if p.s.Sabotage != Leaving {
		p.s.store.PutEndpoint(e, true)
	}
	p.s.ledger.Leaves(e.ID, time.Now())
	notice := drainTime
	if p.service == stage.EngineService && p.s.Sabotage != Leaving {
		notice = reclaimNotice
	}
	sleep.For(p.s.ctx, notice)
	e.Kill()
	link.close()
	p.s.store.RemoveEndpoint(e)
	p.restart()
}

// crash ends the endpoint without notice; its row lapses later.
func (p *site) crash() {
	e, link, ok := p.claim()
	if !ok {
		return
	}
	p.s.ledger.Disturb(e.ID, time.Now())
	e.Kill()
	link.close()
	sleep.For(p.s.ctx, lapse)
	p.s.store.RemoveEndpoint(e)
	p.restart()
}

func (p *site) restart() {
	p.mu.Lock()
	away := shortest + time.Duration(p.random.Int64N(int64(longest/2)))
	p.mu.Unlock()
	sleep.For(p.s.ctx, away)
	if p.s.ctx.Err() != nil {
		return
	}
	if err := p.begin(); err != nil {
		p.s.failed(err)
	}
}

// upset gives the endpoint a mood for a while.
func (p *site) upset(m stage.EndpointFaults, last time.Duration) {
	e, _ := p.current()
	p.s.ledger.Disturb(e.ID, time.Now().Add(last))
	e.SetFaults(m)
	sleep.For(p.s.ctx, last)
	e.SetFaults(p.s.mood(p.n))
}

// harm harms the link to the endpoint.
func (p *site) harm(harm string, last time.Duration) {
	e, link := p.current()
	until := time.Now().Add(last)
	p.s.ledger.Disturb(e.ID, until)
	link.hurt(harm, until)
}

// end ends the endpoint at the end of the soak.
func (p *site) end() {
	e, link := p.current()
	e.Kill()
	link.close()
}
