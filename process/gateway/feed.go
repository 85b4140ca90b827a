package gateway

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
	"github.com/eelgrassdock/eelgrassdock/process/member"
	"github.com/eelgrassdock/eelgrassdock/process/mirror"
	"github.com/eelgrassdock/eelgrassdock/process/roster"
)

// One instance of each region follows a table at the store; the others of the
// region follow it there. Each of them turns to the store itself as soon as that
// instance does not answer, or says that it does not reach the store.

const (
	feedRows    = 1024                   // changes that are kept for other instances
	peerWait    = time.Second            // of a poll at another instance
	peerMargin  = 400 * time.Millisecond // beyond peerWait, after which a poll is given up
	peerAvoid   = 5 * time.Second        // an instance that failed is not asked for this long
	askEvery    = 400 * time.Millisecond // interval of questions to engines while the store is away
	feedSilence = 4 * time.Second        // without an answer of the store, others are sent there themselves
)

var errNotFollowing = errors.New("peer does not follow the store")

type (
	// feed gives the changes of one table to other instances.
	feed struct {
		table  *mirror.Table
		follow func(ctx context.Context, after int64, wait time.Duration) (mirror.Page, error)

		mu      sync.Mutex
		rows    []mirror.Row
		from    int64 // changes after this version are in rows
		version int64
		direct  time.Time // the latest answer of the store itself
		lost    bool
		news    chan struct{}
		avoid   map[string]time.Time
	}

	// Poll asks an instance for the changes of a table after a version.
	Poll struct {
		Table string
		After int64
		Wait  time.Duration
	}

	// Changes is the answer to a Poll. Without Follows, the instance knows less
	// than the store.
	Changes struct {
		Page    mirror.Page
		Follows bool
	}
)

// share puts a feed between a table and the store.
func (g *Gateway) share(t *mirror.Table) {
	f := &feed{table: t, follow: t.Follow, from: -1, news: make(chan struct{}), avoid: map[string]time.Time{}}
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
			f.seen(version)
			seen(version)
		}
	} else {
		t.Seen = f.seen
	}
	t.Lost = f.fail
	t.Follow = func(ctx context.Context, after int64, wait time.Duration) (mirror.Page, error) {
		if source, ok := g.watcher(f); ok {
			page, err := g.poll(ctx, source, f, after)
			if err == nil {
				return page, nil
			}
			counters.Add("feed_peer_failed", 1)
			f.shun(source.ID)
		}
		page, err := f.follow(ctx, after, wait)
		if err == nil {
			f.answered()
		}
		return page, err
	}
}

func (f *feed) add(rows []mirror.Row) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rows = append(f.rows, rows...)
	if n := len(f.rows) - feedRows; n > 0 {
		f.from = f.rows[n-1].Version
		f.rows = slices.Clone(f.rows[n:])
	}
}

func (f *feed) seen(version int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.from < 0 {
		f.from = version // the first answer is the whole table
	}
	f.lost = false
	if version > f.version {
		f.version = version
	}
	close(f.news)
	f.news = make(chan struct{})
}

func (f *feed) fail(error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lost = true
	close(f.news)
	f.news = make(chan struct{})
}

func (f *feed) answered() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.direct = time.Now()
}

func (f *feed) shun(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.avoid[id] = time.Now().Add(peerAvoid)
}

// watcher gives the instance that follows a table for this one, or none if this
// instance does so itself.
func (g *Gateway) watcher(f *feed) (member.Member, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	var list []member.Member
	for _, m := range g.members.Members() {
		own := m.ID == g.id
		if m.Region != g.Settings.Region || now.Before(f.avoid[m.ID]) ||
			!own && (m.Leaving || g.members.Status(m.ID) != member.Alive) {
			continue
		}
		list = append(list, m)
	}
	if len(list) == 0 {
		return member.Member{}, false
	}
	best := slices.MinFunc(list, func(a, b member.Member) int {
		return cmp.Compare(xxhash.Sum64String(f.table.Name+a.ID), xxhash.Sum64String(f.table.Name+b.ID))
	})
	return best, best.ID != g.id
}

// away tells whether the store has not answered the latest question.
func (f *feed) away() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lost
}

// unanswered tells whether the store has not answered yet, or not the latest
// question.
func (f *feed) unanswered() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lost || f.from < 0
}

// anyFeed tells whether a table is in a state.
func (g *Gateway) anyFeed(state func(*feed) bool) bool {
	return slices.ContainsFunc(slices.Collect(maps.Values(g.feeds)), state)
}

// askEngines looks for notices that the store does not show while it is away:
// it asks the engines that run generations of this instance.
func (g *Gateway) askEngines() {
	for sleep.For(g.base, askEvery/2+jitter(askEvery)) {
		if !g.anyFeed((*feed).away) {
			continue
		}
		for _, e := range g.runs.engines() {
			if now, ok := g.Roster.Get(e.ID); !ok || now.Leaving {
				continue
			}
			g.spawn(func() {
				ctx, cancel := context.WithTimeout(g.base, probeLimit)
				defer cancel()
				r, err := g.Backend.Report(ctx, e)
				switch {
				case err != nil:
					counters.Add("reports_failed", 1) // the stream tells if the engine has ended
				case r.Leaving:
					g.Roster.MarkLeaving(e.ID, roster.FromReport)
				}
			})
		}
	}
}

// poll asks another instance for changes.
func (g *Gateway) poll(ctx context.Context, source member.Member, f *feed, after int64) (mirror.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, peerWait+peerMargin)
	defer cancel()
	var c Changes
	if err := g.peers.Call(ctx, source.RPC, "Peers.Follow", Poll{Table: f.table.Name, After: after, Wait: peerWait}, &c); err != nil {
		return c.Page, err
	}
	if !c.Follows {
		return c.Page, errNotFollowing
	}
	return c.Page, nil
}

// Follow answers a Poll.
func (p *Peers) Follow(poll Poll, reply *Changes) error {
	f := p.g.feeds[poll.Table]
	if f == nil {
		return errors.Newf("table %q is not followed", poll.Table)
	}
	deadline := time.NewTimer(min(poll.Wait, peerWait))
	defer deadline.Stop()
	for {
		page, follows, news := f.changes(poll.After)
		reply.Page, reply.Follows = page, follows
		if !follows || page.Version > poll.After {
			return nil
		}
		select {
		case <-news:
		case <-deadline.C:
			return nil
		case <-p.g.base.Done():
			reply.Follows = false
			return nil
		}
	}
}

// changes gives what came after a version.
func (f *feed) changes(after int64) (page mirror.Page, follows bool, news <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	follows = !f.lost && time.Since(f.direct) < feedSilence && f.from >= 0 && after >= f.from
	if !follows {
		return page, false, f.news
	}
	page.Version = max(f.version, after)
	for _, r := range f.rows {
		if r.Version > after {
			page.Rows = append(page.Rows, r)
		}
	}
	return page, true, f.news
}
