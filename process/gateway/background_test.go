package gateway

import (
	"net"
	"net/rpc"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/connection/peer"
)

// Guards against an unexpected error in the background that ends the process, and with it
// the requests of all callers.
func TestPanicInTheBackgroundEndsNoProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway(t)
		log, hook := test.NewNullLogger()
		w.Log = log
		w.spawn(func() { panic("odd task") })
		runs := 0
		w.keep(func() {
			if runs++; runs < 3 {
				panic("odd loop")
			}
			<-w.base.Done()
		})
		time.Sleep(time.Minute)
		synctest.Wait()
		require.Equal(t, 3, runs)
		events := hook.AllEntries()
		require.Len(t, events, 3)
		for _, e := range events {
			require.Equal(t, "panic", e.Data["event"])
			require.Contains(t, e.Data["stack"], "background_test.go")
		}
		w.cancel()
	})
}

// Guards against a call of another instance that ends the process, because the method that
// serves it panics: net/rpc does not recover.
func TestPanicInACallOfAPeerEndsNoProcess(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := rpc.NewServer()
	log, logged := test.NewNullLogger()
	g := &Gateway{Log: log, feeds: map[string]*feed{"t": {changed: make(chan struct{})}}} // incomplete, so that its methods panic
	require.NoError(t, server.Register(&Peers{g: g}))
	go func() { _ = peer.Serve(l, server) }()
	t.Cleanup(func() { _ = l.Close() })
	client, err := rpc.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = client.Close() })
	require.ErrorContains(t, client.Call("Peers.Current", Wanted{All: true}, &Stored{}), "panic")
	require.ErrorContains(t, client.Call("Peers.Table", true, &Stored{}), "panic")
	require.ErrorContains(t, client.Call("Peers.Follow", Poll{Table: "t", Whole: true}, &Changes{}), "panic")
	require.Len(t, logged.AllEntries(), 3)
	for _, e := range logged.AllEntries() {
		require.Equal(t, "panic", e.Data["event"])
		require.Contains(t, e.Data["stack"], "process/gateway.(*Peers)")
	}
}
