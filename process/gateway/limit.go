package gateway

import (
	"context"
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
	"github.com/eelgrassdock/eelgrassdock/process/balance"
	"github.com/eelgrassdock/eelgrassdock/process/loads"
	"github.com/eelgrassdock/eelgrassdock/process/ratelimit"
	"github.com/eelgrassdock/eelgrassdock/process/roster"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

const (
	// grantWaitShare is the share of the time to its deadline for which the most
	// urgent plain request waits if all replicas have limits. Less urgent ones wait
	// less, so that they are refused first.
	grantWaitShare = 0.6
	never          = math.MaxInt64 // as a duration until a grant
)

// errLimited is the error of a control call that was not sent because the limit or the
// pause of its endpoint allows no request now.
var errLimited = errors.New("the endpoint's limit or pause allows no request now")

// watchLimits connects the limits to the log and to the exchange with the other
// instances.
func (g *Gateway) watchLimits() {
	g.watchCold()
	g.limits.Unsent = g.sendUpdates
	g.limits.Changed = func(c ratelimit.Change) {
		if c.Rate > 0 {
			counters.Add("limits_named", 1)
			g.Log.WithFields(logrus.Fields{"event": "limit_named", "endpoint": c.Endpoint, "rate": c.Rate, "source": c.Source}).
				Info("endpoint names a limit")
			return
		}
		counters.Add("limits_ended", 1)
		g.Log.WithFields(logrus.Fields{
			"event": "limit_ended", "endpoint": c.Endpoint, "source": c.Source, "lasted": c.Lasted.Milliseconds(), "granted": c.Granted,
		}).Info("endpoint no longer names a limit")
	}
}

// setLimitMembers tells the limits which instances share them.
func (g *Gateway) setLimitMembers(now time.Time) {
	if g.listMembers == nil {
		return
	}
	var list []ratelimit.Member
	for _, m := range g.listMembers() {
		list = append(list, ratelimit.Member{ID: m.ID, Region: m.Region})
	}
	g.limits.SetMembers(g.id, list, now)
}

// limitUpdates returns the datagrams that tell the other instances of limits.
func (g *Gateway) limitUpdates(all bool) (datagrams [][]byte) {
	updates, err := g.limits.Updates(all, time.Now())
	if err != nil {
		g.Log.WithError(err).Error("limits cannot be encoded")
	}
	for _, u := range updates {
		datagrams = append(datagrams, loads.Limits(u))
	}
	return datagrams
}

// onLimits handles an update of another instance.
func (g *Gateway) onLimits(data []byte) {
	err := g.limits.Merge(data, time.Now(), g.findLimited)
	if err != nil {
		counters.Add("limits_malformed", 1)
	}
}

func (g *Gateway) limitedEndpoint(e roster.Endpoint) ratelimit.Endpoint {
	return ratelimit.Endpoint{ID: e.ID, Born: e.Born, Region: g.Settings.RegionOf(e.Place)}
}

// retainLimits drops the limits of endpoints that have left or started again.
func (g *Gateway) retainLimits() {
	g.limits.Retain(time.Now(), g.findLimited)
}

func (g *Gateway) findLimited(id string) (ratelimit.Endpoint, bool) {
	e, ok := g.Roster.Get(id)
	return g.limitedEndpoint(e), ok
}

// send sends a call to an endpoint and records the limit that its answer names. The
// call must have been granted by g.limits.
func (g *Gateway) send(ctx context.Context, c Call) (*Answer, error) {
	c.Closed = func() bool { return g.isClosed(c.Endpoint) }
	waited, err := g.awaitPlaces(ctx)
	if err != nil {
		return nil, err
	}
	// Requests that have waited are sent together, so that their grants count no more.
	if c.Closed() || waited && !g.limits.Take(c.Endpoint.ID, time.Now()) {
		return nil, refuseClosed()
	}
	sent := time.Now()
	answer, err := g.Backend.Send(ctx, c)
	if errors.Is(err, ErrClosed) {
		return nil, refuseClosed()
	}
	if err == nil {
		g.recordLimit(c.Endpoint, answer, sent)
		if !answer.AddressReused {
			g.heed(c.Endpoint, answer.Signals, roster.FromEndpoint)
		}
	}
	return answer, err
}

// isReplaced reports whether another process is listed under the ID of an endpoint.
func (g *Gateway) isReplaced(e roster.Endpoint) bool {
	listed, ok := g.Roster.Get(e.ID)
	return ok && listed.Born != e.Born
}

// heed handles what an endpoint says about itself in an answer. The process that was
// asked has ended if another one answers at its address.
func (g *Gateway) heed(e roster.Endpoint, s Signals, source string) {
	if s.Leaving {
		g.Roster.MarkLeaving(e.ID, e.Born, source)
	}
	if s.InvalidRetry != "" {
		counters.Add("pauses_invalid", 1)
		if g.sampler.Other() {
			g.Log.WithFields(logrus.Fields{"event": "pause_invalid", "endpoint": e.ID, "value": s.InvalidRetry}).
				Warn("endpoint asks for a pause that is no time")
		}
	}
	now := time.Now()
	if s.ColdUntil.After(now) && !g.isReplaced(e) {
		g.cool(coldSign{endpoint: e, until: s.ColdUntil, source: coldByAnswer})
	}
	if !s.RetryAt.After(now) || g.isReplaced(e) {
		return
	}
	g.limits.Pause(g.limitedEndpoint(e), s.RetryAt, now)
	counters.Add("pauses_asked", 1)
	if g.sampler.Other() {
		g.Log.WithFields(logrus.Fields{"event": "pause_asked", "endpoint": e.ID, "wait": s.RetryAt.Sub(now).Milliseconds()}).
			Info("endpoint wants no requests for some time")
	}
}

// recordLimit records what an answer to a request that was sent at a time says about
// the limit of its endpoint. Only the answer to a request that ran shows that there is
// none: a refusal may come from a part of the endpoint that names no limits.
func (g *Gateway) recordLimit(e roster.Endpoint, a *Answer, sent time.Time) {
	if a.InvalidLimit != "" {
		counters.Add("limits_invalid", 1)
		if g.sampler.Other() {
			g.Log.WithFields(logrus.Fields{"event": "limit_invalid", "endpoint": e.ID, "value": a.InvalidLimit}).
				Warn("endpoint names a limit that is no rate")
		}
	}
	switch now := time.Now(); {
	case a.AddressReused, g.isReplaced(e): // another process has the address or the ID
	case a.Limit != nil:
		g.limits.Named(g.limitedEndpoint(e), *a.Limit, sent, now)
	case a.InvalidLimit == "" && !a.NotRun && a.Status < http.StatusInternalServerError:
		g.limits.Unnamed(g.limitedEndpoint(e), sent, now)
	}
}

// report requests an engine's state, unless its limit allows no request now or its place
// is evacuated.
func (g *Gateway) report(ctx context.Context, e roster.Endpoint) (Report, error) {
	if !g.mayOrder(e) {
		return Report{}, errEvacuated
	}
	if !g.limits.Take(e.ID, time.Now()) {
		counters.Add("reports_limited", 1)
		return Report{}, errLimited
	}
	r, err := g.Backend.Report(ctx, e)
	g.heed(e, r.Signals, roster.FromReport)
	return r, err
}

// limitOf reports whether copies must not be placed at an endpoint because of a limit, a
// pause or a cold time, and whether a request to it would be granted now.
func (g *Gateway) limitOf(endpoint string) (limited, ready bool) {
	now := time.Now()
	return !g.limits.AllowsCopies(endpoint, now), g.limits.Ready(endpoint, now)
}

// pickReplica chooses a replica for an attempt and takes a grant of one request to it.
// If all replicas that can be used have limits, it waits for a grant, and refuses the
// request at once if none is due in time.
func (g *Gateway) pickReplica(ctx context.Context, j *job, p *pool, tried []string) (roster.Endpoint, *refusal.Error) {
	until := grantUntil(j, time.Now())
	if f := g.checkStop(j); f != nil {
		return roster.Endpoint{}, f
	}
	wait, done := g.waitContext(ctx, j)
	defer done()
	for {
		if e, ok := g.takeReplica(j, p, tried); ok {
			return e, nil
		}
		list, now := g.endpointsFor(j), time.Now()
		best, due := g.nextGrant(list, tried, now)
		if best.ID == "" && len(tried) == 0 && g.awaitReplica(wait, j, p, until) {
			continue
		}
		if best.ID == "" && wait.Err() != nil && ctx.Err() == nil {
			return best, g.refuseWaiting()
		}
		if best.ID == "" {
			if f := g.checkRegions(j); f != nil {
				return best, f
			}
			f := refusal.New(refusal.NoEndpoint, refusal.NotRun, "no replica of service "+j.service+" can be used")
			f.RetryAt = g.returnTime(j)
			return best, f
		}
		if due.After(until) || !g.limits.Wait(wait, best.ID, until) {
			switch {
			case ctx.Err() != nil:
				return best, refusal.FromContext(ctx.Err())
			case wait.Err() != nil:
				return best, g.refuseWaiting()
			}
			_, due = g.nextGrant(list, tried, now)
			return best, g.refuseLimited(j, due, now)
		}
		if e, ok := g.Roster.Get(best.ID); ok && !e.Closed() {
			p.balance.Pick([]roster.Endpoint{e}, nil) // counts the attempt
			if g.allows(j, e) {
				return e, nil
			}
			p.balance.Done(e.ID, balance.Result{Refused: true}) // its row names another place by now
		}
	}
}

// takeReplica chooses a replica that the request may use, that is not in tried and can get a
// request now, and counts the request there. It returns false if there is none.
func (g *Gateway) takeReplica(j *job, p *pool, tried []string) (roster.Endpoint, bool) {
	for {
		list, now := g.endpointsFor(j), time.Now()
		if g.limits.Any() {
			list = slices.DeleteFunc(slices.Clone(list), func(e roster.Endpoint) bool { return !g.limits.Ready(e.ID, now) })
		}
		e, ok := p.balance.Pick(list, tried)
		if !ok || g.limits.Take(e.ID, now) {
			return e, ok
		}
		p.balance.Done(e.ID, balance.Result{Refused: true}) // another request took the grant
	}
}

// grantUntil returns the time until which a plain request waits for a replica that can
// take it.
func grantUntil(j *job, now time.Time) time.Time {
	return now.Add(time.Duration(float64(j.deadline.Sub(now)) * grantWaitShare / float64(1+max(j.rank, 0))))
}

// awaitReplica waits as awaitEndpoint does, and then for a random time that grows with the
// number of requests that wait, so that they do not reach the replica together.
func (g *Gateway) awaitReplica(ctx context.Context, j *job, p *pool, until time.Time) bool {
	p.waiting.Add(1)
	defer p.waiting.Add(-1)
	if !g.awaitEndpoint(ctx, j, until) {
		return false
	}
	others := time.Duration(p.waiting.Load() - 1)
	return others <= 0 || sleep.For(ctx, jitter(others*ratelimit.ReleaseInterval))
}

// awaitEndpoint waits, if all endpoints that a request may use are closed, until one is
// listed that is open, and reports whether it is. It returns false at once if there are no
// such endpoints at all, or only ones in evacuated places: nothing shows then that others
// will follow.
func (g *Gateway) awaitEndpoint(ctx context.Context, j *job, until time.Time) bool {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	for waited := false; ; waited = true {
		changed := g.Roster.Watch(j.service)
		list := g.endpointsFor(j)
		if stays := slices.ContainsFunc(list, func(e roster.Endpoint) bool { return !e.Closed() }); stays || len(list) == 0 && !waited {
			return stays && waited
		}
		if len(list) > 0 && areEvacuated(list) {
			counters.Add("refused_all_evacuated", 1)
			return false
		}
		if !waited {
			counters.Add("waits_all_leaving", 1)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// nextGrant returns the endpoint of a list to which a request is due first, and when.
// The endpoint is empty if all of them are closed or excluded. The time is never
// reached if this instance may send to none of them.
func (g *Gateway) nextGrant(list []roster.Endpoint, exclude []string, now time.Time) (best roster.Endpoint, due time.Time) {
	for _, e := range list {
		if e.Closed() || slices.Contains(exclude, e.ID) {
			continue
		}
		at, ok := g.limits.Next(e.ID, now)
		if !ok {
			at = now.Add(never)
		}
		if best.ID == "" || at.Before(due) {
			best, due = e, at
		}
	}
	return best, due
}

// refuseLimited returns the refusal of a request if no endpoint has a grant for it in
// time, but at due. If this instance has none at all, another one may, so that the
// caller may return soon.
func (g *Gateway) refuseLimited(j *job, due, now time.Time) *refusal.Error {
	f := refusal.New(refusal.EndpointLimit, refusal.NotRun, "the endpoints of service "+j.service+" accept no more requests now")
	f.RetryAt = spreadReturn(due, now)
	g.logDecision(j, "not_placed", logrus.Fields{
		"reason": f.Reason, "left": j.deadline.Sub(now).Milliseconds(), "retry": f.RetryAt.Sub(now).Milliseconds(),
	})
	return f
}

// returnTime returns when the caller of a request that was refused may return: soon, or
// when an endpoint that the request may use accepts requests of this instance again.
func (g *Gateway) returnTime(j *job) time.Time {
	now := time.Now()
	if !g.limits.Any() {
		return retryTime(now)
	}
	_, due := g.nextGrant(g.endpointsFor(j), nil, now)
	return spreadReturn(due, now)
}

// spreadReturn returns a random time soon, or after due if that is later. If nothing is
// due here at all, another instance may take the request, so that the caller may return
// soon.
func spreadReturn(due, now time.Time) time.Time {
	at := retryTime(now)
	if due.After(at) && due.Before(now.Add(never)) {
		return due.Add(jitter(retryDelaySpread))
	}
	return at
}
