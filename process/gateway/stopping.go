package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
	"github.com/eelgrassdock/eelgrassdock/process/member"
	"github.com/eelgrassdock/eelgrassdock/process/pace"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

const (
	cutExcuse       = 3 * time.Second        // after the signal; the platform excuses the cut of a request that was sent by then
	noticeReserve   = 500 * time.Millisecond // part of cutExcuse, because the signal may be noticed late
	lateStart       = 2 * time.Second        // for which a stopped instance is expected back beyond the usual time
	waitReserve     = time.Second            // before the end of active requests; nothing is sent to an endpoint any more
	deadlineReserve = 100 * time.Millisecond // for the answer to a request whose deadline has passed
	expectedShare   = 0.99                   // quantile of the recent times that a request is expected to take
	// expectedFactor allows for endpoints that get slower while the instance stops. A
	// request that is refused goes to another instance, while the outcome of one that is
	// cut is not known.
	expectedFactor = 2
)

type (
	// stopping is the state of an instance that is stopping.
	stopping struct {
		begun  time.Time // when the signal to stop was received
		listed time.Time // until which callers use answers that list this instance
		end    time.Time // by which active requests must have ended
	}

	// departures holds when other instances were first seen to be stopping, by instance ID.
	departures struct {
		mu    sync.Mutex
		begun map[string]time.Time
	}

	// requestTimes holds how long recent requests took, by service and route.
	requestTimes struct {
		call  pace.Recorder // plain requests
		first pace.Recorder // of a generation, until its first event
		token pace.Recorder // of a generation, for one token after that; by service, as it depends on the engines
	}
)

// latestSend returns the time until which a request may be sent to an endpoint although
// this instance stops: as long as it will probably end in time, or has to because of its
// deadline. If nothing is known of the time that it takes, another instance should serve
// it. If there is none, it is sent for as long as its cut would be excused. A request that
// comes later is sent only if its deadline is before the end, because any other may take
// longer than recent ones: a refusal tells its caller that it has not run, a cut does not.
// Once a part of the answer was passed on, the caller can't be told to use another instance.
func (g *Gateway) latestSend(s *stopping, j *job) time.Time {
	latest := s.end.Add(-waitReserve)
	if j.answering.Load() {
		return latest
	}
	others := g.hasOther()
	if others && j.Arrived.After(s.listed) {
		return time.Time{} // callers go on with another instance by now
	}
	if deadline := j.deadlineOn(j.route); !deadline.After(s.end.Add(-deadlineReserve)) {
		return latest // its caller gets an answer by then in any case
	}
	if j.Arrived.After(earlier(s.listed, s.begun.Add(cutExcuse))) {
		return time.Time{}
	}
	switch expected, known := g.expectedTime(j); {
	case known:
		latest = earlier(latest, s.end.Add(-expectedFactor*expected))
	case others:
		return time.Time{}
	default:
		latest = earlier(latest, s.begun.Add(cutExcuse-noticeReserve))
	}
	return latest
}

// expectedTime returns the time that a request takes at most, as far as recent ones of
// its route show. It reports false if there were too few.
func (g *Gateway) expectedTime(j *job) (time.Duration, bool) {
	key, now := pace.Key{Service: j.service, Route: j.route.Name}, time.Now()
	s := j.table.Service(j.service)
	if s == nil || s.Engine == nil {
		return g.times.call.Quantile(key, expectedShare, now)
	}
	first, known := g.times.first.Quantile(key, expectedShare, now)
	length := g.lengths.Predict(j.service, j.route.Name, j.Max)
	tokens := length.Quantile(0, expectedShare)
	if !known || tokens <= float64(s.Engine.Stride) { // a single event
		return first, known
	}
	token, known := g.times.token.Quantile(pace.Key{Service: j.service}, expectedShare, now)
	if !known {
		return 0, false
	}
	return first + time.Duration(tokens*float64(token)), true
}

// hasOther reports whether another instance lives that is not stopping.
func (g *Gateway) hasOther() bool {
	return g.listMembers != nil && slices.ContainsFunc(g.listMembers(), func(m member.Member) bool { return m.ID != g.id && !m.Leaving })
}

// tooLate reports whether this instance stops and a request that is sent now would
// probably not end in time.
func (g *Gateway) tooLate(j *job) bool {
	s := g.stopping.Load()
	return s != nil && !time.Now().Before(g.latestSend(s, j))
}

// checkStop returns the refusal of a request that is too late for this instance to serve
// it, nil otherwise. It is called before the request is sent to an endpoint.
func (g *Gateway) checkStop(j *job) *refusal.Error {
	f := g.refuseLate(j)
	if s := g.stopping.Load(); f == nil && s != nil && j.Arrived.After(s.begun) {
		g.logDecision(j, "taken", g.stopFields(s, j))
	}
	return f
}

