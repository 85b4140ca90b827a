package config

import (
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdock/eelgrassdock/process/platform"
)

const (
	headKey          = "config/head"
	deltaPrefix      = "config/delta/"
	snapshotInterval = 64  // versions between two snapshots
	keepDeltas       = 128 // deltas kept up to the newest snapshot's version; a reader of the snapshot before it still finds its deltas
	maxRowBytes      = 64 << 10
	listPageSize     = 1000
	maxDeletes       = 200 // deltas deleted in one commit
	maxAttempts      = 5   // of a write whose answers are lost

	retryPause = 50 * time.Millisecond // after a lost answer, to outlast a short fault
)

type (
	// Store reads and writes the configuration on the platform. Each change is a
	// single commit of the head row, on the condition that the row has not
	// changed, and of the new delta's row.
	Store struct {
		Platform platform.Platform
		// Origin is the ID of this entry; Now is its clock, time.Now if nil.
		Origin string
		Now    func() time.Time
		// Pause waits between attempts of a write whose answer was lost. If nil,
		// the wait is 50 ms.
		Pause func(context.Context)

		mu     sync.Mutex
		cached Document // newest version loaded or written
	}

	// Head is the content of the head row.
	Head struct {
		Version int64  `json:"version"`
		Nonce   string `json:"nonce"`
		// Snapshot is the version of the newest snapshot; Object is the name of
		// the object that holds it.
		Snapshot   int64     `json:"snapshot"`
		Object     string    `json:"object,omitempty"`
		Time       time.Time `json:"time"`
		rowVersion int64
	}

	// ConflictError reports that a change was based on version Base while the
	// current one is Version; nothing was written. Changes lists the deltas since
	// Base, oldest first; it is empty if they could not be read.
	ConflictError struct {
		Base    int64
		Version int64
		Changes []Delta
	}

	// FaultError reports that a change would make the document invalid.
	FaultError struct {
		Faults []Fault
	}

	// deltaRef is the value of a delta row whose content is in the object store.
	deltaRef struct {
		Version int64  `json:"version"`
		Nonce   string `json:"nonce"`
		Object  string `json:"object,omitempty"`
	}

	snapshot struct {
		Nonce    string   `json:"nonce"`
		Document Document `json:"document"`
	}
)

var (
	counters = expvar.NewMap("config")

	// ErrGap reports that deltas are missing: they were deleted, or the document
	// to extend is older than the oldest delta that is kept.
	ErrGap = errors.New("deltas missing")
)

// Error states the current version and who made the changes since Base.
func (e *ConflictError) Error() string {
	text := fmt.Sprintf("change is based on version %d, current is %d", e.Base, e.Version)
	for _, d := range e.Changes {
		text += fmt.Sprintf("; %d by %s", d.Version, d.Who)
	}
	return text
}

// Error lists the faults.
func (e *FaultError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return "faulty document: " + strings.Join(lines, "; ")
}

func (s *Store) now() time.Time {
	if s.Now != nil {
		return s.Now()
	}
	return time.Now()
}

func deltaKey(version int64) string { return fmt.Sprintf("%s%015d", deltaPrefix, version) }

// ReadHead reads the head row. Version 0 means that no change has been made
// yet.
func (s *Store) ReadHead(ctx context.Context) (Head, error) {
	var h Head
	row, err := s.Platform.Get(ctx, headKey)
	if err != nil {
		return h, fmt.Errorf("read configuration head: %w", err)
	}
	if row.Version > 0 {
		if err := json.Unmarshal(row.Value, &h); err != nil {
			return h, fmt.Errorf("decode configuration head: %w", err)
		}
	}
	h.rowVersion = row.Version
	return h, nil
}

// Load reads the newest document.
func (s *Store) Load(ctx context.Context) (Document, error) {
	doc, _, err := s.load(ctx)
	return doc, err
}

