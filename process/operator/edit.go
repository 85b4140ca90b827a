package operator

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdock/eelgrassdock/version/config"
)

const (
	// maxAttempts bounds the attempts to write a command, the first one included,
	// while only unrelated objects change.
	maxAttempts = 4
	// maxCatchUp is how long a rejected command waits for this entry to receive
	// the version that was written first; a change should be in effect on all
	// entries after 2 s.
	maxCatchUp = 3 * time.Second
)

// errNoChange aborts an edit that would write an identical version.
var errNoChange = errors.New("nothing to change")

// edit holds the state of one command while it is written to the configuration.
type edit struct {
	executor     *Executor
	who          string
	statement    *Statement
	catalogue    Catalogue // as the operator saw it
	overlayState string    // state of the overlay at the first attempt; see Overlay.describe
	changes      []string  // one line for each change of the last attempt
	newest       int64     // highest version that the change was tried on
}

// apply writes a command's change and returns its description and version. If
// the configuration already is as desired, it returns no description and the
// highest version that the change was tried on.
func (x *Executor) apply(ctx context.Context, who string, s *Statement, c Catalogue) ([]string, int64, error) {
	e := edit{executor: x, who: who, statement: s, catalogue: c, newest: c.Document.Version}
	for attempt := 1; ; attempt++ {
		version, err := e.write(ctx)
		var conflict *Conflict
		if !errors.As(err, &conflict) {
			return e.changes, version, err
		}
		if !e.mayRebase() || conflict.related || attempt == maxAttempts || !e.catchUp(ctx) {
			return nil, 0, conflict
		}
	}
}

// write makes one attempt to write the change.
func (e *edit) write(ctx context.Context) (int64, error) {
	if editsDocument(e.statement) {
		if e.executor.Edit == nil {
			return 0, notOffered("edits")
		}
		version, err := e.executor.Edit(ctx, e.who, e.changeDocument)
		return e.classify(version, err)
	}
	if e.executor.Overlay == nil {
		return 0, notOffered("commands on entries")
	}
	version, err := e.executor.Overlay(ctx, e.who, e.changeOverlay)
	return e.classify(version, err)
}

// changeDocument applies the change to a document, which may be newer than the
// one that the operator saw. It may be called more than once.
func (e *edit) changeDocument(doc *config.Document) error {
	seen := e.catalogue.Document
	e.newest = max(e.newest, doc.Version)
	if doc.Version != seen.Version && (!e.mayRebase() || changesRelated(e.statement, seen, doc)) {
		c := e.executor.newConflict(seen.Version, seen, doc)
		c.related = true
		return c
	}
	var err error
	if e.changes, err = changeDocument(doc, e.statement); err == nil && len(e.changes) == 0 {
		return errNoChange
	}
	return err
}

// changeOverlay applies the change to the overlay. It returns a *Conflict if the
// part of the overlay that the command changes differs from the first call.
func (e *edit) changeOverlay(o *Overlay) error {
	state := o.describe(e.statement)
	if e.overlayState != "" && e.overlayState != state {
		seen := e.catalogue.Document
		c := e.executor.newConflict(seen.Version, seen, e.executor.Document())
		c.related, c.Changed = true, append(c.Changed, state)
		return c
	}
	e.overlayState = state
	var err error
	if e.changes, err = e.catalogue.changeOverlay(o, e.statement); err == nil && len(e.changes) == 0 {
		return errNoChange
	}
	return err
}

// classify turns the error of an attempt into a *Conflict, an *Error or a wrapped
// error of the write. If there was nothing to change, it returns the highest
// version tried and no error.
func (e *edit) classify(version int64, err error) (int64, error) {
	var conflict *Conflict
	var fault *Error
	switch {
	case err == nil:
		return version, nil
	case errors.Is(err, errNoChange):
		return e.newest, nil
	case errors.As(err, &conflict):
		return 0, conflict
	case errors.As(err, &fault):
		return 0, fault
	case errors.Is(err, ErrConflict):
		seen := e.catalogue.Document
		c := e.executor.newConflict(seen.Version, seen, e.executor.Document())
		c.Detail = err.Error()
		return 0, c
	default:
		return 0, fmt.Errorf("write change: %w", err)
	}
}

// mayRebase reports whether the command may be applied to a newer version than
// the operator saw.
func (e *edit) mayRebase() bool { return e.executor.Rebase && e.statement.At == nil }

// catchUp waits until this entry has a newer version than the last attempt was
// made on. It returns false after maxCatchUp or when ctx ends.
func (e *edit) catchUp(ctx context.Context) bool {
	until := e.executor.now().Add(maxCatchUp)
	for e.executor.Document().Version <= e.newest {
		if !e.executor.now().Before(until) || !e.executor.sleepPoll(ctx) {
			return false
		}
	}
	e.newest = e.executor.Document().Version
	return true
}
