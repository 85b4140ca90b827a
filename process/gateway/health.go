package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
	"github.com/eelgrassdock/eelgrassdock/process/loads"
	"github.com/eelgrassdock/eelgrassdock/process/roster"
)

const (
	minCheckPause     = 200 * time.Millisecond // pause before the second probe of an engine; doubles with each further one
	maxCheckPause     = 2 * time.Second        // longest pause between two probes
	maxUnclearAnswers = 3                      // errors in a row, other than a failed connection, after which probing stops
	noticeQueue       = 64                     // capacity of the queue of findings to send
)

// ErrUnreachable marks the error of a Backend function that could not open a
// connection.
var ErrUnreachable = errors.New("no connection to the endpoint")

// ErrRefused marks the error of a Backend function if the host of the endpoint
// refused a connection.
var ErrRefused = errors.New("no process listens at the endpoint's address")

// startCheck starts probing an engine that failed or that another instance
// reported as unreachable, unless it is being probed already. While the engine
// is unreachable, it gets no requests and no copies, and copies there do not
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
		reachable := p.awaitReachable(id, notify)
		p.mu.Lock()
		down := p.down[id]
		delete(p.down, id)
		delete(p.checking, id)
		p.mu.Unlock()
		if down {
			p.g.Log.WithFields(logrus.Fields{"event": "endpoint_checked", "endpoint": id, "reachable": reachable}).
				Info("stopped probing an unreachable endpoint")
		}
	})
}

// awaitReachable probes an engine until it answers or leaves, and reports
// whether it answered. It stops after maxUnclearAnswers errors in a row that do
// not show whether the engine can be reached.
func (p *enginePool) awaitReachable(id string, notify bool) bool {
	pause := minCheckPause
	for unclear := 0; unclear < maxUnclearAnswers; pause = min(2*pause, maxCheckPause) {
		e, ok := p.g.Roster.Get(id)
		if !ok || e.Leaving {
			return false // it gets no new work in any case
		}
		err := p.probe(e)
		switch {
		case err == nil:
			return true
		case errors.Is(err, ErrUnreachable):
			unclear = 0
			p.sched.Suspect(id, time.Now().Add(pause+2*probeLimit))
			p.markUnreachable(e, err, notify)
		default:
			unclear++
		}
		if !sleep.For(p.g.base, pause) {
			return false
		}
	}
	return false
}

// markUnreachable records that an engine cannot be reached. It drops the copies
// held there, and replaces those of runs whose own engine is leaving or gone.
func (p *enginePool) markUnreachable(e roster.Endpoint, err error, notify bool) {
	p.mu.Lock()
	known := p.down[e.ID]
	p.down[e.ID] = true
	p.mu.Unlock()
	if known {
		return
	}
	_, copies := p.g.runs.runsAt(e.ID)
	p.g.Log.WithError(err).WithFields(logrus.Fields{"event": "endpoint_unreachable", "endpoint": e.ID, "copies": len(copies)}).
		Warn("endpoint cannot be reached")
	p.g.protectAll(p.g.dropCopiesAt(copies, e.ID))
	if notify {
		p.g.sendNotice(loads.Notice{Endpoint: e.ID, Born: e.Born, Gone: true})
	}
}

// probe requests a report from an engine and returns the error.
func (p *enginePool) probe(e roster.Endpoint) error {
	ctx, cancel := context.WithTimeout(p.g.base, probeLimit)
	defer cancel()
	_, err := p.g.report(ctx, e)
	return err
}

// isDown reports whether an engine is known to be unreachable.
func (p *enginePool) isDown(id string) bool {
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
	if d, ok := g.enginePools.Load(e.Service); ok && n.Gone {
		d.(*enginePool).startCheck(e.ID, false)
	}
}
