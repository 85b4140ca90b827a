package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
	"github.com/eelgrassdock/eelgrassdock/platform/wire"
)

// Kinds of faults of a PlacePlan, and the promises that they test.
const (
	Evacuate = "evacuate" // the operator keeps new requests from a place for a while
	TurnCold = "turncold" // an endpoint turns cold for a while; its row and its answers say so

	Evacuated = "evacuated" // nothing reaches an endpoint of an evacuated place after evacuateBound
	Cold      = "cold"      // a cold endpoint gets no more requests in a second than it tolerates
)

const (
	evacuateBound    = 5 * time.Second // from the store's answer to the operator
	meanEvacuateGap  = 3 * time.Second // between two evacuations, which do not overlap
	shortestEvacuate = evacuateBound + time.Second
	longestEvacuate  = evacuateBound + 4*time.Second
	meanColdGap      = 2 * time.Second
	shortestCold     = 3 * time.Second
	longestCold      = 5 * time.Second
	coldKnown        = 1500 * time.Millisecond // from a change of a row until it is known everywhere
	coldTime         = 0.5                     // seconds for which an endpoint that starts is cold
	coldRate         = 10.0                    // requests per second that a cold endpoint tolerates
	coldFactor       = 1.5
	coldSlack        = 5.0
	coldWindow       = time.Second
)

type (
	// placeLedger holds what the promises Evacuated and Cold are checked against.
	placeLedger struct {
		places    map[string]string        // of endpoints
		evacuated map[string]time.Time     // when the evacuation of a place was stored
		cold      map[string]*coldEndpoint // by endpoint
	}

	// coldEndpoint is an endpoint that is cold from since until until.
	coldEndpoint struct {
		since, until time.Time
		times        []time.Time // of the arrivals in the last coldWindow
	}
)

// PlacePlan returns evacuations and endpoints that turn cold, beside instances that are
// killed, suspended or cut off from the store, and endpoints that leave and return.
func PlacePlan(seed uint64, total time.Duration) (plan []Fault) {
	random := rand.New(rand.NewPCG(seed, 61))
	between := func(shortest, longest time.Duration) time.Duration {
		return shortest + time.Duration(random.Int64N(int64(longest-shortest)))
	}
	for at := quietStart; at < total-quietEnd; {
		f := Fault{Kind: Evacuate, After: at, Last: between(shortestEvacuate, longestEvacuate), Target: random.IntN(1 << 16)}
		plan = append(plan, f)
		at += f.Last + time.Duration(random.ExpFloat64()*float64(meanEvacuateGap))
	}
	for at := quietStart; at < total-quietEnd; at += time.Duration(random.ExpFloat64() * float64(meanColdGap)) {
		plan = append(plan, Fault{Kind: TurnCold, After: at, Last: between(shortestCold, longestCold), Target: random.IntN(1 << 16)})
	}
	kinds := []string{Kill, Pause, Cutoff, Reclaim, Reclaim, Crash, Change}
	for at := quietStart; at < total-quietEnd; at += time.Duration(random.ExpFloat64() * float64(2*meanFaultGap)) {
		f := Fault{Kind: kinds[random.IntN(len(kinds))], After: at, Last: between(minFault, maxFault), Target: random.IntN(1 << 16)}
		if f.Kind == Cutoff {
			f.Harm = Silence
		}
		plan = append(plan, f)
	}
	plan = slices.DeleteFunc(plan, func(f Fault) bool { return f.After+f.Last > total-quietEnd })
	slices.SortStableFunc(plan, func(a, b Fault) int { return int(a.After - b.After) })
	return plan
}

// evacuate keeps new requests from a place until a time.
func (s *Soak) evacuate(f Fault, until time.Time) {
	place := s.placeNames[f.Target%len(s.placeNames)]
	if s.Sabotage != Evacuated {
		s.store.Put(wire.TableOperator, wire.KeyEvacuate+place, []byte("{}"))
	}
	s.ledger.evacuate(place, time.Now())
	sleep.For(s.ctx, time.Until(until))
	s.ledger.evacuate(place, time.Time{})
	s.store.Remove(wire.TableOperator, wire.KeyEvacuate+place)
}

// turnCold makes the endpoint of a site cold until a time. Endpoints that are about to leave
// are left out.
func (p *site) turnCold(until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy || p.stopped {
		return
	}
	p.s.ledger.turnsCold(p.endpoint.ID, time.Now().Add(coldKnown), until)
	if p.s.Sabotage != Cold {
		p.endpoint.TurnCold(until)
		p.s.store.PutEndpoint(p.endpoint, p.leaving)
	}
}

// starts records the place of an endpoint.
func (l *Ledger) starts(endpoint, place string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initMaps()
	l.places[endpoint] = place
}

func (l *Ledger) evacuate(place string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initMaps()
	delete(l.evacuated, place)
	if !at.IsZero() {
		l.evacuated[place] = at
	}
}

func (l *Ledger) turnsCold(endpoint string, since, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initMaps()
	l.cold[endpoint] = &coldEndpoint{since: since, until: until}
}

// checkPlace checks the promises Evacuated and Cold for a request that arrives at an
// endpoint; the lock is held.
func (l *Ledger) checkPlace(id, endpoint string, at time.Time) {
	r := l.requests[id]
	place := l.places[endpoint]
	if closed, ok := l.evacuated[place]; ok && r != nil && l.settled(r.instance, at) && l.undisturbed(endpoint, at) {
		l.check(Evacuated, at.Sub(closed) <= evacuateBound, "%s in %s gets request %s of instance %s %s after the evacuation was stored",
			endpoint, place, id, r.instance, at.Sub(closed))
	}
	x := l.cold[endpoint]
	if x == nil || at.Before(x.since) || at.After(x.until) {
		return
	}
	x.times = slices.DeleteFunc(x.times, func(t time.Time) bool { return at.Sub(t) >= coldWindow })
	x.times = append(x.times, at)
	most := coldRate*coldFactor + coldSlack
	// Arrivals that a disturbed link has held back come together.
	if l.undisturbed(endpoint, at) {
		l.check(Cold, float64(len(x.times)) <= most, "%s got %d requests in %s while it was cold, %.0f are allowed", endpoint, len(x.times), coldWindow, most)
	}
}
