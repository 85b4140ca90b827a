package order

import (
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

type (
	// loadLimiter limits the number of models that load at the same time and the
	// number of loads started per minute. A slot is held until the endpoint
	// reports the model as loaded, until the model is no longer ordered, or until
	// the slot expires.
	loadLimiter struct {
		mu       sync.Mutex
		maxLoads int
		starts   *rate.Limiter
		slots    []loadSlot
	}

	// loadSlot is the permission for one endpoint to load one model.
	loadSlot struct {
		endpoint, model string
		expires         time.Time
	}
)

func (l *loadLimiter) init(maxLoads, perMinute int) {
	l.maxLoads = maxLoads
	l.starts = rate.NewLimiter(rate.Limit(float64(perMinute)/60), maxLoads)
}

// acquire reports whether the endpoint may load the model. It takes a free
// slot, which expires after timeout, or keeps the slot that the endpoint
// already holds for the model.
func (l *loadLimiter) acquire(endpoint, model string, now time.Time, timeout time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slots = slices.DeleteFunc(l.slots, func(slot loadSlot) bool { return !now.Before(slot.expires) })
	if slices.ContainsFunc(l.slots, func(slot loadSlot) bool { return slot.endpoint == endpoint && slot.model == model }) {
		return true
	}
	if len(l.slots) >= l.maxLoads || !l.starts.AllowN(now, 1) {
		return false
	}
	l.slots = append(l.slots, loadSlot{endpoint, model, now.Add(timeout)})
	return true
}

// release frees the slots of an endpoint for models that it has loaded or that
// are no longer ordered.
func (l *loadLimiter) release(endpoint string, loaded, ordered []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slots = slices.DeleteFunc(l.slots, func(slot loadSlot) bool {
		return slot.endpoint == endpoint && (slices.Contains(loaded, slot.model) || !slices.Contains(ordered, slot.model))
	})
}

func (l *loadLimiter) releaseAll(endpoint string) { l.release(endpoint, nil, nil) }
