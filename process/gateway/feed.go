package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdock/eelgrassdock/connection/peer"
	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
	"github.com/eelgrassdock/eelgrassdock/process/delta"
	"github.com/eelgrassdock/eelgrassdock/process/member"
	"github.com/eelgrassdock/eelgrassdock/process/mirror"
	"github.com/eelgrassdock/eelgrassdock/process/stall"
)

// In each region one instance polls the store for the changes of a table. The
// others poll that instance or, if its link would not carry so many, one of those
// that do (tree.go). An instance polls the store itself as soon as the polled
// instance does not answer, or reports that it is not up to date with the store. In an
// outage of the store, only a few go on with that (outage.go).
// What an instance knows has an age, the time since the store confirmed it, that
// is passed on with it.

const (
	feedRows           = 1024                   // latest changes that are kept for other instances
	peerWait           = time.Second            // longest time that another instance holds a poll open
	peerMargin         = 400 * time.Millisecond // added to peerWait for the time until an answer begins
	peerStall          = 700 * time.Millisecond // longest pause in an answer; a proper one lasts as long as its link needs
	peerAvoid          = 5 * time.Second        // an instance that failed is not polled for this long
	directWait         = 100 * time.Millisecond // of a poll of the store when another instance did not answer; others may wait for this one
	enginePollInterval = 400 * time.Millisecond // mean interval between reports from an engine while the store is unreachable
	joinTime           = time.Second            // after the start in which an instance awaits another one to poll before it polls the store
	joinPause          = 50 * time.Millisecond  // between two looks for one
	feedMaxAge         = 4 * time.Second        // since the store confirmed the table; after it other instances must poll the store themselves
	lateTime           = 5 * time.Second        // for which late rows are given to other instances; one that is not answered for feedMaxAge reads the whole table
)

const fromStore = "store" // source of an origin

var errNotFollowing = errors.New("peer does not follow the store")

type (
	// feed serves the changes of one table to other instances.
	feed struct {
		table  *mirror.Table
		follow func(ctx context.Context, after int64, wait time.Duration) (mirror.Page, error)

		// A table has connections of its own, so that no other table waits behind it.
		peers peer.Pool
		// documents are large rows that this instance has.
		documents *delta.Cache
		stalls    *stall.Meter

		mu        sync.Mutex
		rows      []mirror.Row // the latest change of each row
		partial   bool         // rows that have not changed lately were dropped from rows
		from      int64        // rows holds all changes after this version; -1 before the first answer
		version   int64
		era       int64                // of rows, from and version
		confirmed time.Time            // when the store confirmed the table
		asked     time.Time            // when the latest poll that was answered began
		written   time.Time            // before which none of the latest changes was written; zero if that is not known
		writtenAt map[string]time.Time // the same for each of rows
		late      []lateRow
		missing   map[string]bool // rows that the store no longer lists, kept for ReturnGrace
		reviving  bool            // rows that the store lists are ignored for ReviveGrace
		lost      bool
		joining   bool          // the table is requested from other instances
		changed   chan struct{} // closed at each confirmation and at a failure
		failed    time.Time     // when the latest call that failed began
		heard     chan struct{} // closed when a call is answered or fails
		avoid     map[string]time.Time
		origin    origin
		lag       lag
	}

	// lateRow is a row that was passed on after the version of the table had become known: it
	// was kept after an outage and has not returned, or was ignored after a restoration.
	// Other instances have that version already.
	lateRow struct {
		mirror.Row
		at time.Time
	}

	// origin tells where the latest changes of a table came from.
	origin struct {
		source string        // "store" or the address of an instance
		took   time.Duration // of the call that returned them; a poll includes its wait
		bytes  int64         // that arrived from the instance meanwhile; 0 for the store
	}

	// Poll is a request to an instance for the changes of a table after a
	// version of an era.
	Poll struct {
		Table string
		Era   int64
		After int64
		Wait  time.Duration
		// Whole asks for all rows in place of the changes. Earlier builds do not know it, and
		// have none after the version -1.
		Whole bool
		// Await asks an instance that has lost the store to answer once it follows it again.
		// Earlier builds do not know it, and answer at once.
		Await bool
		// Encoded asks for large rows as Documents, and Held lists the hashes of those
		// that the instance has.
		Encoded bool
		Held    []uint64
		// Late asks for the changes although the store has not confirmed the table lately, as
		// the instance is known to have some. Earlier builds do not know it.
		Late bool
	}

	// Changes is the answer to a Poll. If Follows is false, the instance is not
	// up to date with the store; if Lost is set too, it cannot reach the store.
	Changes struct {
		Page    mirror.Page
		Follows bool
		Lost    bool
		// Age is the time since the store confirmed the table. Answers of earlier builds
		// have none.
		Age time.Duration
		// Written is the longest time for which the changes can have been in the store, 0 if
		// that is not known.
		Written   time.Duration
		Documents []Document
	}

	// Document is a large row.
	Document struct {
		Key     string
		Version int64
		delta.Encoded
	}
)

