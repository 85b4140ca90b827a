// Package pace tells how long recent requests took.
//
// Times are kept in histograms for each pair of service and route. A time counts for
// one to two windows, so that quantiles follow changes of the load.
package pace

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	window   = 30 * time.Second
	minTimes = 8    // with fewer times, the longest one says little about the next
	maxKeys  = 1024 // pairs of service and route that are kept

	longest = int64(10 * time.Minute / time.Microsecond) // longer times count as this
	digits  = 1                                          // significant decimal digits of a histogram; 3 KiB for each
)

type (
	// Key names requests that take similar times.
	Key struct{ Service, Route string }

	// Recorder keeps recent times. The zero value is ready for use. It is safe for
	// concurrent use.
	Recorder struct {
		mu    sync.Mutex
		byKey map[Key]*recent
	}

	// recent holds the times of the current window and of the one before.
	recent struct {
		current, previous *hdrhistogram.Histogram
		begun             time.Time // of the current window
	}
)

// Observe records that a request took a time. While maxKeys other keys are in use, it
// ignores a new one.
func (r *Recorder) Observe(key Key, took time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.byKey[key]
	if x == nil {
		if x = r.add(key, now); x == nil {
			return
		}
	}
	x.turn(now)
	// The value is within the histogram's range, so no error can occur.
	_ = x.current.RecordValue(min(max(took.Microseconds(), 1), longest))
}

// Quantile returns the time that a share of the recent requests did not exceed. It
// reports false if there were too few.
func (r *Recorder) Quantile(key Key, share float64, now time.Time) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x := r.byKey[key]
	if x == nil {
		return 0, false
	}
	x.turn(now)
	if x.current.TotalCount()+x.previous.TotalCount() < minTimes {
		return 0, false
	}
	all := newHistogram()
	all.Merge(x.previous)
	all.Merge(x.current)
	return time.Duration(all.ValueAtQuantile(share*100)) * time.Microsecond, true
}

// add adds a key, if necessary after removing those that are no longer in use.
func (r *Recorder) add(key Key, now time.Time) *recent {
	if r.byKey == nil {
		r.byKey = map[Key]*recent{}
	}
	if len(r.byKey) >= maxKeys {
		for k, x := range r.byKey {
			if now.Sub(x.begun) >= 2*window {
				delete(r.byKey, k)
			}
		}
	}
	if len(r.byKey) >= maxKeys {
		return nil
	}
	x := &recent{current: newHistogram(), previous: newHistogram(), begun: now}
	r.byKey[key] = x
	return x
}

// turn begins a new window if the current one is over.
func (x *recent) turn(now time.Time) {
	over := now.Sub(x.begun)
	if over < window {
		return
	}
	x.current, x.previous = x.previous, x.current
	x.current.Reset()
	if over >= 2*window {
		x.previous.Reset()
	}
	x.begun = now
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, longest, digits) }
