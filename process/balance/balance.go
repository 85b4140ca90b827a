// Package balance chooses the replica of a plain service that is expected to
// answer first.
//
// The expected time is computed from observations of this instance only: moving
// averages of the answer time and of the share of failed attempts, and the
// instance's own requests in flight. Both averages decay, so that a replica that
// was slow or failing is tried again. A replica that fails often gets a single
// request at a time until it answers well.
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
	halfLife        = 3 * time.Second        // time in which the weight of an observation halves
	initialTime     = 30 * time.Millisecond  // answer time assumed for a replica that was not used yet
	regionPenalty   = 60 * time.Millisecond  // round trip to another region
	failureCost     = 2 * time.Second        // time that a failed attempt costs the caller
	learnRate       = 0.2                    // weight of a new observation in an average
	maxFailureShare = 0.3                    // above this share of failures, one request at a time is sent
	similarFactor   = 1.25                   // replicas within this factor of the lowest expected time count as equal
	suspectTime     = 500 * time.Millisecond // time to avoid a replica after a failed connection
)

type (
	// Balancer chooses among the replicas of one service. Set its fields before
	// first use; the methods are safe for concurrent use.
	Balancer struct {
		Place string // place of this instance
		// Region returns the region of a place. If nil, regions are ignored.
		Region func(place string) string
		// Now is the clock, time.Now if nil.
		Now func() time.Time

		mu   sync.Mutex
		byID map[string]*replica
	}

	replica struct {
		inFlight     int
		meanTime     float64 // seconds
		failureShare float64 // share of attempts
		updatedAt    time.Time
		suspectUntil time.Time
	}

	// Result describes how an attempt ended.
	Result struct {
		Took          time.Duration
		Failed        bool
		Refused       bool // the replica took no work; not counted as an answer or failure
		ConnectFailed bool // the connection failed
	}
)

func (b *Balancer) now() time.Time {
	if b.Now != nil {
		return b.Now()
	}
	return time.Now()
}

// Pick chooses one of the listed replicas and counts an attempt in flight there
// until Done. It skips closed replicas and those in exclude. A replica whose
// connections failed recently gets a large penalty, so that it is used only if
// the others are worse or there are none. Pick reports false if no replica is
// left.
func (b *Balancer) Pick(list []roster.Endpoint, exclude []string) (roster.Endpoint, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	best, lowest, n := -1, math.Inf(1), 0
	costs := make([]float64, len(list))
	for i, e := range list {
		costs[i] = math.Inf(1)
		if e.Closed() || slices.Contains(exclude, e.ID) {
			continue
		}
		costs[i] = b.cost(e, now)
		lowest = min(lowest, costs[i])
	}
	for i, cost := range costs {
		if math.IsInf(cost, 1) || cost > lowest*similarFactor {
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
		r = &replica{meanTime: initialTime.Seconds()}
		b.byID[id] = r
	}
	return r
}

// cost returns the expected time to an answer in seconds, with penalties.
func (b *Balancer) cost(e roster.Endpoint, now time.Time) float64 {
	r := b.replica(e.ID)
	fade := 1.0
	if !r.updatedAt.IsZero() {
		fade = math.Exp2(-now.Sub(r.updatedAt).Seconds() / halfLife.Seconds())
	}
	failed := r.failureShare * fade
	took := initialTime.Seconds() + (r.meanTime-initialTime.Seconds())*fade
	cost := took * (1 + float64(r.inFlight)/float64(max(e.Slots, 1)))
	if b.Region != nil && b.Region(e.Place) != b.Region(b.Place) {
		cost += regionPenalty.Seconds()
	}
	cost += failed * failureCost.Seconds()
	if failed > maxFailureShare && r.inFlight > 0 {
		cost += failureCost.Seconds()
	}
	if now.Before(r.suspectUntil) {
		cost += 10 * failureCost.Seconds()
	}
	return cost
}

// Done ends an attempt at a replica and records its result.
func (b *Balancer) Done(id string, result Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	r := b.replica(id)
	r.inFlight = max(r.inFlight-1, 0)
	if result.ConnectFailed {
		r.suspectUntil = now.Add(suspectTime)
	}
	if result.Refused {
		return
	}
	if !r.updatedAt.IsZero() {
		r.failureShare *= math.Exp2(-now.Sub(r.updatedAt).Seconds() / halfLife.Seconds())
	}
	r.updatedAt = now
	failed := 0.0
	if result.Failed || result.ConnectFailed {
		failed = 1
	}
	r.failureShare += (failed - r.failureShare) * learnRate
	if result.Took > 0 {
		r.meanTime += (result.Took.Seconds() - r.meanTime) * learnRate
	}
}

// Retain removes the state of unlisted replicas without requests in flight.
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
