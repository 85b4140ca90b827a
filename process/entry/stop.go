package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/eelgrassdock/eelgrassdock/process/pace"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

const (
	handoverTime = time.Second // time for streams to redirect their callers to another entry at the limit
	// spreadTime is how long other entries may continue to name this entry in
	// their locate answers. A membership update reaches 500 entries in 1.1 s
	// (CAPACITY.md).
	spreadTime = 2 * time.Second
	stopPoll   = 50 * time.Millisecond

	expectedShare = 0.99 // quantile of the recent times that a call is expected to take
	// expectedFactor allows for replicas that get slower while the entry stops. A call
	// that is refused goes to another entry, while the outcome of one that is cut off is
	// not known.
	expectedFactor = 2
	unknownTime    = 5 * time.Second // that a call is expected to take if too few of its route are known
)

// Abort ends a graceful stop early: callers of streams in flight are redirected
// to other entries, and all other requests are interrupted.
func (e *Entry) Abort() {
	e.expire()
}

// stopLimit returns the latest end of a graceful stop that begins now.
func (e *Entry) stopLimit() time.Time {
	limit := defaultStop
	if e.Settings.Stop > 0 {
		limit = time.Duration(e.Settings.Stop) * time.Second
	}
	return e.now().Add(limit)
}

// checkStop returns the refusal of a call that would probably be cut off by the graceful
// stop of the entry, nil otherwise. That no other entry lives is no reason to take it: its
// caller can't learn the outcome of a call that is cut off.
func (e *Entry) checkStop(key pace.Key, deadline time.Time) error {
	limit := e.limit.Load()
	if limit == nil || !deadline.After(*limit) {
		return nil
	}
	now := e.now()
	expected, known := e.callTimes.Quantile(key, expectedShare, now)
	if !known {
		expected = unknownTime
	}
	if !now.Add(expectedFactor * expected).After(*limit) {
		return nil
	}
	return refusal.New(refusal.Stopping, refusal.NotRun, "entry is stopping; use another entry")
}

// locateTTL returns how long callers may cache a locate answer.
func (e *Entry) locateTTL() time.Duration {
	if e.Settings.Keep > 0 {
		return time.Duration(e.Settings.Keep) * time.Second
	}
	return defaultKeep
}

// stop performs a graceful stop. It removes the entry from the locate answers,
// continues to serve what will probably end in time until older answers have expired,
// waits for the requests in flight, and closes the server. It returns an error if
// requests were interrupted.
func (e *Entry) stop() error {
	if e.killed.Load() {
		return nil
	}
	limit := e.stopLimit()
	e.limit.Store(&limit)
	e.stopping.Store(true)
	e.members.Drain()
	begun := e.now()
	e.Log.WithFields(logrus.Fields{"entry": e.id, "active": e.inFlight.active(), "limit": limit}).Info("graceful stop begun")
	e.waitUntil(begun.Add(e.locateTTL()+spreadTime), limit)
	e.refusing.Store(true)
	for e.inFlight.active() > 0 && e.now().Before(limit) && !e.isExpired() {
		time.Sleep(stopPoll)
	}
	left := e.inFlight.active()
	e.Abort()
	ctx, cancel := context.WithTimeout(context.Background(), handoverTime)
	defer cancel()
	err := e.server.Shutdown(ctx)
	cut := e.inFlight.active()
	e.Log.WithFields(logrus.Fields{"entry": e.id, "moved": left - cut, "cut": cut}).Info("graceful stop ended")
	if err != nil {
		_ = e.server.Close()
	}
	if cut > 0 {
		return fmt.Errorf("stop cut off %d requests: %v", cut, e.inFlight.names())
	}
	return nil
}

// waitUntil waits until the locate answers that name this entry have expired,
// the limit is reached, or the stop is aborted.
func (e *Entry) waitUntil(until, limit time.Time) {
	for e.now().Before(until) && e.now().Before(limit) && !e.isExpired() {
		time.Sleep(stopPoll)
	}
}

// isExpired reports whether the limit of a graceful stop was reached or Abort
// was called.
func (e *Entry) isExpired() bool { return e.serving.Err() != nil }
