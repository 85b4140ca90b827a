package config

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
	"github.com/eelgrassdock/eelgrassdock/process/platform"
)

// Change applies edit to the document of version base, commits the result and
// returns its version. An edit that changes nothing returns base. The error is
// a ConflictError if the current version is no longer base, and a FaultError if
// the result would be invalid; in both cases nothing was written. If it is
// platform.ErrUnknown, the change may or may not have been committed.
func (s *Store) Change(ctx context.Context, base int64, edit func(*Document) error, who string) (int64, error) {
	doc, _, err := s.change(ctx, base, edit, who)
	return doc.Version, err
}

// change is Change, but also returns the document and the delta. The delta's
// version is 0 if nothing changed.
func (s *Store) change(ctx context.Context, base int64, edit func(*Document) error, who string) (Document, Delta, error) {
	old, head, err := s.load(ctx)
	if err != nil {
		return Document{}, Delta{}, err
	}
	if head.Version != base {
		return Document{}, Delta{}, s.conflictError(ctx, base)
	}
	doc := clone(old)
	if err := edit(&doc); err != nil {
		return Document{}, Delta{}, fmt.Errorf("edit configuration: %w", err)
	}
	doc = Canonical(doc)
	doc.Version = base + 1
	if faults := Check(doc); len(faults) > 0 {
		return Document{}, Delta{}, &FaultError{Faults: faults}
	}
	d := Diff(old, doc)
	if d.IsZero() {
		return old, Delta{}, nil
	}
	d.Nonce, d.Who, d.Origin, d.Time = uuid.NewString(), who, s.Origin, s.now().UTC()
	if err := s.write(ctx, head, doc, d); err != nil {
		return Document{}, Delta{}, err
	}
	s.updateCache(doc)
	return doc, d, nil
}

// clone returns a copy, so that an edit cannot modify a list that the version in
// force shares. Entries is not copied: an edit must replace this list instead of
// changing its elements.
func clone(doc Document) Document {
	doc.Accounts, doc.Services = slices.Clone(doc.Accounts), slices.Clone(doc.Services)
	doc.Endpoints, doc.Secrets = slices.Clone(doc.Endpoints), slices.Clone(doc.Secrets)
	for i := range doc.Accounts {
		a := &doc.Accounts[i]
		a.Keys, a.Services = slices.Clone(a.Keys), slices.Clone(a.Services)
	}
	for i := range doc.Services {
		doc.Services[i].Routes = slices.Clone(doc.Services[i].Routes)
	}
	for i := range doc.Endpoints {
		doc.Endpoints[i].Models = slices.Clone(doc.Endpoints[i].Models)
	}
	return doc
}

// write commits a new version: the head row and the delta's row, and every
// snapshotInterval versions also a snapshot.
func (s *Store) write(ctx context.Context, head Head, doc Document, d Delta) error {
	value, err := s.deltaRow(ctx, d)
	if err != nil {
		return err
	}
	next := Head{Version: d.Version, Nonce: d.Nonce, Snapshot: head.Snapshot, Object: head.Object, Time: d.Time}
	if d.Version-head.Snapshot >= snapshotInterval {
		// If the snapshot fails, the next change tries again.
		if name, err := s.writeSnapshot(ctx, doc, d.Nonce); err == nil {
			next.Snapshot, next.Object = d.Version, name
		} else {
			counters.Add("snapshots_failed", 1)
		}
	}
	data, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode configuration head: %w", err)
	}
	ops := []platform.Op{
		{Kind: platform.Put, Key: headKey, Value: data, Version: head.rowVersion},
		{Kind: platform.Put, Key: deltaKey(d.Version), Value: value},
	}
	if err := s.commit(ctx, ops, d); err != nil {
		return err
	}
	if next.Snapshot != head.Snapshot {
		s.deleteOldDeltas(ctx, head.Snapshot)
	}
	return nil
}

// deltaRow returns the row's value for a delta. A delta larger than maxRowBytes
// is stored as an object, and the row refers to it.
func (s *Store) deltaRow(ctx context.Context, d Delta) ([]byte, error) {
	data, err := json.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("encode delta: %w", err)
	}
	if len(data) <= maxRowBytes {
		return data, nil
	}
	ref := deltaRef{Version: d.Version, Nonce: d.Nonce, Object: "config/large/" + d.Nonce}
	if err := s.putObject(ctx, ref.Object, data); err != nil {
		return nil, err
	}
	data, err = json.Marshal(ref)
	if err != nil {
		return nil, fmt.Errorf("encode delta reference: %w", err)
	}
	return data, nil
}

