package locate

import (
	"cmp"
	"slices"
)

// coverage is the number of entries that every endpoint gets before any gets
// more.
const coverage = 2

type (
	// Endpoint is one replica of a service.
	Endpoint struct {
		ID     string
		Region string
	}

	// node is an entry or an endpoint during an assignment.
	node struct {
		index  int // position in the argument
		hash   uint64
		region int
		degree int   // assigned partners
		mine   []int // assigned endpoints of an entry
	}

	// assignment connects entries to endpoints.
	assignment struct {
		entries   []node
		endpoints []node
		room      int // endpoints per entry
		free      int // connections that entries have room for
		regions   map[string]int
		home      []int // region of an endpoint by its position in the argument
	}
)

// Subset gives the endpoints of the service that the entry connects to: all if
// they are at most n, else n of them, those of its own region first. n is at
// most Endpoints, and 0 means Endpoints.
//
// All entries compute the same assignment, so its coverage is even: endpoints
// of a region differ by at most one in the number of the region's entries that
// connect to them, and in a region with n*entries >= 2*endpoints each has at
// least two. Endpoints of a region with too few entries are covered from the
// other regions as far as entries there have room. A choice by score alone
// would leave a tenth of the endpoints without any entry at 2.3 entries per
// endpoint.
func Subset(endpoints []Endpoint, entries []Entry, entryID, service, region string, n int) []Endpoint {
	if n <= 0 || n > Endpoints {
		n = Endpoints
	}
	if len(endpoints) <= n {
		return slices.Clone(endpoints)
	}
	a := newAssignment(endpoints, entries, entryID, service, region, n)
	a.connectAll()
	for i := range a.entries {
		if e := &a.entries[i]; e.hash == hashID(entryID) {
			subset := make([]Endpoint, 0, n)
			for _, j := range e.mine {
				subset = append(subset, endpoints[j])
			}
			return subset
		}
	}
	return nil
}

func newAssignment(
	endpoints []Endpoint, entries []Entry, entryID, service, region string, n int,
) *assignment {
	a := &assignment{room: n, regions: make(map[string]int)}
	found := false
	for i := range entries {
		e := &entries[i]
		if e.Leaving && e.ID != entryID {
			continue
		}
		found = found || e.ID == entryID
		a.entries = append(a.entries, node{hash: hashID(e.ID), region: a.region(e.Region)})
	}
	if !found {
		a.entries = append(a.entries, node{hash: hashID(entryID), region: a.region(region)})
	}
	for i := range endpoints {
		a.endpoints = append(a.endpoints, node{
			index: i, hash: hash(service, endpoints[i].ID), region: a.region(endpoints[i].Region),
		})
		a.home = append(a.home, a.region(endpoints[i].Region))
	}
	a.free = n * len(a.entries)
	byHash := func(x, y node) int { return cmp.Compare(x.hash, y.hash) }
	slices.SortFunc(a.entries, byHash)
	slices.SortFunc(a.endpoints, byHash)
	return a
}

// region numbers the regions, since comparing strings takes most of the time.
func (a *assignment) region(name string) int {
	n, ok := a.regions[name]
	if !ok {
		n = len(a.regions)
		a.regions[name] = n
	}
	return n
}

// connectAll uses the room for two entries per endpoint first, also from other
// regions, and then for more.
func (a *assignment) connectAll() {
	a.connect(true, coverage)
	a.connect(false, coverage)
	a.connect(true, len(a.entries))
	a.connect(false, len(a.entries))
}

// connect gives each endpoint one more entry per round, up to limit and as long
// as there is room, so that no endpoint gets a further entry before the others
// had theirs.
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
			e.mine = append(e.mine, p.index)
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

// best gives the entry with room that scores highest for the endpoint and is
// not connected to it yet.
func (a *assignment) best(p *node, own bool) *node {
	var best *node
	var top uint64
	for i := range a.entries {
		e := &a.entries[i]
		if e.degree >= a.room || own && e.region != p.region {
			continue
		}
		if s := mix(p.hash, e.hash); (best == nil || s > top) && !slices.Contains(e.mine, p.index) {
			best, top = e, s
		}
	}
	return best
}

// makeRoom finds an entry for an endpoint that is connected to all entries with
// room: one whose connection to another endpoint moves to an entry with room.
// Without it, the last endpoints lack a second entry when there is just enough
// room for all.
func (a *assignment) makeRoom(p *node, own bool) *node {
	for i := range a.entries {
		spare := &a.entries[i]
		if spare.degree >= a.room || own && spare.region != p.region {
			continue
		}
		for j := range a.entries {
			e := &a.entries[j]
			if own && e.region != p.region || slices.Contains(e.mine, p.index) {
				continue
			}
			for k, index := range e.mine {
				home := a.home[index]
				stays := spare.region == home || e.region != home
				if stays && !slices.Contains(spare.mine, index) {
					e.mine = slices.Delete(e.mine, k, k+1)
					e.degree--
					spare.mine = append(spare.mine, index)
					spare.degree++
					return e
				}
			}
		}
	}
	return nil
}
