// Package ratelimit decides whether a request may be sent to an endpoint now, and if
// not, when. It keeps the requests that all instances together send to an endpoint
// within a rate that the endpoint names in its answers, and sends none before the end of
// a pause that the endpoint has asked this instance for. While an endpoint is cold, it keeps
// them within what the endpoint tolerates in any second (Cool).
//
// A rate is in force until an answer to a later request names none. All instances
// learn it from the one that got the answer, and it is divided without messages:
// the endpoint's limit has a few holders, chosen by rendezvous hashing among the
// instances of the endpoint's region, and each holder sends at evenly spaced times,
// at its part of the rate. The other instances send nothing to the endpoint.
//
// # Bound
//
// There are at most 1 + rate holders (rate in requests per second), and one that
// sends every holders/rate seconds sends at most once more than its part in any
// time. Instances that agree on the members therefore send at most
// rate*t + rate + 1 requests in any t seconds, however many instances there are.
// With one holder for each instance, the first request of each would exceed that.
//
// Instances differ in their views of the members for a short time. A member stays
// in the view of an instance for memberLifetime after it was last seen, so that an
// instance that loses contact with the others does not take their parts at once,
// and an instance takes no part within settleTime of its start.
package ratelimit

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MinRate is the lowest rate in requests per second that is applied. Only the
	// endpoint's answers show that a limit has ended, so that a few requests must
	// reach it even if it names a rate of zero.
	MinRate = 0.25

	memberLifetime = 10 * time.Second // for which a member counts after it was last seen
	settleTime     = 3 * time.Second  // from the start of an instance until it knows the members
	returnTime     = 10 * time.Second // for which a limit is kept whose endpoint is not listed; its row may be unreadable for a moment
)

type (
	// Endpoint is one process of an endpoint.
	Endpoint struct {
		ID     string
		Born   int64  // as in roster.Endpoint
		Region string // in which its holders are chosen
	}

	// Member is a live instance.
	Member struct {
		ID     string
		Region string
	}

	// Change reports that a limit was named, has another rate or has ended.
	Change struct {
		Endpoint string
		Rate     float64       // in requests per second, 0 if the limit has ended
		Lasted   time.Duration // how long the limit was in force; 0 unless it has ended
		Granted  int64         // requests of this instance to the endpoint since it began
		Source   string        // Answer or Instance
	}

	// Limiter holds the limits of all endpoints. Its exported fields are set before
	// use; the methods are safe for concurrent use. The zero value is an instance
	// without other members.
	Limiter struct {
		// Start is when this instance started.
		Start time.Time
		// Changed is called with each change, without locks held; it may be nil.
		Changed func(Change)
		// Unsent is called when Updates has something to return; it may be nil.
		Unsent func()
		// ColdChanged is called with each begin and end of a cold time, without locks held; it
		// may be nil. The end is reported by the next call of Retain.
		ColdChanged func(ColdChange)

		limited atomic.Int32 // limits in force
		paused  atomic.Int32 // pauses that are not known to have ended
		cold    atomic.Int32 // cold endpoints whose cold time is not known to have ended
		mu      sync.Mutex
		limits  map[string]*limit // by endpoint
		id      string            // of this instance
		members map[string]seenMember
		views   int          // changes of the members so far
		settled bool         // settleTime has passed
		warm    []ColdChange // ends of cold times that are not reported yet
	}

	seenMember struct {
		region string
		at     time.Time
	}

	// limit is what is known of one endpoint. It is kept after the limit has ended,
	// so that a late update cannot bring the limit back.
	limit struct {
		Endpoint
		rate    float64       // 0 if none is in force
		version uint64        // rises with each change at any instance
		learned time.Time     // when the rate was last named; answers to earlier requests do not end it
		since   time.Time     // when the limit came into force or ended
		changed chan struct{} // closed at the next change
		unsent  bool
		granted int64

		interval time.Duration // between the requests of this instance, 0 if it is no holder
		view     int           // Limiter.views for which interval was computed
		next     time.Time     // earliest time of the next request
		pause    time.Time     // before which nothing is sent; zero if there is no pause
		dropAt   time.Time     // when the record is dropped if the endpoint is not listed by then; zero if it is listed
		release  time.Time     // of the next request that waited for the end of a pause or of a cold time, without a rate
		cold     *coldTime     // nil if the endpoint is not cold
	}
)

