package length_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/eelgrassdock/eelgrassdock/process/length"
)

var start = time.Unix(1_700_000_000, 0)

func ExampleLearner() {
	var l length.Learner
	for range 200 {
		l.Observe("chat", "acme", 100, start)
	}
	e := l.Predict("chat", "acme", 0)
	fmt.Println(e.Quantile(0, 0.5) > 64, e.Quantile(0, 0.5) < 128)
	fmt.Println(e.Mean(70) < e.Mean(0))
	// Output:
	// true true
	// true
}

func lognormal(r *rand.Rand, median, sigma float64) int {
	return max(int(median*math.Exp(sigma*r.NormFloat64())), 1)
}

// Guards against a biased estimate: the mean remaining length must match that of
// the observations that are longer than what was produced.
func TestConditionalMean(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	var l length.Learner
	var all []int
	for range 5000 {
		n := lognormal(r, 300, 0.8)
		all = append(all, n)
		l.Observe("s", "a", n, start)
	}
	e := l.Predict("s", "a", 0)
	for _, done := range []int{0, 100, 300, 600, 1000} {
		sum, count := 0.0, 0.0
		for _, n := range all {
			if n > done {
				sum += float64(n - done)
				count++
			}
		}
		if got, want := e.Mean(done), sum/count; math.Abs(got-want) > 0.25*want {
			t.Errorf("after %d tokens: mean %.0f, observed %.0f", done, got, want)
		}
		q := e.Quantile(done, 0.9)
		if s := e.Survival(done, int(q)); math.Abs(s-0.1) > 0.02 {
			t.Errorf("after %d tokens: survival at the 0.9 quantile is %.3f", done, s)
		}
	}
}

// Guards against predictions that need thousands of requests to follow a change
// in an account's lengths.
func TestDrift(t *testing.T) {
	var l length.Learner
	for range 10_000 {
		l.Observe("s", "a", 100, start)
	}
	for i := range 600 {
		l.Observe("s", "a", 3000, start.Add(time.Duration(i)*time.Second))
	}
	e := l.Predict("s", "a", 0)
	if mean := e.Mean(0); mean < 2000 {
		t.Errorf("mean %.0f after 600 observations of 3,000", mean)
	}
}

// Guards against predicting a new account from the prior although its service
// has observations, and against predictions beyond the limit.
func TestFallbackAndLimit(t *testing.T) {
	var l length.Learner
	prior := l.Predict("s", "new", 0)
	for i := range 1000 {
		l.Observe("s", strconv.Itoa(i), 20, start)
	}
	known := l.Predict("s", "new", 0)
	if known.Mean(0) > 40 || prior.Mean(0) < 100 {
		t.Errorf("mean %.0f with a known service, %.0f without", known.Mean(0), prior.Mean(0))
	}
	limited := l.Predict("s", "new", 10)
	if limited.Mean(0) > 10 || limited.Quantile(4, 1) > 6 || limited.Survival(4, 6) != 0 {
		t.Error("prediction exceeds the limit")
	}
	if beyond := prior.Mean(1 << 17); beyond <= 0 || math.IsInf(beyond, 0) || math.IsNaN(beyond) {
		t.Errorf("mean %f for a generation longer than all buckets", beyond)
	}
}

// Guards against unbounded growth, and against eviction of accounts in use.
func TestBound(t *testing.T) {
	l := length.Learner{Pairs: 3200}
	for i := range 20_000 {
		l.Observe("s", strconv.Itoa(i), 50, start)
		l.Observe("s", "busy", 5000, start)
	}
	if n := l.Len(); n > 3200 {
		t.Errorf("%d pairs", n)
	}
	if e := l.Predict("s", "busy", 0); e.Mean(0) < 2000 {
		t.Errorf("busy account was evicted: mean %.0f", e.Mean(0))
	}
}

// Guards against 30,000 accounts taking a large part of an entry's memory.
func TestMemory(t *testing.T) {
	const accounts = 30_000
	names := make([]string, accounts)
	for i := range names {
		names[i] = strconv.Itoa(i)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	l := &length.Learner{}
	for _, name := range names {
		l.Observe("s", name, 50, start)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	perPair := float64(int64(after.HeapAlloc)-int64(before.HeapAlloc)) / accounts
	t.Logf("%.0f bytes for each of %d pairs, with map overhead", perPair, l.Len())
	if perPair > 110 {
		t.Errorf("%.0f bytes for each pair", perPair)
	}
	runtime.KeepAlive(names)
}

func BenchmarkPredict(b *testing.B) {
	var l length.Learner
	for i := range 30_000 {
		l.Observe("s", strconv.Itoa(i), 50, start)
	}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			e := l.Predict("s", "77", 4000)
			_ = e.Mean(10)
		}
	})
}

func BenchmarkObserve(b *testing.B) {
	var l length.Learner
	b.ReportAllocs()
	for b.Loop() {
		l.Observe("s", "77", 400, start)
	}
}
