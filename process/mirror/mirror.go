// Package mirror keeps a copy of one table of the platform's store.
//
// The table is read whole once and then followed by long polls. A poll that
// gets no answer in time is given up: a connection may have gone silent without
// an error. When the store has dropped the changes that a mirror lacks, or the
// mirror had no answer for longer than History, the table is read whole again.
//
// A row that is missing from a whole read after an outage is kept for Return,
// because its writer may not have reached the store yet.
package mirror

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
)

const (
	pollMargin = 700 * time.Millisecond // beyond Wait, after which a poll is given up
	readLimit  = 2 * time.Second        // for a read of the whole table
	firstPause = 100 * time.Millisecond // after a failed call
	lastPause  = time.Second            // longest pause; the store's rates are shared by all instances
	outageFrom = 2 * time.Second        // without an answer for longer counts as an outage
)

// ErrGone says that the store has dropped changes that were asked for.
var ErrGone = errors.New("changes are no longer kept")

type (
	// Row is one row, or the news that it is gone.
	Row struct {
		Key     string
		Value   []byte
		Version int64
		Gone    bool
	}

	// Page is an answer of the store: rows, and the version that they show.
	Page struct {
		Rows    []Row
		Version int64
	}

	// Table follows one table. Fields are set before Run.
	Table struct {
		Name string
		// List reads the whole table.
		List func(ctx context.Context) (Page, error)
		// Follow waits for changes after a version, for Wait at the longest, and
		// fails with ErrGone if they are no longer kept.
		Follow func(ctx context.Context, after int64, wait time.Duration) (Page, error)
		Wait   time.Duration
		// Rest is how long the table is left alone after changes, so that changes
		// of one moment come in one answer.
		Rest time.Duration
		// Return is the time in which rows come back after an outage.
		Return time.Duration
		// Changed gets rows in the order of their versions.
		Changed func(rows []Row)
		// Seen is called at each answer of the store, with the version that it
		// shows; Lost at each first failure after an answer.
		Seen func(version int64)
		Lost func(err error)
		Log  *logrus.Logger
		// Now is the clock, time.Now if nil.
		Now func() time.Time

		known   map[string]int64
		missing map[string]time.Time // rows to drop then, unless they come back
		after   int64
		seen    time.Time
		rest    bool // the latest answer brought changes
		lost    bool
		outage  bool // until the whole table was read after it
	}
)

func (t *Table) now() time.Time {
	if t.Now != nil {
		return t.Now()
	}
	return time.Now()
}

// Run follows the table until ctx ends.
func (t *Table) Run(ctx context.Context) {
	t.known, t.missing = map[string]int64{}, map[string]time.Time{}
	t.after, t.seen = -1, t.now()
	pause := firstPause
	for ctx.Err() == nil {
		err := t.step(ctx)
		t.drop()
		if err == nil {
			pause = firstPause
			continue
		}
		if ctx.Err() != nil {
			return
		}
		t.fail(err)
		if !sleep.For(ctx, pause/2+rand.N(pause)) {
			return
		}
		pause = min(2*pause, lastPause)
	}
}

// step makes one call and takes in its answer.
func (t *Table) step(ctx context.Context) error {
	if t.after < 0 {
		call, cancel := context.WithTimeout(ctx, readLimit)
		defer cancel()
		page, err := t.List(call)
		if err != nil {
			return err
		}
		t.replace(page)
		return nil
	}
	if t.rest && t.Rest > 0 {
		sleep.For(ctx, t.Rest)
	}
	wait := t.Wait
	for _, at := range t.missing {
		wait = min(wait, max(at.Sub(t.now()), firstPause))
	}
	call, cancel := context.WithTimeout(ctx, wait+pollMargin)
	defer cancel()
	page, err := t.Follow(call, t.after, wait)
	if errors.Is(err, ErrGone) {
		t.after = -1
		t.Log.WithFields(logrus.Fields{"event": "store_history", "table": t.Name}).
			Warn("store has dropped changes; reading the whole table")
		return nil
	}
	if err != nil {
		return err
	}
	t.follow(page)
	return nil
}

func (t *Table) fail(err error) {
	if t.now().Sub(t.seen) > outageFrom && !t.outage {
		// Rows may have lapsed meanwhile, and come back after the outage.
		t.outage, t.after = true, -1
	}
	if t.lost {
		return
	}
	t.lost = true
	t.Log.WithError(err).WithFields(logrus.Fields{"event": "store_lost", "table": t.Name}).
		Warn("store does not answer; serving from memory")
	if t.Lost != nil {
		t.Lost(err)
	}
}

func (t *Table) answered(version int64) {
	if t.lost {
		t.Log.WithFields(logrus.Fields{
			"event": "store_back", "table": t.Name, "away": t.now().Sub(t.seen).Milliseconds(),
		}).Info("store answers again")
	}
	t.lost, t.seen = false, t.now()
	if t.Seen != nil {
		t.Seen(version)
	}
}

// follow takes in changes. An answer that shows less than an earlier one is
// ignored.
func (t *Table) follow(page Page) {
	if page.Version < t.after {
		t.answered(t.after)
		return
	}
	t.after, t.rest = page.Version, len(page.Rows) > 0
	t.take(page.Rows)
	t.answered(page.Version)
}

func (t *Table) take(rows []Row) {
	changed := rows[:0:0]
	for _, r := range rows {
		if r.Version <= t.known[r.Key] {
			continue
		}
		delete(t.missing, r.Key)
		if t.known[r.Key] = r.Version; r.Gone {
			delete(t.known, r.Key)
		}
		changed = append(changed, r)
	}
	if len(changed) > 0 {
		t.Changed(changed)
	}
}

// replace takes in the whole table.
func (t *Table) replace(page Page) {
	listed := make(map[string]bool, len(page.Rows))
	for _, r := range page.Rows {
		listed[r.Key] = true
	}
	var gone []Row
	for key := range t.known {
		switch {
		case listed[key]:
		case t.outage && t.Return > 0:
			if t.missing[key].IsZero() {
				t.missing[key] = t.now().Add(t.Return)
			}
		default:
			gone = append(gone, Row{Key: key, Version: page.Version, Gone: true})
		}
	}
	t.outage, t.after = false, page.Version
	t.take(gone)
	t.take(page.Rows)
	t.answered(page.Version)
}

// drop ends the rows that did not come back.
func (t *Table) drop() {
	if t.lost {
		return
	}
	var gone []Row
	for key, at := range t.missing {
		if !t.now().Before(at) {
			gone = append(gone, Row{Key: key, Version: t.known[key] + 1, Gone: true})
		}
	}
	t.take(gone)
}