// shareTable makes a table follow its changes through a feed: from another
// instance if one follows the store for this region, else from the store.
func (g *Gateway) shareTable(t *mirror.Table) {
	f := &feed{
		table: t, follow: t.Follow, from: -1, changed: make(chan struct{}), heard: make(chan struct{}), avoid: map[string]time.Time{},
		peers: peer.Pool{Dial: g.peers.Dial}, documents: &g.documents, stalls: g.Stalls,
	}
	if g.feeds == nil {
		g.feeds = map[string]*feed{}
	}
	g.feeds[t.Name] = f
	changed := t.Changed
	t.Changed = func(rows []mirror.Row) {
		f.add(rows)
		changed(rows)
	}
	if seen := t.Seen; seen != nil {
		t.Seen = func(version int64) {
			f.setVersion(version)
			seen(version)
		}
	} else {
		t.Seen = f.setVersion
	}
	restored := t.Restored
	t.Restored = func(era int64) {
		f.restart(era)
		g.onRestored(era)
		if restored != nil {
			restored(era)
		}
	}
	t.Lost = f.fail
	list := t.List
	t.List = func(ctx context.Context) (mirror.Page, error) {
		if page, ok := g.listFromPeer(ctx, f); ok {
			return page, nil
		}
		if page, ok, err := g.listInOutage(ctx, f); ok {
			return page, err
		}
		begun := time.Now()
		page, err := list(ctx)
		if err == nil {
			f.storeAnswered(begun)
		} else {
			f.callFailed(begun)
		}
		return page, err
	}
	t.Follow = func(ctx context.Context, after int64, wait time.Duration) (mirror.Page, error) {
		begun := time.Now()
		page, err := g.followTable(ctx, f, after, wait)
		if err != nil {
			f.callFailed(begun)
		}
		return page, err
	}
}

// callFailed records that a call for the table which began at a time has failed. The first
// of several in a row is also reported to fail.
func (f *feed) callFailed(begun time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failed = begun
	f.notifyHeard()
}

// notifyHeard wakes those that wait for the end of a call. f.mu must be held.
func (f *feed) notifyHeard() {
	close(f.heard)
	f.heard = make(chan struct{})
}

// followOnce makes one poll for the changes of a table after a version, and returns the
// instance that was polled last, without an ID if that is the store.
func (g *Gateway) followOnce(ctx context.Context, f *feed, after int64, wait time.Duration) (_ mirror.Page, source member.Member, _ error) {
	begun := time.Now()
	if source, ok := g.awaitSource(ctx, f); ok {
		page, err := g.request(ctx, source, f, f.nextPoll(after))
		if errors.Is(err, errStoreLost) && f.storeLost() {
			page, err = g.pollInOutage(ctx, source, f, f.nextPoll(after))
		}
		switch {
		case err == nil, errors.Is(err, mirror.ErrWaited), isBehind(ctx):
			return page, source, err
		case !errors.Is(err, errNotFollowing) && !errors.Is(err, errStoreLost):
			wait = directWait
		}
		f.avoidPeer(source.ID)
	}
	// What was done so far and this poll must fit into the time that the table allows for one.
	wait = max(wait-time.Since(begun), directWait)
	begun = time.Now()
	page, err := f.follow(ctx, after, wait)
	if err == nil {
		f.storeAnswered(begun)
	}
	return page, source, err
}

// confirm records that the store confirmed the table at a time.
func (f *feed) confirm(at time.Time, from origin) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.origin = from
	if at.After(f.confirmed) {
		f.confirmed = at
	}
}

// storeAnswered records an answer of the store to a call that began at a time. What the
// answer holds was written after the store confirmed the table before: the answer came at
// once if it was there when the call began, and else as soon as it was written.
func (f *feed) storeAnswered(begun time.Time) {
	now := time.Now()
	f.mu.Lock()
	f.asked, f.written = begun, time.Time{}
	if !f.confirmed.IsZero() {
		f.written = now.Add(min(f.confirmed.Sub(begun), 0))
	}
	f.mu.Unlock()
	f.confirm(now, origin{source: fromStore, took: now.Sub(begun)})
}

