package placement

import "slices"

// The baseline policies send work immediately to the endpoint that their rule
// selects, and leave queueing to the engine.

// usable reports whether an endpoint may get new work now.
func (s *Scheduler) usable(e *endpoint, req *Request) bool {
	return !e.silent && s.mayBecomeUsable(e, req)
}

// mayBecomeUsable reports whether an endpoint is usable, apart from its silence.
func (s *Scheduler) mayBecomeUsable(e *endpoint, req *Request) bool {
	return !e.closed && e.suspect <= s.nanos && req.Regions.Allows(e.Region) &&
		(len(req.Exclude) == 0 || !slices.Contains(req.Exclude, e.ID))
}

// roundRobin returns the next usable endpoint of the list.
func (s *Scheduler) roundRobin(req *Request) *endpoint {
	for range s.list {
		s.turn = (s.turn + 1) % len(s.list)
		if e := s.list[s.turn]; s.usable(e, req) {
			return e
		}
	}
	return nil
}

// connections returns the generations in the last report plus own ones placed
// since.
func (e *endpoint) connections() int {
	return e.report.Running + e.report.Waiting + e.placedSince
}

// leastConn returns the endpoint with the fewest of the entry's own generations,
// like a load balancer that counts its connections. It rotates among equal ones.
func (s *Scheduler) leastConn(req *Request) *endpoint {
	var best *endpoint
	s.turn++
	for i := range s.list {
		e := s.list[(s.turn+i)%len(s.list)]
		if s.usable(e, req) && (best == nil || e.count < best.count) {
			best = e
		}
	}
	return best
}

// twoChoice returns the one with fewer connections of two random endpoints.
func (s *Scheduler) twoChoice(req *Request) *endpoint {
	var first, second *endpoint
	n := 0
	for _, e := range s.list {
		if !s.usable(e, req) {
			continue
		}
		// Reservoir sampling of two.
		n++
		switch i := s.rand.IntN(n); {
		case n == 1:
			first = e
		case n == 2:
			second = e
		case i == 0:
			first = e
		case i == 1:
			second = e
		}
	}
	if second == nil || first.connections() <= second.connections() {
		return first
	}
	return second
}
