package locate

import (
	"math"
	"slices"
)

const (
	// GroupMin is the least number of entries of a region that serve a service.
	GroupMin = 4
	// GroupFactor is how often the endpoints of a service would be covered if
	// each entry connected to its even part of all endpoints. With 2, an entry
	// serves two services on average, and its load reports cost the same
	// whatever the number of services.
	GroupFactor = 2
)

// Group gives the entries that callers of a service are sent to: in each region
// a number of them that is in proportion to part, the service's part of all
// endpoints, and at least GroupMin. Entries that are leaving are not among
// them. An entry outside of the group serves callers with an old answer all the
// same. When an entry comes or goes, a group changes by at most one entry,
// unless its size does.
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
		slices.SortFunc(list, byScore)
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
