package locate

import (
	"math"
	"slices"
)

const (
	// GroupMin is the lowest number of entries in a region that serve a service,
	// if the region has that many.
	GroupMin = 4
	// GroupFactor sets the size of the groups: a service with a fraction f of all
	// endpoints is served by GroupFactor*f of a region's entries. The fractions of
	// all services add up to 1, so with 2, an entry serves two services on average
	// (more where GroupMin or rounding enlarges groups), and the cost of its load
	// reports does not depend on the number of services.
	GroupFactor = 2
)

// Group returns the entries that callers of a service are sent to, sorted by ID.
// In each region, their number is proportional to part, the service's fraction of
// all endpoints, and at least GroupMin if the region has that many. Entries that
// are leaving are omitted. An entry outside of the group still serves callers
// that hold an older answer. When an entry joins or leaves, a group changes by at
// most one entry, unless its size changes.
func Group(entries []Entry, service string, part float64) []Entry {
	regions := map[string][]scored{}
	for i := range entries {
		e := &entries[i]
		if !e.Leaving {
			regions[e.Region] = append(regions[e.Region], scored{entry: e, score: mix(hash(service), hashID(e.ID))})
		}
	}
	var group []Entry
	for _, list := range regions {
		size := max(GroupMin, int(math.Ceil(GroupFactor*part*float64(len(list)))))
		slices.SortFunc(list, compareScore)
		for _, s := range list[:min(size, len(list))] {
			group = append(group, *s.entry)
		}
	}
	slices.SortFunc(group, func(a, b Entry) int { return compareID(a.ID, b.ID) })
	return group
}

func compareID(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
