package soak

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
	"github.com/eelgrassdock/eelgrassdock/platform/fake"
)

const (
	minHang     = 300 * time.Millisecond // shortest time for which an endpoint hangs
	maxHang     = 3 * time.Second        // longest time
	minAwake    = 300 * time.Millisecond // shortest time between two hangs of an endpoint; longer than it takes to begin a stream
	meanHangGap = 2 * time.Second
	maxHangs    = 4  // hangs of one series
	hangStream  = 22 // second half of the seed of HangPlan

	// answerBound is the time after which a request may be given up: seven tenths of
	// its route's.
	answerBound = routeTimeout * 7 / 10
	resumeSlack = 100 * time.Millisecond // for what was held in a hang to be handled after it
)

type (
	// hang is a time in which an endpoint does nothing and loses nothing.
	hang struct {
		from  time.Time
		until time.Time
	}

	// loss is a request that ended without its answer.
	loss struct {
		id  string
		why string
		at  time.Time
		// disturbed is Ledger.disturbed at the time.
		disturbed map[string]time.Time
	}
)

// HangPlan returns faults in which endpoints hang and go on, beside changes of the
// configuration and of settings. They depend only on the seed and the duration.
func HangPlan(seed uint64, total time.Duration) (plan []Fault) {
	random := rand.New(rand.NewPCG(seed, hangStream))
	changes := []string{Change, Withdraw, Hup}
	for at := quietStart; at < total-quietEnd; at += time.Duration(random.ExpFloat64() * float64(meanHangGap)) {
		f := Fault{Kind: Hang, After: at, Target: random.IntN(1 << 16)}
		if random.IntN(2) == 0 {
			f.Kind = Standstill
		}
		for range 1 + random.IntN(2)*random.IntN(maxHangs) {
			f.Last = minHang + time.Duration(random.Int64N(int64(maxHang-minHang)))
			change := Fault{
				Kind: changes[random.IntN(len(changes))], After: f.After + time.Duration(random.Int64N(int64(f.Last))), Target: random.IntN(1 << 16),
			}
			plan = append(plan, f, change)
			f.After += f.Last + minAwake + time.Duration(random.Int64N(int64(minAwake)))
		}
	}
	plan = slices.DeleteFunc(plan, func(f Fault) bool { return f.After+f.Last > total-quietEnd })
	slices.SortStableFunc(plan, func(a, b Fault) int { return int(a.After - b.After) })
	return plan
}

// hang makes the endpoint hang until a time, and is over then. It does nothing if the
// endpoint hangs or has been awake for less than minAwake: together the two would be
// one silence, longer than maxHang.
func (p *site) hang(until time.Time) {
	p.mu.Lock()
	e, awake := p.endpoint, time.Since(p.hungUntil) >= minAwake
	if awake {
		p.hungUntil = until
	}
	p.mu.Unlock()
	if !awake {
		return
	}
	p.s.ledger.Hangs(e.ID, time.Now(), until)
	e.PauseUntil(until)
	sleep.For(p.s.ctx, time.Until(until))
}

// hangAll makes all endpoints of one service hang.
func (s *Soak) hangAll(f Fault, until time.Time) {
	var all conc.WaitGroup
	defer all.Wait()
	for _, p := range s.sitesOf(f.Target) {
		all.Go(func() { p.hang(until) })
	}
}

// sitesOf returns the sites of the service that a fault selects.
func (s *Soak) sitesOf(target int) (sites []*site) {
	service := []string{fake.EngineService, fake.PlainService}[target%2]
	for _, p := range s.sites {
		if p.service == service {
			sites = append(sites, p)
		}
	}
	return sites
}

// Hangs records that an endpoint hangs. That is no disturbance: it excuses nothing that
// ends for it.
func (l *Ledger) Hangs(endpoint string, from, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initMaps()
	last := l.hangs[endpoint]
	if last.until.Before(from) {
		last.from = from
	}
	if until.After(last.until) {
		last.until = until
	}
	l.hangs[endpoint] = last
}

// hungSince reports whether an endpoint has hung at any time after from; the lock is
// held.
func (l *Ledger) hungSince(endpoint string, from time.Time) bool {
	return l.hangs[endpoint].until.After(from)
}

// arrival returns when a request that an endpoint handles at a time may have been
// passed on to it: when its hang began, if that has only just ended. The lock is held.
func (l *Ledger) arrival(endpoint string, at time.Time) time.Time {
	if h := l.hangs[endpoint]; at.After(h.from) && at.Before(h.until.Add(resumeSlack)) {
		return h.from
	}
	return at
}

// Answered records that a caller received the whole answer of an endpoint.
func (l *Ledger) Answered(id, endpoint string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initMaps()
	r := l.requests[id]
	l.passOn(r, endpoint, at)
	for endpoint := range r.worked {
		if l.hungSince(endpoint, r.sent) || l.stalledSince(r.instance, r.sent) {
			l.check(Whole, true, "")
			return
		}
	}
}

// Lost records that a request ended without an answer and without the promise that it
// has not run. Close decides whether that breaks the promise Whole, because an endpoint
// that hangs names the request later.
func (l *Ledger) Lost(id, why string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initMaps()
	r := l.requests[id]
	if at.Sub(r.sent) < answerBound && l.undisturbed(r.instance, at) && at.Sub(l.disturbed[storeName]) > settleTime {
		l.losses = append(l.losses, loss{id: id, why: why, at: at, disturbed: maps.Clone(l.disturbed)})
	}
}

// closeLosses checks that each request that was lost had not been passed on, or only to
// an endpoint that was disturbed or has left; the lock is held.
func (l *Ledger) closeLosses() {
	for _, x := range l.losses {
		r := l.requests[x.id]
		excused := len(r.worked) == 0 || r.spoilt
		for endpoint := range r.worked {
			_, left := l.leaving[endpoint]
			excused = excused || left || x.at.Sub(x.disturbed[endpoint]) <= settleTime
		}
		l.check(Whole, excused, "request %s to %s at %s, once %v, ended after %s: %s; at %v, hung since it was sent: %v", x.id, r.instance,
			r.service, r.once, x.at.Sub(r.sent).Round(time.Millisecond), x.why, slices.Sorted(maps.Keys(r.worked)), l.hungOf(r))
	}
}

// hungOf returns the endpoints that have hung since a request was sent, of those that
// worked on it; the lock is held.
func (l *Ledger) hungOf(r *request) (endpoints []string) {
	for endpoint := range r.worked {
		if l.hungSince(endpoint, r.sent) {
			endpoints = append(endpoints, endpoint)
		}
	}
	slices.Sort(endpoints)
	return endpoints
}