// refuseLate returns the refusal of a request that is too late for this instance to serve
// it, nil otherwise.
func (g *Gateway) refuseLate(j *job) *refusal.Error {
	if !g.tooLate(j) {
		return nil
	}
	g.logDecision(j, "not_taken", g.stopFields(g.stopping.Load(), j))
	return g.refuseStopping()
}

// stopFields returns what it depends on whether a request is sent to an endpoint although
// this instance stops, for a log line.
func (g *Gateway) stopFields(s *stopping, j *job) logrus.Fields {
	expected, _ := g.expectedTime(j)
	return logrus.Fields{
		"after": j.Arrived.Sub(s.begun).Milliseconds(), "left": time.Until(s.end).Milliseconds(),
		"expected": expected.Milliseconds(), "others": g.hasOther(),
	}
}

// CheckStop returns the refusal of a request whose body has not been received, if it is
// too late for this instance to serve it, nil otherwise.
func (g *Gateway) CheckStop(r *Request) *refusal.Error {
	t := g.Tables.Current()
	if !g.Stopping() || t == nil {
		return nil
	}
	route := t.Route(r.Host, r.Path)
	if route == nil {
		return nil // Serve says so
	}
	return g.refuseLate(&job{Request: r, table: t, route: route, service: route.Pick(rand.Float64())})
}

// waitContext returns a context that ends with ctx, or when the request may no longer be
// sent to an endpoint because this instance stops.
func (g *Gateway) waitContext(ctx context.Context, j *job) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(g.waits, func() {
		// The instance may also have ended without a stop.
		if s := g.stopping.Load(); s == nil || sleep.For(ctx, time.Until(g.latestSend(s, j))) {
			cancel()
		}
	})
	return ctx, func() {
		stop()
		cancel()
	}
}

// refuseStopping returns the refusal of a request because this instance stops.
func (g *Gateway) refuseStopping() *refusal.Error {
	f := refusal.New(refusal.Stopping, refusal.NotRun, "instance is stopping; use another one")
	if !g.hasOther() {
		f.RetryAt = g.serveTime(time.Now())
	}
	return f
}

// refuseWaiting returns the refusal of a request that waited until this instance stopped.
// Many of them are refused together.
func (g *Gateway) refuseWaiting() *refusal.Error {
	f := g.refuseStopping()
	if f.RetryAt.IsZero() {
		f.RetryAt = retryTime(time.Now())
	}
	return f
}

// noteLeaving records when instances were first seen to be stopping.
func (g *Gateway) noteLeaving(list []member.Member, now time.Time) {
	g.departures.mu.Lock()
	defer g.departures.mu.Unlock()
	before := g.departures.begun
	g.departures.begun = map[string]time.Time{}
	for id, begun := range before {
		if g.isAwaited(begun, now) {
			g.departures.begun[id] = begun
		}
	}
	for _, m := range list {
		if begun, known := before[m.ID]; m.Leaving && known {
			g.departures.begun[m.ID] = begun
		} else if m.Leaving {
			g.departures.begun[m.ID] = now
		}
	}
}

// returnAt returns when an instance that began to stop at a time is expected to serve
// again: the platform starts it again, and it takes as long as this one to get ready.
func (g *Gateway) returnAt(begun time.Time) time.Time {
	return begun.Add(seconds(g.currentSettings().Grace) + time.Duration(g.readyAfter.Load())*time.Millisecond)
}

// isAwaited reports whether an instance that began to stop at a time may still be expected.
func (g *Gateway) isAwaited(begun, now time.Time) bool { return now.Sub(g.returnAt(begun)) < lateStart }

// serveTime returns when a caller may return if all instances are stopping: when the
// first of them will have ended and started again, as far as is known.
func (g *Gateway) serveTime(now time.Time) time.Time {
	var first time.Time
	if s := g.stopping.Load(); s != nil {
		first = g.returnAt(s.begun)
	}
	g.departures.mu.Lock()
	for _, begun := range g.departures.begun {
		if g.isAwaited(begun, now) {
			first = earlier(first, g.returnAt(begun))
		}
	}
	g.departures.mu.Unlock()
	return later(retryTime(now), first.Add(jitter(retryDelaySpread)))
}

// recordCall records how long a plain request took, unless its caller left: the time then
// says little about the service.
func (g *Gateway) recordCall(ctx context.Context, j *job, begun time.Time, err error) {
	if err == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		now := time.Now()
		g.times.call.Observe(pace.Key{Service: j.service, Route: j.route.Name}, now.Sub(begun), now)
	}
}

// recordTimes records how long a complete generation took.
func (r *run) recordTimes() {
	key, now := pace.Key{Service: r.j.service, Route: r.j.route.Name}, time.Now()
	r.g.times.first.Observe(key, r.firstDelay, now)
	if tokens := (r.events - 1) * r.engine.Stride; tokens > 0 {
		r.g.times.token.Observe(pace.Key{Service: r.j.service}, (now.Sub(r.j.Arrived)-r.firstDelay)/time.Duration(tokens), now)
	}
}
