package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
	"github.com/eelgrassdock/eelgrassdock/platform/fake"
)

const (
	meanHeaderGap = 2500 * time.Millisecond
	minBusy       = time.Second // shortest time for which an endpoint turns requests away
	maxBusy       = 5 * time.Second
	departTime    = 8 * time.Second // from the first answer that says that an endpoint leaves to its end
	lateRow       = 6 * time.Second // until its row says so too
	headerStream  = 23              // second half of the seed of HeaderPlan

	busySlack    = 500 * time.Millisecond // for a refusal to reach the instance
	busyRequests = 2                      // requests of an instance that may reach an endpoint before the time that it named
)

type (
	// pair names an instance and an endpoint.
	pair struct {
		instance string
		endpoint string
	}

	// busyTime is a time in which an endpoint wants no requests of an instance.
	busyTime struct {
		from  time.Time
		until time.Time
		count int // requests that came all the same
	}
)

// HeaderPlan returns faults in which endpoints say by headers of their answers alone
// that they leave, or when to come back. They depend only on the seed and the duration.
func HeaderPlan(seed uint64, total time.Duration) (plan []Fault) {
	random := rand.New(rand.NewPCG(seed, headerStream))
	kinds := []string{Depart, Depart, Busy, Busy, Overload}
	for at := quietStart; at < total-quietEnd; at += time.Duration(random.ExpFloat64() * float64(meanHeaderGap)) {
		f := Fault{Kind: kinds[random.IntN(len(kinds))], After: at, Target: random.IntN(1 << 16)}
		if f.Last = minBusy + time.Duration(random.Int64N(int64(maxBusy-minBusy))); f.Kind == Depart {
			f.Last = departTime
		}
		plan = append(plan, f)
	}
	return slices.DeleteFunc(plan, func(f Fault) bool { return f.After+f.Last > total-quietEnd })
}

// depart makes the endpoint leave, which its answers say. Its row says so lateRow later,
// or never if silent is set.
func (p *site) depart(silent bool) {
	e, link, ok := p.acquire()
	if !ok {
		return
	}
	begun := time.Now()
	e.Leave()
	sleep.For(p.s.ctx, lateRow)
	if !silent {
		p.listLeaving(e)
		p.s.ledger.Leaves(e.ID, time.Now())
	}
	sleep.For(p.s.ctx, time.Until(begun.Add(departTime)))
	p.s.ledger.Disturb(e.ID, time.Now())
	p.end(e, link)
	p.s.store.RemoveEndpoint(e.ID)
	p.restart()
}

// turnAway makes the endpoint refuse all requests until a time, which it names.
func (p *site) turnAway(until time.Time) {
	e, _ := p.current()
	e.SetFaults(fake.EndpointFaults{Refuse: 1, RetryAt: until})
	sleep.For(p.s.ctx, time.Until(until))
	e.SetFaults(p.s.defaultFaults(p.n))
}

// turnAllAway makes all endpoints of one service refuse all requests until a time.
func (s *Soak) turnAllAway(f Fault, until time.Time) {
	var all conc.WaitGroup
	defer all.Wait()
	for _, p := range s.sitesOf(f.Target) {
		all.Go(func() { p.turnAway(until) })
	}
}

// SaysLeaving records that an endpoint answers a request and says that it leaves.
func (l *Ledger) SaysLeaving(id, endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initMaps()
	if r := l.requests[id]; r != nil {
		r.told = append(r.told, endpoint)
	}
}

// SaysBusy records that an endpoint refuses a request and wants no others of the
// instance until a time.
func (l *Ledger) SaysBusy(id, endpoint string, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initMaps()
	if r := l.requests[id]; r != nil {
		at := pair{r.instance, endpoint}
		l.check(Backoff, true, "")
		l.busy[at] = append(l.busy[at], &busyTime{from: time.Now().Add(busySlack), until: until})
	}
}

// Forgets records that an instance was started or frozen, which excuses it from what
// endpoints have told it before.
func (l *Ledger) Forgets(instance string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initMaps()
	l.forgot[instance] = time.Now()
}

// passOn records that an instance has passed on the answer of an endpoint. The lock is
// held.
func (l *Ledger) passOn(r *request, endpoint string, at time.Time) {
	to := pair{r.instance, endpoint}
	if before, ok := l.told[to]; ok && before.After(l.forgot[r.instance]) {
		return
	}
	if slices.Contains(r.told, endpoint) && r.sent.After(l.forgot[r.instance]) {
		l.told[to] = at
		l.check(Drain, true, "")
	}
}

// checkTold checks that a request may reach an endpoint after what the endpoint has
// told the instance. The lock is held.
func (l *Ledger) checkTold(id, endpoint string, at time.Time) {
	r := l.requests[id]
	if r == nil {
		return // a control call
	}
	from, forgot := pair{r.instance, endpoint}, l.forgot[r.instance]
	if told, ok := l.told[from]; ok && told.After(forgot) {
		l.check(Drain, r.sent.Sub(told) <= leaveBound, "%s gets request %s of %s, sent %s after %s had passed on an answer that said that it leaves",
			endpoint, id, r.instance, r.sent.Sub(told).Round(time.Millisecond), r.instance)
	}
	if !l.undisturbed(r.instance, at) || !l.undisturbed(endpoint, at) {
		return
	}
	for _, b := range l.busy[from] {
		said := b.from.Add(-busySlack)
		if said.Before(forgot) || l.hungSince(endpoint, said) || at.Before(b.from) || at.After(b.until) {
			continue
		}
		b.count++
		l.check(Backoff, b.count <= busyRequests, "%s gets request %d of %s, %s, %s before the time that it named", endpoint, b.count, r.instance, id,
			b.until.Sub(at).Round(time.Millisecond))
	}
}
