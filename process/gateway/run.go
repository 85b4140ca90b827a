package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
	"github.com/eelgrassdock/eelgrassdock/process/loads"
	"github.com/eelgrassdock/eelgrassdock/process/member"
	"github.com/eelgrassdock/eelgrassdock/process/mirror"
	"github.com/eelgrassdock/eelgrassdock/process/roster"
)

const (
	budgetShare   = 0.8                    // share of the retry budget that is used; the rest covers late knowledge
	housekeeping  = 5 * time.Second        // interval at which idle connections are closed
	stopReserve   = time.Second            // before the end of the grace time, in which nothing runs any more
	farewellLimit = 600 * time.Millisecond // for deleting the own row; part of stopReserve
	newsTime      = 500 * time.Millisecond // until all instances know that one is leaving
	stopPoll      = 50 * time.Millisecond
	membersLine   = 200 * time.Millisecond // changes of the live instances of this time are one log line
	knownFor      = 3.0                    // some callers use an answer for three times as long as they may
)

// stopping is the state of an instance that stops.
type stopping struct {
	end time.Time // requests in work must have ended by then
}

// Start prepares the gateway and starts its tasks: the tables of the store, the
// membership and the calls of peers. The listeners for callers are the user's.
func (g *Gateway) Start(ctx context.Context, tables []*mirror.Table) error {
	g.id = g.Settings.Name + "-" + uuid.NewString()[:8]
	g.base, g.cancel = context.WithCancel(ctx)
	g.Roster.Changed, g.Roster.OnLeaving = g.changed, g.leaves
	g.members = &member.Node{Self: g.self(), Seeds: g.seeds, Payload: g.payload, OnPayload: g.onPayload, Changed: g.membersChanged}
	g.dirty, g.news = make(chan struct{}, 1), make(chan loads.News, newsQueue)
	if _, err := g.listenPeers(); err != nil {
		return err
	}
	if err := g.listenLoads(); err != nil {
		return err
	}
	g.spawn(func() {
		if err := g.members.Run(g.base); err != nil && g.base.Err() == nil {
			g.Log.WithError(err).Error("membership ended")
		}
	})
	for _, t := range tables {
		g.share(t)
	}
	for _, t := range tables {
		g.spawn(func() { t.Run(g.base) })
	}
	g.spawn(g.register)
	g.spawn(g.tidy)
	g.spawn(g.askSeeds)
	g.spawn(g.housekeep)
	g.spawn(g.askEngines)
	g.Log.WithFields(logrus.Fields{"event": "start", "process": g.id, "callers": g.Settings.Callers}).Info("instance started")
	return nil
}

func (g *Gateway) spawn(task func()) { go task() }

func (g *Gateway) housekeep() {
	for sleep.For(g.base, housekeeping) {
		if g.Trim != nil {
			g.Trim()
		}
	}
}

// Ready tells whether this instance should get new requests.
func (g *Gateway) Ready() bool { return g.informed() && g.stopping.Load() == nil }

// Stopping tells whether this instance has been told to stop.
func (g *Gateway) Stopping() bool { return g.stopping.Load() != nil }

// Active gives the number of requests in work.
func (g *Gateway) Active() int64 { return g.active.Load() }

// Stop stops gracefully: the instance disappears from the answers to callers and
// goes on serving until callers can no longer know it. Then it calls drain,
// which must keep new requests out and leave those in work alone. Stop returns
// when these have ended, or when the time is over.
func (g *Gateway) Stop(drain func()) {
	now := time.Now()
	s := &stopping{end: now.Add(seconds(g.live().Grace) - stopReserve)}
	if !g.stopping.CompareAndSwap(nil, s) {
		return
	}
	g.members.Drain()
	g.members.Nudge()
	g.Log.WithFields(logrus.Fields{"event": "stop", "active": g.Active()}).Info("instance stops")
	known := now.Add(seconds(g.live().Keep)*knownFor + newsTime)
	waitUntil(g.base, earlier(known, s.end))
	drain()
	for time.Now().Before(s.end) && g.Active() > 0 && sleep.For(g.base, stopPoll) {
	}
	g.members.Leave()
	g.unregister()
	g.Log.WithFields(logrus.Fields{"event": "stopped", "active": g.Active(), "took": time.Since(now).Milliseconds()}).
		Info("instance stopped")
	g.cancel()
}

// membersChanged logs the changes of a moment in one line: many instances that
// start together change the list once for each of them.
func (g *Gateway) membersChanged([]member.Member) {
	if !g.telling.CompareAndSwap(false, true) {
		return
	}
	time.AfterFunc(membersLine, func() {
		g.telling.Store(false)
		g.Log.WithFields(logrus.Fields{"event": "members", "members": g.instances()}).Info("live instances changed")
	})
}

func (g *Gateway) changed(service string) {
	g.pool(service).balance.Retain(g.Roster.List(service))
	g.refreshDesk(service)
}

// leaves takes in that an endpoint leaves. The list reaches every instance; what
// the endpoint itself said may have reached this one alone.
func (g *Gateway) leaves(e roster.Endpoint, source string) {
	if source == roster.FromEndpoint || source == roster.FromReport {
		g.tell(loads.News{Endpoint: e.ID, Born: e.Born, Leaving: true})
	}
	g.spawn(func() { g.evacuate(e, source) })
}

func (g *Gateway) refreshDesks() {
	g.desks.Range(func(service, _ any) bool {
		g.refreshDesk(service.(string))
		return true
	})
}

func (g *Gateway) refreshDesk(service string) {
	d, ok := g.desks.Load(service)
	if !ok {
		return
	}
	if t := g.Tables.Current(); t != nil {
		if s := t.Service(service); s != nil && s.Engine != nil {
			d.(*desk).refresh(s.Engine)
		}
	}
}

// budgetSize is this instance's part of the repeats that one window may hold
// beyond the share of the requests.
func (g *Gateway) budgetSize() float64 {
	return max(g.live().Retry.Slack*budgetShare/float64(g.instances()), 1)
}

// decided logs a decision about a request with what it rests on. Successes are
// sampled under load.
func (g *Gateway) decided(j *job, event string, fields logrus.Fields) {
	switch event {
	case "relaying", "served":
		if !g.sampler.Success(j.ID) {
			return
		}
	default:
		if !g.sampler.Other() {
			return
		}
	}
	fields["event"], fields["request"], fields["route"] = event, j.ID, j.route.Name
	fields["version"] = j.table.Version
	g.Log.WithFields(fields).Info(event)
}

func (g *Gateway) violated(what string) {
	counters.Add("violations", 1)
	g.Log.WithField("event", "violation").Error(what)
}

// waitUntil waits for a time and tells whether ctx has not ended before.
func waitUntil(ctx context.Context, at time.Time) bool {
	d := time.Until(at)
	return d <= 0 && ctx.Err() == nil || sleep.For(ctx, d)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func jitter(d time.Duration) time.Duration { return rand.N(d) }

// comeBackAt spreads the return of callers that were refused together.
func comeBackAt(now time.Time) time.Time { return now.Add(comeBack + jitter(comeBackSpread)) }
