package soak

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/eelgrassdock/eelgrassdock/platform/fake"
)

// Promises that a soak checks.
const (
	Order   = "order"   // each event arrives once, in order, complete and from one run
	Own     = "own"     // a caller receives the answer to its own request, complete and as the endpoint sent it
	NotRun  = "notrun"  // a request that is reported as not run has not run and does not run later
	Once    = "once"    // a request that must not be repeated runs at most once
	Single  = "single"  // no two engines work on one run at the same time
	Leaving = "leaving" // a leaving endpoint receives no new request after leaveBound
	Planned = "planned" // a planned stop cuts off no request
	Config  = "config"  // a configuration is in force after configBound and never reverts
	Budget  = "budget"  // repeated runs stay within the retry budget of all instances together
	Revoked = "revoked" // a revoked key is refused after revokeBound
	Limits  = "limits"  // all instances together keep the limit that an endpoint names
	Drain   = "drain"   // an endpoint whose answer said that it leaves gets no new request of the instance after leaveBound
	Backoff = "backoff" // an endpoint that names a time to come back gets next to no request of the instance before
	Whole   = "whole"   // a request that an endpoint works on is answered whole, also if the endpoint hangs meanwhile
	Deadly  = "deadly"  // a request that has crashed three endpoints reaches next to none later; also the kind of fault
	Served  = "served"  // sound requests are answered beside deadly ones
)

// Promises lists every promise.
var Promises = []string{Order, Own, NotRun, Once, Single, Leaving, Planned, Config, Budget, Revoked, Limits, Whole, Drain, Backoff, Deadly, Served, Evacuated, Cold}

// Bounds of the promises, as the platform's specification states them, and
// tolerances of the checks.
const (
	leaveBound   = 3 * time.Second
	configBound  = 3 * time.Second
	revokeBound  = 5 * time.Second
	revertBound  = 250 * time.Millisecond
	settleTime   = 4 * time.Second // a bound applies to an instance that nothing has disturbed for this long
	budgetRatio  = 0.2             // repeated runs per request
	budgetWindow = 10 * time.Second
	budgetSlack  = 52
	maxOverlap   = 500 * time.Millisecond // time for a replica to notice that its reader has disconnected
	engineBound  = 400 * time.Millisecond // from the begin of a run at another engine until the one before has ended
	limitContact = 4 * time.Second        // from the first answer with a limit until it applies
	limitWindow  = 4 * time.Second
	limitFactor  = 1.5
	limitSlack   = 5
	maxDetails   = 5 // breaches of one promise that are reported in detail
)

type (
	// Breach is an observed violation of a promise.
	Breach struct {
		Promise string    `json:"promise"`
		At      time.Time `json:"at"`
		Detail  string    `json:"detail"`
	}

	// Ledger checks the promises from what callers and endpoints observe. The
	// zero value is ready to use.
	Ledger struct {
		mu        sync.Mutex
		requests  map[string]*request
		disturbed map[string]time.Time   // end of the last disturbance, by instance or endpoint
		planned   map[string]time.Time   // end of the last planned work, by instance
		leaving   map[string]time.Time   // when the store listed the endpoint as leaving
		sent      map[string][]time.Time // times of requests, by service
		repeats   map[string][]time.Time // times of repeated runs, by service
		checks    map[string]int64
		breaches  map[string]int64
		details   []Breach
		continued int64
		limits    map[string]*limited // by endpoint
		hangs     map[string]hang     // latest, by endpoint
		losses    []loss
		stalled   map[string]time.Time // end of the latest stall, by instance
		told      map[pair]time.Time   // when the instance passed on an answer which said that the endpoint leaves
		busy      map[pair][]*busyTime // of the endpoint, as the instance was told
		forgot    map[string]time.Time // latest start or freeze, by instance

		placeLedger

		identities  map[string]*identity // of requests that come again, by request
		crashes     int64                // of endpoints, by requests
		quarantined int64                // refusals of deadly requests as such
		mistaken    int64                // refusals of sound requests as deadly ones
	}

	// limited is the state of an endpoint that names a limit.
	limited struct {
		rate  float64
		since time.Time
		times []time.Time // of the requests in the last limitWindow that count
	}

	// request is the state of one request.
	request struct {
		instance    string
		service     string
		once        bool
		account     string
		sent        time.Time
		starts      int                  // runs that endpoints have started
		notRun      bool                 // reported to the caller as not run
		refused     time.Time            // when it was
		told        []string             // endpoints whose answer to the request said that they leave
		active      map[string]time.Time // endpoints that work on the request, with their start times
		worked      map[string]bool      // endpoints that have worked on the request
		completed   bool                 // an endpoint produced the complete answer
		interrupted bool                 // an endpoint ended the run early
		spoilt      bool                 // an endpoint has spoilt a part of the answer
	}
)

