// Package platform is the interface to the services that the operators already
// run: a transactional table service, an object store and a list of instances.
//
// The table holds rows. Every row has a version that grows by one with each
// write; version 0 means that the row is absent. A commit applies all of its
// operations or none, each conditional on the version of its row. Callers must
// distinguish two kinds of failed writes: the write was refused and had no
// effect (ErrConflict, ErrLimited, ErrDown), or its outcome is unknown
// (ErrUnknown). After ErrUnknown, the caller must read the row back to find out
// whether the write took effect.
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
	// ErrUnknown reports that the response was lost; a write may have taken effect.
	ErrUnknown = errors.New("answer lost, the write may have taken effect")
	// ErrAbsent reports that the object does not exist.
	ErrAbsent = errors.New("object does not exist")
)

type (
	// Row is one row of the table. Version 0 means that the row is absent.
	Row struct {
		Key     string `json:"key"`
		Value   []byte `json:"value,omitempty"`
		Version int64  `json:"version"`
	}

	// Kind is what an Op does to its row.
	Kind string

	// Op is one operation of a commit. The commit fails unless the row has this
	// Version; 0 requires that the row is absent.
	Op struct {
		Kind    Kind   `json:"kind"`
		Key     string `json:"key"`
		Value   []byte `json:"value,omitempty"`
		Version int64  `json:"version"`
	}

	// Instance is one item of the platform's list of instances. The list may be up
	// to a minute out of date.
	Instance struct {
		ID      string `json:"id"`
		Addr    string `json:"addr"`
		Peer    string `json:"peer"` // address for connections from other entries
		Place   string `json:"place"`
		Region  string `json:"region"`
		Leaving bool   `json:"leaving,omitempty"`
	}

	// Platform is the set of calls to the platform's services. All fields must be
	// set before use; Memory.Platform and Remote.Platform return complete values.
	// Every call ends when ctx does. A read can fail with any of the errors above
	// except ErrConflict; for a read, ErrUnknown means the same as ErrDown.
	Platform struct {
		// Get reads one row. An absent row is not an error: its version is 0.
		Get func(ctx context.Context, key string) (Row, error)
		// List reads up to n rows whose keys have the prefix and are greater
		// than after, in key order. It counts as one read for each 100 rows or
		// part of 100 rows.
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
