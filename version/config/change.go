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

// Change edits the document of version base and gives the new version. If the
// document has moved on, the error is a ConflictError; if the result would be
// faulty, a FaultError; after either, nothing was written. An error that is
// platform.ErrUnknown means that the change may or may not have been made. An
// edit that changes nothing gives base.
func (s *Store) Change(ctx context.Context, base int64, edit func(*Document) error, who string) (int64, error) {
	doc, _, err := s.change(ctx, base, edit, who)
	return doc.Version, err
}

// change also gives the document and the delta. The delta's version is 0 if
// nothing changed.
func (s *Store) change(ctx context.Context, base int64, edit func(*Document) error, who string) (Document, Delta, error) {
	old, head, err := s.load(ctx)
	if err != nil {
		return Document{}, Delta{}, err
	}
	if head.Version != base {
		return Document{}, Delta{}, s.conflict(ctx, base)
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
	s.remember(doc)
	return doc, d, nil
}

// clone copies a document deeply, so that an edit cannot reach a list that a
// version in force shares.
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

// write commits a change.
func (s *Store) write(ctx context.Context, head Head, doc Document, d Delta) error {
	value, err := s.deltaRow(ctx, d)
	if err != nil {
		return err
	}
	next := Head{Version: d.Version, Nonce: d.Nonce, Snapshot: head.Snapshot, Object: head.Object, Time: d.Time}
	if d.Version-head.Snapshot >= snapshotEvery {
		// A snapshot that fails is made with the next change.
		if name, err := s.writeSnapshot(ctx, doc, d.Nonce); err == nil {
			next.Snapshot, next.Object = d.Version, name
		} else {
			counts.Add("snapshots_failed", 1)
		}
	}
	data, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode configuration head: %w", err)
	}
	ops := []platform.Op{
		{Kind: platform.Put, Key: headKey, Value: data, Version: head.row},
		{Kind: platform.Put, Key: deltaKey(d.Version), Value: value},
	}
	if err := s.commit(ctx, ops, d); err != nil {
		return err
	}
	if next.Snapshot != head.Snapshot {
		s.clean(ctx, head.Snapshot)
	}
	return nil
}

// deltaRow gives the row of a delta, and stores a large delta as an object.
func (s *Store) deltaRow(ctx context.Context, d Delta) ([]byte, error) {
	data, err := json.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("encode delta: %w", err)
	}
	if len(data) <= maxRowBytes {
		return data, nil
	}
	ref := reference{Version: d.Version, Nonce: d.Nonce, Object: "config/large/" + d.Nonce}
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
	// The nonce keeps writers that race for one version from overwriting each
	// other's snapshot.
	name := fmt.Sprintf("config/snapshot/%d-%s", doc.Version, nonce)
	return name, s.putObject(ctx, name, data)
}

// putObject writes an object with a name of its own, so it may be repeated.
func (s *Store) putObject(ctx context.Context, name string, data []byte) error {
	var err error
	for range maxTries {
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

// asNotWritten hides the unknown outcome of an object that no row refers to:
// whether it exists or not, the document has not changed.
func asNotWritten(err error) error {
	if errors.Is(err, platform.ErrUnknown) {
		return platform.ErrDown
	}
	return err
}

// commit writes a change. The conditions allow the same commit to be sent
// again after a lost answer: it takes effect at most once, and the nonce in
// the delta row tells whose write did.
func (s *Store) commit(ctx context.Context, ops []platform.Op, d Delta) error {
	var unsure bool
	var err error
	for range maxTries {
		err = s.Platform.Commit(ctx, ops)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, platform.ErrConflict):
			return s.settle(ctx, d, unsure)
		case errors.Is(err, platform.ErrUnknown):
			unsure = true
			counts.Add("answers_lost", 1)
		case !unsure:
			return fmt.Errorf("commit configuration %d: %w", d.Version, err)
		}
		s.pause(ctx)
	}
	return fmt.Errorf("commit configuration %d: %w: %w", d.Version, platform.ErrUnknown, err)
}

// settle finds out after a conflict whether an earlier try took effect.
func (s *Store) settle(ctx context.Context, d Delta, unsure bool) error {
	if unsure {
		row, err := s.Platform.Get(ctx, deltaKey(d.Version))
		if err != nil {
			return fmt.Errorf("read back delta %d: %w: %w", d.Version, platform.ErrUnknown, err)
		}
		var ref reference
		if row.Version > 0 && json.Unmarshal(row.Value, &ref) == nil && ref.Nonce == d.Nonce {
			return nil
		}
	}
	return s.conflict(ctx, d.Base)
}

// conflict tells an operator what happened since base.
func (s *Store) conflict(ctx context.Context, base int64) error {
	e := &ConflictError{Base: base}
	h, err := s.ReadHead(ctx)
	if err != nil {
		return fmt.Errorf("version %d is no longer current: %w", base, err)
	}
	e.Version = h.Version
	if base < h.Version {
		// Old deltas may be gone; then the versions alone must do.
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

// clean deletes deltas older than the snapshot before the newest. It may fail:
// the next snapshot cleans what is left.
func (s *Store) clean(ctx context.Context, previous int64) {
	last := previous - (keepDeltas - snapshotEvery)
	rows, err := s.Platform.List(ctx, deltaPrefix, "", cleanRows)
	if err != nil {
		counts.Add("cleaning_failed", 1)
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
		counts.Add("cleaning_failed", 1)
	}
}
