package placement

const (
	maxPrefixes = 1 << 16 // prefixes in the index
	maxHolders  = 8       // endpoints kept for each prefix
)

type (
	// prefixIndex maps prefixes to the endpoints that are expected to have them in
	// their prefix caches, according to cache events and own placements. A gap in
	// the events of an endpoint halves the value of its older records, and a second
	// gap voids them. A sequence number that does not increase, as after a restart,
	// voids them at once. A wrong record therefore costs a prompt computation and
	// does not last.
	prefixIndex struct {
		holders map[uint64]*holders
	}

	holders struct {
		n    int
		list [maxHolders]holder
	}

	// holder is an endpoint with a prefix, recorded in an epoch of its events.
	holder struct {
		ep    *endpoint
		epoch uint32
	}
)

func (x *prefixIndex) init() { x.holders = make(map[uint64]*holders) }

// apply applies a cache event of an endpoint.
func (x *prefixIndex) apply(ep *endpoint, e CacheEvent) {
	switch {
	case e.Seq <= ep.seq:
		ep.epoch += 2
	case e.Seq > ep.seq+1 && ep.seq > 0:
		ep.epoch++
	}
	ep.seq = e.Seq
	if e.Gone {
		x.remove(ep, e.Prefix)
		return
	}
	x.add(ep, e.Prefix)
}

// placed records that an endpoint will hold the prefixes of a request.
func (x *prefixIndex) placed(ep *endpoint, prefix []uint64) {
	for _, hash := range prefix {
		x.add(ep, hash)
	}
}

func (x *prefixIndex) add(ep *endpoint, hash uint64) {
	h := x.holders[hash]
	if h == nil {
		x.makeRoom()
		h = &holders{}
		x.holders[hash] = h
	}
	b := holder{ep, ep.epoch}
	for i := range h.list[:h.n] {
		if h.list[i].ep == ep {
			h.list[i] = b
			return
		}
	}
	if h.n < maxHolders {
		h.n++
	} else {
		copy(h.list[:], h.list[1:]) // evict the oldest holder
	}
	h.list[h.n-1] = b
}

// makeRoom evicts an arbitrary prefix from a full index, which costs at most one
// prompt computation.
func (x *prefixIndex) makeRoom() {
	if len(x.holders) < maxPrefixes {
		return
	}
	for hash := range x.holders {
		delete(x.holders, hash)
		return
	}
}

func (x *prefixIndex) remove(ep *endpoint, hash uint64) {
	h := x.holders[hash]
	if h == nil {
		return
	}
	for i := range h.list[:h.n] {
		if h.list[i].ep == ep {
			h.n--
			h.list[i] = h.list[h.n]
			h.list[h.n] = holder{}
			break
		}
	}
	if h.n == 0 {
		delete(x.holders, hash)
	}
}

// matchPrefix sets, on each endpoint that is expected to hold a part of the
// request's prefix, the number of prompt tokens that it need not compute.
func (s *Scheduler) matchPrefix(req *Request) {
	s.matchSeq++
	for i, hash := range req.Prefix {
		h := s.prefixes.holders[hash]
		if h == nil {
			return
		}
		for _, b := range h.list[:h.n] {
			trust := 1.0
			switch b.ep.epoch - b.epoch {
			case 0:
			case 1:
				trust = 0.5
			default:
				continue
			}
			if i > 0 && b.ep.matchSeq != s.matchSeq {
				continue // later parts cannot be used without the earlier ones
			}
			b.ep.matchSeq = s.matchSeq
			b.ep.cached = trust * float64((i+1)*s.PrefixTokens)
		}
	}
}

// cachedTokens returns the result of the last matchPrefix for one endpoint.
func (s *Scheduler) cachedTokens(ep *endpoint) float64 {
	if ep.matchSeq != s.matchSeq {
		return 0
	}
	return ep.cached
}
