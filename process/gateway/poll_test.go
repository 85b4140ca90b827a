package gateway

import (
	"context"
	"net/rpc"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/connection/peer"
	"github.com/eelgrassdock/eelgrassdock/process/member"
	"github.com/eelgrassdock/eelgrassdock/process/mirror"
)

// earlierPeers answers like an instance of an earlier build, which polls the store.
type earlierPeers struct {
	page  mirror.Page
	table []byte
}

// The calls of earlier builds. net/rpc takes exported types only.
type (
	EarlierPoll struct {
		Table string
		Era   int64
		After int64
		Wait  time.Duration
	}
	EarlierChanges struct {
		Page    mirror.Page
		Follows bool
	}
	EarlierStored struct {
		Version int64
		Data    []byte
	}
)

func (p *earlierPeers) Follow(poll EarlierPoll, reply *EarlierChanges) error {
	if reply.Follows = true; poll.After < p.page.Version {
		reply.Page = p.page
	}
	return nil
}

func (p *earlierPeers) Table(_ bool, reply *EarlierStored) error {
	reply.Version, reply.Data = p.page.Version, p.table
	return nil
}

// Guards against instances that get no tables from one of an earlier build, during a
// rolling restart.
func TestPollOfAnEarlierBuild(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegion(t, slowLink)
		i := r.list()[0]
		h := r.links.add("earlier", slowLink)
		row := mirror.Row{Key: "config", Version: 99, Value: grownTable}
		server := rpc.NewServer()
		require.NoError(t, server.RegisterName("Peers", &earlierPeers{page: mirror.Page{Version: 99, Rows: []mirror.Row{row}}, table: idleTable}))
		go func() { _ = peer.Serve(h, server) }()
		t.Cleanup(func() {
			h.end()
			_ = h.Close()
		})
		m := i.self()
		m.RPC = "earlier"
		f := i.feeds["t"]
		f.mu.Lock()
		before := f.confirmed
		f.mu.Unlock()
		page, err := i.request(t.Context(), m, f, f.nextPoll(10))
		require.NoError(t, err)
		require.Equal(t, []mirror.Row{row}, page.Rows)
		f.mu.Lock()
		require.Equal(t, before, f.confirmed, "the age of the answer is not known")
		f.mu.Unlock()
		i.fetch("earlier", false)
		require.Equal(t, int64(3), i.Tables.Version())
	})
}

// Guards against an instance of an earlier build that is answered in a way that it
// does not know.
func TestPollByAnEarlierBuild(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegion(t, slowLink)
		h := r.links.add("earlier", slowLink)
		pool := peer.Pool{Dial: h.dial}
		defer pool.Close()
		var c EarlierChanges
		require.NoError(t, pool.Call(t.Context(), r.list()[0].host.addr, "Peers.Follow", EarlierPoll{Table: "t", After: 10, Wait: time.Second}, &c))
		require.True(t, c.Follows)
		require.Empty(t, c.Page.Rows)
		r.grow()
		time.Sleep(settingTime)
		require.NoError(t, pool.Call(t.Context(), r.list()[0].host.addr, "Peers.Follow", EarlierPoll{Table: "t", After: 10, Wait: time.Second}, &c))
		require.Equal(t, []mirror.Row{{Key: "config", Version: 24, Value: idleTable}}, c.Page.Rows)
		var s EarlierStored
		require.NoError(t, pool.Call(t.Context(), r.list()[0].host.addr, "Peers.Table", false, &s))
		require.Equal(t, idleTable, s.Data)
	})
}

// Guards against instances that take each other's word for a table that the store has
// not confirmed for long: its age is passed on.
func TestAgeIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegion(t, slices.Repeat([]int{slowLink}, 27)...)
		list := r.list()
		for range 200 {
			for _, i := range list {
				c, _ := i.feeds["t"].changes(0, 10, false)
				require.True(t, c.Follows, "%s at an age of %v", i.id, c.Age)
			}
			time.Sleep(50 * time.Millisecond)
		}
		r.mu.Lock()
		r.away = true
		r.mu.Unlock()
		time.Sleep(settingTime + feedMaxAge)
		for _, i := range list {
			c, _ := i.feeds["t"].changes(0, 10, false)
			require.False(t, c.Follows, "%s at an age of %v", i.id, c.Age)
		}
	})
}

// Guards against a transfer that is given up although it makes progress, and one that
// goes on although it makes none.
func TestSlowTransferIsNotGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegion(t, 1, slowLink)
		near, far := r.list()[0], r.list()[1]
		if near.Settings.Link > far.Settings.Link {
			near, far = far, near
		}
		content := make([]byte, 1<<20) // takes 8 s at 1 Mbit/s
		for n := range content {
			content[n] = byte(n * n >> 3)
		}
		far.stored.Store(&storedTable{version: 5, data: content})
		pool := peer.Pool{Dial: near.host.dial}
		defer pool.Close()
		var s EarlierStored
		begun := time.Now()
		_, err := pool.Fetch(t.Context(), far.host.addr, "Peers.Table", false, &s, fetchLimit, peerStall)
		require.NoError(t, err)
		require.Len(t, s.Data, len(content))
		require.Greater(t, time.Since(begun), 8*time.Second)
		time.AfterFunc(2*time.Second, far.host.freeze)
		begun = time.Now()
		received, err := pool.Fetch(context.Background(), far.host.addr, "Peers.Table", false, &s, fetchLimit, peerStall)
		require.ErrorIs(t, err, peer.ErrLost)
		require.Positive(t, received)
		require.Less(t, time.Since(begun), 2*time.Second+2*peerStall)
	})
}

// Guards against a poll of the store that cannot end in time, because one of another
// instance took a part of it, and then counts as an outage.
func TestPollOfTheStoreAfterAnotherInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegion(t, slowLink)
		i := r.list()[0]
		h := r.links.add("stale", slowLink)
		server := rpc.NewServer()
		require.NoError(t, server.RegisterName("Peers", &stalePeers{}))
		go func() { _ = peer.Serve(h, server) }()
		t.Cleanup(func() {
			h.end()
			_ = h.Close()
		})
		r.mu.Lock()
		r.others = []member.Member{{ID: instanceID("stale", "x", fastLink), RPC: "stale", Region: "r0"}}
		r.mu.Unlock()
		f := i.feeds["t"]
		for range 20 {
			time.Sleep(time.Second)
			require.False(t, f.storeLost())
		}
		i.cancel()
		time.Sleep(2 * peerWait)
	})
}

// stalePeers answers at the end of each poll that it does not follow the store.
type stalePeers struct{}

func (stalePeers) Follow(poll EarlierPoll, _ *EarlierChanges) error {
	time.Sleep(poll.Wait)
	return nil
}
