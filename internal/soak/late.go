package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
	"github.com/eelgrassdock/eelgrassdock/platform/fake"
)

const (
	latePause   = 150 * time.Millisecond // between two requests of a lateCaller
	longEvents  = 700                    // of a stream that outlasts a stop
	longWork    = 6 * time.Second        // of a plain request that ends after a stop, unless it came at its begin
	lateBound   = 3 * time.Second        // after SIGTERM; the end of the grace time excuses nothing that is sent later
	lateShare   = 6                      // the last part of this many of the grace time, in which earlier requests may be ended
	lateTimeout = 15 * time.Second       // beyond the grace time of an instance
)

// lateCaller sends requests to an instance that is stopping until its process is gone, on
// open connections and on new ones. Half of the requests take long, if long is set.
type lateCaller struct {
	s       *Soak
	i       *instance
	long    bool
	stopped time.Time // when SIGTERM was sent
	random  *rand.Rand
	key     string
	owner   string
	kept    *http.Client
	fresh   *http.Client
}

// askLate runs a lateCaller until the process of an instance has ended, which closes
// exited. One stop in two has requests that take long: it lasts longer than others, and
// most bounds do not apply meanwhile.
func (s *Soak) askLate(f Fault, i *instance, stopped time.Time, exited <-chan struct{}) {
	c := &lateCaller{
		s: s, i: i, long: f.Target/len(s.instances)%2 == 0, stopped: stopped, random: rand.New(rand.NewPCG(s.Seed, uint64(f.Target))),
		kept: s.newClient(), fresh: s.newClient(),
	}
	c.key, c.owner = permanentKey(0)
	c.fresh.Transport.(*http.Transport).DisableKeepAlives = true
	ctx, cancel := context.WithCancel(s.ctx)
	var requests conc.WaitGroup
	for sleep.For(ctx, latePause) && !isClosed(exited) {
		a, once := c.draw()
		client := c.kept
		if c.random.IntN(2) == 0 {
			client = c.fresh
		}
		requests.Go(func() { c.send(ctx, client, a, once) })
	}
	sleep.For(ctx, closeNoticeTime)
	cancel()
	requests.Wait()
	c.kept.CloseIdleConnections()
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// draw returns a random request, and whether it may run only once.
func (c *lateCaller) draw() (a fake.Request, once bool) {
	a = fake.Request{ID: fmt.Sprintf("%016x", rand.Uint64()), Key: c.key, Deadline: time.Now().Add(lateTimeout), Event: func(int, string) {}}
	work, events := "", 1+c.random.IntN(maxEvents)
	if c.random.IntN(2) == 0 && c.long {
		work, events = "?work="+longWork.String(), longEvents
	}
	switch c.random.IntN(4) {
	case 0:
		a.Path = fake.OncePrefix + "x" + work
		return a, true
	case 1:
		a.Path = fake.SafePrefix + "x" + work
	case 2:
		a.Path, a.Events = fake.GuidePrefix+"x", events
		return a, true
	case 3:
		a.Path, a.Events = fake.ShortPrefix+"x", events
	}
	return a, false
}

// send sends a request and checks how it ends.
func (c *lateCaller) send(ctx context.Context, client *http.Client, a fake.Request, once bool) {
	service := fake.PlainService
	if a.Events > 0 {
		service = fake.EngineService
	}
	l := &c.s.ledger
	l.Sent(a.ID, c.i.name, service, c.owner, once, time.Now())
	reply := a.Do(ctx, client, c.i.settings.Callers)
	if ctx.Err() != nil {
		return // the process has ended, or the soak
	}
	c.s.countReply(reply)
	switch {
	case reply.Err != nil:
		l.CutLate(a.ID, reply.Err.Error(), c.stopped, time.Now())
	case reply.NotRun:
		l.Refused(a.ID)
	case reply.Seal == "":
		l.CutLate(a.ID, fmt.Sprint("status ", reply.Status), c.stopped, time.Now())
	default:
		l.Check(Planned, true, "")
	}
}

// CutLate records that a request to an instance that was stopping since a time ended
// without an answer of an endpoint and without the promise that it has not run. That
// breaks the promise Planned if the request was passed on to an endpoint, unless the
// endpoint was disturbed or has left, or the request was sent early and ended late in the
// grace time.
func (l *Ledger) CutLate(id, why string, stopped, at time.Time) {
	const total = time.Duration(grace * float64(time.Second))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initMaps()
	r := l.requests[id]
	excused := len(r.worked) == 0 || r.spoilt || !l.undisturbed(r.instance, at)
	excused = excused || r.sent.Sub(stopped) <= lateBound && at.Sub(stopped) >= total-total/lateShare
	calm := map[string]time.Duration{} // since the latest disturbance of each endpoint that worked on it
	for endpoint := range r.worked {
		_, left := l.leaving[endpoint]
		excused = excused || left || !l.undisturbed(endpoint, at)
		if end, ok := l.disturbed[endpoint]; ok {
			calm[endpoint] = at.Sub(end).Round(time.Millisecond)
		}
	}
	l.check(Planned, excused, "request %s, once %v, sent %s after the signal to %s, was cut after %s: %s; at %v, calm since %v", id, r.once,
		r.sent.Sub(stopped).Round(time.Millisecond), r.instance, at.Sub(r.sent).Round(time.Millisecond), why, slices.Sorted(maps.Keys(r.worked)), calm)
}
