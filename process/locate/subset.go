package locate

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

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
		region string
		degree int   // assigned partners
		mine   []int // assigned endpoints of an entry
	}

	// assignment connects entries to endpoints.
	assignment struct {
		entries   []node
		endpoints []node
		room      int // endpoints per entry
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
	a.connect(true)
	a.connect(false)
	for i := range a.entries {
		if e := &a.entries[i]; e.hash == xxhash.Sum64String(entryID) {
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
	a := &assignment{room: n}
	found := false
	for i := range entries {
		e := &entries[i]
		if e.Leaving && e.ID != entryID {
			continue
		}
		found = found || e.ID == entryID
		a.entries = append(a.entries, node{hash: xxhash.Sum64String(e.ID), region: e.Region})
	}
	if !found {
		a.entries = append(a.entries, node{hash: xxhash.Sum64String(entryID), region: region})
	}
	for i := range endpoints {
		a.endpoints = append(a.endpoints, node{
			index: i, hash: hash(service, endpoints[i].ID), region: endpoints[i].Region,
		})
	}
	byHash := func(x, y node) int { return cmp.Compare(x.hash, y.hash) }
	slices.SortFunc(a.entries, byHash)
	slices.SortFunc(a.endpoints, byHash)
	return a
}

// connect gives each endpoint one more entry per round, as long as there is
// room, so that no endpoint gets a further entry before the others had theirs.
func (a *assignment) connect(own bool) {
	stuck := make([]bool, len(a.endpoints))
	for degree := 0; degree < len(a.entries); degree++ {
		progress := false
		for i := range a.endpoints {
			p := &a.endpoints[i]
			if stuck[i] || p.degree > degree {
				progress = progress || !stuck[i]
				continue
			}
			e := a.best(p, own)
			if e == nil {
				stuck[i] = true
				continue
			}
			e.mine = append(e.mine, p.index)
			e.degree++
			p.degree++
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
