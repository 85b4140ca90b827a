// Package platform is the seam to the services that the operators already run:
// a transactional table service, an object store and a list of instances.
//
// The table holds rows. Every row has a version that grows by one with each
// write; version 0 means that the row is absent. A commit applies several
// operations or none, each conditional on the version of its row. Stores fail
// in three ways that callers must keep apart: the write was refused
// (ErrConflict, ErrLimited, ErrDown), or nobody knows (ErrUnknown). After
// ErrUnknown the caller reads the row back before it concludes anything.
package platform

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Errors of the platform's services, compared with errors.Is.
var (
	// ErrConflict reports that a condition did not hold; nothing was written.
	ErrConflict = errors.New("row version differs from the expected version")
	// ErrLimited reports that the rate limit refused the call; nothing was written.
	ErrLimited = errors.New("table service rate limit exceeded")
	// ErrDown reports that the service refused the call; nothing was written.
	ErrDown = errors.New("table service unavailable")
	// ErrUnknown reports that the answer was lost; a write may have taken effect.
	ErrUnknown = errors.New("answer lost, the write may have taken effect")
	// ErrAbsent reports an object that does not exist.
	ErrAbsent = errors.New("object does not exist")
)

type (
	// Row is one row of the table. Version 0 means that the row is absent.
	Row struct {
		Key     string `json:"key"`
		Value   []byte `json:"value,omitempty"`
		Version int64  `json:"version"`
	}

	// Kind says what an Op does to its row.
	Kind string

	// Op is one operation of a commit. Version is the version that the row must
	// have, 0 for a row that must be absent.
	Op struct {
		Kind    Kind   `json:"kind"`
		Key     string `json:"key"`
		Value   []byte `json:"value,omitempty"`
		Version int64  `json:"version"`
	}

	// Instance is one line of the platform's list of instances. The list lags
	// behind the truth by up to a minute.
	Instance struct {
		ID      string `json:"id"`
		Addr    string `json:"addr"`
		Peer    string `json:"peer"` // address that other entries use
		Place   string `json:"place"`
		Region  string `json:"region"`
		Leaving bool   `json:"leaving,omitempty"`
	}

	// Platform is the seam. All fields are set before use; Memory.Platform and
	// Remote.Platform give complete ones. Every call ends when ctx does. A read
	// fails with any of the errors above but ErrConflict; of a read, ErrUnknown
	// says no more than ErrDown.
	Platform struct {
		// Get reads one row. An absent row is not an error: its version is 0.
		Get func(ctx context.Context, key string) (Row, error)
		// List reads up to n rows whose keys have the prefix and are greater
		// than after, in key order. It counts as one read per 100 rows begun.
		List func(ctx context.Context, prefix, after string, n int) ([]Row, error)
		// Commit applies all operations or none. Each put or delete counts as
		// one write; checks are free.
		Commit func(ctx context.Context, ops []Op) error
		// GetObject reads an object; it returns ErrAbsent if there is none.
		GetObject func(ctx context.Context, name string) ([]byte, error)
		// PutObject writes an object and counts as one write.
		PutObject func(ctx context.Context, name string, data []byte) error
		// Instances reads the list of live and leaving instances.
		Instances func(ctx context.Context) ([]Instance, error)
	}
)

// Kinds of operation.
const (
	Put    Kind = "put"    // writes the value
	Delete Kind = "delete" // removes the row
	Check  Kind = "check"  // only verifies the version
)
