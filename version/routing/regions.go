package routing

import "slices"

// Regions is the set of regions in which requests may be served, cached and stored. A nil
// set allows all regions; an empty one that is not nil allows none.
type Regions []string

// Allows reports whether a region is in the set.
func (s Regions) Allows(region string) bool { return s == nil || slices.Contains(s, region) }

// Covers reports whether all regions that t allows are in the set.
func (s Regions) Covers(t Regions) bool {
	if s == nil || t == nil {
		return s == nil
	}
	return !slices.ContainsFunc(t, func(region string) bool { return !s.Allows(region) })
}

// Intersect returns the regions that both sets allow.
func (s Regions) Intersect(t Regions) Regions {
	switch {
	case s == nil:
		return t
	case t == nil:
		return s
	}
	both := Regions{}
	for _, region := range s {
		if t.Allows(region) {
			both = append(both, region)
		}
	}
	return both
}
