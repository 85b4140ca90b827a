package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	longEndpointShare = 0.25 // share of a region's endpoints that is preferred for long prompts
	fillKeep          = 0.99 // weight of the previous average at each placement
)

// chooseLongEndpoints selects the endpoints that are preferred for long prompts.
// Entries with the same list of endpoints select the same ones, and a change of
// the list changes few of them.
func (s *Scheduler) chooseLongEndpoints() {
	regions := make(map[string][]*endpoint)
	for _, e := range s.list {
		e.long = false
		regions[e.Region] = append(regions[e.Region], e)
	}
	for _, list := range regions {
		slices.SortFunc(list, func(a, b *endpoint) int {
			return cmp.Or(cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)), cmp.Compare(a.ID, b.ID))
		})
		n := int(float64(len(list))*longEndpointShare + 0.5)
		for _, e := range list[:n] {
			e.long = true
		}
	}
}

// fillShare returns the time to compute a prompt as a share of the gap target, at
// most 1.
func fillShare(tokens, fillTime float64) float64 { return min(tokens*fillTime*(1/gapTarget), 1) }

// recordFill updates the averages with the fillShare of a placed prompt.
func (f *sendStats) recordFill(fill float64) {
	f.fill = f.fill*fillKeep + fill*(1-fillKeep)
	f.fillSquare = f.fillSquare*fillKeep + fill*fill*(1-fillKeep)
}

// typicalFill returns the mean fillShare weighted by fillShare, including that of
// the prompt to be placed. If all prompts are alike it equals the fillShare of
// each, so that none is preferred anywhere.
func (f *sendStats) typicalFill(prompt float64) float64 {
	prompt *= 1 - fillKeep
	return (f.fillSquare*fillKeep + prompt*prompt/(1-fillKeep)) / max(f.fill*fillKeep+prompt, 1e-9)
}
