package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdock/eelgrassdock/process/member"
	"github.com/eelgrassdock/eelgrassdock/process/platform"
)

const (
	registerPrefix      = "entry/"        // key prefix of the registrations, one row for each entry
	registerRetry       = time.Second     // time between attempts while the store is unavailable
	registerWait        = 3 * time.Second // longest wait for the registration at the start of an entry
	pageRows            = 99              // rows per List call; 100 would be charged as a second read
	unreadRegistrations = "entries whose registration could not be read"
)

// register writes the entry's row to the table. The entry that makes a change
// of the configuration finds this entry by the row, even before the membership
// lists it, and new entries use the row as a seed. A change is accepted only
// after every registered entry has acknowledged it, and an entry reads the
// newest version after its registration, so no entry can miss an accepted
// change.
func (e *Entry) register(ctx context.Context) error {
	value, err := json.Marshal(e.self())
	if err != nil {
		return fmt.Errorf("encode registration: %w", err)
	}
	key := registerPrefix + e.id
	err = e.Platform.Commit(ctx, []platform.Op{{Kind: platform.Put, Key: key, Value: value}})
	if errors.Is(err, platform.ErrConflict) {
		return nil // an earlier attempt succeeded and its response was lost
	}
	if err != nil {
		return fmt.Errorf("write registration: %w", err)
	}
	return nil
}

// keepRegistering retries until the entry is registered, and then closes done.
func (e *Entry) keepRegistering(ctx context.Context, done chan<- struct{}) {
	for {
		err := e.register(ctx)
		if err == nil {
			close(done)
			return
		}
		e.Log.WithError(err).Warn("registration of the entry failed; will retry")
		if !sleepUntil(ctx, e.now().Add(registerRetry), e.now()) {
			return
		}
	}
}

// startRegistration starts the registration and waits for it, but not longer
// than registerWait. If the store is unavailable, the registration continues in
// the background; no change can be accepted in that time.
func (e *Entry) startRegistration() {
	done := make(chan struct{})
	e.keep(func() { e.keepRegistering(e.background, done) })
	timer := time.NewTimer(registerWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// deregister deletes the row of an entry that has ended. Errors are only
// logged.
func (e *Entry) deregister(ctx context.Context, id string) {
	row, err := e.Platform.Get(ctx, registerPrefix+id)
	if err != nil || row.Version == 0 {
		return
	}
	err = e.Platform.Commit(ctx, []platform.Op{{Kind: platform.Delete, Key: row.Key, Version: row.Version}})
	if err != nil {
		e.Log.WithError(err).WithField("entry", id).Debug("removal of the registration failed")
	}
}

// registered returns the entries that have a row in the table.
func (e *Entry) registered(ctx context.Context) ([]member.Member, error) {
	var list []member.Member
	for after := ""; ; {
		rows, err := e.Platform.List(ctx, registerPrefix, after, pageRows)
		if err != nil {
			return nil, fmt.Errorf("read registrations: %w", err)
		}
		for _, row := range rows {
			var m member.Member
			if err := json.Unmarshal(row.Value, &m); err != nil {
				return nil, fmt.Errorf("decode registration %s: %w", row.Key, err)
			}
			list = append(list, m)
			after = row.Key
		}
		if len(rows) < pageRows {
			return list, nil
		}
	}
}

// readRegistered adds the registered entries to the set that must acknowledge
// configuration versions.
func (e *Entry) readRegistered(ctx context.Context) error {
	list, err := e.registered(ctx)
	if err != nil {
		return err
	}
	for _, m := range list {
		e.addrs.Store(m.ID, m.RPC)
		e.tracker.Observe(m.ID)
	}
	return nil
}

// pending returns the entries that have not acknowledged a version. The latest
// version that this entry wrote, and any later one, remains pending until the
// registrations have been read after that write. Earlier versions do not wait
// for that.
func (e *Entry) pending(version int64) []string {
	list := e.tracker.Pending(version)
	if written := e.lastWritten.Load(); version >= written && written > e.registeredRead.Load() {
		list = append(list, unreadRegistrations)
	}
	return list
}

// rereadRegistered reads the registrations in the background after version was
// written, and retries until it succeeds.
func (e *Entry) rereadRegistered(version int64) {
	e.lastWritten.Store(max(e.lastWritten.Load(), version))
	e.spawn(func() {
		for {
			err := e.readRegistered(e.background)
			if err == nil {
				e.registeredRead.Store(max(e.registeredRead.Load(), version))
				return
			}
			e.Log.WithError(err).Warn("read of the registered entries failed; will retry")
			if !sleepUntil(e.background, e.now().Add(registerRetry), e.now()) {
				return
			}
		}
	})
}