// initMaps creates the maps if needed; the lock is held.
func (l *Ledger) initMaps() {
	if l.requests == nil {
		l.requests, l.leaving = map[string]*request{}, map[string]time.Time{}
		l.disturbed, l.planned = map[string]time.Time{}, map[string]time.Time{}
		l.sent, l.repeats = map[string][]time.Time{}, map[string][]time.Time{}
		l.told, l.busy, l.forgot = map[pair]time.Time{}, map[pair][]*busyTime{}, map[string]time.Time{}
		l.stalled = map[string]time.Time{}
		l.identities = map[string]*identity{}
		l.places, l.evacuated, l.cold = map[string]string{}, map[string]time.Time{}, map[string]*coldEndpoint{}
		l.limits, l.hangs = map[string]*limited{}, map[string]hang{}
		l.checks, l.breaches = map[string]int64{}, map[string]int64{}
	}
}

// check counts a check and records a breach unless the promise was kept; the
// lock is held.
func (l *Ledger) check(promise string, kept bool, format string, args ...any) {
	l.checks[promise]++
	if kept {
		return
	}
	l.breaches[promise]++
	if l.breaches[promise] <= maxDetails {
		l.details = append(l.details, Breach{Promise: promise, At: time.Now(), Detail: fmt.Sprintf(format, args...)})
	}
}

// Check counts a check, and records a breach unless the promise was kept.
func (l *Ledger) Check(promise string, kept bool, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initMaps()
	l.check(promise, kept, format, args...)
}

// Disturb records a disturbance until a time. The name is that of an instance or
// endpoint, allProcesses or storeName.
func (l *Ledger) Disturb(name string, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initMaps()
	if until.After(l.disturbed[name]) {
		l.disturbed[name] = until
	}
}

// Plan records planned work on an instance, such as a stop, until a time.
func (l *Ledger) Plan(instance string, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initMaps()
	l.planned[instance] = until
}

// Settled reports whether an instance must be up to date at a time: neither it
// nor the store was disturbed, and no work on it was planned, for settleTime
// before that time or since.
func (l *Ledger) Settled(name string, at time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initMaps()
	return l.settled(name, at)
}

// Undisturbed reports whether no unplanned disturbance has affected an instance
// for settleTime before a time, nor since.
func (l *Ledger) Undisturbed(instance string, at time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initMaps()
	return l.undisturbed(instance, at)
}

// settled is Settled with the lock held.
func (l *Ledger) settled(name string, at time.Time) bool {
	return l.undisturbed(name, at) && at.Sub(l.planned[name]) > settleTime && at.Sub(l.disturbed[storeName]) > settleTime
}

// undisturbed is Undisturbed with the lock held. A disturbance of the store
// does not count, as it excuses no request that is cut off.
func (l *Ledger) undisturbed(name string, at time.Time) bool {
	return at.Sub(l.disturbed[name]) > settleTime && at.Sub(l.disturbed[allProcesses]) > settleTime
}

