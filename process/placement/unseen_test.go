package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a herd: placers that learn of each other's work a moment late all choose the
// engine that seems to have least to do, such as one that has just been added, and the callers
// that they send there wait. The load is that of the large deployment at a fifth: 59 placers before
// 26 engines, of which four are replaced by empty ones each 3.3 s.
func TestEmptyEnginesAreNotOverrun(t *testing.T) {
	play := func(age time.Duration) fleetResult {
		return newAgeRig(t, fleetLoad{placers: 59, engines: 26, longRate: 20, shortRate: 14, leaving: 4, age: age, duration: 25 * time.Second}).play()
	}
	for _, age := range []time.Duration{35 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond} {
		t.Run(fmt.Sprint(age), func(t *testing.T) {
			r := play(age)
			require.LessOrEqual(t, r.late, 0.05, "first tokens after %v; %v at the mean, %v at p99, %d at once", fleetAim, r.first, r.p99, r.crowded)
		})
	}
}

// Guards against a level that is not reached by the requests that are not known yet, and
// against an engine below it that gets nothing.
func TestUnseenRequestsRaiseTheCheapest(t *testing.T) {
	s := &Scheduler{LoadAge: 100 * time.Millisecond}
	s.SetEndpoints([]Endpoint{{ID: "a", Tokens: 1}})
	for _, x := range []struct {
		costs  []float64
		volume float64
		want   []float64 // parts
	}{
		{costs: []float64{1, 1, 1, 1}, volume: 0, want: []float64{0.25, 0.25, 0.25, 0.25}},
		{costs: []float64{0, 1, 1}, volume: 0.5, want: []float64{1, 0, 0}},
		{costs: []float64{0, 1, 1}, volume: 4, want: []float64{0.5, 0.25, 0.25}},
		{costs: []float64{0, 0.5, 9}, volume: 1.5, want: []float64{2. / 3, 1. / 3, 0}},
	} {
		got := map[string]float64{}
		const draws = 20000
		for range draws {
			s.scratch = s.scratch[:0]
			for i, c := range x.costs {
				s.scratch = append(s.scratch, candidate{ep: &endpoint{Endpoint: Endpoint{ID: fmt.Sprint(i)}}, cost: c})
			}
			best, _ := s.pickBelow(x.volume)
			got[best.ID] += 1. / draws
		}
		for i, part := range x.want {
			require.InDelta(t, part, got[fmt.Sprint(i)], 0.02, "%v, %v", x.costs, x.volume)
		}
	}
}

// Guards against a rate that is too low in the first seconds after a start.
func TestUnseenRateIsKnownSoon(t *testing.T) {
	var u unseenWork
	now := time.Unix(1000, 0)
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		u.record(27, now)
	}
	require.InEpsilon(t, 2700, u.rateAt(now), 0.1)
	require.Less(t, u.rateAt(now.Add(30*time.Second)), 30.)
}
