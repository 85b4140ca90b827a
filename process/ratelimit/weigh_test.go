package ratelimit

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// The ways in which instances could divide a limit, as weighed in docs/decisions.md.
const (
	evenParts   = "even parts"        // each instance sends at rate/n
	holderParts = "holders"           // as this package does
	demandParts = "parts by demand"   // each instance sends at its part of the demand that all report each second
	ownerGrants = "grants of owner"   // each request asks one instance, 60 ms away
	simStep     = 0.005               // seconds
	simSeconds  = 60                  // simulated time
	simWindow   = 4                   // seconds of the bound
	simLatency  = int(0.06 / simStep) // steps for a call to the owner and back
)

// divideBy simulates n instances that divide a limit, with the given demand in requests
// per second at each. It returns the most requests in any simWindow and the used share of
// the limit. The last third of the time has the demand in reverse order.
func divideBy(way string, rate float64, demand []float64, random *rand.Rand) (most int, used float64) {
	n := len(demand)
	holders := min(n, int(1+rate))
	next, phase := make([]float64, n), make([]bool, n)
	seen, reported := make([]float64, n), append([]float64(nil), demand...)
	var sent []float64
	var pending []int // steps at which the owner gets a call
	bucket := 0.0
	for step := range int(simSeconds / simStep) {
		now := float64(step) * simStep
		bucket = min(bucket+rate*simStep, 1)
		total := 0.0
		for _, d := range reported {
			total += d
		}
		for i := range n {
			d := demand[i]
			if now > simSeconds*2/3 {
				d = demand[n-1-i]
			}
			if random.Float64() >= d*simStep {
				continue
			}
			seen[i]++
			part := 0.0
			switch way {
			case evenParts:
				part = rate / float64(n)
			case holderParts:
				if i < holders {
					part = rate / float64(holders)
				}
			case demandParts:
				part = rate * max(reported[i], 0.1) / max(total, 0.1)
			case ownerGrants:
				pending = append(pending, step+simLatency/2)
				continue
			}
			if !phase[i] && part > 0 {
				phase[i], next[i] = true, now
				if way != evenParts || random.Float64() < 0.5 {
					next[i] += random.Float64() / part
				}
			}
			if part > 0 && now >= next[i] {
				next[i] = now + 1/part
				sent = append(sent, now)
			}
		}
		for len(pending) > 0 && pending[0] <= step {
			pending = pending[1:]
			if bucket >= 1 {
				bucket--
				sent = append(sent, now)
			}
		}
		if step%int(1/simStep) == 0 && step > 0 {
			copy(reported, seen)
			clear(seen)
		}
	}
	from := 0
	for i, at := range sent {
		for at-sent[from] >= simWindow {
			from++
		}
		most = max(most, i-from+1)
	}
	return most, float64(len(sent)) / (rate * simSeconds)
}

// Compares the ways to divide a limit, and guards against holders that exceed what the
// package comment says.
func TestWaysToDivideALimit(t *testing.T) {
	const perInstance = 3.0 // requests per second for the endpoint
	for _, n := range []int{7, 30, 81} {
		for _, rate := range []float64{0.5, 3.6, 5.4, 20} {
			for _, skew := range []string{"even", "half", "one"} {
				demand := make([]float64, n)
				for i := range demand {
					switch {
					case skew == "even", skew == "half" && i%2 == 0:
						demand[i] = perInstance
					case skew == "one" && i == 0:
						demand[i] = perInstance * float64(n)
					}
				}
				for _, way := range []string{evenParts, holderParts, demandParts, ownerGrants} {
					most, used := divideBy(way, rate, demand, rand.New(rand.NewPCG(21, uint64(n))))
					t.Logf("%-16s n=%2d rate=%4.1f demand=%-4s most in 4 s %3d (allowed %3.0f), used %.2f", way, n, rate, skew, most, 6*rate+5, used)
					if way == holderParts {
						require.LessOrEqual(t, float64(most), simWindow*rate+rate+1)
					}
				}
			}
		}
	}
}
