package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/eelgrassdock/eelgrassdock/process/loads"
	"github.com/eelgrassdock/eelgrassdock/process/roster"
)

const (
	minCheckPause     = 200 * time.Millisecond // pause before the second probe of an engine; doubles with each further one
	maxCheckPause     = 2 * time.Second        // longest pause between two probes
	maxUnclearAnswers = 3                      // errors in a row, other than a failed connection, after which probing stops
	maxOthers         = 2                      // engines that are probed to find one that answers
	noticeQueue       = 64                     // capacity of the queue of findings to send
)

// ErrUnreachable marks the error of a Backend function that could not open a
// connection.
var ErrUnreachable = errors.New("no connection to the endpoint")

// ErrRefused marks the error of a Backend function if the host of the endpoint
// refused a connection. The endpoint's process may still run and use the connections that
// it has: one that leaves may close its listener first.
var ErrRefused = errors.New("no process listens at the endpoint's address")

// startCheck starts probing an engine that failed or is silent, or that another
// instance reported as unreachable, unless it is being probed already. While the
// engine does not answer, it gets no requests and no copies, and copies there do not
// count as usable. Once it answers, only the outcomes of requests decide about
// it. With notify, a finding of this instance is sent to the other instances.
func (p *enginePool) startCheck(id string, notify bool) {
	p.mu.Lock()
	busy := p.checking[id]
	p.checking[id] = true
	p.mu.Unlock()
	if busy {
		return
	}
	p.g.spawn(func() {
		begun := time.Now()
		reachable := p.awaitReachable(id, notify)
		p.mu.Lock()
		down, gone, avoided := p.down[id] != nil, p.gone[id], p.avoided[id]
		delete(p.avoided, id)
		delete(p.down, id)
		delete(p.gone, id)
		delete(p.checking, id)
		delete(p.reported, id)
		p.mu.Unlock()
		if avoided && !down && p.sched.SuspectedUntil(id).Before(begun) {
			p.sched.Suspect(id, time.Now().Add(suspectTime)) // it answers probes, but not requests
		}
		p.sched.SetSilent(id, false)
		if gone {
			p.g.refreshEnginePool(p.service)
		}
		p.dispatcher.Offer()
		if !down {
			return
		}
		p.g.Log.WithFields(logrus.Fields{
			"event": "endpoint_checked", "endpoint": id, "reachable": reachable, "lost": gone, "took": time.Since(begun).Milliseconds(),
		}).Info("stopped probing an unreachable endpoint")
	})
}

// awaitReachable probes an engine until it answers or leaves, and reports
// whether it answered. It stops after maxUnclearAnswers errors in a row that do
// not show whether the engine can be reached.
func (p *enginePool) awaitReachable(id string, notify bool) bool {
	pause, begun := minCheckPause, time.Now()
	for unclear := 0; unclear < maxUnclearAnswers; pause = min(2*pause, maxCheckPause) {
		e, ok := p.g.Roster.Get(id)
		if !ok || e.Closed() {
			return false // it gets no new work in any case
		}
		err := p.probe(p.g.base, e)
		switch {
		case err == nil:
			if p.isDown(id) {
				p.g.noteAnswered(e, true)
			}
			return true
		case isSilence(err):
			unclear = 0
			p.g.noteUnanswered(e)
			p.sched.SetSilent(id, true)
			p.markUnreachable(e, err, notify)
			if errors.Is(err, ErrRefused) || p.g.Stalls.RanSince(begun) >= p.g.lossTime() {
				p.markGone(e, err)
			}
		case !p.g.isDelayed(e, err) && !errors.Is(err, errEvacuated): // the others were not sent
			unclear++
		}
		switch answered, ok := p.awaitProbe(p.g.base, e, pause); {
		case !ok:
			return false
		case answered:
			p.g.noteAnswered(e, false)
			return true
		}
	}
	return false
}

// markUnreachable records that an engine does not answer, and copies the runs that
// have a copy there while their own engine is leaving or gone.
func (p *enginePool) markUnreachable(e roster.Endpoint, err error, notify bool) {
	p.mu.Lock()
	known := p.down[e.ID] != nil
	p.down[e.ID] = err
	p.mu.Unlock()
	if known {
		return
	}
	_, copies := p.g.runs.runsAt(e.ID)
	p.g.Log.WithError(err).WithFields(logrus.Fields{"event": "endpoint_unreachable", "endpoint": e.ID, "copies": len(copies)}).
		Warn("endpoint cannot be reached")
	p.g.protectAll(slices.DeleteFunc(copies, func(r *run) bool { return !r.isExposed() }))
	if notify {
		p.g.sendNotice(loads.Notice{Endpoint: e.ID, Born: e.Born, Gone: true})
	}
}

