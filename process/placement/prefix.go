package placement

const (
	maxPrefixes = 1 << 16 // prefixes known
	maxHolders  = 8       // endpoints known for each prefix
)

type (
	// prefixIndex is what is believed of the endpoints' prefix caches. Beliefs
	// come from cache events and from own placements. A gap in the events of an
	// endpoint halves the value of what was believed of it before, and a second
	// one voids it; a sequence number that goes back, as after a restart, voids
	// it at once. So a wrong belief costs a prompt computation and then heals.
	prefixIndex struct {
		holders map[uint64]*holders
	}

	holders struct {
		n    int
		list [maxHolders]belief
	}

	belief struct {
		ep    *endpoint
		epoch uint32
	}
)

func (x *prefixIndex) init() { x.holders = make(map[uint64]*holders) }

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

// placed notes that an endpoint is about to hold the prefixes of a request.
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
	b := belief{ep, ep.epoch}
	for i := range h.list[:h.n] {
		if h.list[i].ep == ep {
			h.list[i] = b
			return
		}
	}
	if h.n < maxHolders {
		h.n++
	} else {
		copy(h.list[:], h.list[1:]) // the oldest belief goes
	}
	h.list[h.n-1] = b
}

// makeRoom drops an arbitrary prefix; forgetting one costs a prompt
// computation at most.
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
			h.list[h.n] = belief{}
			break
		}
	}
	if h.n == 0 {
		delete(x.holders, hash)
	}
}

// match sets, on each endpoint that is believed to hold a part of the prefix,
// the number of prompt tokens that it need not compute.
func (s *Scheduler) match(req *Request) {
	s.marks++
	for i, hash := range req.Prefix {
		h := s.beliefs.holders[hash]
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
			if i > 0 && b.ep.mark != s.marks {
				continue // holds a later part only, which is of no use
			}
			b.ep.mark = s.marks
			b.ep.cached = trust * float64((i+1)*s.PrefixTokens)
		}
	}
}

// matched gives the result of the last match for one endpoint.
func (s *Scheduler) matched(ep *endpoint) float64 {
	if ep.mark != s.marks {
		return 0
	}
	return ep.cached
}