// Names for Disturb beside those of instances and endpoints.
const (
	allProcesses = "all"
	storeName    = "store"
)

// Leaves records that the store lists an endpoint as leaving.
func (l *Ledger) Leaves(endpoint string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initMaps()
	l.leaving[endpoint] = at
}

// Reached records a request that arrives at an endpoint, whose limit is rate requests
// per second, 0 for none. The request is empty for a control call. Requests of
// instances that were disturbed do not count.
func (l *Ledger) Reached(id, endpoint string, rate float64) {
	at := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initMaps()
	l.checkTold(id, endpoint, at)
	l.countArrival(id, endpoint, at)
	l.checkPlace(id, endpoint, at)
	x := l.limits[endpoint]
	if rate == 0 {
		delete(l.limits, endpoint)
		return
	}
	if x == nil || x.rate != rate {
		x = &limited{rate: rate, since: at}
		l.limits[endpoint] = x
	}
	if r := l.requests[id]; r != nil && !l.undisturbed(r.instance, at) {
		return
	}
	x.times = slices.DeleteFunc(x.times, func(t time.Time) bool { return at.Sub(t) >= limitWindow })
	x.times = append(x.times, at)
	if at.Sub(x.since) < limitContact {
		return
	}
	most := limitFactor*rate*limitWindow.Seconds() + limitSlack
	l.check(Limits, float64(len(x.times)) <= most, "%s got %d requests in %s at a limit of %v, %.0f are allowed", endpoint, len(x.times), limitWindow, rate, most)
}

// Sent records a request that a caller sends to an instance.
func (l *Ledger) Sent(id, instance, service, account string, once bool, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initMaps()
	l.requests[id] = &request{
		instance: instance, service: service, account: account, once: once, sent: at, active: map[string]time.Time{},
		worked: map[string]bool{},
	}
	l.sent[service] = append(l.sent[service], at)
}

// Began records that an endpoint starts to work on a request; continued is set
// if it continues a run of another endpoint.
func (l *Ledger) Began(id, endpoint, account string, continued bool, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initMaps()
	r := l.requests[id]
	l.check(Own, r != nil, "%s runs request %s, which no caller sent", endpoint, id)
	if r == nil {
		return
	}
	l.check(Own, r.account == account, "%s runs request %s for account %q, not %q", endpoint, id, account, r.account)
	// A repeatable request may have been passed on before the report; see Refused.
	arrival := l.arrival(endpoint, at)
	l.check(NotRun, !r.notRun || !r.once && arrival.Before(r.refused), "%s runs request %s, once %v, after it was reported as not run", endpoint, id, r.once)
	if continued {
		l.continued++
	}
	if r.starts++; r.starts > 1 {
		l.repeats[r.service] = append(l.repeats[r.service], at)
		if r.once {
			l.check(Once, continued, "%s runs request %s once more", endpoint, id)
		}
	} else if r.once {
		l.check(Once, true, "")
	}
	if continued && len(r.active) == 0 {
		l.check(Single, true, "")
	}
	for other, since := range r.active {
		if l.undisturbed(other, at) && l.undisturbed(r.instance, at) {
			bound := maxOverlap
			if r.service == fake.EngineService {
				bound = engineBound
			}
			time.AfterFunc(bound, func() { l.checkTakeover(id, other, endpoint, since) })
		}
	}
	r.active[endpoint], r.worked[endpoint] = at, true
	if left, ok := l.leaving[endpoint]; ok && !continued && l.settled(r.instance, at) && arrival.Sub(left) > leaveBound {
		l.check(Leaving, false, "%s gets request %s of instance %s %s after it was listed as leaving", endpoint, id, r.instance, arrival.Sub(left))
	} else if !continued {
		l.check(Leaving, true, "")
	}
}

