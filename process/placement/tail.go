package placement

import "math"

const (
	tailRange = 5   // standard deviations that the table covers on either side
	tailSteps = 100 // entries for each standard deviation
)

// tailTable holds the upper tail of the normal distribution. It replaces
// math.Erfc, which was a tenth of the profile of Place.
var tailTable = func() (t [2*tailRange*tailSteps + 2]float64) {
	for i := range t {
		t[i] = math.Erfc((float64(i)/tailSteps-tailRange)/math.Sqrt2) / 2
	}
	return t
}()

// tail gives the probability that a standard normal variable exceeds z.
func tail(z float64) float64 {
	if z >= tailRange {
		return 0
	}
	x := (min(max(z, -tailRange), tailRange) + tailRange) * tailSteps
	i := int(x)
	return tailTable[i] + (x-float64(i))*(tailTable[i+1]-tailTable[i])
}
