package gateway

import (
	"context"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/eelgrassdock/eelgrassdock/process/member"
	"github.com/eelgrassdock/eelgrassdock/process/mirror"
	"github.com/eelgrassdock/eelgrassdock/process/stall"
)

// An instance that polls the store for its region and is cut off from it without an error
// takes as long as a poll of the store to notice. But each region has such an instance, and
// the datagrams of the membership name the latest row of each table that their sender has.
// An instance that lacks a row which another one has had for some time is behind: it leaves
// the instance that it polls for the next one of its order, and the first of those that are
// left polls the store. One that polls the store already, or knows that the store is away,
// asks the instance that has the row. Nothing is called while nobody is behind.

const (
	// behindTime is how long after it heard of a row an instance waits for it. Instances
	// pause for 250 ms after changes, one after the other. It doubles with each instance
	// that is left, as the next one may have heard of the row no earlier.
	behindTime = 400 * time.Millisecond
	// minBehindWait is the shortest time that a call gets: a round trip between regions,
	// and the pause after changes.
	minBehindWait = 300 * time.Millisecond

	tableBytes = 20 // hash of a table's name, era and version of a row, in a payload
)

var errBehind = errors.New("other instances have later changes of the table")

type (
	// progressOf is the latest row of a table that an instance is known to have.
	progressOf struct {
		era, version int64
	}

	// lag is what a feed lacks. It is guarded by the feed's lock.
	lag struct {
		latest progressOf    // of the small rows of this feed
		known  progressOf    // of an instance that had the most
		from   string        // ID of that
		act    time.Time     // when this instance counts as behind
		grace  time.Duration // latest wait
		cancel context.CancelCauseFunc
		timer  *stall.Timer
	}
)

func tableHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// appendProgress adds the latest row of each table to a payload.
func (g *Gateway) appendProgress(data []byte) []byte {
	for _, name := range slices.Sorted(maps.Keys(g.feeds)) {
		p := g.feeds[name].progress()
		data = binary.BigEndian.AppendUint32(data, tableHash(name))
		data = binary.BigEndian.AppendUint64(data, uint64(p.era))
		data = binary.BigEndian.AppendUint64(data, uint64(p.version))
	}
	return data
}

// onProgress handles what another instance has. Those of earlier builds tell nothing.
func (g *Gateway) onProgress(from string, data []byte) {
	for ; len(data) >= tableBytes; data = data[tableBytes:] {
		hash := binary.BigEndian.Uint32(data)
		p := progressOf{int64(binary.BigEndian.Uint64(data[4:])), int64(binary.BigEndian.Uint64(data[12:]))}
		for name, f := range g.feeds {
			if tableHash(name) == hash {
				f.hear(from, p)
			}
		}
	}
}

func (f *feed) progress() progressOf {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lag.latest
}

// recordProgress records rows of this feed. Large rows do not count: they take their time,
// and have a way of their own. f.mu must be held.
func (f *feed) recordProgress(rows []mirror.Row) {
	for _, r := range rows {
		if !large(r) {
			f.lag.latest.version = max(f.lag.latest.version, r.Version)
		}
	}
}

// hear records what another instance has.
func (f *feed) hear(from string, p progressOf) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.era != f.era || f.from < 0 || p.version <= f.version || p.era == f.lag.known.era && p.version <= f.lag.known.version {
		return
	}
	if !f.lacks() {
		f.lag.grace = behindTime
		f.lag.act = time.Now().Add(behindTime)
	}
	f.lag.known, f.lag.from = p, from
	f.arm()
}

// lacks reports whether another instance has a later row. f.mu must be held.
func (f *feed) lacks() bool { return f.lag.known.era == f.era && f.lag.known.version > f.version }

// begin returns the context of a call for changes, which ends when this instance counts as
// behind, and a function that must be called after the call.
func (f *feed) begin(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lag.cancel = cancel
	f.arm()
	return ctx, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.lag.cancel = nil
		f.disarm()
		cancel(nil)
	}
}

// arm has the present call end when this instance counts as behind. Only the time counts in
// which this process ran: the answer may have arrived while it stood still. f.mu must be held.
func (f *feed) arm() {
	f.disarm()
	cancel := f.lag.cancel
	if cancel == nil || !f.lacks() {
		return
	}
	f.lag.timer = f.stalls.AfterFunc(max(time.Until(f.lag.act), minBehindWait), func() {
		f.mu.Lock()
		behind := f.lacks()
		f.mu.Unlock()
		if behind {
			cancel(errBehind)
		}
	})
}

func (f *feed) disarm() {
	if f.lag.timer != nil {
		f.lag.timer.Stop()
	}
}

// extend gives the next call more time than the one that has ended, and returns the ID of
// the instance that has the row.
func (f *feed) extend() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lag.grace *= 2
	f.lag.act = time.Now().Add(f.lag.grace)
	return f.lag.from
}

// isBehind reports whether a call was ended because this instance is behind.
func isBehind(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errBehind) }

// followTable waits for changes of a table after a version, from the instance that this one
// polls or from the store.
func (g *Gateway) followTable(ctx context.Context, f *feed, after int64, wait time.Duration) (mirror.Page, error) {
	for begun := time.Now(); ; {
		call, done := f.begin(ctx)
		page, source, err := g.followOnce(call, f, after, max(wait-time.Since(begun), directWait))
		behind := err != nil && isBehind(call)
		done()
		if !behind {
			return page, err
		}
		from := f.extend()
		counters.Add("feeds_behind", 1)
		g.Log.WithFields(logrus.Fields{"event": "table_behind", "table": f.table.Name, "peer": source.RPC, "latest": from}).
			Warn("other instances have later changes of a table; reading them elsewhere")
		if source.ID == "" || f.storeLost() {
			return g.fetchFrom(ctx, f, from, after)
		}
		f.avoidPeer(source.ID)
	}
}

// fetchFrom gets changes from an instance that is known to have them.
func (g *Gateway) fetchFrom(ctx context.Context, f *feed, id string, after int64) (mirror.Page, error) {
	list := g.listMembers()
	n := slices.IndexFunc(list, func(m member.Member) bool { return m.ID == id })
	if n < 0 {
		return mirror.Page{}, errBehind
	}
	poll := f.nextPoll(after)
	poll.Wait, poll.Late = 0, true
	return g.request(ctx, list[n], f, poll)
}