func (s *Store) writeSnapshot(ctx context.Context, doc Document, nonce string) (string, error) {
	data, err := json.Marshal(snapshot{Nonce: nonce, Document: doc})
	if err != nil {
		return "", fmt.Errorf("encode snapshot: %w", err)
	}
	// The nonce prevents writers that race for one version from overwriting each
	// other's snapshot.
	name := fmt.Sprintf("config/snapshot/%d-%s", doc.Version, nonce)
	return name, s.putObject(ctx, name, data)
}

// putObject writes an object. Object names are unique to a change, so a write
// whose answer was lost can be repeated.
func (s *Store) putObject(ctx context.Context, name string, data []byte) error {
	var err error
	for range maxAttempts {
		if err = s.Platform.PutObject(ctx, name, data); !errors.Is(err, platform.ErrUnknown) {
			break
		}
		s.pause(ctx)
	}
	if err != nil {
		return fmt.Errorf("write object %s: %w", name, asNotWritten(err))
	}
	return nil
}

// asNotWritten replaces ErrUnknown by ErrDown for an object that no row refers
// to: whether or not the object exists, the document has not changed.
func asNotWritten(err error) error {
	if errors.Is(err, platform.ErrUnknown) {
		return platform.ErrDown
	}
	return err
}

// commit commits a change. Because the operations are conditional, the same
// commit can be sent again after a lost answer: it takes effect at most once,
// and the nonce in the delta row identifies the writer that succeeded.
func (s *Store) commit(ctx context.Context, ops []platform.Op, d Delta) error {
	var maybeCommitted bool
	var err error
	for range maxAttempts {
		err = s.Platform.Commit(ctx, ops)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, platform.ErrConflict):
			return s.resolveConflict(ctx, d, maybeCommitted)
		case errors.Is(err, platform.ErrUnknown):
			maybeCommitted = true
			counters.Add("answers_lost", 1)
		case !maybeCommitted:
			return fmt.Errorf("commit configuration %d: %w", d.Version, err)
		}
		s.pause(ctx)
	}
	return fmt.Errorf("commit configuration %d: %w: %w", d.Version, platform.ErrUnknown, err)
}

// resolveConflict handles a refused condition. If an earlier attempt had an
// unknown outcome, it reads the delta row back and returns nil if that attempt
// took effect.
func (s *Store) resolveConflict(ctx context.Context, d Delta, maybeCommitted bool) error {
	if maybeCommitted {
		row, err := s.Platform.Get(ctx, deltaKey(d.Version))
		if err != nil {
			return fmt.Errorf("read back delta %d: %w: %w", d.Version, platform.ErrUnknown, err)
		}
		var ref deltaRef
		if row.Version > 0 && json.Unmarshal(row.Value, &ref) == nil && ref.Nonce == d.Nonce {
			return nil
		}
	}
	return s.conflictError(ctx, d.Base)
}

// conflictError returns a ConflictError with the changes since base, or the
// error of reading the head.
func (s *Store) conflictError(ctx context.Context, base int64) error {
	e := &ConflictError{Base: base}
	h, err := s.ReadHead(ctx)
	if err != nil {
		return fmt.Errorf("version %d is no longer current: %w", base, err)
	}
	e.Version = h.Version
	if base < h.Version {
		// Old deltas may have been deleted; the error then has the versions only.
		e.Changes, _ = s.Deltas(ctx, base, h.Version)
	}
	return e
}

func (s *Store) pause(ctx context.Context) {
	if s.Pause != nil {
		s.Pause(ctx)
		return
	}
	sleep.For(ctx, retryPause)
}

// deleteOldDeltas deletes up to maxDeletes deltas that are too old, after a new
// snapshot has been written. A failure is counted only: the next snapshot deletes
// what is left.
//
// The new snapshot is normally snapshotInterval versions after the previous one,
// so that last is keepDeltas versions before the new one. If earlier attempts at
// a snapshot failed, it is further from the previous one, and more deltas are
// kept.
func (s *Store) deleteOldDeltas(ctx context.Context, previousSnapshot int64) {
	last := previousSnapshot - (keepDeltas - snapshotInterval)
	rows, err := s.Platform.List(ctx, deltaPrefix, "", maxDeletes)
	if err != nil {
		counters.Add("cleaning_failed", 1)
		return
	}
	var ops []platform.Op
	for _, row := range rows {
		if row.Key <= deltaKey(last) {
			ops = append(ops, platform.Op{Kind: platform.Delete, Key: row.Key, Version: row.Version})
		}
	}
	if len(ops) == 0 {
		return
	}
	if err := s.Platform.Commit(ctx, ops); err != nil {
		counters.Add("cleaning_failed", 1)
	}
}
