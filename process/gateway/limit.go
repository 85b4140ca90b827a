package gateway

import (
	"context"
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

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

// errLimited is the error of a control call that was not sent because the limit of its
// endpoint allows no request now.
var errLimited = errors.New("the endpoint's limit allows no request now")

// watchLimits connects the limits to the log and to the exchange with the other
// instances.
func (g *Gateway) watchLimits() {
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
	err := g.limits.Merge(data, time.Now(), func(id string) (ratelimit.Endpoint, bool) {
		e, ok := g.Roster.Get(id)
		return g.limitedEndpoint(e), ok
	})
	if err != nil {
		counters.Add("limits_malformed", 1)
	}
}

func (g *Gateway) limitedEndpoint(e roster.Endpoint) ratelimit.Endpoint {
	return ratelimit.Endpoint{ID: e.ID, Born: e.Born, Region: g.Settings.RegionOf(e.Place)}
}

// retainLimits drops the limits of endpoints that have left or started again.
func (g *Gateway) retainLimits() {
	g.limits.Retain(func(x ratelimit.Endpoint) bool {
		e, ok := g.Roster.Get(x.ID)
		return ok && e.Born == x.Born
	})
}

// send sends a call to an endpoint and records the limit that its answer names. The
// call must have been granted by g.limits.
func (g *Gateway) send(ctx context.Context, c Call) (*Answer, error) {
	sent := time.Now()
	answer, err := g.Backend.Send(ctx, c)
	if err == nil {
		g.recordLimit(c.Endpoint, answer, sent)
	}
	return answer, err
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
	case a.AddressReused: // another endpoint answered
	case a.Limit != nil:
		g.limits.Named(g.limitedEndpoint(e), *a.Limit, sent, now)
	case a.InvalidLimit == "" && !a.NotRun && a.Status < http.StatusInternalServerError:
		g.limits.Unnamed(g.limitedEndpoint(e), sent, now)
	}
}

// report requests an engine's state, unless its limit allows no request now.
func (g *Gateway) report(ctx context.Context, e roster.Endpoint) (Report, error) {
	if !g.limits.Take(e.ID, time.Now()) {
		counters.Add("reports_limited", 1)
		return Report{}, errLimited
	}
	return g.Backend.Report(ctx, e)
}

// limitOf reports whether an endpoint has a limit, and whether a request to it would be
// granted now.
func (g *Gateway) limitOf(endpoint string) (limited, ready bool) {
	return g.limits.Limited(endpoint), g.limits.Ready(endpoint, time.Now())
}

// pickReplica chooses a replica for an attempt and takes a grant of one request to it.
// If all replicas that can be used have limits, it waits for a grant, and refuses the
// request at once if none is due in time.
func (g *Gateway) pickReplica(ctx context.Context, j *job, p *pool, tried []string) (roster.Endpoint, *refusal.Error) {
	for {
		list := g.Roster.List(j.service)
		now := time.Now()
		open := list
		if g.limits.Any() {
			open = slices.DeleteFunc(slices.Clone(list), func(e roster.Endpoint) bool { return !g.limits.Ready(e.ID, now) })
		}
		if e, ok := p.balance.Pick(open, tried); ok {
			if g.limits.Take(e.ID, now) {
				return e, nil
			}
			p.balance.Done(e.ID, balance.Result{Refused: true}) // another request took the grant
			continue
		}
		best, due := g.nextGrant(list, tried, now)
		if best.ID == "" {
			f := refusal.New(refusal.NoEndpoint, refusal.NotRun, "no replica of service "+j.service+" can be used")
			f.RetryAt = retryTime(now)
			return best, f
		}
		wait := float64(j.deadline.Sub(now)) * grantWaitShare / float64(1+max(j.rank, 0))
		if until := now.Add(time.Duration(wait)); due.After(until) || !g.limits.Wait(ctx, best.ID, until) {
			if ctx.Err() != nil {
				return best, refusal.FromContext(ctx.Err())
			}
			_, due = g.nextGrant(list, tried, now)
			return best, g.refuseLimited(j, due, now)
		}
		if e, ok := g.Roster.Get(best.ID); ok && !e.Leaving {
			p.balance.Pick([]roster.Endpoint{e}, nil) // counts the attempt
			return e, nil
		}
	}
}

// nextGrant returns the endpoint of a list to which a request is due first, and when.
// The endpoint is empty if all of them are leaving or excluded. The time is never
// reached if this instance may send to none of them.
func (g *Gateway) nextGrant(list []roster.Endpoint, exclude []string, now time.Time) (best roster.Endpoint, due time.Time) {
	for _, e := range list {
		if e.Leaving || slices.Contains(exclude, e.ID) {
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
	f.RetryAt = retryTime(now)
	if due.After(f.RetryAt) && due.Before(now.Add(never)) {
		f.RetryAt = due.Add(jitter(retryDelaySpread))
	}
	g.logDecision(j, "not_placed", logrus.Fields{
		"reason": f.Reason, "left": j.deadline.Sub(now).Milliseconds(), "retry": f.RetryAt.Sub(now).Milliseconds(),
	})
	return f
}
