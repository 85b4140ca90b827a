package gateway

import (
	"context"
	"expvar"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	logs "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/internal/port"
	"github.com/eelgrassdock/eelgrassdock/process/mirror"
	"github.com/eelgrassdock/eelgrassdock/process/roster"
	"github.com/eelgrassdock/eelgrassdock/version/routing"
)

// startInstance starts a gateway on loopback whose store does not answer.
func startInstance(t *testing.T, name string, seeds ...string) *Gateway {
	return startInstanceWith(t, name, nil, seeds...)
}

// startInstanceWith starts a gateway on loopback that reads its tables with
// list.
func startInstanceWith(t *testing.T, name string, list func(ctx context.Context) (mirror.Page, error), seeds ...string) *Gateway {
	g, tables := prepareInstance(t, name, list, seeds...)
	require.NoError(t, g.Start(t.Context(), tables))
	return g
}

// prepareInstance returns a gateway that has not been started, and its tables.
func prepareInstance(
	t *testing.T, name string, list func(ctx context.Context) (mirror.Page, error), seeds ...string,
) (*Gateway, []*mirror.Table) {
	w := newTestGateway(t)
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
		<-t.Context().Done() // even after the call's own timeout
		return errors.CombineErrors(ctx.Err(), errors.New("away"))
	}
	g.Register = func(ctx context.Context, _ string, _ []byte, _ bool) error { return away(ctx) }
	g.Registered = func(ctx context.Context) (mirror.Page, error) { return mirror.Page{}, away(ctx) }
	g.Deregister = func(ctx context.Context, _ string, _ int64) error { return away(ctx) }
	if list == nil {
		list = func(ctx context.Context) (mirror.Page, error) { return mirror.Page{}, away(ctx) }
	}
	return g, []*mirror.Table{{
		Name: "t", Wait: time.Second, Log: g.Log, Changed: func([]mirror.Row) {}, List: list,
		Follow: func(ctx context.Context, after int64, _ time.Duration) (mirror.Page, error) {
			return mirror.Page{Version: after}, away(ctx)
		},
	}}
}

// An instance that starts while the store does not answer must fetch the
// routing table from a seed at once, and newer ones from its peers.
func TestStartWhileTheStoreIsAway(t *testing.T) {
	a := startInstance(t, "a")
	a.InstallTable([]byte{3}, 3, "test")
	b := startInstance(t, "b", a.Settings.Peer)
	require.Eventually(t, func() bool { return b.Tables.Version() == 3 }, time.Minute, time.Millisecond)
	require.Eventually(t, func() bool { return a.instanceCount() == 2 && b.instanceCount() == 2 }, time.Minute, time.Millisecond)
	a.InstallTable([]byte{5}, 5, "test")
	require.Eventually(t, func() bool { return b.Tables.Version() == 5 }, time.Minute, time.Millisecond)
	b.InstallTable([]byte{4}, 4, "test")
	require.Equal(t, int64(5), b.Tables.Version())
}

// Guards against a key that was withdrawn and is in use again at an instance that starts
// while the store is away, because its seed is behind: the first table in force must be
// the newest that the other members have.
func TestStartFromASeedThatIsBehind(t *testing.T) {
	a := startInstance(t, "a")
	b := startInstance(t, "b", a.Settings.Peer)
	a.InstallTable([]byte{3}, 3, "test")
	require.Eventually(t, func() bool { return b.Tables.Version() == 3 && a.instanceCount() == 2 }, time.Minute, time.Millisecond)
	a.fetching.Store(true) // it takes no newer one
	b.InstallTable([]byte{5}, 5, "test")
	for n := range 5 {
		c, tables := prepareInstance(t, fmt.Sprint("c", n), nil, a.Settings.Peer)
		require.NoError(t, c.Start(t.Context(), tables))
		<-c.Tables.Ready()
		require.Equal(t, int64(5), c.Tables.Version())
		require.Equal(t, int64(3), a.Tables.Version())
	}
}

// An instance that starts while the store does not answer must serve with the
// endpoints of a peer. Otherwise it would be listed for callers and refuse
// every request until the store is back.
func TestEndpointsOfAPeerWhileTheStoreIsAway(t *testing.T) {
	a := startInstance(t, "a")
	a.InstallTable([]byte{3}, 3, "test")
	gone := roster.Endpoint{ID: "gone", Service: plainService, Addr: "10.0.0.9:1", Place: "p0", Slots: 2}
	stays := roster.Endpoint{ID: "stays", Service: plainService, Addr: "10.0.0.8:1", Place: "p0", Slots: 2}
	odd := roster.Endpoint{ID: "odd", Service: plainService, Addr: "10.0.0.7:70000", Place: "p0", Slots: 2}
	a.Roster.Set(gone)
	a.Roster.Set(stays)
	a.Roster.Set(odd) // an earlier version uses such endpoints
	a.Roster.Complete()
	b := startInstance(t, "b", a.Settings.Peer)
	require.Eventually(t, b.Ready, time.Minute, time.Millisecond)
	require.Len(t, b.Roster.List(plainService), 2)
	b.Roster.Set(stays)
	b.Roster.RemoveBorrowed()
	require.Equal(t, []roster.Endpoint{stays}, b.Roster.List(plainService))
}

// A large fleet starts before the first configuration is written. If all
// instances queried the seeds again and again, they would load the seeds'
// processors and links for nothing. Each must query a seed once, for the
// members.
func TestNoSeedRequestsWhileTheStoreAnswers(t *testing.T) {
	a := startInstance(t, "a")
	before := counterValue("tables_given")
	const instances = 5
	for n := range instances {
		startInstanceWith(t, fmt.Sprint("b", n), func(context.Context) (mirror.Page, error) { return mirror.Page{Version: 1}, nil }, a.Settings.Peer)
	}
	require.Eventually(t, func() bool { return counterValue("tables_given") == before+instances }, time.Minute, time.Millisecond)
	time.Sleep(4 * maxSeedPause)
	require.Equal(t, before+instances, counterValue("tables_given"))
}

func counterValue(name string) int64 {
	if v, ok := counters.Get(name).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// Guards against a slow start that shows nowhere: once an instance can serve requests, it
// logs how long that took, and its metrics have the time.
func TestReadinessIsLogged(t *testing.T) {
	g, tables := prepareInstance(t, "a", nil)
	hook := logs.NewLocal(g.Log)
	require.NoError(t, g.Start(t.Context(), tables))
	const wait = 100 * time.Millisecond
	time.Sleep(wait)
	require.Zero(t, g.readyAfter.Load(), "it has no routing table")
	require.True(t, g.Tables.Install(routing.New(routing.Document{Version: 1})))
	g.Roster.Complete()
	isReady := func() bool {
		return slices.ContainsFunc(hook.AllEntries(), func(e *logrus.Entry) bool {
			return e.Data["event"] == "ready" && e.Data["took"].(int64) >= wait.Milliseconds()
		})
	}
	require.Eventually(t, isReady, time.Minute, time.Millisecond)
	require.GreaterOrEqual(t, g.readyAfter.Load(), wait.Milliseconds())
}