// load returns the newest document and its head. It tries again, at most three
// times in all, if deltas are deleted between its reads: a newer snapshot then
// exists.
func (s *Store) load(ctx context.Context) (Document, Head, error) {
	var err error
	for range 3 {
		var h Head
		if h, err = s.ReadHead(ctx); err != nil {
			return Document{}, h, err
		}
		var doc Document
		if doc, err = s.assemble(ctx, h); err == nil {
			return doc, h, nil
		}
		if !errors.Is(err, ErrGap) {
			break
		}
	}
	return Document{}, Head{}, err
}

// assemble builds the document of a head from the cached document or the
// snapshot, whichever is newer, and the deltas after it.
func (s *Store) assemble(ctx context.Context, h Head) (Document, error) {
	s.mu.Lock()
	doc := s.cached
	s.mu.Unlock()
	if doc.Version > h.Version {
		doc = Document{} // the head was read from a replica that lags
	}
	if doc.Version < h.Snapshot {
		var err error
		if doc, err = s.readSnapshot(ctx, h); err != nil {
			return doc, err
		}
	}
	deltas, err := s.Deltas(ctx, doc.Version, h.Version)
	if err != nil {
		return doc, err
	}
	for _, d := range deltas {
		doc = Apply(doc, d)
	}
	s.updateCache(doc)
	return doc, nil
}

func (s *Store) readSnapshot(ctx context.Context, h Head) (Document, error) {
	data, err := s.Platform.GetObject(ctx, h.Object)
	if err != nil {
		return Document{}, fmt.Errorf("read configuration snapshot %d: %w", h.Snapshot, err)
	}
	var snap snapshot
	if err := json.Unmarshal(data, &snap); err != nil {
		return Document{}, fmt.Errorf("decode configuration snapshot %d: %w", h.Snapshot, err)
	}
	if snap.Document.Version != h.Snapshot {
		return Document{}, fmt.Errorf("snapshot object %s holds version %d", h.Object, snap.Document.Version)
	}
	return Canonical(snap.Document), nil
}

// Deltas reads the deltas of the versions above after, up to and including
// upto. If one is missing, the error wraps ErrGap.
func (s *Store) Deltas(ctx context.Context, after, upto int64) ([]Delta, error) {
	var deltas []Delta
	for next := after; next < upto; {
		rows, err := s.Platform.List(ctx, deltaPrefix, deltaKey(next), int(min(upto-next, listPageSize)))
		if err != nil {
			return nil, fmt.Errorf("list configuration deltas: %w", err)
		}
		if len(rows) == 0 {
			return nil, fmt.Errorf("configuration after version %d: %w", next, ErrGap)
		}
		for _, row := range rows {
			d, err := s.decodeDelta(ctx, row)
			if err != nil {
				return nil, err
			}
			if d.Version != next+1 {
				return nil, fmt.Errorf("configuration version %d: %w", next+1, ErrGap)
			}
			deltas = append(deltas, d)
			next++
		}
	}
	return deltas, nil
}

func (s *Store) decodeDelta(ctx context.Context, row platform.Row) (Delta, error) {
	var d Delta
	var ref deltaRef
	if err := json.Unmarshal(row.Value, &ref); err != nil {
		return d, fmt.Errorf("decode delta row %s: %w", row.Key, err)
	}
	data := row.Value
	if ref.Object != "" {
		var err error
		if data, err = s.Platform.GetObject(ctx, ref.Object); err != nil {
			return d, fmt.Errorf("read delta object %s: %w", ref.Object, err)
		}
	}
	if err := json.Unmarshal(data, &d); err != nil {
		return d, fmt.Errorf("decode delta %s: %w", row.Key, err)
	}
	if d.Nonce != ref.Nonce || d.Version != ref.Version {
		return d, fmt.Errorf("delta object %s does not belong to its row", ref.Object)
	}
	return d, nil
}

// updateCache keeps the newest document, so that the next load reads only the
// deltas after it.
func (s *Store) updateCache(doc Document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if doc.Version > s.cached.Version {
		s.cached = doc
	}
}
