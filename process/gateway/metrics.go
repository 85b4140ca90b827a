package gateway

import (
	"expvar"
	"math"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	longestTime = int64(10 * time.Minute / time.Microsecond) // upper bound of a histogram in microseconds; longer times count as this
	digits      = 2                                          // significant decimal digits of a histogram
)

// Names of the histograms, all of durations.
const (
	firstTime = "first" // from a request's arrival to the first event of its answer
	pauseTime = "pause" // longest time between two events of one answer
	heldTime  = "held"  // time that a generation waited for an engine
	copyTime  = "copy"  // time from a notice until a copy of a generation's memory was complete
	callTime  = "call"  // from a request's arrival to the answer of a plain service

	forecastTime  = "forecast"       // from the choice of an engine to the first token, as forecast
	forecastLate  = "forecast_late"  // by which a first token came later than forecast, or 0
	forecastEarly = "forecast_early" // by which a first token came earlier than forecast, or 0
)

type (
	// histogram is one histogram of times in microseconds.
	histogram struct {
		mu sync.Mutex
		h  *hdrhistogram.Histogram
	}

	// Times is the summary of a histogram in the metrics, in milliseconds.
	Times struct {
		Count int64   `json:"count"`
		P50   float64 `json:"p50"`
		P95   float64 `json:"p95"`
		P99   float64 `json:"p99"`
		Max   float64 `json:"max"`
	}
)

var (
	counters   = expvar.NewMap("gateway")
	exchanged  = expvar.NewMap("exchange") // datagrams with loads and what goes with them
	histograms = newHistograms(firstTime, pauseTime, heldTime, copyTime, callTime, forecastTime, forecastLate, forecastEarly)
)

func newHistograms(names ...string) map[string]*histogram {
	list := make(map[string]*histogram, len(names))
	times := expvar.NewMap("times")
	for _, name := range names {
		h := newHistogram()
		list[name] = h
		times.Set(name, expvar.Func(func() any { return h.times() }))
	}
	return list
}

// observe records a duration in a histogram.
func observe(name string, d time.Duration) {
	histograms[name].record(d)
}

func newHistogram() *histogram {
	return &histogram{h: hdrhistogram.New(1, longestTime, digits)}
}

func (h *histogram) record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// The value is within the histogram's range, so no error can occur.
	_ = h.h.RecordValue(min(max(d.Microseconds(), 1), longestTime))
}

func (h *histogram) times() Times {
	h.mu.Lock()
	defer h.mu.Unlock()
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Times{
		Count: h.h.TotalCount(), P50: ms(h.h.ValueAtQuantile(50)), P95: ms(h.h.ValueAtQuantile(95)),
		P99: ms(h.h.ValueAtQuantile(99)), Max: ms(h.h.Max()),
	}
}

// Publish adds the state of this gateway to the metrics. It may be called only
// once in a process.
func (g *Gateway) Publish() {
	expvar.Publish("state", expvar.Func(func() any {
		return map[string]any{
			"version": g.Tables.Version(), "instances": g.instanceCount(), "active": g.Active(), "stopping": g.Stopping(),
			"ready_after": g.readyAfter.Load(),
			"limits":      g.limits.List(time.Now()), "paces": g.paces(time.Now()),
		}
	}))
}

// paces returns the time that engines take for a token relative to the mean of their
// service, in hundredths, as far as it is known.
func (g *Gateway) paces(now time.Time) map[string]float64 {
	all := map[string]float64{}
	g.enginePools.Range(func(_, p any) bool {
		for id, ratio := range p.(*enginePool).sched.Paces(now) {
			all[id] = math.Round(ratio*100) / 100
		}
		return true
	})
	return all
}
