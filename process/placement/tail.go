package placement

import "math"

const (
	tailRange = 5   // standard deviations covered on each side of the mean
	tailSteps = 100 // table entries per standard deviation
)

// tailTable holds the upper tail of the normal distribution. Calling math.Erfc
// instead took a tenth of the time of Place.
var tailTable = func() (t [2*tailRange*tailSteps + 2]float64) {
	for i := range t {
		t[i] = math.Erfc((float64(i)/tailSteps-tailRange)/math.Sqrt2) / 2
	}
	return t
}()

// tail returns the probability that a standard normal variable exceeds z. It
// interpolates in tailTable and returns 0 from tailRange on.
func tail(z float64) float64 {
	if z >= tailRange {
		return 0
	}
	x := (min(max(z, -tailRange), tailRange) + tailRange) * tailSteps
	i := int(x)
	return tailTable[i] + (x-float64(i))*(tailTable[i+1]-tailTable[i])
}
