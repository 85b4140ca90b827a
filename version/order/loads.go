package order

import (
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

type (
	// loads limits the models that load at once and that start to load in a
	// minute. A place is held until the endpoint reports the model, or until
	// its deadline if it never does.
	loads struct {
		mu     sync.Mutex
		most   int
		starts *rate.Limiter
		held   []load
	}

	load struct {
		endpoint, model string
		until           time.Time
	}
)

func (l *loads) start(most, perMinute int) {
	l.most = most
	l.starts = rate.NewLimiter(rate.Limit(float64(perMinute)/60), most)
}

// take gets a place, or keeps the one that the endpoint has for the model.
func (l *loads) take(endpoint, model string, now time.Time, timeout time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = slices.DeleteFunc(l.held, func(h load) bool { return !now.Before(h.until) })
	if slices.ContainsFunc(l.held, func(h load) bool { return h.endpoint == endpoint && h.model == model }) {
		return true
	}
	if len(l.held) >= l.most || !l.starts.AllowN(now, 1) {
		return false
	}
	l.held = append(l.held, load{endpoint, model, now.Add(timeout)})
	return true
}

// settle gives back the places for models that an endpoint has loaded or that
// are no longer ordered.
func (l *loads) settle(endpoint string, loaded, ordered []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = slices.DeleteFunc(l.held, func(h load) bool {
		return h.endpoint == endpoint && (slices.Contains(loaded, h.model) || !slices.Contains(ordered, h.model))
	})
}

func (l *loads) forget(endpoint string) { l.settle(endpoint, nil, nil) }
