// Package mirror keeps a copy of one table of the platform's store.
//
// The whole table is read once and then followed with long polls. A poll that
// gets no response in time is cancelled, because a connection can stop
// delivering data without an error. A response that has begun may take as long as
// its link needs, if List and Follow record its progress (package progress). The whole table is read again when the
// store no longer keeps the changes that the copy lacks, or when it did not
// respond for more than two seconds (an outage).
//
// A row that is missing when the table is read after an outage is kept for
// ReturnGrace, because its writer may not have reached the store yet.
//
// The store may come back from an older copy of itself (a restoration). What was
// written since is gone, its versions are given out again, and its era rises. Pages
// are therefore ordered by era first: versions of different eras are not compared,
// the whole table is read again in the new era, and pages of an earlier one are
// errors. A row that is missing then counts as missing after an outage. A row that
// had been deleted since the copy was made is back in the table; it is ignored for
// ReviveGrace unless it changes, so that whoever removed it can remove it again.
package mirror

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/eelgrassdock/eelgrassdock/internal/progress"
	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
)

const (
	// defaultWait is Wait if that is 0. A silent store is noticed after this time, BatchDelay and
	// pollMargin; with one more call by those that were told nothing, that is below the users' 3 s.
	defaultWait = 1500 * time.Millisecond
	pollMargin  = 700 * time.Millisecond // a poll is cancelled this long after Wait
	readTimeout = 2 * time.Second        // until the response to a read of the whole table makes progress
	stallLimit  = time.Second            // longest pause in a response
	longestCall = 20 * time.Second       // of any call; 8 MB take 7 s on a link of 10 Mbit/s
	minPause    = 100 * time.Millisecond // before the retry of a failed call
	maxPause    = time.Second            // longest pause; all instances share the store's rate limits
	outageAfter = 2 * time.Second        // a longer time without a response is an outage
	deletedTime = time.Minute            // for which deletions are remembered; copies are some seconds old
)

// ErrEra reports a page of an earlier era than one before it, of an unknown one, or of
// several eras.
var ErrEra = errors.New("page of an earlier era of the store")

// ErrGone reports that the store no longer keeps the requested changes.
var ErrGone = errors.New("changes are no longer kept")

// ErrWaited marks the error of a call that has waited for the store, so that it may be
// repeated after the shortest pause.
var ErrWaited = errors.New("waited for the store")

type (
	// Row is one row or, if Gone is set, its deletion.
	Row struct {
		Key     string
		Value   []byte
		Version int64
		Gone    bool
	}

	// Page is a response of the store: rows, and the table's version as of this
	// response. Era rises by one each time that the store comes back from an older
	// copy of itself, whose versions are then given out again; it is 0 if it is not
	// known.
	Page struct {
		Rows    []Row
		Version int64
		Era     int64
	}

	// Table keeps a copy of one table up to date. Its exported fields must be set
	// before Run.
	Table struct {
		Name string
		// List reads the whole table.
		List func(ctx context.Context) (Page, error)
		// Follow waits at most wait for changes after a version and returns them.
		// It fails with ErrGone if the store no longer keeps them.
		Follow func(ctx context.Context, after int64, wait time.Duration) (Page, error)
		// Wait is the longest wait of a poll, 1.5 s if it is 0.
		Wait time.Duration
		// BatchDelay is the pause after a response with changes, so that changes that
		// occur shortly after each other arrive in one response.
		BatchDelay time.Duration
		// ReturnGrace is how long rows that are missing after an outage are kept, so
		// that their writers can write them again.
		ReturnGrace time.Duration
		// ReviveGrace is how long rows that had been deleted before a restoration are
		// ignored after it.
		ReviveGrace time.Duration
		// Changed is called with new, changed and deleted rows. The versions of
		// one row only increase from call to call, except after Restored.
		Changed func(rows []Row)
		// Restored is called before the first rows of a new era. It may be nil.
		Restored func(era int64)
		// Seen is called after each response of the store with the version of the
		// table, Lost at the first failure after a response.
		Seen func(version int64)
		Lost func(err error)
		Log  *logrus.Logger
		// Now is the clock; time.Now if nil.
		Now func() time.Time

		versions   map[string]int64
		missing    map[string]time.Time // when rows that an outage removed are dropped
		deleted    map[string]time.Time // when rows were deleted, for deletedTime
		revived    map[string]revived   // rows of an older copy that are ignored
		after      int64
		era        int64
		answeredAt time.Time
		gotChanges bool // the latest response had changes
		lost       bool
		outage     bool // cleared when the whole table has been read
	}

	// revived is a row that had been deleted before a restoration.
	revived struct {
		row   Row
		until time.Time
	}
)

