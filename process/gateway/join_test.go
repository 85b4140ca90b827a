package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
	"github.com/eelgrassdock/eelgrassdock/process/member"
	"github.com/eelgrassdock/eelgrassdock/process/mirror"
)

// Guards against many instances that all read the tables from the store because they start
// together, as after a power cut, and against a start that takes longer for it: a second
// without routing table is a second in which an instance serves nobody.
func TestManyInstancesStartWithFewReads(t *testing.T) {
	for name, test := range map[string]struct {
		registered int
		lists      int // reads of the store, at the most
	}{
		"many registered":  {registered: 100, lists: 100 / 3},
		"few registered":   {registered: manyRegistered - 1, lists: 100},
		"rows are unknown": {registered: -1, lists: 100 / 3},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &region{t: t, changed: make(chan struct{}), random: rand.New(rand.NewPCG(1, 1)), version: 10, content: []byte(`{"version":1}`)}
				for n := range 100 {
					rate := slowLink * 2
					if n%2 == 0 {
						rate = fastLink
					}
					i := r.add(instanceID(fmt.Sprintf("i%02d", n), "x", float64(rate)), rate)
					i.begun = time.Now()
					i.nearRows.Store(int64(test.registered + 1))
				}
				r.start()
				r.requireVersion(1, time.Second)
				time.Sleep(settingTime)
				r.mu.Lock()
				defer r.mu.Unlock()
				require.LessOrEqual(t, r.lists, test.lists)
				require.NotZero(t, r.lists)
			})
		})
	}
}

// Guards against tables that lack rows, or have those that are gone, at an instance that
// got them from another one.
func TestWholeTable(t *testing.T) {
	log := newTestGateway(t).Log
	row := func(key string, version int64) mirror.Row { return mirror.Row{Key: key, Version: version} }
	f := &feed{from: -1, changed: make(chan struct{}), heard: make(chan struct{}), table: &mirror.Table{Log: log}}
	require.False(t, follows(f), "nothing was read yet")
	f.add([]mirror.Row{row("a", 1), row("b", 2)})
	f.setVersion(2)
	require.False(t, follows(f), "the store has not confirmed it")
	f.storeAnswered(time.Now())
	f.add([]mirror.Row{row("a", 3), {Key: "b", Version: 4, Gone: true}, row("c", 5)})
	f.setVersion(5)
	c, _ := f.whole()
	require.True(t, c.Follows)
	require.Equal(t, int64(5), c.Page.Version)
	require.Equal(t, []mirror.Row{row("a", 3), row("c", 5)}, c.Page.Rows)
	var many []mirror.Row
	for n := range feedRows {
		many = append(many, row(fmt.Sprint("m", n), int64(6+n)))
	}
	f.add(many)
	f.setVersion(6 + feedRows)
	require.False(t, follows(f), "rows were dropped")
	f.restart(1)
	f.add([]mirror.Row{row("a", 1)})
	f.setVersion(1)
	f.storeAnswered(time.Now())
	require.True(t, follows(f))
	f.fail(nil)
	require.False(t, follows(f), "the store is away")
}

func follows(f *feed) bool {
	c, _ := f.whole()
	return c.Follows
}

// recoveringFeed returns the feed of a table that an instance has read again after an outage
// of the store in which row "gone" was deleted, so that it still keeps that row.
func recoveringFeed(t *testing.T) *feed {
	w := newTestGateway(t)
	lists, begun := 0, time.Now()
	away := func() bool { return time.Since(begun) < 6*time.Second }
	table := &mirror.Table{
		Name: "t", Log: w.Log, Changed: func([]mirror.Row) {}, Wait: time.Second, ReturnGrace: 2500 * time.Millisecond,
		List: func(context.Context) (mirror.Page, error) {
			row := mirror.Row{Key: "here", Version: 1}
			if lists++; lists == 1 {
				return mirror.Page{Version: 2, Rows: []mirror.Row{row, {Key: "gone", Version: 2}}}, nil
			}
			if away() {
				return mirror.Page{}, errors.New("away")
			}
			return mirror.Page{Version: 5, Rows: []mirror.Row{row}}, nil
		},
		Follow: func(ctx context.Context, after int64, _ time.Duration) (mirror.Page, error) {
			if !sleep.For(ctx, 200*time.Millisecond) || away() {
				return mirror.Page{}, errors.New("away")
			}
			return mirror.Page{Version: after}, nil
		},
	}
	w.listMembers = func() []member.Member { return nil }
	w.shareTable(table)
	go table.Run(w.base)
	f := w.feeds["t"]
	for time.Since(begun) < time.Minute {
		time.Sleep(10 * time.Millisecond)
		if c, _ := f.changes(0, 2, false); c.Follows && c.Page.Version == 5 {
			return f
		}
	}
	t.Fatal("the table is not read again")
	return nil
}

// copyOf is what another instance knows of a table from a feed.
type copyOf map[string]bool

func (c copyOf) apply(rows []mirror.Row) {
	for _, r := range rows {
		if c[r.Key] = true; r.Gone {
			delete(c, r.Key)
		}
	}
}

// Guards against an instance that starts shortly after an outage of the store, takes the
// table from another one, and uses endpoints for good that have ended in the outage.
func TestWholeTableAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := recoveringFeed(t)
		c, _ := f.whole()
		require.True(t, c.Follows)
		rows := copyOf{}
		rows.apply(c.Page.Rows)
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			c, _ = f.changes(0, c.Page.Version, false)
			require.True(t, c.Follows)
			rows.apply(c.Page.Rows)
		}
		require.Equal(t, copyOf{"here": true}, rows)
	})
}

// Guards against endpoints that have ended in an outage of the store, and are used for good by
// an instance that did not notice the outage, because the one that it polls noticed it later.
func TestDeletionInAnOutageIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := recoveringFeed(t)
		rows, version := copyOf{"here": true, "gone": true}, int64(2)
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			c, _ := f.changes(0, version, false)
			require.True(t, c.Follows)
			rows.apply(c.Page.Rows)
			version = c.Page.Version
		}
		require.Equal(t, copyOf{"here": true}, rows)
	})
}
