package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	unseenSeconds = 5.0  // time constant of the average rate of other entries' work
	minUnseen     = 0.01 // seconds of stall: candidates that are nearly alike get equal parts
	// unseenWeight is how much the requests of LoadAge count. Each of two requests at one
	// engine delays the other: what a choice costs all is twice what it costs itself.
	unseenWeight = 2.0
)

// unseenWork estimates the work that other entries have placed and that is not known here
// yet, from the work that has become known.
type unseenWork struct {
	rate  float64 // prompt tokens per second, as if there had been none before begun
	at    time.Time
	begun time.Time
}

// record adds prompt tokens that other entries have placed.
func (u *unseenWork) record(tokens float64, now time.Time) {
	if u.begun.IsZero() {
		u.begun, u.at = now, now
	}
	u.rate = u.rate*u.remains(u.at, now) + tokens/unseenSeconds
	u.at = now
}

// rateAt returns the rate, with the weight of the time that it covers made up for.
func (u *unseenWork) rateAt(now time.Time) float64 {
	covered := 1 - u.remains(u.begun, now)
	if u.begun.IsZero() || covered <= 0 {
		return 0
	}
	return u.rate * u.remains(u.at, now) / max(covered, 0.02)
}

// remains returns the weight at a time of what was recorded at an earlier one.
func (u *unseenWork) remains(at, now time.Time) float64 {
	return math.Exp(-max(now.Sub(at).Seconds(), 0) / unseenSeconds)
}

// pickUnseen returns a random one of the candidates, as all entries choose at the same time
// with the same old view: one that is empty would otherwise get the next requests of all of
// them. Together, the requests of LoadAge are expected to raise the cheapest candidates to
// one level, like water that fills a vessel with an uneven ground. Each candidate is chosen
// with a probability in proportion to its depth below that level. The requests count
// unseenWeight times.
// It also returns the expected cost of the choice.
func (s *Scheduler) pickUnseen(o *inputs) (best *endpoint, expected float64) {
	return s.pickBelow(s.unseen.rateAt(s.now) * s.LoadAge.Seconds() * o.fillTime * s.weights.Stall * unseenWeight)
}

// pickBelow returns a random candidate as pickUnseen says. The volume is the sum of the
// candidates' depths.
func (s *Scheduler) pickBelow(volume float64) (best *endpoint, expected float64) {
	slices.SortFunc(s.scratch, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	volume = max(volume, minUnseen)
	level, sum, n := math.Inf(1), 0.0, 0
	for _, c := range s.scratch {
		if c.cost >= level {
			break
		}
		sum += c.cost
		n++
		level = (volume + sum) / float64(n)
	}
	x := s.rand.Float64() * volume
	for _, c := range s.scratch[:n] {
		depth := level - c.cost
		expected += c.cost * depth / volume
		if x -= depth; x < 0 && best == nil {
			best = c.ep
		}
	}
	if best == nil {
		best = s.scratch[0].ep
	}
	return best, expected
}
