// Package length estimates how many tokens a generation will still produce.
//
// Output lengths are learned for each pair of service and account as a
// histogram of 16 buckets, one for each power of two, with counters of 16 bits.
// Counters are halved when their sum reaches a cap and once for each half-life
// that has passed, so that recent observations dominate. The histogram of an
// account with few observations is blended with that of its service, and the
// service's with a prior. Within a bucket lengths are taken as uniform; the
// remaining length of a generation is conditioned on the tokens it has produced
// and truncated at its limit.
package length

import (
	"math"
	"math/bits"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	buckets = 16
	shards  = 32

	observationUnit = 64                    // counter value of one new observation
	capSum          = observationUnit * 256 // sum at which the counters are halved
	halfLife        = 10 * time.Minute
	accountBias     = 12 // observations at which account and service have equal weight
	serviceBias     = 1  // observations at which service and prior have equal weight

	defaultPairs = 1 << 16
	maxServices  = 1 << 10

	noSlot = int32(-1)
)

type (
	// Learner learns output lengths. The zero value is ready for use. It is
	// safe for concurrent use.
	Learner struct {
		// Pairs bounds the pairs of service and account that are kept. A full
		// shard evicts its least recently observed pair. Zero means 65,536.
		Pairs int

		shards   [shards]shard
		services serviceTable
	}

	// sketch is a histogram of output lengths.
	sketch struct {
		counts    [buckets]uint16
		decayedAt uint32 // Unix seconds of the last decay
	}

	// slot holds one pair in 52 bytes: 8 for the key, 36 for the sketch and 8 for
	// the links of the shard's list.
	slot struct {
		key        uint64
		sketch     sketch
		prev, next int32
	}

	// shard holds a part of the pairs, in a list ordered by last observation.
	shard struct {
		mu             sync.Mutex
		index          map[uint64]int32
		slots          []slot
		newest, oldest int32
	}

	serviceTable struct {
		mu       sync.RWMutex
		sketches map[string]*serviceSketch
	}

	serviceSketch struct {
		mu sync.Mutex
		sketch
	}
)

// prior is the distribution assumed for a service without observations. It is
// wide, with its median at a few hundred tokens.
var prior = [buckets]float32{.01, .01, .02, .03, .05, .08, .12, .16, .18, .15, .1, .05, .02, .01, .006, .004}

// Observe records that a generation ended after n tokens without being cut off.
func (l *Learner) Observe(service, account string, n int, now time.Time) {
	if n < 1 {
		return
	}
	b := bucketOf(n)
	seconds := uint32(now.Unix())
	if s := l.services.get(service, true); s != nil {
		s.mu.Lock()
		s.add(b, seconds)
		s.mu.Unlock()
	}
	key, sh := l.locate(service, account)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.touch(key, max(l.pairs()/shards, 1)).sketch.add(b, seconds)
}

// Predict estimates the length of a generation that may produce at most limit
// tokens. A limit of zero or less means no limit.
func (l *Learner) Predict(service, account string, limit int) Estimate {
	e := Estimate{weights: prior, limit: int32(min(max(limit, 0), math.MaxInt32))}
	if s := l.services.get(service, false); s != nil {
		s.mu.Lock()
		counts := s.counts
		s.mu.Unlock()
		e.blend(&counts, serviceBias)
	}
	key, sh := l.locate(service, account)
	sh.mu.Lock()
	i, ok := sh.index[key]
	if !ok {
		sh.mu.Unlock()
		return e
	}
	counts := sh.slots[i].sketch.counts
	sh.mu.Unlock()
	e.blend(&counts, accountBias)
	return e
}

// Len returns the number of pairs that are kept.
func (l *Learner) Len() int {
	n := 0
	for i := range l.shards {
		sh := &l.shards[i]
		sh.mu.Lock()
		n += len(sh.slots)
		sh.mu.Unlock()
	}
	return n
}

func (l *Learner) pairs() int {
	if l.Pairs > 0 {
		return l.Pairs
	}
	return defaultPairs
}

// locate returns the key of a pair and its shard. Two pairs with equal 64-bit
// keys would share one histogram, which is harmless and, at 65,536 pairs, has a
// probability of about one in 10^10.
func (l *Learner) locate(service, account string) (uint64, *shard) {
	h := xxhash.Sum64String(account)
	return h*0x9e3779b97f4a7c15 ^ xxhash.Sum64String(service), &l.shards[h%shards]
}

func bucketOf(n int) int {
	return min(bits.Len(uint(n))-1, buckets-1)
}

// add counts an observation after halving the counters for each half-life since
// the last decay, or once if their sum would exceed capSum.
func (s *sketch) add(bucket int, seconds uint32) {
	sum := observationUnit
	for _, c := range s.counts {
		sum += int(c)
	}
	shift := uint(0)
	switch elapsed := int64(seconds) - int64(s.decayedAt); {
	case s.decayedAt == 0:
		s.decayedAt = seconds
	case elapsed >= int64(halfLife/time.Second):
		shift = uint(min(elapsed/int64(halfLife/time.Second), buckets))
		s.decayedAt = seconds
	}
	if shift == 0 && sum > capSum {
		shift = 1
	}
	if shift > 0 {
		for i := range s.counts {
			s.counts[i] >>= shift
		}
	}
	s.counts[bucket] += observationUnit
}

// touch returns the slot of key and moves it to the front of the list. If there
// is none, it adds a slot, or reuses the oldest one if the shard has bound slots.
func (sh *shard) touch(key uint64, bound int) *slot {
	if sh.index == nil {
		sh.index = make(map[uint64]int32)
		sh.newest, sh.oldest = noSlot, noSlot
	}
	i, ok := sh.index[key]
	switch {
	case ok:
		sh.unlink(i)
	case len(sh.slots) < bound:
		i = int32(len(sh.slots))
		sh.slots = append(sh.slots, slot{key: key})
	default:
		i = sh.oldest
		sh.unlink(i)
		delete(sh.index, sh.slots[i].key)
		sh.slots[i] = slot{key: key}
	}
	sh.index[key] = i
	sh.pushFront(i)
	return &sh.slots[i]
}

func (sh *shard) unlink(i int32) {
	s := &sh.slots[i]
	if s.prev != noSlot {
		sh.slots[s.prev].next = s.next
	} else {
		sh.newest = s.next
	}
	if s.next != noSlot {
		sh.slots[s.next].prev = s.prev
	} else {
		sh.oldest = s.prev
	}
}

func (sh *shard) pushFront(i int32) {
	s := &sh.slots[i]
	s.prev, s.next = noSlot, sh.newest
	if sh.newest != noSlot {
		sh.slots[sh.newest].prev = i
	} else {
		sh.oldest = i
	}
	sh.newest = i
}

// get returns the sketch of a service. If there is none, it returns nil, or adds
// one if create is set and the table holds fewer than maxServices.
func (t *serviceTable) get(service string, create bool) *serviceSketch {
	t.mu.RLock()
	s := t.sketches[service]
	t.mu.RUnlock()
	if s != nil || !create {
		return s
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s = t.sketches[service]; s != nil {
		return s
	}
	if len(t.sketches) >= maxServices {
		return nil
	}
	if t.sketches == nil {
		t.sketches = make(map[string]*serviceSketch)
	}
	s = &serviceSketch{}
	t.sketches[service] = s
	return s
}
