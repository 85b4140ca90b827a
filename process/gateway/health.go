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
	checkFirst  = 200 * time.Millisecond // until an engine that did not answer is asked again; doubles
	checkMost   = 2 * time.Second        // longest time until it is asked again
	unclearMost = 3                      // answers in a row that prove nothing, after which an engine is not asked again
	newsQueue   = 64                     // news that have yet to be sent
)

// ErrUnreachable marks the error of a Backend function that got no connection.
var ErrUnreachable = errors.New("no connection to the endpoint")

// check finds out whether an engine that failed, or that another instance calls
// gone, can be reached. While it cannot, it gets no requests and no copies, and
// copies there are not counted on. An engine that can be reached is judged by
// requests alone. Other instances are told of what this one has found by itself.
func (d *desk) check(id string, tell bool) {
	d.mu.Lock()
	busy := d.checked[id]
	d.checked[id] = true
	d.mu.Unlock()
	if busy {
		return
	}
	d.g.spawn(func() {
		reachable := d.awaitReachable(id, tell)
		d.mu.Lock()
		down := d.down[id]
		delete(d.down, id)
		delete(d.checked, id)
		d.mu.Unlock()
		if down {
			d.g.Log.WithFields(logrus.Fields{"event": "endpoint_checked", "endpoint": id, "reachable": reachable}).
				Info("checks of an unreachable endpoint have ended")
		}
	})
}

// awaitReachable asks an engine until it answers or leaves, and tells whether it
// has answered. It gives up when the answers prove nothing.
func (d *desk) awaitReachable(id string, tell bool) bool {
	pause := checkFirst
	for unclear := 0; unclear < unclearMost; pause = min(2*pause, checkMost) {
		e, ok := d.g.Roster.Get(id)
		if !ok || e.Leaving {
			return false // it gets nothing new anyway
		}
		err := d.ask(e)
		switch {
		case err == nil:
			return true
		case errors.Is(err, ErrUnreachable):
			unclear = 0
			d.sched.Suspect(id, time.Now().Add(pause+2*probeLimit))
			d.lost(e, err, tell)
		default:
			unclear++
		}
		if !sleep.For(d.g.base, pause) {
			return false
		}
	}
	return false
}

// lost notes that an engine cannot be reached.
func (d *desk) lost(e roster.Endpoint, err error, tell bool) {
	d.mu.Lock()
	known := d.down[e.ID]
	d.down[e.ID] = true
	d.mu.Unlock()
	if known {
		return
	}
	_, copies := d.g.runs.at(e.ID)
	d.g.Log.WithError(err).WithFields(logrus.Fields{"event": "endpoint_unreachable", "endpoint": e.ID, "copies": len(copies)}).
		Warn("endpoint cannot be reached")
	d.g.protectAll(d.g.forsake(copies, e.ID))
	if tell {
		d.g.tell(loads.News{Endpoint: e.ID, Born: e.Born, Gone: true})
	}
}

// ask asks an engine whether it lives.
func (d *desk) ask(e roster.Endpoint) error {
	ctx, cancel := context.WithTimeout(d.g.base, probeLimit)
	defer cancel()
	_, err := d.g.Backend.Report(ctx, e)
	return err
}

// isDown tells whether an engine cannot be reached.
func (d *desk) isDown(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.down[id]
}

// tell tells other instances of something that this one found out by itself.
func (g *Gateway) tell(n loads.News) {
	select {
	case g.news <- n:
	default:
		counters.Add("news_dropped", 1) // others find out by themselves
	}
}

// told takes in what another instance found out. That an endpoint said it leaves
// is taken as the endpoint's own word. That it cannot be reached takes nothing
// from it before this instance has looked itself: the link between the two may be at
// fault.
func (g *Gateway) told(n loads.News) {
	e, ok := g.Roster.Get(n.Endpoint)
	if !ok || e.Born != n.Born {
		return
	}
	if n.Leaving {
		g.Roster.MarkLeaving(e.ID, roster.FromInstance)
	}
	if d, ok := g.desks.Load(e.Service); ok && n.Gone {
		d.(*desk).check(e.ID, false)
	}
}