// age returns for how long the latest changes can have been in the store, feedMaxAge if
// that is not known. It is 0 for a nil feed.
func (f *feed) age() time.Duration {
	if f == nil {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.written.IsZero() {
		return feedMaxAge
	}
	return time.Since(f.written)
}

// latestOrigin returns the origin of the latest changes. A nil feed has none.
func (f *feed) latestOrigin() origin {
	if f == nil {
		return origin{}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.origin
}

func (f *feed) add(rows []mirror.Row) {
	f.mu.Lock()
	defer f.mu.Unlock()
	added, now := make(map[string]bool, len(rows)), time.Now()
	f.late = slices.DeleteFunc(f.late, func(r lateRow) bool { return now.Sub(r.at) >= lateTime })
	for _, r := range rows {
		added[r.Key] = true
		isKnown := func(l lateRow) bool { return l.Key == r.Key && l.Version == r.Version }
		if r.Version <= f.version && !slices.ContainsFunc(f.late, isKnown) {
			f.late = append(f.late, lateRow{r, now})
		}
		if large(r) {
			f.documents.Add(r.Value)
		}
	}
	f.recordProgress(rows)
	if f.writtenAt == nil {
		f.writtenAt = map[string]time.Time{}
	}
	for _, r := range rows {
		f.writtenAt[r.Key] = f.written
	}
	f.rows = slices.DeleteFunc(f.rows, func(r mirror.Row) bool { return added[r.Key] })
	f.rows = append(f.rows, rows...)
	if n := len(f.rows) - feedRows; n > 0 {
		f.from, f.partial = f.rows[n-1].Version, true
		for _, r := range f.rows[:n] {
			delete(f.writtenAt, r.Key)
		}
		f.rows = slices.Clone(f.rows[n:])
	}
}

// restart drops the changes of earlier eras. The answer that follows holds the whole
// table.
func (f *feed) restart(era int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.era, f.rows, f.partial, f.from, f.version, f.late = era, nil, false, -1, 0, nil
	f.writtenAt, f.lag.latest = nil, progressOf{era: era}
}

func (f *feed) setVersion(version int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.era, f.missing, f.reviving = f.table.Era(), f.table.Missing(), f.table.Reviving()
	f.lag.latest.era = f.era
	if f.from < 0 {
		f.from = version // the first answer holds the whole table
	}
	f.lost = false
	if version > f.version {
		f.version = version
	}
	close(f.changed)
	f.changed = make(chan struct{})
	f.notifyHeard()
}

func (f *feed) fail(error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lost = true
	close(f.changed)
	f.changed = make(chan struct{})
	f.notifyHeard()
}

func (f *feed) avoidPeer(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.avoid[id] = time.Now().Add(peerAvoid)
}

// awaitSource returns the instance to poll, as feedSource does. Shortly after the start of
// this instance it waits until one is known: instances that start together would
// otherwise all poll the store, though one of each region is enough.
func (g *Gateway) awaitSource(ctx context.Context, f *feed) (member.Member, bool) {
	for {
		source, ok := g.feedSource(f)
		if ok || time.Since(g.begun) >= joinTime || !sleep.For(ctx, joinPause) {
			return source, ok
		}
	}
}

// feedSource returns the instance that this one polls for changes of a table.
// It returns false if this instance polls the store itself.
func (g *Gateway) feedSource(f *feed) (member.Member, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	list := slices.DeleteFunc(g.aliveNear(nil), func(m member.Member) bool { return now.Before(f.avoid[m.ID]) })
	return polledBy(g.id, f.table.Name, list)
}

// storeLost reports whether the latest request to the store failed.
func (f *feed) storeLost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lost
}

// receiving reports whether bytes have arrived from another instance within a time. None
// arrive at a nil feed.
func (f *feed) receiving(within time.Duration) bool {
	return f != nil && time.Since(f.peers.Latest()) < within
}

// unanswered reports whether the store has not answered yet, or the latest
// request to it failed. While the table may still come from another instance, the store
// has not been asked.
func (f *feed) unanswered() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.joining && (f.lost || f.from < 0)
}

func (f *feed) setJoining(joining bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.joining = joining
}

// anyFeed reports whether state holds for the feed of any table.
func (g *Gateway) anyFeed(state func(*feed) bool) bool {
	return slices.ContainsFunc(slices.Collect(maps.Values(g.feeds)), state)
}

// pollEngines detects engines that will leave while the store, which would list
// their notices, is unreachable: it requests reports from the engines that run
// generations of this instance.
func (g *Gateway) pollEngines() {
	for sleep.For(g.base, enginePollInterval/2+jitter(enginePollInterval)) {
		if !g.anyFeed((*feed).storeLost) {
			continue
		}
		for _, e := range g.runs.engines() {
			if now, ok := g.Roster.Get(e.ID); !ok || now.Closed() {
				continue
			}
			g.spawn(func() {
				ctx, cancel := context.WithTimeout(g.base, probeLimit)
				defer cancel()
				if _, err := g.report(ctx, e); err != nil {
					counters.Add("reports_failed", 1) // if the engine has ended, its stream breaks
				}
			})
		}
	}
}