// markGone records that an engine refuses connections or counts as lost: requests do not
// wait for the engine, and the copies held there, which a run can use over a new connection
// only, are replaced. The runs there stay until their own connections end.
func (p *enginePool) markGone(e roster.Endpoint, err error) {
	p.mu.Lock()
	known := p.gone[e.ID]
	p.gone[e.ID] = true
	p.mu.Unlock()
	if known {
		return
	}
	_, copies := p.g.runs.runsAt(e.ID)
	p.g.Log.WithError(err).WithFields(logrus.Fields{
		"event": "endpoint_gone", "endpoint": e.ID, "copies": len(copies), "refused": errors.Is(err, ErrRefused),
	}).Warn("endpoint refuses connections, or is silent for as long as one that has ended")
	p.g.refreshEnginePool(p.service)
	p.g.protectAll(p.g.dropCopiesAt(copies, e.ID))
}

// probe requests a report from an engine and returns the error, which isSilence
// recognizes if the engine did not answer in time.
func (p *enginePool) probe(ctx context.Context, e roster.Endpoint) error {
	_, err := p.g.probe(ctx, e)
	return err
}

// probe requests a report from an endpoint. It returns the start of the endpoint's process
// in Unix milliseconds, 0 if the endpoint does not say.
func (g *Gateway) probe(ctx context.Context, e roster.Endpoint) (born int64, err error) {
	ctx, cancel := g.Stalls.WithTimeout(ctx, probeLimit)
	defer cancel()
	report, err := g.report(ctx, e)
	if err != nil && ctx.Err() != nil {
		err = errors.CombineErrors(ctx.Err(), err) // the end of ctx closes the connection, which is the cause of err
	}
	return report.Born, err
}

// avoid keeps new work from an engine that has not answered until it answers a
// probe. Unlike suspect it records no failure, and requests wait for the engine if no
// other is usable.
func (p *enginePool) avoid(id string) {
	p.sched.SetSilent(id, true)
	p.mu.Lock()
	p.avoided[id] = true
	p.mu.Unlock()
	p.startCheck(id, true)
}

// hasOther reports whether another engine than the given one, which the request may use,
// answers a probe. It probes no more than maxOthers, and none that accepts no request now because of its
// limit or a pause.
func (p *enginePool) hasOther(ctx context.Context, j *job, id string) bool {
	probes := 0
	for _, e := range p.g.Roster.List(p.service) {
		if e.ID == id || e.Closed() || p.isDown(e.ID) || !p.g.limits.Ready(e.ID, time.Now()) {
			continue
		}
		if !p.g.allows(j, e) {
			continue
		}
		err := p.probe(ctx, e)
		switch {
		case isSilence(err):
			p.avoid(e.ID)
		case !errors.IsAny(err, errLimited, errEvacuated):
			return true
		}
		if probes++; probes == maxOthers {
			break
		}
	}
	return false
}

// isGone reports whether markGone was called for an engine that is being probed.
func (p *enginePool) isGone(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gone[id]
}

// isDown reports whether an engine is known to be unreachable.
func (p *enginePool) isDown(id string) bool { return p.probeError(id) != nil }

// probeError returns the error of the latest probe of an engine that is known to be
// unreachable, nil for other engines.
func (p *enginePool) probeError(id string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.down[id]
}

// sendNotice queues a finding of this instance for the other instances. It
// drops the finding if the queue is full.
func (g *Gateway) sendNotice(n loads.Notice) {
	select {
	case g.notices <- n:
	default:
		counters.Add("news_dropped", 1) // other instances detect it on their own
	}
}

// onNotice handles a finding of another instance. A notice that an endpoint
// leaves is accepted as if the endpoint itself had sent it. An endpoint that is
// reported as unreachable is only probed: the fault may be in the link between
// that instance and the endpoint.
func (g *Gateway) onNotice(n loads.Notice) {
	if n.Leaving {
		g.Roster.MarkLeaving(n.Endpoint, n.Born, roster.FromInstance)
	}
	e, ok := g.Roster.Get(n.Endpoint)
	if !ok || e.Born != n.Born {
		return
	}
	d, ok := g.enginePools.Load(e.Service)
	switch {
	case !ok:
	case n.Gone:
		d.(*enginePool).onUnreached(e.ID)
		d.(*enginePool).startCheck(e.ID, false)
	case !n.Leaving:
		d.(*enginePool).onAnswered(e.ID)
	}
}