func (t *Table) now() time.Time {
	if t.Now != nil {
		return t.Now()
	}
	return time.Now()
}

// Era returns the era of the latest page that was applied, 0 if it is not known. It may
// be called from the functions of t.
func (t *Table) Era() int64 { return t.era }

// Missing returns the keys of the rows that the store no longer lists and that are kept for
// ReturnGrace, nil if there are none. It may be called from the functions of t.
func (t *Table) Missing() (keys map[string]bool) {
	if len(t.missing) == 0 {
		return nil
	}
	keys = make(map[string]bool, len(t.missing))
	for key := range t.missing {
		keys[key] = true
	}
	return keys
}

// Reviving reports whether the store lists rows that are ignored for ReviveGrace. It may be
// called from the functions of t.
func (t *Table) Reviving() bool { return len(t.revived) > 0 }

func (t *Table) init() {
	t.versions, t.missing = map[string]int64{}, map[string]time.Time{}
	t.deleted, t.revived = map[string]time.Time{}, map[string]revived{}
}

// Run reads and follows the table until ctx ends. Failed calls are repeated
// after a random pause that doubles with each failure up to a limit.
func (t *Table) Run(ctx context.Context) {
	t.init()
	t.after, t.answeredAt = -1, t.now()
	pause := minPause
	for ctx.Err() == nil {
		asked := t.now()
		err := t.step(ctx)
		if err == nil {
			if t.after >= 0 { // it has answered with rows
				t.dropMissing(asked)
				t.acceptRevived(asked)
			}
			pause = minPause
			continue
		}
		if ctx.Err() != nil {
			return
		}
		t.markFailed(err)
		if errors.Is(err, ErrWaited) {
			pause = minPause
		}
		if !sleep.For(ctx, pause/2+rand.N(pause)) {
			return
		}
		pause = min(2*pause, maxPause)
	}
}

// step makes one call, a read of the whole table or a poll, and applies its
// result.
func (t *Table) step(ctx context.Context) error {
	if t.after < 0 {
		call, cancel := progress.With(ctx, readTimeout, stallLimit, longestCall)
		defer cancel()
		page, err := t.List(call)
		if err != nil {
			return callError(call, err)
		}
		return t.applyTable(page)
	}
	if t.gotChanges && t.BatchDelay > 0 {
		sleep.For(ctx, t.BatchDelay)
	}
	wait := cmp.Or(t.Wait, defaultWait)
	for _, at := range t.missing {
		wait = min(wait, max(at.Sub(t.now()), minPause))
	}
	for _, r := range t.revived {
		wait = min(wait, max(r.until.Sub(t.now()), minPause))
	}
	call, cancel := progress.With(ctx, wait+pollMargin, stallLimit, wait+longestCall)
	defer cancel()
	page, err := t.Follow(call, t.after, wait)
	if errors.Is(err, ErrGone) {
		t.after = -1
		t.Log.WithFields(logrus.Fields{"event": "store_history", "table": t.Name}).
			Warn("store no longer keeps the changes since the last poll; reading the whole table")
		return nil
	}
	if err != nil {
		return callError(call, err)
	}
	return t.applyPage(page)
}

// callError returns the error of a call, with the reason if it was cancelled.
func callError(call context.Context, err error) error {
	if cause := context.Cause(call); cause != nil && !errors.Is(err, cause) {
		return fmt.Errorf("%w: %w", cause, err)
	}
	return err
}

// markFailed records a failed call. At the first failure after a response, it
// logs the error and calls Lost.
func (t *Table) markFailed(err error) {
	if t.now().Sub(t.answeredAt) > outageAfter && !t.outage {
		// Rows may expire during the outage and be written again after it, so the
		// whole table must be read.
		t.outage, t.after = true, -1
	}
	if t.lost {
		return
	}
	t.lost = true
	t.Log.WithError(err).WithFields(logrus.Fields{"event": "store_lost", "table": t.Name}).
		Warn("store does not respond; serving from the copy in memory")
	if t.Lost != nil {
		t.Lost(err)
	}
}

