package placement

const (
	stepDecay       = 0.999 // weight of the previous sums at each report
	stepPriorWeight = 50.0  // ten times the weight of the prior, which counts as 5 reports with feature 1 for each coefficient
)

// stepModel predicts the time of a decoding step, in seconds, as a linear
// function of the running generations and of the memory in use. It is a least
// squares fit to all reports with exponentially decreasing weights, regularized
// by a prior.
type stepModel struct {
	xx   [3][3]float64
	xy   [3]float64
	coef [3]float64
}

// stepPriorCoef is the prior: 15 ms, plus 20 ms per 100 generations and 10 ms per
// 100,000 tokens.
var stepPriorCoef = [3]float64{0.015, 0.020, 0.010}

func features(runs, used float64) [3]float64 { return [3]float64{1, runs / 100, used / 100_000} }

func (m *stepModel) init() { m.coef = stepPriorCoef }

func (m *stepModel) predict(runs, used float64) float64 {
	return m.coef[0] + m.coef[1]*(runs*(1.0/100)) + m.coef[2]*(used*(1.0/100_000))
}

func (m *stepModel) learn(runs, used, seconds float64) {
	x := features(runs, used)
	for i := range x {
		m.xy[i] = m.xy[i]*stepDecay + x[i]*seconds
		for j := range x {
			m.xx[i][j] = m.xx[i][j]*stepDecay + x[i]*x[j]
		}
	}
	m.solve()
}

// solve computes the coefficients, none below 0, by Gaussian elimination. The
// prior makes the matrix positive definite, so that no pivoting is needed.
func (m *stepModel) solve() {
	a, b := m.xx, m.xy
	for i := range a {
		a[i][i] += stepPriorWeight / 10
		b[i] += stepPriorWeight / 10 * stepPriorCoef[i]
	}
	for i := range a {
		for j := i + 1; j < 3; j++ {
			f := a[j][i] / a[i][i]
			for k := i; k < 3; k++ {
				a[j][k] -= f * a[i][k]
			}
			b[j] -= f * b[i]
		}
	}
	for i := 2; i >= 0; i-- {
		for k := i + 1; k < 3; k++ {
			b[i] -= a[i][k] * m.coef[k]
		}
		m.coef[i] = max(b[i]/a[i][i], 0)
	}
}
