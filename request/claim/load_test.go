package claim

import (
	"context"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/process/lease"
	"github.com/eelgrassdock/eelgrassdock/process/platform"
)

// Guards against a sweep for expired segments that stops a shard while it loads.
// Such a shard has written its epoch row, but may not have recorded the row's
// version yet: the sweep mistook the row for a successor's, and raced with load.
func TestSweepLeavesAShardAloneWhileItLoads(t *testing.T) {
	store := (&platform.Memory{}).Platform()
	list, listing, resume := store.List, make(chan struct{}), make(chan struct{})
	commit, written, proceed := store.Commit, make(chan struct{}), make(chan struct{})
	store.Commit = func(ctx context.Context, ops []platform.Op) error {
		err := commit(ctx, ops)
		close(written)
		<-proceed
		return err
	}
	store.List = func(ctx context.Context, prefix, after string, n int) ([]platform.Row, error) {
		close(listing)
		<-resume
		return list(ctx, prefix, after, n)
	}
	log := logrus.New()
	log.SetOutput(t.Output())
	o := &Owner{
		Holder: "a", Platform: store, Log: log,
		Holds: func(string, time.Time) bool { return true },
	}
	l := lease.Lease{Duty: Duty(0), Fence: 1}
	o.Gained(l)
	s := o.all()[0]
	<-written
	s.markLapsed(l)
	s.expire(t.Context())
	require.Len(t, o.all(), 1, "the sweep stopped a shard whose epoch row is its own")
	close(proceed)
	<-listing
	s.expire(t.Context())
	close(resume)
	<-s.loaded
	s.expire(t.Context())
	require.Len(t, o.all(), 1, "the sweep stopped a loaded shard without a successor")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.Error(t, o.Run(ctx))
}
