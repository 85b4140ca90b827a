package gateway

import (
	"cmp"
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/process/member"
	"github.com/eelgrassdock/eelgrassdock/process/mirror"
)

// Guards against changes of an earlier era of the store that an instance passes on to
// the others, and against one that takes another era's changes for its own.
func TestFeedAcrossARestoration(t *testing.T) {
	w := newTestGateway(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	pages := make(chan mirror.Page)
	table := &mirror.Table{
		Name: "t", Log: log, Changed: func([]mirror.Row) {}, Wait: time.Second,
		List: func(ctx context.Context) (mirror.Page, error) {
			select {
			case p := <-pages:
				return p, nil
			case <-ctx.Done():
				return mirror.Page{}, ctx.Err()
			}
		},
		Follow: func(context.Context, int64, time.Duration) (mirror.Page, error) { return mirror.Page{}, mirror.ErrGone },
	}
	w.shareTable(table)
	f := w.feeds["t"]
	table.Follow = f.follow // not from other instances
	go table.Run(t.Context())
	changes := func(era, after int64) (mirror.Page, bool) {
		c, _ := f.changes(era, after, false)
		return c.Page, c.Follows
	}
	list := func(era, version int64, key string) {
		pages <- mirror.Page{Era: era, Version: version, Rows: []mirror.Row{{Key: key, Version: version}}}
		require.Eventually(t, func() bool {
			f.storeAnswered(time.Now())
			page, ok := changes(era, version)
			return ok && page.Version == version
		}, time.Minute, time.Millisecond)
	}
	list(1, 40, "a")
	list(2, 30, "b")
	_, ok := changes(2, 29)
	require.False(t, ok, "the changes before the restoration are not those of this era")
	page, ok := changes(2, 30)
	require.True(t, ok)
	require.Empty(t, page.Rows)
	page, ok = changes(1, 40)
	require.True(t, ok)
	require.Equal(t, int64(2), page.Era, "an instance of the earlier era learns of the later one")
	require.Empty(t, page.Rows)
	_, ok = changes(3, 10)
	require.False(t, ok, "this instance is behind")
	_, ok = changes(0, 30)
	require.False(t, ok, "an instance of an earlier build compares versions of different eras")
}

// Guards against instances that start together and all poll the store, before they know the
// one of their region that does it for them; and against waiting for one for good.
func TestFirstPollAwaitsAnotherInstance(t *testing.T) {
	for name, test := range map[string]struct {
		own    string        // ID; empty for the usual one
		other  string        // ID of another instance of the region
		known  time.Duration // when it is known
		asked  time.Duration // when it is polled; -1 if it is not
		polled time.Duration // when the store is polled
	}{
		"alone":                    {known: time.Hour, asked: -1, polled: joinTime},
		"first of the region":      {own: "i1-x-200mbit", other: "a-r-20mbit", asked: -1, polled: joinTime},
		"another one joins":        {other: "a-r-200mbit", known: 200 * time.Millisecond, asked: 200 * time.Millisecond, polled: 200 * time.Millisecond},
		"another one joined early": {other: "a-r-200mbit"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestGateway(t)
				w.begun, w.id = time.Now(), cmp.Or(test.own, w.id)
				w.memberStatus = func(string) member.Status { return member.Alive }
				w.listMembers = func() []member.Member {
					list := []member.Member{{ID: w.id, Region: w.Settings.Region}, {ID: "far", Region: "r1"}}
					if time.Since(w.begun) >= test.known {
						list = append(list, member.Member{ID: test.other, Region: w.Settings.Region})
					}
					return list
				}
				asked, polled, wait := time.Duration(-1), time.Duration(0), time.Duration(0)
				w.peers.Dial = func(context.Context, string) (net.Conn, error) {
					asked = time.Since(w.begun)
					return nil, errors.New("does not answer") // so that the store is polled
				}
				table := &mirror.Table{
					Name: "t", Log: w.Log, Changed: func([]mirror.Row) {},
					List: func(context.Context) (mirror.Page, error) { return mirror.Page{Version: 1}, nil },
					Follow: func(_ context.Context, _ int64, d time.Duration) (mirror.Page, error) {
						polled, wait = time.Since(w.begun), d
						return mirror.Page{Version: 1}, nil
					},
				}
				w.shareTable(table)
				_, err := table.Follow(t.Context(), 1, 3*time.Second)
				require.NoError(t, err)
				require.InDelta(t, test.asked, asked, float64(joinPause))
				require.InDelta(t, test.polled, polled, float64(joinPause))
				require.LessOrEqual(t, polled+wait, 3*time.Second, "the table would take the poll for lost")
			})
		})
	}
}

// Guards against two instances that start together, each of which reads the rows of the
// others before it has written its own, so that they do not find each other.
func TestOwnRowIsWrittenBeforeTheOthersAreRead(t *testing.T) {
	for name, result := range map[string]error{"written": nil, "not written": errors.New("store is down")} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestGateway(t)
				w.registerTried, w.registerOnce = make(chan struct{}), sync.Once{}
				var order []string
				w.Register = func(context.Context, string, []byte, bool) error {
					time.Sleep(300 * time.Millisecond)
					order = append(order, "write")
					return result
				}
				w.Registered = func(context.Context) (mirror.Page, error) {
					order = append(order, "read")
					return mirror.Page{}, nil
				}
				go w.register()
				_, err := w.seeds(t.Context())
				require.NoError(t, err)
				require.Equal(t, []string{"write", "read"}, order)
				w.cancel()
			})
		})
	}
}
