package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	cockroach "github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/process/member"
	"github.com/eelgrassdock/eelgrassdock/process/mirror"
)

// rowStore is an in-memory store of instance rows.
type rowStore struct {
	rows    map[string]mirror.Row
	version int64
	era     int64
	reads   int
}

func (s *rowStore) put(key string, value any) {
	data, _ := json.Marshal(value)
	s.version++
	s.rows[key] = mirror.Row{Key: key, Value: data, Version: s.version}
}

func (s *rowStore) attach(g *Gateway) {
	s.rows = map[string]mirror.Row{}
	conflict := func() error { return cockroach.Mark(errors.New("412"), ErrConflict) }
	g.Registered = func(context.Context) (mirror.Page, error) {
		s.reads++
		return mirror.Page{Rows: slices.Collect(maps.Values(s.rows)), Era: s.era}, nil
	}
	g.Register = func(_ context.Context, key string, value []byte, fresh bool) error {
		if _, ok := s.rows[key]; ok && fresh {
			return conflict()
		}
		s.put(key, json.RawMessage(value))
		return nil
	}
	g.Deregister = func(_ context.Context, key string, version int64) error {
		if s.rows[key].Version != version {
			return conflict()
		}
		delete(s.rows, key)
		return nil
	}
}

func (s *rowStore) keys() []string { return slices.Sorted(maps.Keys(s.rows)) }

// Instances are killed and never restarted, month after month. Their rows must
// not accumulate, and an instance that restarts must not lose its row.
func TestRowsOfInstancesThatNeverReturn(t *testing.T) {
	w := newTestGateway(t)
	var s rowStore
	s.attach(w.Gateway)
	const region = "r0"
	live := []member.Member{{ID: w.id, Region: region}, {ID: "i3-y", Region: region, Incarnation: 4}, {ID: "i4-y", Region: region, Leaving: true}}
	for _, id := range []string{"i1-x", "i2-x", "i3-x", "i5-x"} {
		s.put(id[:2], member.Member{ID: id, Region: region})
	}
	s.put("odd", 7)
	s.put("other", member.Member{ID: "other-x", Region: "r1"}) // of a region that may just be cut off
	dead, err := w.cleanUpOnce(live, nil)
	require.NoError(t, err)
	require.Equal(t, []string{"i1", "i2", "i3", "i5", "odd", "other"}, s.keys(), "nothing may be deleted at the first check")
	s.put("i5", member.Member{ID: "i5-z", Region: region}) // restarted, and not in the list of live instances yet
	dead, err = w.cleanUpOnce(live, dead)
	require.NoError(t, err)
	require.Equal(t, []string{"i1", "i3", "i5", "odd", "other"}, s.keys())
	var m member.Member
	require.NoError(t, json.Unmarshal(s.rows["i3"].Value, &m))
	require.Equal(t, member.Member{ID: "i3-y", Region: region}, m, "an instance that is live under another ID")
	_, err = w.cleanUpOnce(live, dead)
	require.NoError(t, err)
	require.Equal(t, []string{"i1", "i3", "odd", "other"}, s.keys())
}

// An instance that could not be reached for a while has lost its row. The first
// instance of the region must restore it.
func TestMissingRowIsRestored(t *testing.T) {
	w := newTestGateway(t)
	var s rowStore
	s.attach(w.Gateway)
	s.put("i1", member.Member{ID: w.id})
	_, err := w.cleanUpOnce([]member.Member{{ID: w.id}, {ID: "i2-x", Probe: "10.0.0.2:7"}, {ID: "i3-x", Leaving: true}}, nil)
	require.NoError(t, err)
	require.Equal(t, []string{"i1", "i2"}, s.keys())
}

// Only one instance may clean up the rows, or each check would cost as many
// calls as there are instances.
func TestOneInstanceCleansUpTheRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway(t)
		var s rowStore
		s.attach(w.Gateway)
		w.members = &member.Node{Self: member.Member{ID: w.id, Probe: "127.0.0.1:2", Region: "r0"}, Send: func(string, []byte) error { return nil }}
		go w.cleanUpRows()
		time.Sleep(10 * cleanUpInterval)
		synctest.Wait()
		require.Greater(t, s.reads, 5)
		require.Less(t, s.reads, 21)
		require.True(t, w.isFirst([]member.Member{{ID: w.id}, {ID: "i0-x", Leaving: true}, {ID: "i2-x"}}))
		require.False(t, w.isFirst([]member.Member{{ID: w.id}, {ID: "i0-x"}}))
	})
}

// A deletion that the store carries out late must not remove the row of the
// next process of the same name.
func TestStopLeavesTheRowOfTheNextProcess(t *testing.T) {
	w := newTestGateway(t)
	var s rowStore
	s.attach(w.Gateway)
	s.put("i1", member.Member{ID: "i1-next"})
	w.unregister()
	require.Equal(t, []string{"i1"}, s.keys())
	s.put("i1", member.Member{ID: w.id})
	w.unregister()
	require.Empty(t, s.keys())
}

// Guards against the deletion of a live instance's row whose version a dead row had
// before the store came back from an older copy, and against instances that stay
// without a row after that.
func TestRowsAfterARestoration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway(t)
		var s rowStore
		s.attach(w.Gateway)
		live := []member.Member{{ID: w.id, Region: "r0"}}
		s.era = 1
		s.put("i1", member.Member{ID: w.id, Region: "r0"})
		s.put("i2", member.Member{ID: "i2-x", Region: "r0"})
		dead, err := w.cleanUpOnce(live, nil)
		require.NoError(t, err)

		s.era, s.version = 2, 0 // an older copy
		clear(s.rows)
		s.put("i3", member.Member{ID: "i3-x", Region: "r0"})
		s.put("i2", member.Member{ID: "i2-y", Region: "r0"}) // a process that is not known here yet, at the same version
		dead, err = w.cleanUpOnce(live, dead)
		require.NoError(t, err)
		require.Contains(t, s.keys(), "i2")
		require.Len(t, dead, 2)

		delete(s.rows, "i1")
		w.Settings.Name = "i1"
		writes := s.version
		w.onRestored(2)
		w.onRestored(2)
		time.Sleep(2 * reregisterTime)
		synctest.Wait()
		require.Contains(t, s.keys(), "i1")
		require.Equal(t, writes+1, s.version)
	})
}