// Sources of a Change.
const (
	Answer   = "answer"
	Instance = "instance"
)

// SetMembers records the ID of this instance and the live instances, with this one.
// It is called about once a second.
func (l *Limiter) SetMembers(id string, list []Member, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.id = id
	if l.members == nil {
		l.members = map[string]seenMember{}
	}
	for _, m := range list {
		if _, ok := l.members[m.ID]; !ok {
			l.views++
		}
		l.members[m.ID] = seenMember{region: m.Region, at: now}
	}
	for id, m := range l.members {
		if now.Sub(m.at) > memberLifetime {
			delete(l.members, id)
			l.views++
		}
	}
}

// Named records that an endpoint named a rate in its answer to a request that was
// sent at a time. A lower rate than the one in force is applied whenever the request
// was sent.
func (l *Limiter) Named(e Endpoint, rate float64, sent, now time.Time) {
	l.observe(e, min(max(rate, MinRate), math.MaxFloat64), sent, now)
}

// Unnamed records that an endpoint named no rate in its answer to a request that was
// sent at a time.
func (l *Limiter) Unnamed(e Endpoint, sent, now time.Time) {
	if l.Limited(e.ID) {
		l.observe(e, 0, sent, now)
	}
}

func (l *Limiter) observe(e Endpoint, rate float64, sent, now time.Time) {
	l.mu.Lock()
	if l.isEarlier(e) {
		l.mu.Unlock()
		return
	}
	x := l.find(e)
	if looser(rate, x.rate) && sent.Before(x.learned) {
		l.mu.Unlock()
		return
	}
	if rate > 0 {
		x.learned = now
	}
	var changes []Change
	if rate != x.rate {
		x.version++
		x.unsent = true
		changes = append(changes, l.set(x, rate, Answer, now))
	}
	l.mu.Unlock()
	l.report(changes)
}

// looser reports whether a rate allows more than another one; 0 is no limit.
func looser(a, b float64) bool {
	return b > 0 && (a == 0 || a > b)
}

// isEarlier reports whether a later process of an endpoint has a record. What an earlier
// one says, in a late answer, is then ignored. The lock must be held.
func (l *Limiter) isEarlier(e Endpoint) bool {
	x := l.limits[e.ID]
	return x != nil && x.Born > e.Born
}

// find returns the record of an endpoint, a new one if there is none or it is of an
// earlier process. The lock must be held.
func (l *Limiter) find(e Endpoint) *limit {
	x := l.limits[e.ID]
	if x != nil && x.Born == e.Born {
		return x
	}
	if l.limits == nil {
		l.limits = map[string]*limit{}
	}
	if x != nil {
		l.drop(x)
	}
	x = &limit{Endpoint: e, changed: make(chan struct{}), view: -1}
	l.limits[e.ID] = x
	return x
}

// drop deletes a record. The lock must be held.
func (l *Limiter) drop(x *limit) {
	delete(l.limits, x.ID)
	close(x.changed)
	if x.rate > 0 {
		l.limited.Add(-1)
	}
	if !x.pause.IsZero() {
		l.endPause(x)
	}
	if x.cold != nil {
		l.endCold(x, x.cold.Until)
	}
}

// set puts a rate in force. The lock must be held.
func (l *Limiter) set(x *limit, rate float64, source string, now time.Time) Change {
	c := Change{Endpoint: x.ID, Rate: rate, Source: source}
	switch {
	case x.rate == 0:
		l.limited.Add(1)
		x.since, x.granted = now, 0
	case rate == 0:
		l.limited.Add(-1)
		c.Lasted, x.since = now.Sub(x.since), now
	}
	c.Granted = x.granted
	x.rate, x.view = rate, -1
	x.notify(now)
	return c
}

