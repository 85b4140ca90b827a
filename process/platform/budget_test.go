package platform

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against lists and polls that use up the rate of a limited store that
// leases and claims need, and against a rate that stays low after the store has
// recovered.
func TestBudgetShedsTheLessImportantFirst(t *testing.T) {
	ctx, now := context.Background(), time.Unix(0, 0)
	var m Memory
	limited := false
	base := m.Platform()
	get := base.Get
	base.Get = func(ctx context.Context, key string) (Row, error) {
		if limited {
			return Row{}, ErrLimited
		}
		return get(ctx, key)
	}
	b := &Budget{Base: base, Rate: 8, Now: func() time.Time { return now }}
	p := b.Platform()
	read := func(key string) (n int) {
		for range 20 {
			if _, err := p.Get(ctx, key); err == nil {
				n++
			}
		}
		return n
	}
	_, err := p.Instances(ctx)
	require.NoError(t, err)
	require.Equal(t, 5, read("config/head")) // a quarter of 8 is reserved for leases
	_, err = p.List(ctx, "entry/", "", 1)
	require.ErrorIs(t, err, ErrLimited)
	require.Equal(t, 2, read("lease/x"))

	limited = true
	for range 10 {
		now = now.Add(time.Second)
		_, err = p.Get(ctx, "lease/x")
		require.ErrorIs(t, err, ErrLimited)
	}
	limited = false
	now = now.Add(time.Second)
	require.Less(t, read("lease/x"), 8)
	for range 60 {
		now = now.Add(time.Second)
		_, _ = p.Get(ctx, "lease/x")
	}
	now = now.Add(time.Second)
	require.Equal(t, 8, read("lease/x"))
}
