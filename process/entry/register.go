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
	registerPrefix = "entry/"        // rows of the table, one for each entry
	registerRetry  = time.Second     // between attempts to register while the store is down
	registerWait   = 3 * time.Second // the start of an entry waits this long for its registration
	pageRows       = 99              // rows of one list; 100 would count as a second read
	unread         = "entries whose registration could not be read"
)

// register writes the entry's row. The row makes the entry known to whoever
// changes the configuration, also before the membership knows it, and leads
// new entries to it. A change of the configuration is accepted
// only after every registered entry has it, and an entry reads the newest
// version after it has registered, so none is passed over.
func (e *Entry) register(ctx context.Context) error {
	value, err := json.Marshal(e.self())
	if err != nil {
		return fmt.Errorf("encode registration: %w", err)
	}
	key := registerPrefix + e.id
	err = e.Platform.Commit(ctx, []platform.Op{{Kind: platform.Put, Key: key, Value: value}})
	if errors.Is(err, platform.ErrConflict) {
		return nil // an earlier attempt whose answer was lost took effect
	}
	if err != nil {
		return fmt.Errorf("write registration: %w", err)
	}
	return nil
}

// keepRegistering tries until the entry is registered. It tells through done
// that it is, so that the start can wait for it while the store works.
func (e *Entry) keepRegistering(ctx context.Context, done chan<- struct{}) {
	for {
		err := e.register(ctx)
		if err == nil {
			close(done)
			return
		}
		e.Log.WithError(err).Warn("entry could not be registered; trying again")
		if !sleepUntil(ctx, e.now().Add(registerRetry), e.now()) {
			return
		}
	}
}

// startRegistration registers the entry. While the store is down it goes on in
// the background: no change can be accepted in that time.
func (e *Entry) startRegistration() {
	done := make(chan struct{})
	e.wg.Go(func() { e.keepRegistering(e.background, done) })
	timer := time.NewTimer(registerWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// deregister removes the row of an entry that is gone.
func (e *Entry) deregister(ctx context.Context, id string) {
	row, err := e.Platform.Get(ctx, registerPrefix+id)
	if err != nil || row.Version == 0 {
		return
	}
	err = e.Platform.Commit(ctx, []platform.Op{{Kind: platform.Delete, Key: row.Key, Version: row.Version}})
	if err != nil {
		e.Log.WithError(err).WithField("entry", id).Debug("registration could not be removed")
	}
}

// registered lists the entries that have a row.
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

// readRegistered adds the registered entries to those that must acknowledge.
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

// pending names the entries that lack a version. A version that was written
// here counts as pending until the registered entries were read afterwards.
func (e *Entry) pending(version int64) []string {
	list := e.tracker.Pending(version)
	if wanted := e.written.Load(); version >= wanted && wanted > e.counted.Load() {
		list = append(list, unread)
	}
	return list
}

// count reads the registered entries after version was written, and tries
// again until it succeeds.
func (e *Entry) count(version int64) {
	e.written.Store(max(e.written.Load(), version))
	e.spawn(func() {
		for {
			err := e.readRegistered(e.background)
			if err == nil {
				e.counted.Store(max(e.counted.Load(), version))
				return
			}
			e.Log.WithError(err).Warn("registered entries could not be read; trying again")
			if !sleepUntil(e.background, e.now().Add(registerRetry), e.now()) {
				return
			}
		}
	})
}
