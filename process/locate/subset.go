package locate

import (
	"cmp"
	"slices"
)

// coverage is the number of entries that are assigned to every endpoint before
// any endpoint gets more.
const coverage = 2

type (
	// Endpoint is one replica of a service.
	Endpoint struct {
		ID     string
		Region string
	}

	// node is an entry or an endpoint during an assignment.
	node struct {
		index     int // position in the list of endpoints
		hash      uint64
		region    int
		degree    int   // number of connections
		connected []int // endpoints of an entry, by position
	}

	// assignment is a set of connections between entries and endpoints.
	assignment struct {
		entries   []node
		endpoints []node
		capacity  int // most endpoints per entry
		free      int // connections that can still be added
		regions   map[string]int
		regionOf  []int // region of an endpoint by its position in the list
	}
)

// Subset returns the endpoints of the service that the entry connects to: all if
// there are at most n, otherwise n of them, those of its own region first. 0 and
// values above MaxEndpoints mean MaxEndpoints.
//
// All entries compute the same assignment, so the endpoints are covered evenly:
// endpoints of a region differ by at most one in the number of the region's
// entries that connect to them, and in a region with n*entries >= 2*endpoints
// each has at least two. Endpoints of a region with too few entries are covered
// from other regions as far as entries there have capacity. A choice by score
// alone would leave a tenth of the endpoints without any entry at an average of
// 2.3 entries per endpoint.
func Subset(endpoints []Endpoint, entries []Entry, entryID, service, region string, n int) []Endpoint {
	if n <= 0 || n > MaxEndpoints {
		n = MaxEndpoints
	}
	if len(endpoints) <= n {
		return slices.Clone(endpoints)
	}
	a := newAssignment(endpoints, entries, entryID, service, region, n)
	a.connectAll()
	for i := range a.entries {
		if e := &a.entries[i]; e.hash == hashID(entryID) {
			subset := make([]Endpoint, 0, n)
			for _, j := range e.connected {
				subset = append(subset, endpoints[j])
			}
			return subset
		}
	}
	return nil
}

// newAssignment returns an assignment without connections. It includes the entry
// with entryID even if that is leaving or missing in the list.
func newAssignment(
	endpoints []Endpoint, entries []Entry, entryID, service, region string, n int,
) *assignment {
	a := &assignment{capacity: n, regions: make(map[string]int)}
	found := false
	for i := range entries {
		e := &entries[i]
		if e.Leaving && e.ID != entryID {
			continue
		}
		found = found || e.ID == entryID
		a.entries = append(a.entries, node{hash: hashID(e.ID), region: a.regionNumber(e.Region)})
	}
	if !found {
		a.entries = append(a.entries, node{hash: hashID(entryID), region: a.regionNumber(region)})
	}
	for i := range endpoints {
		a.endpoints = append(a.endpoints, node{
			index: i, hash: hash(service, endpoints[i].ID), region: a.regionNumber(endpoints[i].Region),
		})
		a.regionOf = append(a.regionOf, a.regionNumber(endpoints[i].Region))
	}
	a.free = n * len(a.entries)
	byHash := func(x, y node) int { return cmp.Compare(x.hash, y.hash) }
	slices.SortFunc(a.entries, byHash)
	slices.SortFunc(a.endpoints, byHash)
	return a
}

// regionNumber returns a number for the region. Comparing the names instead would
// take most of the time of an assignment.
func (a *assignment) regionNumber(name string) int {
	n, ok := a.regions[name]
	if !ok {
		n = len(a.regions)
		a.regions[name] = n
	}
	return n
}

// connectAll first connects each endpoint to two entries, from other regions if
// its own has too few, and then uses the remaining capacity.
func (a *assignment) connectAll() {
	a.connect(true, coverage)
	a.connect(false, coverage)
	a.connect(true, len(a.entries))
	a.connect(false, len(a.entries))
}

// connect adds connections in rounds, one entry per endpoint and round, until
// each endpoint has limit entries or no capacity is left. No endpoint thus gets
// another entry before all others had their turn. If own is set, only entries in
// the endpoint's region are used.
func (a *assignment) connect(own bool, limit int) {
	stuck := make([]bool, len(a.endpoints))
	for degree := 0; degree < min(limit, len(a.entries)); degree++ {
		progress := false
		for i := range a.endpoints {
			if a.free == 0 {
				return
			}
			p := &a.endpoints[i]
			if stuck[i] || p.degree > degree {
				progress = progress || !stuck[i]
				continue
			}
			e := a.best(p, own)
			if e == nil {
				e = a.makeRoom(p, own)
			}
			if e == nil {
				stuck[i] = true
				continue
			}
			e.connected = append(e.connected, p.index)
			e.degree++
			p.degree++
			a.free--
			progress = true
		}
		if !progress {
			return
		}
	}
}

// best returns the entry with the highest score for the endpoint among those
// that have capacity left and are not connected to it, or nil.
func (a *assignment) best(p *node, own bool) *node {
	var best *node
	var top uint64
	for i := range a.entries {
		e := &a.entries[i]
		if e.degree >= a.capacity || own && e.region != p.region {
			continue
		}
		if s := mix(p.hash, e.hash); (best == nil || s > top) && !slices.Contains(e.connected, p.index) {
			best, top = e, s
		}
	}
	return best
}

// makeRoom returns an entry for an endpoint that is already connected to all
// entries with capacity left. It frees capacity at another entry by moving one of
// that entry's connections to an entry with capacity left. Without it, the last
// endpoints would lack a second entry when there is just enough capacity for all.
func (a *assignment) makeRoom(p *node, own bool) *node {
	for i := range a.entries {
		spare := &a.entries[i]
		if spare.degree >= a.capacity || own && spare.region != p.region {
			continue
		}
		for j := range a.entries {
			e := &a.entries[j]
			if own && e.region != p.region || slices.Contains(e.connected, p.index) {
				continue
			}
			for k, index := range e.connected {
				home := a.regionOf[index]
				// A connection within the endpoint's own region must not move to an
				// entry of another region.
				mayMove := spare.region == home || e.region != home
				if mayMove && !slices.Contains(spare.connected, index) {
					e.connected = slices.Delete(e.connected, k, k+1)
					e.degree--
					spare.connected = append(spare.connected, index)
					spare.degree++
					return e
				}
			}
		}
	}
	return nil
}