// checkTakeover checks that an endpoint has stopped its work on a run that
// another one has taken over.
func (l *Ledger) checkTakeover(id, endpoint, successor string, since time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[id]
	at, active := r.active[endpoint]
	_, successorActive := r.active[successor]
	hung := l.hungSince(endpoint, since)
	successorEnded := !successorActive && (!hung || !r.completed)
	kept := !active || !at.Equal(since) || successorEnded || !l.undisturbed(endpoint, time.Now())
	// A plain request starts anew at the other replica. A replica that hangs can't notice
	// that its answer is no longer wanted.
	kept = kept || hung && r.service != fake.EngineService
	l.check(Single, kept, "%s and %s work on request %s", endpoint, successor, id)
}

// Ended records that an endpoint no longer works on a request; whole is set if
// it produced the complete answer.
func (l *Ledger) Ended(id, endpoint string, whole bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initMaps()
	if r := l.requests[id]; r != nil {
		delete(r.active, endpoint)
		if whole {
			r.completed = true
		} else {
			r.interrupted = true
		}
	}
}

// Spoils records that an endpoint spoils a part of the answer to a request, which then need
// not be whole.
func (l *Ledger) Spoils(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initMaps()
	if r := l.requests[id]; r != nil {
		r.spoilt = true
	}
}

// Refused records an answer that promises that the request has not run and
// never will.
func (l *Ledger) Refused(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initMaps()
	r := l.requests[id]
	r.notRun, r.refused = true, time.Now()
	// A repeatable request may have run before it was reported as not run, because
	// another run does no harm. Began checks that none is passed on after the report.
	l.check(NotRun, !r.once || r.starts == 0, "request %s was reported as not run but has run", id)
}

// Cut records that an instance that was stopping broke off an answer although
// the caller was still connected. The stop has broken the promise only if an
// endpoint had the complete answer or still worked on it. It has not if any
// endpoint ended a run of the request early, or an endpoint that worked on it was
// disturbed, because that may be why the answer broke off.
func (l *Ledger) Cut(id string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initMaps()
	r, now := l.requests[id], time.Now()
	lost := r.starts > 0 && !r.spoilt && (r.completed || len(r.active) > 0) && !r.interrupted && l.undisturbed(r.instance, now)
	for endpoint := range r.worked {
		lost = lost && l.undisturbed(endpoint, now)
	}
	l.check(Planned, !lost, "request %s was cut off by the planned stop of %s: %v", id, r.instance, err)
}

// Close makes the checks that need the whole run: the retry budget, and
// requests that ran although a caller was told otherwise.
func (l *Ledger) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initMaps()
	for service, repeats := range l.repeats {
		slices.SortFunc(repeats, time.Time.Compare)
		sent := l.sent[service]
		for i, from := range repeats {
			n := 0
			for _, at := range repeats[i:] {
				if at.Sub(from) <= budgetWindow {
					n++
				}
			}
			requests := max(countBetween(sent, from, from.Add(budgetWindow)), countBetween(sent, from.Add(-budgetWindow), from))
			most := budgetRatio*float64(requests) + budgetSlack
			l.check(Budget, float64(n) <= most, "%d repeats at %s in %s, %.0f are allowed", n, service, budgetWindow, most)
		}
	}
	for id, r := range l.requests {
		if r.notRun && r.once {
			l.check(NotRun, r.starts == 0, "request %s was reported as not run but has run", id)
		}
	}
	l.closeLosses()
}

// countBetween returns how many times lie between from, inclusive, and to,
// exclusive.
func countBetween(times []time.Time, from, to time.Time) (n int) {
	for _, at := range times {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// Continued returns the number of runs that were continued at another endpoint.
func (l *Ledger) Continued() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.continued
}

// Result returns the numbers of checks and breaches by promise, and the first
// breaches in detail.
func (l *Ledger) Result() (checks, breaches map[string]int64, details []Breach) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initMaps()
	return maps.Clone(l.checks), maps.Clone(l.breaches), slices.Clone(l.details)
}
