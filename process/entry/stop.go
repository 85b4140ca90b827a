package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	handoverTime = time.Second // time for streams to send their callers elsewhere at the limit
	// spreadTime is how long other entries may go on naming this one in their
	// answers: news spread to 500 entries in 1.1 s (CAPACITY.md).
	spreadTime = 2 * time.Second
	stopPoll   = 50 * time.Millisecond
)

// Abort ends a graceful stop early: streams in flight are handed over to other
// entries, everything else is cut off.
func (e *Entry) Abort() {
	e.expire()
}

func (e *Entry) stopLimit() time.Time {
	limit := defaultStop
	if e.Settings.Stop > 0 {
		limit = time.Duration(e.Settings.Stop) * time.Second
	}
	return e.now().Add(limit)
}

func (e *Entry) keep() time.Duration {
	if e.Settings.Keep > 0 {
		return time.Duration(e.Settings.Keep) * time.Second
	}
	return defaultKeep
}

// stop leaves the locate answers, serves callers with older answers until
// those have expired, waits for requests in flight, and closes the server.
func (e *Entry) stop() error {
	if e.killed.Load() {
		return nil
	}
	limit := e.stopLimit()
	e.stopping.Store(true)
	e.members.Drain()
	begun := e.now()
	e.Log.WithFields(logrus.Fields{"entry": e.id, "active": e.streams.active(), "limit": limit}).Info("graceful stop begun")
	e.waitUntil(begun.Add(e.keep()+spreadTime), limit)
	e.refusing.Store(true)
	for e.streams.active() > 0 && e.now().Before(limit) && !e.isExpired() {
		time.Sleep(stopPoll)
	}
	left := e.streams.active()
	e.Abort()
	ctx, cancel := context.WithTimeout(context.Background(), handoverTime)
	defer cancel()
	err := e.server.Shutdown(ctx)
	cut := e.streams.active()
	e.Log.WithFields(logrus.Fields{"entry": e.id, "moved": left - cut, "cut": cut}).Info("graceful stop ended")
	if err != nil {
		_ = e.server.Close()
	}
	if cut > 0 {
		return fmt.Errorf("stop cut off %d requests: %v", cut, e.streams.names())
	}
	return nil
}

// waitUntil waits for the expiry of locate answers that name this entry.
func (e *Entry) waitUntil(until, limit time.Time) {
	for e.now().Before(until) && e.now().Before(limit) && !e.isExpired() {
		time.Sleep(stopPoll)
	}
}

func (e *Entry) isExpired() bool { return e.serving.Err() != nil }
