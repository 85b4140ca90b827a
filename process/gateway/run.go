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
	budgetShare     = 0.8                    // share of the retry budget that is used; the rest allows for stale information about the fleet
	housekeeping    = 5 * time.Second        // interval at which idle connections are closed
	stopReserve     = time.Second            // end of the grace time, when no request runs any more; for leaving and deregistering
	deregisterLimit = 600 * time.Millisecond // for deleting this instance's row; part of stopReserve
	leaveSpreadTime = 500 * time.Millisecond // until all instances have received that this one is leaving
	stopPoll        = 50 * time.Millisecond
	answerReserve   = 200 * time.Millisecond // part of stopReserve in which requests that were ended get their answers
	memberLogDelay  = 200 * time.Millisecond // changes of the live instances within this time are logged in one line
	keepFactor      = 3.0                    // some callers use a list of instances for three times as long as Settings.Keep allows
)

// Start prepares the gateway and starts its background tasks: following the
// tables of the store, the membership and the calls of peers. The user of the
// package opens the listeners for callers.
func (g *Gateway) Start(ctx context.Context, tables []*mirror.Table) error {
	g.id = instanceID(g.Settings.Name, relayMark+uuid.NewString()[:7], g.Settings.Link)
	g.begun, g.registerTried = time.Now(), make(chan struct{})
	g.base, g.cancel = context.WithCancel(ctx)
	g.requests, g.endRequests = context.WithCancel(context.WithoutCancel(ctx))
	g.waits, g.endWaits = context.WithCancel(g.base)
	g.Roster.Changed, g.Roster.OnLeaving = g.onEndpointsChanged, g.onEndpointLeaves
	g.members = &member.Node{Self: g.self(), Seeds: g.seeds, Panicked: g.logPanic, Payload: g.payload, OnPayload: g.onPayload, Changed: g.membersChanged}
	g.listMembers, g.memberStatus = g.members.Members, g.members.Status
	g.loadChanged, g.notices = make(chan struct{}, 1), make(chan loads.Notice, noticeQueue)
	g.updatesUnsent = make(chan struct{}, 1)
	g.limits.Start = time.Now()
	g.watchSuspects()
	g.watchLimits()
	for _, t := range tables {
		g.shareTable(t)
	}
	// Peers call as soon as they can connect.
	if _, err := g.listenPeers(); err != nil {
		return err
	}
	if err := g.listenLoads(); err != nil {
		return err
	}
	g.keep(func() {
		if err := g.members.Run(g.base); err != nil && g.base.Err() == nil {
			g.Log.WithError(err).Error("membership protocol failed")
		}
	})
	for _, t := range tables {
		g.keep(func() { t.Run(g.base) })
	}
	if g.Stalls != nil {
		g.keep(func() { g.Stalls.Run(g.base) })
	}
	g.keep(g.register)
	g.keep(g.cleanUpRows)
	g.keep(g.fetchFromSeeds)
	g.keep(g.housekeep)
	g.keep(g.pollEngines)
	g.keep(g.logReady)
	g.Log.WithFields(logrus.Fields{"event": "start", "process": g.id, "callers": g.Settings.Callers}).Info("instance started")
	return nil
}

// logReady logs how long this instance could not serve requests after its start, and where
// what it needs for that has come from.
func (g *Gateway) logReady() {
	for _, ready := range []<-chan struct{}{g.Tables.Ready(), g.Roster.Ready()} {
		select {
		case <-ready:
		case <-g.base.Done():
			return
		}
	}
	took := time.Since(g.begun).Milliseconds()
	g.readyAfter.Store(max(took, 1))
	sources := map[string]string{}
	for name, f := range g.feeds {
		sources[name] = f.latestOrigin().source
	}
	g.Log.WithFields(logrus.Fields{"event": "ready", "took": took, "instances": g.instanceCount(), "sources": sources}).
		Info("instance is ready for requests")
}

func (g *Gateway) housekeep() {
	for sleep.For(g.base, housekeeping) {
		if g.Trim != nil {
			g.Trim()
		}
	}
}

// Ready reports whether this instance should receive new requests.
func (g *Gateway) Ready() bool { return g.initialized() && g.stopping.Load() == nil }

// Stopping reports whether Stop has been called.
func (g *Gateway) Stopping() bool { return g.stopping.Load() != nil }

// Active returns the number of requests being served.
func (g *Gateway) Active() int64 { return g.active.Load() }

