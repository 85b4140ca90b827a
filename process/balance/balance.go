// Package balance chooses the replica of a plain service that is expected to
// answer first.
//
// The expectation rests on what this instance has seen: the time that answers
// took, the share of attempts that failed, and its own requests in flight. Both
// averages fade, so that a replica that was bad is tried again; one that fails
// much gets a single request at a time until it answers well.
package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/eelgrassdock/eelgrassdock/process/roster"
)

const (
	halfLife   = 3 * time.Second        // after which an observation counts half
	firstGuess = 30 * time.Millisecond  // answer time of a replica that was not used yet
	farTime    = 60 * time.Millisecond  // round trip to another region
	failTime   = 2 * time.Second        // what a failed attempt costs its caller
	learnShare = 0.2                    // weight of one observation
	badShare   = 0.3                    // share of failures from which one request at a time is sent
	similar    = 1.25                   // replicas whose expected times differ by less count as equal
	suspectFor = 500 * time.Millisecond // no new work after a failed connection
)

type (
	// Balancer knows the replicas of one service. Region gives the region of a
	// place; Place is that of this instance. Fields are set before use.
	Balancer struct {
		Place  string
		Region func(place string) string
		// Now is the clock, time.Now if nil.
		Now func() time.Time

		mu   sync.Mutex
		byID map[string]*replica
	}

	replica struct {
		inFlight int
		took     float64 // seconds
		failed   float64 // share of attempts
		at       time.Time
		suspect  time.Time
	}

	// Result says how an attempt ended.
	Result struct {
		Took    time.Duration
		Failed  bool
		Refused bool // the replica took no work; says nothing of its answers
		Dead    bool // no connection could be made
	}
)

func (b *Balancer) now() time.Time {
	if b.Now != nil {
		return b.Now()
	}
	return time.Now()
}

// Pick chooses among the listed replicas, without those in exclude, and counts
// the attempt until Done. Leaving replicas are not used. A suspected replica is
// used only if there is no other.
func (b *Balancer) Pick(list []roster.Endpoint, exclude []string) (roster.Endpoint, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	best, lowest, n := -1, math.Inf(1), 0
	costs := make([]float64, len(list))
	for i, e := range list {
		costs[i] = math.Inf(1)
		if e.Leaving || slices.Contains(exclude, e.ID) {
			continue
		}
		costs[i] = b.cost(e, now)
		lowest = min(lowest, costs[i])
	}
	for i, cost := range costs {
		if math.IsInf(cost, 1) || cost > lowest*similar {
			continue
		}
		if n++; rand.IntN(n) == 0 {
			best = i
		}
	}
	if best < 0 {
		return roster.Endpoint{}, false
	}
	b.replica(list[best].ID).inFlight++
	return list[best], true
}

func (b *Balancer) replica(id string) *replica {
	if b.byID == nil {
		b.byID = map[string]*replica{}
	}
	r := b.byID[id]
	if r == nil {
		r = &replica{took: firstGuess.Seconds()}
		b.byID[id] = r
	}
	return r
}

// cost gives the expected time to an answer in seconds.
func (b *Balancer) cost(e roster.Endpoint, now time.Time) float64 {
	r := b.replica(e.ID)
	fade := 1.0
	if !r.at.IsZero() {
		fade = math.Exp2(-now.Sub(r.at).Seconds() / halfLife.Seconds())
	}
	failed := r.failed * fade
	took := firstGuess.Seconds() + (r.took-firstGuess.Seconds())*fade
	cost := took * (1 + float64(r.inFlight)/float64(max(e.Slots, 1)))
	if b.Region != nil && b.Region(e.Place) != b.Region(b.Place) {
		cost += farTime.Seconds()
	}
	cost += failed * failTime.Seconds()
	if failed > badShare && r.inFlight > 0 {
		cost += failTime.Seconds()
	}
	if now.Before(r.suspect) {
		cost += 10 * failTime.Seconds()
	}
	return cost
}

// Done takes in how an attempt at a replica ended.
func (b *Balancer) Done(id string, result Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	r := b.replica(id)
	r.inFlight = max(r.inFlight-1, 0)
	if result.Dead {
		r.suspect = now.Add(suspectFor)
	}
	if result.Refused {
		return
	}
	if !r.at.IsZero() {
		r.failed *= math.Exp2(-now.Sub(r.at).Seconds() / halfLife.Seconds())
	}
	r.at = now
	failed := 0.0
	if result.Failed || result.Dead {
		failed = 1
	}
	r.failed += (failed - r.failed) * learnShare
	if result.Took > 0 {
		r.took += (result.Took.Seconds() - r.took) * learnShare
	}
}

// Retain forgets the replicas that are not listed.
func (b *Balancer) Retain(list []roster.Endpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	listed := make(map[string]bool, len(list))
	for _, e := range list {
		listed[e.ID] = true
	}
	for id, r := range b.byID {
		if !listed[id] && r.inFlight == 0 {
			delete(b.byID, id)
		}
	}
}
