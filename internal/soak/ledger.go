package soak

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

// Promises that a soak checks.
const (
	Order   = "order"   // each event once, in order, whole, of one run
	Own     = "own"     // a caller gets its own answer, whole, as the endpoint gave it
	NotRun  = "notrun"  // what is said not to have run has not run and does not run later
	Once    = "once"    // a request that may not be repeated runs once at most
	Single  = "single"  // no two engines work on one run
	Leaving = "leaving" // a leaving endpoint gets no new request after leaveBound
	Planned = "planned" // a planned stop cuts off no request
	Config  = "config"  // a configuration is in force after configBound, and never reverts
	Budget  = "budget"  // repeats stay within the budget of all instances together
	Revoked = "revoked" // a revoked key is refused after revokeBound
)

// Promises lists every promise.
var Promises = []string{Order, Own, NotRun, Once, Single, Leaving, Planned, Config, Budget, Revoked}

// Bounds are those of the platform's sheets.
const (
	leaveBound  = 3 * time.Second
	configBound = 3 * time.Second
	revokeBound = 5 * time.Second
	revertBound = 250 * time.Millisecond
	contact     = 4 * time.Second // a bound holds for an instance that nothing has disturbed for this long
	budgetRatio = 0.2             // repeats for each request
	budgetSpan  = 10 * time.Second
	budgetSlack = 52
	overlap     = 500 * time.Millisecond // in which an engine notices that its reader is gone
	detailsKept = 5                      // breaches of one promise that are told in full
)

type (
	// Breach is a promise that was seen broken.
	Breach struct {
		Promise string    `json:"promise"`
		At      time.Time `json:"at"`
		Detail  string    `json:"detail"`
	}

	// Ledger checks the promises from what callers and endpoints see. The zero
	// value is ready.
	Ledger struct {
		mu        sync.Mutex
		requests  map[string]*request
		disturbed map[string]time.Time // instance or endpoint to the end of its last disturbance
		busy      map[string]time.Time // instance to the end of its last planned work
		leaving   map[string]time.Time // endpoint to when the list said so
		sent      map[string][]time.Time
		repeats   map[string][]time.Time
		checks    map[string]int64
		breaches  map[string]int64
		details   []Breach
		continued int64
	}

	// request is what is known of one request.
	request struct {
		instance string
		service  string
		once     bool
		account  string
		began    int
		notRun   bool
		active   map[string]time.Time // endpoints at work, since when
		worked   map[string]bool      // endpoints that have been at work
		whole    bool                 // an endpoint gave the whole answer
		broke    bool                 // an endpoint ended the run early
	}
)

// prepare makes the maps; the lock is held.
func (l *Ledger) prepare() {
	if l.requests == nil {
		l.requests, l.leaving = map[string]*request{}, map[string]time.Time{}
		l.disturbed, l.busy = map[string]time.Time{}, map[string]time.Time{}
		l.sent, l.repeats = map[string][]time.Time{}, map[string][]time.Time{}
		l.checks, l.breaches = map[string]int64{}, map[string]int64{}
	}
}

// check counts a check and notes a breach; the lock is held.
func (l *Ledger) check(promise string, kept bool, format string, args ...any) {
	l.checks[promise]++
	if kept {
		return
	}
	l.breaches[promise]++
	if l.breaches[promise] <= detailsKept {
		l.details = append(l.details, Breach{Promise: promise, At: time.Now(), Detail: fmt.Sprintf(format, args...)})
	}
}

// Check counts a check that was made elsewhere.
func (l *Ledger) Check(promise string, kept bool, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prepare()
	l.check(promise, kept, format, args...)
}

// Disturb notes that something was disturbed until a time.
func (l *Ledger) Disturb(name string, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prepare()
	if until.After(l.disturbed[name]) {
		l.disturbed[name] = until
	}
}

// Plan notes planned work on an instance, such as a stop, until a time.
func (l *Ledger) Plan(instance string, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prepare()
	l.busy[instance] = until
}

// InTouch tells whether nothing has disturbed something for long enough.
func (l *Ledger) InTouch(name string, at time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prepare()
	return l.inTouch(name, at)
}

// Calm tells whether nothing unplanned has disturbed an instance shortly before
// a time or since.
func (l *Ledger) Calm(instance string, at time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prepare()
	return l.calm(instance, at)
}

func (l *Ledger) inTouch(name string, at time.Time) bool {
	return l.calm(name, at) && at.Sub(l.busy[name]) > contact && at.Sub(l.disturbed[store]) > contact
}

// calm tells whether nothing unplanned has disturbed something. A disturbance
// of the store excuses no request that is cut off.
func (l *Ledger) calm(name string, at time.Time) bool {
	return at.Sub(l.disturbed[name]) > contact && at.Sub(l.disturbed[everything]) > contact
}

