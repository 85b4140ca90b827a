package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	longShare = 0.25 // share of a region's endpoints that is preferred for long prompts
	fillKeep  = 0.99 // share of the past that is kept at each placement
)

// chooseLong chooses the endpoints that are preferred for long prompts. Entries
// that know the same endpoints choose the same ones, and a change of endpoints
// changes few of them.
func (s *Scheduler) chooseLong() {
	regions := make(map[string][]*endpoint)
	for _, e := range s.list {
		e.long = false
		regions[e.Region] = append(regions[e.Region], e)
	}
	for _, list := range regions {
		slices.SortFunc(list, func(a, b *endpoint) int {
			return cmp.Or(cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)), cmp.Compare(a.ID, b.ID))
		})
		n := int(float64(len(list))*longShare + 0.5)
		for _, e := range list[:n] {
			e.long = true
		}
	}
}

// fill gives the time that computing a prompt takes as a share of the gap
// target, at most 1.
func fill(tokens, fillTime float64) float64 { return min(tokens*fillTime*(1/gapTarget), 1) }

func (f *flow) filled(fill float64) {
	f.fill = f.fill*fillKeep + fill*(1-fillKeep)
	f.square = f.square*fillKeep + fill*fill*(1-fillKeep)
}

// typical gives the mean fill weighted by fill, with the prompt to be placed
// taken in. It equals the fill of each prompt if all are alike, so that none is
// drawn anywhere.
func (f *flow) typical(prompt float64) float64 {
	prompt *= 1 - fillKeep
	return (f.square*fillKeep + prompt*prompt/(1-fillKeep)) / max(f.fill*fillKeep+prompt, 1e-9)
}
