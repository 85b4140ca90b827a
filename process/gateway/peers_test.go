package gateway

import (
	"context"
	"expvar"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/internal/port"
	"github.com/eelgrassdock/eelgrassdock/process/mirror"
	"github.com/eelgrassdock/eelgrassdock/process/roster"
	"github.com/eelgrassdock/eelgrassdock/version/routing"
)

// instance starts a gateway on loopback whose store does not answer.
func instance(t *testing.T, name string, seeds ...string) *Gateway {
	return instanceWith(t, name, nil, seeds...)
}

// instanceWith starts a gateway on loopback that reads its tables with list.
func instanceWith(t *testing.T, name string, list func(ctx context.Context) (mirror.Page, error), seeds ...string) *Gateway {
	w := newWorld(t)
	g := w.Gateway
	g.Tables, g.Roster = routing.Keeper{}, roster.Roster{}
	g.Settings.Name = name
	for _, addr := range []*string{&g.Settings.Peer, &g.Settings.Probe, &g.Settings.Loads, &g.Settings.Callers} {
		free, err := port.Addr()
		require.NoError(t, err)
		*addr = free
	}
	g.Settings.Seeds = seeds
	g.Decode = func(data []byte) (*routing.Table, error) {
		return routing.New(routing.Document{Version: int64(data[0])}), nil
	}
	away := func(ctx context.Context) error {
		<-t.Context().Done() // also when the call's own time is over
		return errors.CombineErrors(ctx.Err(), errors.New("away"))
	}
	g.Register = func(ctx context.Context, _ string, _ []byte, _ bool) error { return away(ctx) }
	g.Registered = func(ctx context.Context) ([]mirror.Row, error) { return nil, away(ctx) }
	g.Deregister = func(ctx context.Context, _ string, _ int64) error { return away(ctx) }
	if list == nil {
		list = func(ctx context.Context) (mirror.Page, error) { return mirror.Page{}, away(ctx) }
	}
	tables := []*mirror.Table{{
		Name: "t", Wait: time.Second, Log: g.Log, Changed: func([]mirror.Row) {}, List: list,
		Follow: func(ctx context.Context, after int64, _ time.Duration) (mirror.Page, error) {
			return mirror.Page{Version: after}, away(ctx)
		},
	}}
	require.NoError(t, g.Start(t.Context(), tables))
	return g
}

// An instance that starts while the store does not answer learns the routing
// table from a seed at once, and newer ones from its peers.
func TestStartWhileTheStoreIsAway(t *testing.T) {
	a := instance(t, "a")
	a.TakeTable([]byte{3}, 3, "test")
	b := instance(t, "b", a.Settings.Peer)
	require.Eventually(t, func() bool { return b.Tables.Version() == 3 }, time.Minute, time.Millisecond)
	require.Eventually(t, func() bool { return a.instances() == 2 && b.instances() == 2 }, time.Minute, time.Millisecond)
	a.TakeTable([]byte{5}, 5, "test")
	require.Eventually(t, func() bool { return b.Tables.Version() == 5 }, time.Minute, time.Millisecond)
	b.TakeTable([]byte{4}, 4, "test")
	require.Equal(t, int64(5), b.Tables.Version())
}

// An instance that starts while the store does not answer serves with the
// endpoints that a peer knows. Otherwise it would be among the addresses for
// callers and refuse each request until the store is back.
func TestEndpointsOfAPeerWhileTheStoreIsAway(t *testing.T) {
	a := instance(t, "a")
	a.TakeTable([]byte{3}, 3, "test")
	gone := roster.Endpoint{ID: "gone", Service: plainService, Addr: "10.0.0.9:1"}
	stays := roster.Endpoint{ID: "stays", Service: plainService, Addr: "10.0.0.8:1"}
	a.Roster.Set(gone)
	a.Roster.Set(stays)
	a.Roster.Complete()
	b := instance(t, "b", a.Settings.Peer)
	require.Eventually(t, b.Ready, time.Minute, time.Millisecond)
	require.Len(t, b.Roster.List(plainService), 2)
	b.Roster.Set(stays)
	b.Roster.RemoveBorrowed()
	require.Equal(t, []roster.Endpoint{stays}, b.Roster.List(plainService))
}

// Pattern: a large fleet starts before the first configuration is written.
// Instances that all ask the seeds again and again take the seeds' processors
// and links, and learn nothing. Each asks once, for the members.
func TestSeedsAreLeftAloneWhileTheStoreAnswers(t *testing.T) {
	a := instance(t, "a")
	before := counted("tables_given")
	const instances = 5
	for n := range instances {
		instanceWith(t, fmt.Sprint("b", n), func(context.Context) (mirror.Page, error) { return mirror.Page{Version: 1}, nil }, a.Settings.Peer)
	}
	require.Eventually(t, func() bool { return counted("tables_given") == before+instances }, time.Minute, time.Millisecond)
	time.Sleep(4 * seedMost)
	require.Equal(t, before+instances, counted("tables_given"))
}

func counted(name string) int64 {
	if v, ok := counters.Get(name).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}
