package operator

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdock/eelgrassdock/version/config"
)

const (
	// maxTries bounds how often a command is tried on a newer version when only
	// unrelated objects changed.
	maxTries = 4
	// maxBehind is how long a rejected command waits for the version that came
	// first; a change should be in effect everywhere after 2 s.
	maxBehind = 3 * time.Second
)

// errNothing stops an edit that would write an identical version.
var errNothing = errors.New("nothing to change")

// edit is one command on its way into the configuration.
type edit struct {
	d         *Desk
	who       string
	s         *Statement
	catalogue Catalogue // what the operator saw
	stance    string    // of the overlay's part that the command is about
	did       []string
	newest    int64 // highest version that the change was tried on
}

// apply writes a command's change. If nothing is to change it returns the
// version that already has it.
func (d *Desk) apply(ctx context.Context, who string, s *Statement, c Catalogue) ([]string, int64, error) {
	e := edit{d: d, who: who, s: s, catalogue: c, newest: c.Document.Version}
	for try := 1; ; try++ {
		version, err := e.write(ctx)
		var conflict *Conflict
		if !errors.As(err, &conflict) {
			return e.did, version, err
		}
		if !e.rebases() || conflict.related || try == maxTries || !e.catchUp(ctx) {
			return nil, 0, conflict
		}
	}
}

// write makes one attempt.
func (e *edit) write(ctx context.Context) (int64, error) {
	if edits(e.s) {
		if e.d.Edit == nil {
			return 0, notOffered("edits")
		}
		version, err := e.d.Edit(ctx, e.who, e.document)
		return e.outcome(version, err)
	}
	if e.d.Overlay == nil {
		return 0, notOffered("commands on entries")
	}
	version, err := e.d.Overlay(ctx, e.who, e.overlay)
	return e.outcome(version, err)
}

// document applies the change to a document, which may be newer than the one
// that the operator saw. It may be called more than once.
func (e *edit) document(doc *config.Document) error {
	seen := e.catalogue.Document
	e.newest = max(e.newest, doc.Version)
	if doc.Version != seen.Version && (!e.rebases() || touches(e.s, seen, doc)) {
		c := e.d.conflict(seen.Version, seen, doc)
		c.related = true
		return c
	}
	var err error
	if e.did, err = change(doc, e.s); err == nil && len(e.did) == 0 {
		return errNothing
	}
	return err
}

// overlay applies the change to the overlay. A later call is refused if the
// part that the command is about is no longer as in the first one.
func (e *edit) overlay(o *Overlay) error {
	stance := o.stance(e.s)
	if e.stance != "" && e.stance != stance {
		seen := e.catalogue.Document
		c := e.d.conflict(seen.Version, seen, e.d.Document())
		c.related, c.Changed = true, append(c.Changed, stance)
		return c
	}
	e.stance = stance
	var err error
	if e.did, err = e.catalogue.overlay(o, e.s); err == nil && len(e.did) == 0 {
		return errNothing
	}
	return err
}

// outcome gives the errors of an attempt their types.
func (e *edit) outcome(version int64, err error) (int64, error) {
	var conflict *Conflict
	var fault *Error
	switch {
	case err == nil:
		return version, nil
	case errors.Is(err, errNothing):
		return e.newest, nil
	case errors.As(err, &conflict):
		return 0, conflict
	case errors.As(err, &fault):
		return 0, fault
	case errors.Is(err, ErrConflict):
		seen := e.catalogue.Document
		c := e.d.conflict(seen.Version, seen, e.d.Document())
		c.Detail = err.Error()
		return 0, c
	default:
		return 0, fmt.Errorf("write change: %w", err)
	}
}

func (e *edit) rebases() bool { return e.d.Rebase && e.s.At == nil }

// catchUp waits until this entry has a newer version than the one that the
// last attempt was rejected for.
func (e *edit) catchUp(ctx context.Context) bool {
	until := e.d.now().Add(maxBehind)
	for e.d.Document().Version <= e.newest {
		if !e.d.now().Before(until) || !e.d.pause(ctx) {
			return false
		}
	}
	e.newest = e.d.Document().Version
	return true
}
