package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
	"github.com/eelgrassdock/eelgrassdock/process/loads"
	"github.com/eelgrassdock/eelgrassdock/process/ratelimit"
	"github.com/eelgrassdock/eelgrassdock/process/roster"
	"github.com/eelgrassdock/eelgrassdock/version/routing"
)

// Sources of the information that an endpoint is cold.
const (
	coldByRow     = "row"     // its row says so
	coldByAnswer  = "answer"  // one of its answers says so
	coldByStart   = "start"   // its row appeared during traffic, or shows a later start
	coldBySilence = "silence" // it does not answer, or answers again
	coldByPlace   = "place"   // the evacuation of its place has ended
)

// coldProbeTime is the time for each live instance over which the probes of an unreachable
// engine by instances without grants are spread, which are then 10 a second of all together:
// about a quarter of the bound at 25 requests per second, of which grants use half.
const coldProbeTime = 100 * time.Millisecond

// maxColdPending is the number of endpoints of which coldRegister keeps what was learned, as
// many as the roster remembers. Rows may name any number.
const maxColdPending = 8192

type (
	// coldRegister holds what was learned of cold endpoints before the first routing table.
	coldRegister struct {
		mu      sync.Mutex
		pending map[string]coldSign // by endpoint
	}

	// coldSign is a piece of information that an endpoint is cold.
	coldSign struct {
		endpoint roster.Endpoint
		until    time.Time // zero if it is not stated
		started  time.Time // from which on it is cold for Cold.Time; zero if it has not started
		source   string
	}
)

// watchCold connects the cold times to the log and the counters.
func (g *Gateway) watchCold() {
	g.limits.ColdChanged = func(c ratelimit.ColdChange) {
		fields := logrus.Fields{"event": "endpoint_cold", "endpoint": c.Endpoint, "source": c.Source, "left": time.Until(c.Until).Milliseconds()}
		if c.Ended {
			fields = logrus.Fields{
				"event": "endpoint_warm", "endpoint": c.Endpoint, "source": c.Source, "lasted": c.Lasted.Milliseconds(),
				"granted": c.Granted, "refused": c.Refused, "delayed": c.Delayed,
			}
			counters.Add("cold_ended", 1)
			counters.Add("cold_refused", c.Refused)
			counters.Add("cold_delayed", c.Delayed)
		} else {
			counters.Add("cold_begun", 1)
		}
		switch {
		case c.Source == coldBySilence:
			// An engine that stays unreachable begins a cold time with each probe.
			g.Log.WithFields(fields).Debug("cold time of an unreachable endpoint")
		case g.sampler.Other():
			g.Log.WithFields(fields).Info("cold time of an endpoint")
		}
	}
}

// coldOf returns how the endpoints of a service are used while they are cold, and false if
// that makes no difference.
func (g *Gateway) coldOf(service string) (routing.Cold, bool) {
	if g.Settings.Cold == (Cold{}) {
		return routing.Cold{}, false
	}
	t := g.Tables.Current()
	if t == nil {
		return routing.Cold{}, false
	}
	s := t.Service(service)
	if s == nil || s.Cold.Rate <= 0 {
		return routing.Cold{}, false
	}
	return s.Cold, true
}

// cool records that an endpoint is cold. What is learned before the first routing table is
// applied with that.
func (g *Gateway) cool(s coldSign) {
	if g.Settings.Cold == (Cold{}) {
		return
	}
	g.cold.mu.Lock()
	wait := g.Tables.Current() == nil
	if wait {
		g.cold.add(s)
	}
	g.cold.mu.Unlock()
	if wait {
		return
	}
	c, ok := g.coldOf(s.endpoint.Service)
	if !ok {
		return
	}
	until := s.until
	if !s.started.IsZero() {
		until = later(until, s.started.Add(c.Time))
	}
	bound := g.Settings.Cold
	g.limits.Cool(g.limitedEndpoint(s.endpoint), ratelimit.Cold{
		Rate: c.Rate, Most: c.Rate*bound.Factor + bound.Slack, Until: until, Source: s.source,
	}, time.Now())
}

// add keeps what was learned, with what is known of the same process. The lock must be held.
func (r *coldRegister) add(s coldSign) {
	id := s.endpoint.ID
	old, ok := r.pending[id]
	switch {
	case !ok && len(r.pending) >= maxColdPending:
		return
	case ok && old.endpoint.Born == s.endpoint.Born:
		s.until, s.started = later(s.until, old.until), later(s.started, old.started)
	}
	if r.pending == nil {
		r.pending = map[string]coldSign{}
	}
	r.pending[id] = s
}

