package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	handoverTime = time.Second // time for streams to redirect their callers to another entry at the limit
	// spreadTime is how long other entries may continue to name this entry in
	// their locate answers. A membership update reaches 500 entries in 1.1 s
	// (CAPACITY.md).
	spreadTime = 2 * time.Second
	stopPoll   = 50 * time.Millisecond
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

// locateTTL returns how long callers may cache a locate answer.
func (e *Entry) locateTTL() time.Duration {
	if e.Settings.Keep > 0 {
		return time.Duration(e.Settings.Keep) * time.Second
	}
	return defaultKeep
}

// stop performs a graceful stop. It removes the entry from the locate answers,
// continues to serve until older answers have expired, waits for the requests
// in flight, and closes the server. It returns an error if requests were
// interrupted.
func (e *Entry) stop() error {
	if e.killed.Load() {
		return nil
	}
	limit := e.stopLimit()
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