// notify voids the grants for later times. The lock must be held.
func (x *limit) notify(now time.Time) {
	if x.cold != nil {
		x.cold.void(now)
	}
	close(x.changed)
	x.changed = make(chan struct{})
}

func (l *Limiter) report(changes []Change) {
	if len(changes) == 0 {
		return
	}
	if l.Unsent != nil {
		l.Unsent()
	}
	for _, c := range changes {
		if l.Changed != nil {
			l.Changed(c)
		}
	}
}

// Retain drops what is known of endpoints that have left or started again. Find returns
// an endpoint by its ID. What is known of one that is not found is kept for returnTime, and
// until its pause ends, as it may come back. Retain is called when the endpoints have
// changed, and about once a second.
func (l *Limiter) Retain(now time.Time, find func(id string) (Endpoint, bool)) {
	defer l.reportWarm()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, x := range l.limits {
		if x.cold != nil && !now.Before(x.cold.Until) {
			l.endCold(x, now)
		}
		switch e, ok := find(x.ID); {
		case ok && e.Born < x.Born && x.cold != nil: // its row has been read and is about to be listed
		case ok && e.Born != x.Born:
			l.drop(x)
		case ok:
			x.dropAt = time.Time{}
		case x.dropAt.IsZero():
			x.dropAt = now.Add(returnTime)
		case !now.Before(x.dropAt) && !now.Before(x.pause):
			l.drop(x)
		}
	}
}

// divide computes the part of this instance in a limit. A new part begins at a random
// time within its interval, so that the holders do not send together. When the
// interval changes, grants for later times are void, and the next one follows the
// latest request at the new interval. The lock must be held.
func (l *Limiter) divide(x *limit, now time.Time) {
	l.settle(now)
	if x.view == l.views {
		return
	}
	x.view = l.views
	var interval time.Duration
	if n, holds := l.holders(x); holds {
		interval = max(time.Duration(float64(n)/x.rate*float64(time.Second)), 1)
	}
	switch old := x.interval; {
	case interval == old:
		return
	case old == 0:
		x.next = now.Add(time.Duration(rand.Float64() * float64(interval)))
	default:
		x.next = x.latest(now).Add(interval)
	}
	x.interval = interval
	x.notify(now)
}

// settle notices the end of settleTime. The lock must be held.
func (l *Limiter) settle(now time.Time) {
	if !l.settled && !now.Before(l.Start.Add(settleTime)) {
		l.settled = true
		l.views++
	}
}

// holders returns the number of holders of a limit and whether this instance is one.
// An instance that has just started is none. The lock must be held.
func (l *Limiter) holders(x *limit) (n int, holds bool) {
	if !l.settled {
		return 0, false
	}
	near := l.ranked(x)
	if len(near) == 0 {
		return 1, true
	}
	n = int(min(1+x.rate, float64(len(near))))
	return n, slices.Contains(near[:n], l.id)
}

// ranked returns the members among which the holders of an endpoint's grants are chosen, in
// the order in which they are: those of its region, or all if there are none. The lock must
// be held.
func (l *Limiter) ranked(x *limit) []string {
	isNear := func(m seenMember) bool { return m.region == x.Region }
	if !hasMember(l.members, isNear) {
		isNear = func(seenMember) bool { return true }
	}
	type member struct {
		id   string
		rank uint64
	}
	var list []member
	for id, m := range l.members {
		if isNear(m) {
			list = append(list, member{id, xxhash.Sum64String(x.ID + " " + id)})
		}
	}
	slices.SortFunc(list, func(a, b member) int { return cmp.Compare(a.rank, b.rank) })
	ids := make([]string, len(list))
	for i, m := range list {
		ids[i] = m.id
	}
	return ids
}

func hasMember(members map[string]seenMember, is func(seenMember) bool) bool {
	for _, m := range members {
		if is(m) {
			return true
		}
	}
	return false
}
