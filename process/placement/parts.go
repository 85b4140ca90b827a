package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxParts is the number of parts of a prompt that are regarded, the first ones: a caller
	// may name thousands, and each is looked up for each endpoint.
	MaxParts = 16

	partSeconds = 30.0 // time for which a request shows how often its parts are asked for
	seenGain    = 0.02 // least weight of one request in the share of parts that were seen before
	maxPartLogs = 4096 // parts for which the rate and the placements are kept
	// partHits is the number of requests with a part that its home endpoints get each, on
	// average, in the time after which an unused part is evicted: with two, a request finds
	// the part with a probability of 0.86. With more, fewer endpoints would share the work.
	partHits = 2.0
	// minPartHits is the same number for all endpoints of the service below which a part is
	// evicted before its next use wherever it is placed, so that it has no homes.
	minPartHits = 0.5
	// partSafe is the share of the free memory up to which newer prompts leave a part in an
	// engine's cache for certain. Outputs and copies use memory that is not counted here.
	partSafe = 0.5
)

type (
	// Part is a part of a prompt that other prompts may share. An engine does not compute it
	// if it has cached this part and all those before it.
	Part struct {
		ID     uint64
		Tokens int
	}

	// partLog is what is known of one part.
	partLog struct {
		rate float64 // own requests per second
		at   int64   // time of the latest request; Unix nanoseconds
		used int64   // for the eviction of the log
		n    int
		list [maxHolders]partUse // the latest endpoints at which it was placed
	}

	// partUse is the latest own use of a part at an endpoint.
	partUse struct {
		ep   *endpoint
		mark float64 // endpoint.turnover at that time
	}

	// partIndex predicts which engines have cached a part.
	partIndex struct {
		logs map[uint64]*partLog
		// seen is, by position in the prompt, the share of parts that an own request of the last
		// partSeconds has had. One entry meets most parts too seldom to know the rate of each:
		// if they are alike, the share shows it.
		seen  [MaxParts]seenShare
		homes []homeScore // scratch
	}

	seenShare struct {
		share float64
		n     int // requests
	}

	homeScore struct {
		ep    *endpoint
		score uint64
	}
)

// matchParts sets, on each endpoint, the number of prompt tokens that it is expected to have
// cached for a request. The index knows two kinds of evidence. An endpoint at which this
// entry has placed a part keeps it until as many newer prompt tokens have been placed there,
// by all entries, as it has free memory. And all entries prefer the same endpoints for a
// part, its homes: as many as can keep it, chosen by rendezvous hashing without messages.
func (s *Scheduler) matchParts(req *Request) {
	if !s.Parts || len(req.Parts) == 0 {
		return
	}
	now := s.now.UnixNano()
	lasting, growth := s.cacheTime()
	if lasting <= 0 {
		return
	}
	for _, e := range s.list {
		e.matchSeq, e.cached, e.match = s.matchSeq, 0, 1
	}
	for i, p := range req.Parts[:min(len(req.Parts), MaxParts)] {
		for _, e := range s.list {
			e.hit = 0
		}
		l, rate := s.parts.logs[p.ID], s.parts.seen[i].rate()
		if l != nil {
			rate = max(rate, l.rateAt(now))
		}
		hits := rate * growth * lasting // in the time after which the part is evicted
		if shared := i < len(req.Parts)-1; shared && hits >= minPartHits {
			s.markHomes(p.ID, hits)
		}
		if l != nil {
			for _, u := range l.list[:l.n] {
				u.ep.hit = max(u.ep.hit, u.trust())
			}
		}
		found := false
		for _, e := range s.list {
			e.match *= e.hit
			e.cached += e.match * float64(p.Tokens)
			found = found || e.match > 0
		}
		if !found {
			return
		}
	}
}

// savedBy returns the cost of the computing time that an endpoint saves for a request.
func (s *Scheduler) savedBy(e *endpoint, o *inputs) float64 {
	if !s.Parts {
		return 0
	}
	return s.weights.Stall * min(s.cachedTokens(e), max(o.prompt-1, 0)) * o.fillTime * e.slowdown(o.now)
}

// pickWithParts returns the cheapest candidate with cached parts if it costs less than a
// choice that ignores them is expected to, and such a choice otherwise. The requests that
// other entries place at the same time have other parts, so that they do not choose the same
// endpoint for what it has cached.
func (s *Scheduler) pickWithParts(o *inputs) *endpoint {
	var home candidate
	for i := range s.scratch {
		c := &s.scratch[i]
		if c.saved > 0 && (home.ep == nil || c.cost < home.cost) {
			home = *c
		}
		c.cost += c.saved
	}
	best, expected := s.pickUnseen(o)
	if home.ep != nil && home.cost < expected {
		counters.Add("placed_for_parts", 1)
		return home.ep
	}
	return best
}

