package gateway

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/process/member"
	"github.com/eelgrassdock/eelgrassdock/process/mirror"
)

// A stopping instance must reject new requests as soon as callers no longer use
// its address, since a request accepted later would be cut at the end of the
// grace time. It must wait for active requests.
func TestStopKeepsNewRequestsOutInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway(t)
		w.Settings.Grace, w.Settings.Keep = 8, 1
		w.members = &member.Node{
			Self: member.Member{ID: w.id, Addr: "127.0.0.1:1", Probe: "127.0.0.1:2", RPC: "127.0.0.1:3"},
			Send: func(string, []byte) error { return nil },
		}
		deregistered := false
		w.Registered = func(context.Context) (mirror.Page, error) {
			return mirror.Page{Rows: []mirror.Row{
				{Key: w.Settings.Name, Value: []byte(`{"id":"i1-x"}`), Version: 7}, {Key: "i2", Value: []byte(`{"id":"i2-x"}`)},
			}}, nil
		}
		w.Deregister = func(_ context.Context, key string, version int64) error {
			require.Equal(t, w.Settings.Name, key)
			require.Equal(t, int64(7), version)
			deregistered = true
			return nil
		}
		w.active.Store(1)
		var drained atomic.Bool
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			w.Stop(func() { drained.Store(true) })
		}()
		time.Sleep(time.Duration(keepFactor)*time.Second - time.Millisecond)
		require.True(t, w.Stopping())
		require.False(t, drained.Load(), "callers may still use the instance")
		time.Sleep(leaveSpreadTime + 2*time.Millisecond)
		require.True(t, drained.Load())
		select {
		case <-ended:
			require.Fail(t, "stop ended while a request was active")
		case <-time.After(time.Second):
		}
		w.active.Store(0)
		time.Sleep(2 * stopPoll)
		<-ended
		require.True(t, deregistered)
	})
}

// A request that never ends must not keep the instance running beyond its grace
// time.
func TestStopEndsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway(t)
		w.Settings.Grace, w.Settings.Keep = 8, 5
		w.members = &member.Node{
			Self: member.Member{ID: w.id, Addr: "127.0.0.1:1", Probe: "127.0.0.1:2", RPC: "127.0.0.1:3"},
			Send: func(string, []byte) error { return nil },
		}
		w.Registered = func(context.Context) (mirror.Page, error) { return mirror.Page{}, nil }
		w.active.Store(1)
		begun := time.Now()
		w.Stop(func() {})
		require.LessOrEqual(t, time.Since(begun), 8*time.Second)
	})
}
