package length

import "math"

// Estimate is the distribution of the output length of one generation. It is a
// plain value; its methods don't allocate.
type Estimate struct {
	weights [buckets]float32
	limit   int32 // zero means no limit
}

// blend mixes observed counts into the weights. bias is the number of
// observations at which both have equal weight.
func (e *Estimate) blend(counts *[buckets]uint16, bias float32) {
	var sum float32
	for _, c := range counts {
		sum += float32(c)
	}
	if sum == 0 {
		return
	}
	share := sum / (sum + bias*observationUnit)
	for i, c := range counts {
		e.weights[i] = e.weights[i]*(1-share) + share*float32(c)/sum
	}
}

// Mean returns the expected number of tokens still to come after done tokens.
func (e *Estimate) Mean(done int) float64 {
	mean, _ := e.moments(done)
	return mean
}

// Variance returns the variance of the number of tokens still to come after done
// tokens.
func (e *Estimate) Variance(done int) float64 {
	_, variance := e.moments(done)
	return variance
}

// Survival returns the probability that more than done+h tokens are produced,
// given that more than done are.
func (e *Estimate) Survival(done, h int) float64 {
	var out [1]float64
	e.Survivals(done, []int{h}, out[:])
	return out[0]
}

// Survivals sets each out[i] to Survival(done, ahead[i]).
func (e *Estimate) Survivals(done int, ahead []int, out []float64) {
	alive := e.weightAbove(float64(done))
	for i, h := range ahead {
		to := float64(done + h)
		switch {
		case e.limit > 0 && to >= float64(e.limit):
			out[i] = 0
		case alive <= 0:
			out[i] = lindySurvival(done, h)
		default:
			out[i] = e.weightAbove(to) / alive
		}
	}
}

// Quantile returns the number of tokens still to come after done tokens that is
// not exceeded with probability p.
func (e *Estimate) Quantile(done int, p float64) float64 {
	from := float64(done)
	mass := 0.0
	for i := range e.weights {
		mass += e.bucketAbove(i, from)
	}
	if mass <= 0 {
		return e.remaining(from/max(1-p, 1e-3), from)
	}
	want := mass * min(max(p, 0), 1)
	for i := range e.weights {
		w := e.bucketAbove(i, from)
		if w > 0 && want <= w {
			lo, hi := bucketBounds(i)
			lo = max(lo, from)
			return e.remaining(lo+(hi-lo)*want/w, from)
		}
		want -= w
	}
	return e.remaining(math.Exp2(buckets), from)
}

// remaining returns the part of a total length beyond from, with the length
// truncated at the limit.
func (e *Estimate) remaining(length, from float64) float64 {
	if e.limit > 0 {
		length = min(length, float64(e.limit))
	}
	return max(length-from, 0)
}

// lindySurvival returns the survival probability of a generation that is longer
// than all that were observed: its remaining length is assumed to be of the order
// of what it has produced (Lindy effect).
func lindySurvival(done, h int) float64 {
	return float64(max(done, 1)) / float64(max(done, 1)+h)
}

// bucketBounds returns the range of lengths of bucket i.
func bucketBounds(i int) (lo, hi float64) {
	lo = float64(int(1) << i)
	return lo, 2 * lo
}

// bucketAbove returns the weight of the part of bucket i that lies above from.
func (e *Estimate) bucketAbove(i int, from float64) float64 {
	lo, hi := bucketBounds(i)
	w := float64(e.weights[i])
	switch {
	case from >= hi:
		return 0
	case from > lo:
		return w * (hi - from) / (hi - lo)
	}
	return w
}

// weightAbove returns the weight of all lengths above from.
func (e *Estimate) weightAbove(from float64) float64 {
	first := 0
	if from >= 1 {
		first = int(math.Float64bits(from)>>52) - 1023 // the exponent is the bucket
	}
	if first >= buckets {
		return 0
	}
	sum := float32(0)
	for _, w := range e.weights[first+1:] {
		sum += w
	}
	return float64(sum) + e.bucketAbove(first, from)
}

// moments returns the mean and the variance of the number of tokens still to come
// after done tokens. Beyond all buckets it takes the remaining length to be what
// was produced.
func (e *Estimate) moments(done int) (mean, variance float64) {
	from, limit := float64(done), math.Inf(1)
	if e.limit > 0 {
		limit = float64(e.limit)
	}
	if from >= limit {
		return 0, 0
	}
	var mass, first, second float64
	for i := range e.weights {
		w := e.bucketAbove(i, from)
		if w <= 0 {
			continue
		}
		lo, hi := bucketBounds(i)
		lo = max(lo, from)
		m1, m2 := uniformMoments(lo-from, hi-from, limit-from)
		mass, first, second = mass+w, first+w*m1, second+w*m2
	}
	if mass <= 0 {
		rest := min(max(from, 1), limit-from)
		return rest, rest * rest
	}
	mean = first / mass
	return mean, max(second/mass-mean*mean, 0)
}

// uniformMoments returns the first two moments of min(X, limit) for X uniform
// between lo and hi.
func uniformMoments(lo, hi, limit float64) (m1, m2 float64) {
	if limit <= lo {
		return limit, limit * limit
	}
	top := min(hi, limit)
	below := (top - lo) / (hi - lo)
	m1 = below*(lo+top)/2 + (1-below)*top
	m2 = below*(lo*lo+lo*top+top*top)/3 + (1-below)*top*top
	return m1, m2
}