// coolPending applies what was learned before the first routing table.
func (g *Gateway) coolPending() {
	g.cold.mu.Lock()
	list := g.cold.pending
	g.cold.pending = nil
	g.cold.mu.Unlock()
	for _, s := range list {
		g.cool(s)
	}
}

// coolEndpoints records that endpoints are cold because the evacuation of their place has
// ended. It is called before they are used again.
func (g *Gateway) coolEndpoints(list []roster.Endpoint) {
	for _, e := range list {
		g.cool(coldSign{endpoint: e, started: time.Now(), source: coldByPlace})
	}
}

// NoteRow records what the row of an endpoint says about it before the roster lists it:
// for how long it is cold, and whether it starts. The first reading of the table shows no
// starts.
func (g *Gateway) NoteRow(e roster.Endpoint, remaining time.Duration, first bool) {
	now := time.Now()
	if remaining > 0 {
		g.cool(coldSign{endpoint: e, until: now.Add(remaining), source: coldByRow})
	}
	old, listed := g.Roster.Get(e.ID)
	if !listed && !first || listed && e.Born > old.Born {
		g.cool(coldSign{endpoint: e, started: now, source: coldByStart})
	}
}

// noteUnanswered records that an engine did not answer a probe. It may be cold when it answers
// again, and what reaches it then, probes as well, keeps the bound.
func (g *Gateway) noteUnanswered(e roster.Endpoint) {
	g.cool(coldSign{endpoint: e, started: time.Now(), source: coldBySilence})
}

// noteAnswered records that an engine that did not answer does so again. With notify, the
// other instances learn it: those without grants probe it rarely.
func (g *Gateway) noteAnswered(e roster.Endpoint, notify bool) {
	if _, ok := g.coldOf(e.Service); !ok {
		return
	}
	g.noteUnanswered(e)
	if notify {
		g.sendNotice(loads.Notice{Endpoint: e.ID, Born: e.Born})
	}
}

// onUnreached records that another instance does not reach an engine.
func (p *enginePool) onUnreached(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reported[id] = true
}

// onAnswered handles that another instance has got an answer of an engine that is being
// probed here.
func (p *enginePool) onAnswered(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if back := p.back[id]; back != nil {
		close(back)
		delete(p.back, id)
	}
}

// awaitProbe waits before the next probe of an engine. If the engine is cold, it waits for a
// grant, and without a part in the grants for longer if others do not reach the engine
// either: if only this instance does not, nobody else probes it. It returns early when the endpoints of the service change, and with answered if
// another instance has got an answer; ok is false if ctx ends.
func (p *enginePool) awaitProbe(ctx context.Context, e roster.Endpoint, pause time.Duration) (answered, ok bool) {
	now := time.Now()
	if !p.g.limits.IsCold(e.ID, now) {
		return false, sleep.For(ctx, pause)
	}
	at, _ := p.g.limits.Next(e.ID, now)
	wait := max(at.Sub(now), pause)
	back := make(chan struct{})
	p.mu.Lock()
	p.back[e.ID] = back
	reported := p.reported[e.ID]
	p.mu.Unlock()
	if reported && !p.g.limits.Holds(e.ID, now) {
		wait += jitter(coldProbeTime * time.Duration(max(p.g.instanceCount(), 1)))
	}
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.back[e.ID] == back {
			delete(p.back, e.ID)
		}
	}()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changed := p.g.Roster.Watch(p.service)
		if listed, ok := p.g.Roster.Get(e.ID); !ok || listed.Born != e.Born {
			return false, ctx.Err() == nil
		}
		select {
		case <-ctx.Done():
			return false, false
		case <-back:
			return true, true
		case <-timer.C:
			return false, true
		case <-changed:
		}
	}
}

// probeKnown probes an engine. If it is cold and may not be probed now, it returns the error of
// the latest probe that was not answered.
func (p *enginePool) probeKnown(ctx context.Context, e roster.Endpoint) error {
	err := p.probe(ctx, e)
	if errors.Is(err, errLimited) && p.g.limits.IsCold(e.ID, time.Now()) {
		if latest := p.probeError(e.ID); latest != nil {
			return latest
		}
	}
	return err
}

// isDelayed reports whether err, of a probe, only shows that a cold engine may not be probed now.
func (g *Gateway) isDelayed(e roster.Endpoint, err error) bool {
	return errors.Is(err, errLimited) && g.limits.IsCold(e.ID, time.Now())
}