// markHomes sets the probability that the homes of a part have cached it, given the requests
// for it at all endpoints in the time after which it is evicted. Each region has homes in
// proportion to its endpoints; only those of the entry's region are set.
func (s *Scheduler) markHomes(part uint64, hits float64) {
	list := s.parts.homes[:0]
	usable := 0
	for _, e := range s.list {
		if e.closed {
			continue
		}
		usable++
		if !e.far {
			list = append(list, homeScore{e, xxhash.Sum64String(e.ID) ^ part*0x9e3779b97f4a7c15})
		}
	}
	s.parts.homes = list
	if len(list) == 0 {
		return
	}
	for i := range list {
		list[i].score = mix(list[i].score)
	}
	slices.SortFunc(list, func(a, b homeScore) int { return cmp.Compare(a.score, b.score) })
	share := hits / float64(usable) // per endpoint, if they were spread evenly
	n := min(max(int(math.Ceil(share*float64(len(list))/partHits)), 1), len(list))
	held := 1 - math.Exp(-share*float64(len(list))/float64(n))
	for _, h := range list[:n] {
		h.ep.hit = held
	}
}

// mix spreads the bits of a hash (finalizer of splitmix64).
func mix(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// cacheTime returns the time in seconds after which an engine evicts a part that is not
// used again, averaged over the endpoints, and how many times as many requests all entries
// send as this one. The time is 0 if nothing is known yet or memory is full.
func (s *Scheduler) cacheTime() (lasting, growth float64) {
	room, n := 0.0, 0.0
	for _, e := range s.list {
		if !e.closed {
			room += max(e.total-e.others-e.used, 0)
			n++
		}
	}
	own := s.sending.rateAt(s.now) * s.sending.tokens
	others := s.unseen.rateAt(s.now)
	if n == 0 || own <= 0 {
		return 0, 0
	}
	return room / (own + others), 1 + others/own
}

// trust returns the probability that an endpoint still has a part that was used there.
func (u partUse) trust() float64 {
	e := u.ep
	room := e.total - e.others - e.used
	if e.closed || room <= 0 {
		return 0
	}
	return min(max((1-(e.turnover-u.mark)/room)/(1-partSafe), 0), 1)
}

// rate returns the rate of own requests with one part if all parts are asked for alike.
func (x seenShare) rate() float64 { return -math.Log1p(-min(x.share, 0.99)) / partSeconds }

// rateAt returns the average rate of own requests with the part.
func (l *partLog) rateAt(now int64) float64 {
	return l.rate * math.Exp(-float64(max(now-l.at, 0))*1e-9/partSeconds)
}

// placed records that an endpoint computes the parts of a request, or uses them.
func (x *partIndex) placed(ep *endpoint, parts []Part, now int64) {
	if x.logs == nil {
		x.logs = map[uint64]*partLog{}
	}
	for i, p := range parts[:min(len(parts), MaxParts)] {
		l := x.logs[p.ID]
		x.seen[i].record(l != nil && float64(now-l.at)*1e-9 < partSeconds)
		if l == nil {
			x.makeRoom()
			l = &partLog{}
			x.logs[p.ID] = l
		}
		l.rate, l.at, l.used = l.rateAt(now)+1/partSeconds, now, now
		l.place(partUse{ep, ep.turnover})
	}
}

func (x *seenShare) record(seen bool) {
	x.n++
	value := 0.0
	if seen {
		value = 1
	}
	x.share += (value - x.share) * max(seenGain, 1/float64(x.n))
}

// place records the latest use at an endpoint, in place of the oldest one if there are too
// many.
func (l *partLog) place(u partUse) {
	at := slices.IndexFunc(l.list[:l.n], func(o partUse) bool { return o.ep == u.ep })
	switch {
	case at >= 0:
		copy(l.list[at:l.n-1], l.list[at+1:l.n])
		l.list[l.n-1] = u
	case l.n < maxHolders:
		l.list[l.n] = u
		l.n++
	default:
		copy(l.list[:], l.list[1:])
		l.list[l.n-1] = u
	}
}

// makeRoom evicts the least recently used of some logs from a full index. A part of a single
// request, as the last one of most prompts, is never used again.
func (x *partIndex) makeRoom() {
	const candidates = 8
	if len(x.logs) < maxPartLogs {
		return
	}
	var oldest uint64
	at, n := int64(math.MaxInt64), 0
	for id, l := range x.logs {
		if l.used < at {
			oldest, at = id, l.used
		}
		if n++; n == candidates {
			break
		}
	}
	delete(x.logs, oldest)
}