// Names of what has no name of its own: all processes at once, and the store.
const (
	everything = "all"
	store      = "store"
)

// Leaves notes that the list calls an endpoint leaving.
func (l *Ledger) Leaves(endpoint string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prepare()
	l.leaving[endpoint] = at
}

// Sent notes a request that a caller sends to an instance.
func (l *Ledger) Sent(id, instance, service, account string, once bool, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prepare()
	l.requests[id] = &request{
		instance: instance, service: service, account: account, once: once, active: map[string]time.Time{},
		worked: map[string]bool{},
	}
	l.sent[service] = append(l.sent[service], at)
}

// Began notes that an endpoint begins to work on a request; continued says that
// it goes on with a run of another endpoint.
func (l *Ledger) Began(id, endpoint, account string, continued bool, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prepare()
	r := l.requests[id]
	l.check(Own, r != nil, "%s runs request %s, which no caller sent", endpoint, id)
	if r == nil {
		return
	}
	l.check(Own, r.account == account, "%s runs request %s for account %q, not %q", endpoint, id, account, r.account)
	l.check(NotRun, !r.notRun, "%s runs request %s after it was said not to run", endpoint, id)
	if continued {
		l.continued++
	}
	if r.began++; r.began > 1 {
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
		if l.calm(other, at) && l.calm(r.instance, at) {
			time.AfterFunc(overlap, func() { l.stillActive(id, other, endpoint, since) })
		}
	}
	r.active[endpoint], r.worked[endpoint] = at, true
	if left, ok := l.leaving[endpoint]; ok && !continued && l.inTouch(r.instance, at) && at.Sub(left) > leaveBound {
		l.check(Leaving, false, "%s gets request %s of instance %s %s after it was listed as leaving", endpoint, id, r.instance, at.Sub(left))
	} else if !continued {
		l.check(Leaving, true, "")
	}
}

// stillActive checks that an endpoint has stopped its work on a run that
// another one has taken over.
func (l *Ledger) stillActive(id, endpoint, successor string, since time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[id]
	at, active := r.active[endpoint]
	_, successorActive := r.active[successor]
	kept := !active || !at.Equal(since) || !successorActive || !l.calm(endpoint, time.Now())
	l.check(Single, kept, "%s and %s work on request %s", endpoint, successor, id)
}

// Ended notes that an endpoint no longer works on a request; whole says that it
// gave the whole answer.
func (l *Ledger) Ended(id, endpoint string, whole bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prepare()
	if r := l.requests[id]; r != nil {
		delete(r.active, endpoint)
		if whole {
			r.whole = true
		} else {
			r.broke = true
		}
	}
}

// Refused notes the promise that a request has not run and never will.
func (l *Ledger) Refused(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prepare()
	r := l.requests[id]
	r.notRun = true
	l.check(NotRun, !r.once || r.began == 0, "request %s was said not to have run, and has", id)
}

// Cut notes that an instance which was stopping gave no whole answer, and that
// the caller had not left.
func (l *Ledger) Cut(id string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prepare()
	r, now := l.requests[id], time.Now()
	lost := r.began > 0 && (r.whole || len(r.active) > 0) && !r.broke && l.calm(r.instance, now)
	for endpoint := range r.worked {
		lost = lost && l.calm(endpoint, now)
	}
	l.check(Planned, !lost, "request %s was cut off by the planned stop of %s: %v", id, r.instance, err)
}

// Close checks what only shows over the whole run.
func (l *Ledger) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prepare()
	for service, repeats := range l.repeats {
		slices.SortFunc(repeats, time.Time.Compare)
		sent := l.sent[service]
		for i, from := range repeats {
			n := 0
			for _, at := range repeats[i:] {
				if at.Sub(from) <= budgetSpan {
					n++
				}
			}
			requests := max(within(sent, from, from.Add(budgetSpan)), within(sent, from.Add(-budgetSpan), from))
			most := budgetRatio*float64(requests) + budgetSlack
			l.check(Budget, float64(n) <= most, "%d repeats at %s in %s, %.0f are allowed", n, service, budgetSpan, most)
		}
	}
	for id, r := range l.requests {
		if r.notRun && r.once {
			l.check(NotRun, r.began == 0, "request %s was said not to have run, and has", id)
		}
	}
}

func within(times []time.Time, from, to time.Time) (n int) {
	for _, at := range times {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// Continued gives the number of runs that went on at another endpoint.
func (l *Ledger) Continued() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.continued
}

// Result gives the counts of checks and breaches, and the first breaches.
func (l *Ledger) Result() (checks, breaches map[string]int64, details []Breach) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prepare()
	return maps.Clone(l.checks), maps.Clone(l.breaches), slices.Clone(l.details)
}