// Stop stops gracefully. It removes the instance from the answers to callers,
// and keeps serving requests that will probably end in time until callers no longer
// use an answer that contains it. Then it calls drain, which must reject new requests
// and let active ones continue. Stop returns when these have ended. At the end of the
// grace time it ends those that are left, so that they are refused or cut.
func (g *Gateway) Stop(drain func()) {
	now := time.Now()
	s := &stopping{
		begun:  now,
		listed: now.Add(time.Duration(float64(seconds(g.currentSettings().Keep)) * keepFactor)),
		end:    now.Add(seconds(g.currentSettings().Grace) - stopReserve),
	}
	if !g.stopping.CompareAndSwap(nil, s) {
		return
	}
	g.endWaits()
	g.members.Drain()
	g.members.Nudge()
	g.Log.WithFields(logrus.Fields{"event": "stop", "active": g.Active()}).Info("instance is stopping")
	waitUntil(g.base, earlier(s.listed.Add(leaveSpreadTime), s.end))
	drain()
	if !g.awaitIdle(s.end) {
		g.endAll()
	}
	g.members.Leave()
	g.unregister()
	if !g.awaitIdle(s.end) { // a request may have arrived while drain took effect
		g.endAll()
	}
	g.Log.WithFields(logrus.Fields{"event": "stopped", "active": g.Active(), "took": time.Since(now).Milliseconds()}).
		Info("instance stopped")
	g.cancel()
}

// awaitIdle waits until no request is left or a time is reached, and reports whether
// none is left.
func (g *Gateway) awaitIdle(until time.Time) bool {
	for {
		busy := g.Active() > 0 || g.Busy != nil && g.Busy() > 0
		if !busy || !time.Now().Before(until) || !sleep.For(g.base, stopPoll) {
			return !busy
		}
	}
}

// endAll ends the running requests, unless it has been called before, and waits
// until they have been answered, for at most answerReserve.
func (g *Gateway) endAll() {
	if g.requests == nil || g.requests.Err() != nil {
		return
	}
	g.endRequests()
	g.awaitIdle(time.Now().Add(answerReserve))
}

// membersChanged logs all changes within memberLogDelay in one line: when many
// instances start together, the list changes once for each of them. New instances are told
// which requests are condemned.
func (g *Gateway) membersChanged(list []member.Member) {
	g.noteLeaving(list, time.Now())
	if !g.memberLogDue.CompareAndSwap(false, true) {
		return
	}
	time.AfterFunc(memberLogDelay, func() {
		g.memberLogDue.Store(false)
		n := g.instanceCount()
		g.Log.WithFields(logrus.Fields{"event": "members", "members": n}).Info("live instances changed")
		if int64(n) > g.memberCount.Swap(int64(n)) {
			g.quarantine.Repeat(time.Now())
		}
	})
}

func (g *Gateway) onEndpointsChanged(service string) {
	// A service without requests has no pool. Rows may name any number of services.
	if p, ok := g.pools.Load(service); ok {
		p.(*pool).balance.Retain(g.Roster.List(service))
	}
	g.confirmCrashes()
	g.retainLimits()
	g.refreshEnginePool(service)
}

// onEndpointLeaves handles that an endpoint will leave. Every instance sees
// this in the list of endpoints, but only this one may have received what the
// endpoint itself reported, so that is sent to the other instances.
func (g *Gateway) onEndpointLeaves(e roster.Endpoint, source string) {
	counters.Add("leaving_by_"+source, 1)
	if source == roster.FromEndpoint || source == roster.FromReport {
		g.sendNotice(loads.Notice{Endpoint: e.ID, Born: e.Born, Leaving: true})
	}
	g.spawn(func() { g.protectRunsAt(e, source) })
}

func (g *Gateway) refreshEnginePools() {
	g.enginePools.Range(func(service, _ any) bool {
		g.refreshEnginePool(service.(string))
		return true
	})
}

func (g *Gateway) refreshEnginePool(service string) {
	d, ok := g.enginePools.Load(service)
	if !ok {
		return
	}
	if t := g.Tables.Current(); t != nil {
		if s := t.Service(service); s != nil && s.Engine != nil {
			d.(*enginePool).refresh(s.Engine)
		}
	}
}

// budgetSize returns this instance's part of the repeats that are allowed beyond
// the ratio to the requests, as the size of its token bucket. It is at least 1.
func (g *Gateway) budgetSize() float64 {
	return max(g.currentSettings().Retry.Slack*budgetShare/float64(g.instanceCount()), 1)
}

// logDecision logs a decision about a request with the values that led to it.
// Under load, successes are sampled by request ID and other events are limited
// in rate.
func (g *Gateway) logDecision(j *job, event string, fields logrus.Fields) {
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

func (g *Gateway) logViolation(what string) {
	counters.Add("violations", 1)
	g.Log.WithField("event", "violation").Error(what)
}

// waitUntil waits until a time and reports whether ctx had not ended by then.
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

// retryTime returns a random time for a refused caller to retry, so that
// callers refused together do not return together.
func retryTime(now time.Time) time.Time { return now.Add(minRetryDelay + jitter(retryDelaySpread)) }
