package gateway

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/eelgrassdock/eelgrassdock/connection/peer"
	"github.com/eelgrassdock/eelgrassdock/process/delta"
	"github.com/eelgrassdock/eelgrassdock/process/member"
	"github.com/eelgrassdock/eelgrassdock/process/mirror"
)

// large reports whether a row is given to other instances as a document.
func large(r mirror.Row) bool {
	return !r.Gone && len(r.Value) >= delta.MinSize && len(r.Value) <= delta.MaxSize
}

// nextPoll returns a request for the changes after a version.
func (f *feed) nextPoll(after int64) Poll {
	return Poll{Table: f.table.Name, Era: f.table.Era(), After: after, Wait: peerWait, Encoded: true, Held: f.documents.Sums()}
}

// wholePoll returns a request for all rows.
func (f *feed) wholePoll() Poll {
	return Poll{Table: f.table.Name, Era: f.table.Era(), After: -1, Whole: true, Wait: wholeWait, Encoded: true, Held: f.documents.Sums()}
}

// request makes a poll of another instance.
func (g *Gateway) request(ctx context.Context, source member.Member, f *feed, poll Poll) (mirror.Page, error) {
	var c Changes
	begun := time.Now()
	received, err := f.peers.Fetch(ctx, source.RPC, "Peers.Follow", poll, &c, poll.Wait+peerMargin, peerStall)
	switch {
	case err != nil:
	case !c.Follows && c.Lost:
		err = errStoreLost
	case !c.Follows || c.Page.Era < poll.Era:
		err = errNotFollowing
	default:
		err = f.decode(&c)
	}
	now := time.Now()
	counters.Add("feed_bytes_taken", received)
	if poll.Whole && errors.Is(err, errNotFollowing) {
		return c.Page, err // it has just started too
	}
	if err != nil && isBehind(ctx) {
		return c.Page, err
	}
	if errors.Is(err, errStoreLost) {
		counters.Add("feed_store_lost", 1)
		return c.Page, err
	}
	if err != nil {
		// The instance is avoided for peerAvoid, which bounds the number of these lines.
		counters.Add("feed_peer_failed", 1)
		g.Log.WithError(err).WithFields(logrus.Fields{
			"event": "poll_failed", "table": f.table.Name, "peer": source.RPC, "took": now.Sub(begun).Milliseconds(), "bytes": received,
		}).Warn("changes could not be read from another instance; reading them from the store")
		return c.Page, err
	}
	f.setWritten(c.Written, begun)
	f.confirm(c.confirmed(begun, now), origin{source: "peer " + source.RPC, took: now.Sub(begun), bytes: received})
	return c.Page, nil
}

// setWritten records that a poll which began at a time was answered, and for how long the
// changes in the answer can have been in the store.
func (f *feed) setWritten(d time.Duration, begun time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked, f.written = begun, time.Time{}
	if d > 0 {
		f.written = begun.Add(-d)
	}
}

// writtenFor returns the longest time for which rows can have been in the store, 0 if that
// is not known. f.mu must be held.
func (f *feed) writtenFor(rows []mirror.Row) (longest time.Duration) {
	for _, r := range rows {
		at := f.writtenAt[r.Key]
		if at.IsZero() {
			return 0
		}
		longest = max(longest, time.Since(at), 1)
	}
	return longest
}

// confirmed returns the earliest time at which the store can have confirmed the changes
// that answer a poll, the zero time if it is not known.
func (c *Changes) confirmed(begun, now time.Time) time.Time {
	switch {
	case c.Age <= 0:
		return time.Time{}
	case len(c.Page.Rows) > 0:
		return begun.Add(-c.Age) // the answer may have been under way for any part of the time
	}
	return now.Add(-c.Age)
}

// decode adds the documents of an answer to its rows.
func (f *feed) decode(c *Changes) error {
	for _, d := range c.Documents {
		value, err := f.documents.Decode(d.Encoded)
		if err != nil {
			f.documents.Drop() // the next poll asks for the whole document
			counters.Add("documents_undecodable", 1)
			return fmt.Errorf("row %q: %w", d.Key, err)
		}
		c.Page.Rows = append(c.Page.Rows, mirror.Row{Key: d.Key, Value: value, Version: d.Version})
	}
	return nil
}