// markAnswered records a response of the store and calls Seen with the version
// that it showed.
func (t *Table) markAnswered(version int64) {
	if t.lost {
		t.Log.WithFields(logrus.Fields{
			"event": "store_back", "table": t.Name, "away": t.now().Sub(t.answeredAt).Milliseconds(),
		}).Info("store responds again")
	}
	t.lost, t.answeredAt = false, t.now()
	if t.Seen != nil {
		t.Seen(version)
	}
}

// applyPage applies the result of a poll. A response with a lower version than
// an earlier one is ignored. The changes of a later era are not applied: they lack
// those that the older copy did not have.
func (t *Table) applyPage(page Page) error {
	switch {
	case page.Era < t.era:
		return ErrEra
	case page.Era > t.era && t.era > 0:
		t.after = -1
		return nil
	case page.Version < t.after:
		t.markAnswered(t.after)
		return nil
	}
	t.era = page.Era
	t.after, t.gotChanges = page.Version, len(page.Rows) > 0
	t.apply(page.Rows)
	t.markAnswered(page.Version)
	return nil
}

// restored prepares the copy for the first rows of a new era. Any version of a row is
// newer than those of the earlier one.
func (t *Table) restored(page Page) {
	t.Log.WithFields(logrus.Fields{"event": "store_restored", "table": t.Name, "era": page.Era, "version": page.Version}).
		Warn("store has come back from an older copy")
	for key := range t.versions {
		t.versions[key] = 0
	}
	clear(t.revived)
	for _, r := range page.Rows {
		if at, ok := t.deleted[r.Key]; ok && t.ReviveGrace > 0 && t.now().Sub(at) < deletedTime {
			t.revived[r.Key] = revived{row: r, until: t.now().Add(t.ReviveGrace)}
		}
	}
	if t.Restored != nil {
		t.Restored(page.Era)
	}
}

// apply passes the rows that are newer than the copy to Changed.
func (t *Table) apply(rows []Row) {
	changed := rows[:0:0]
	for _, r := range rows {
		if r.Version <= t.versions[r.Key] {
			continue
		}
		if old, ok := t.revived[r.Key]; ok && r.Version <= old.row.Version {
			continue
		}
		delete(t.missing, r.Key)
		delete(t.revived, r.Key)
		delete(t.deleted, r.Key)
		if t.versions[r.Key] = r.Version; r.Gone {
			delete(t.versions, r.Key)
			t.deleted[r.Key] = t.now()
		}
		changed = append(changed, r)
	}
	if len(changed) > 0 {
		t.Changed(changed)
	}
}

// applyTable replaces the copy with the result of a read of the whole table.
func (t *Table) applyTable(page Page) error {
	if page.Era < t.era {
		return ErrEra
	}
	restored := page.Era > t.era && t.era > 0
	if restored {
		t.restored(page)
	}
	t.era = page.Era
	listed := make(map[string]bool, len(page.Rows))
	for _, r := range page.Rows {
		listed[r.Key] = true
	}
	var gone []Row
	for key := range t.versions {
		switch {
		case listed[key]:
		case (t.outage || restored) && t.ReturnGrace > 0:
			if t.missing[key].IsZero() {
				t.missing[key] = t.now().Add(t.ReturnGrace)
			}
		default:
			gone = append(gone, Row{Key: key, Version: page.Version, Gone: true})
		}
	}
	t.outage, t.after = false, page.Version
	t.apply(gone)
	t.apply(page.Rows)
	t.markAnswered(page.Version)
	return nil
}

// dropMissing removes the rows that were not written again in time after an outage. The
// store has answered a call that was made at asked, so it shows what was written before.
func (t *Table) dropMissing(asked time.Time) {
	// The store reported no version for these deletions. Any version above the
	// row's last one makes apply accept them.
	var gone []Row
	for key, at := range t.missing {
		if !asked.Before(at) {
			gone = append(gone, Row{Key: key, Version: t.versions[key] + 1, Gone: true})
		}
	}
	t.apply(gone)
}

// acceptRevived passes on the rows of an older copy that nobody has removed in time, and
// forgets old deletions. The store has answered a call that was made at asked.
func (t *Table) acceptRevived(asked time.Time) {
	var rows []Row
	for key, r := range t.revived {
		if !asked.Before(r.until) {
			delete(t.revived, key)
			rows = append(rows, r.row)
		}
	}
	t.apply(rows)
	for key, at := range t.deleted {
		if t.now().Sub(at) >= deletedTime {
			delete(t.deleted, key)
		}
	}
}