// Follow answers a Poll as soon as there are changes, the store has confirmed that there
// are none, or the poll's wait is over.
func (p *Peers) Follow(poll Poll, reply *Changes) (err error) {
	defer peer.Recover(p.g.Log, &err)
	f := p.g.feeds[poll.Table]
	if f == nil {
		return errors.Newf("table %q is not followed", poll.Table)
	}
	changes := func() (Changes, <-chan struct{}) { return f.changes(poll.Era, poll.After, poll.Late) }
	if poll.Whole {
		changes = f.whole
	}
	c, changed := changes()
	if poll.Whole && !c.Follows || poll.Await && c.Lost || c.Follows && c.Page.Era == poll.Era && c.Page.Version == poll.After {
		deadline := time.NewTimer(min(poll.Wait, peerWait))
		defer deadline.Stop()
		select {
		case <-changed:
		case <-deadline.C:
		case <-p.g.base.Done():
			return nil
		}
		c, _ = changes()
	}
	if poll.Encoded {
		if err := f.encode(&c, poll.Held); err != nil {
			return err
		}
	}
	*reply = c
	counters.Add("feed_bytes_given", c.bytes())
	return nil
}

// encode replaces the large rows of an answer by documents.
func (f *feed) encode(c *Changes, held []uint64) error {
	rows := c.Page.Rows[:0]
	for _, r := range c.Page.Rows {
		if !large(r) {
			rows = append(rows, r)
			continue
		}
		e, err := f.documents.Encode(r.Value, held)
		if err != nil {
			return fmt.Errorf("encode row %q: %w", r.Key, err)
		}
		c.Documents = append(c.Documents, Document{Key: r.Key, Version: r.Version, Encoded: e})
	}
	c.Page.Rows = rows
	return nil
}

// bytes returns the size of the values in an answer.
func (c *Changes) bytes() (n int64) {
	for _, r := range c.Page.Rows {
		n += int64(len(r.Value))
	}
	for _, d := range c.Documents {
		n += int64(len(d.Data))
	}
	return n
}

// changes returns the changes after a version of an era; in a later era, it returns
// only that era. Follows is false if this feed is not up to date with the store, is in an
// earlier era or no longer holds all these changes; with late, the store need not have
// confirmed the table lately. The channel is closed at the next confirmation or failure of
// the store.
func (f *feed) changes(era, after int64, late bool) (c Changes, changed <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c.Age, c.Lost = max(time.Since(f.confirmed), 1), f.lost
	follows := (late || !f.lost && c.Age < feedMaxAge) && f.from >= 0
	c.Page.Era = f.era
	switch {
	case follows && era > 0 && f.era > era:
		c.Follows = true
		return c, f.changed
	case !follows || f.era != era || after < f.from:
		return c, f.changed
	}
	c.Follows = true
	c.Page.Version = max(f.version, after)
	for _, r := range f.rows {
		if r.Version > after {
			c.Page.Rows = append(c.Page.Rows, r)
		}
	}
	for _, r := range f.late {
		if r.Version <= after && time.Since(r.at) < lateTime {
			c.Page.Rows = append(c.Page.Rows, r.Row)
		}
	}
	c.Written = f.writtenFor(c.Page.Rows)
	return c, f.changed
}

// whole returns all rows that the store lists. Follows is false if this feed is not up to
// date with the store, or does not hold all of them. The channel is as that of changes.
func (f *feed) whole() (c Changes, changed <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c.Age, c.Lost = max(time.Since(f.confirmed), 1), f.lost
	if f.lost || c.Age >= feedMaxAge || f.from < 0 || f.partial || f.reviving {
		return c, f.changed
	}
	c.Follows, c.Page.Era, c.Page.Version = true, f.era, f.version
	for _, r := range f.rows {
		if !r.Gone && !f.missing[r.Key] {
			c.Page.Rows = append(c.Page.Rows, r)
		}
	}
	return c, f.changed
}
