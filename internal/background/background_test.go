package background_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/internal/background"
)

// Guards against a task that ends for good, or ends the process, because it panicked once.
func TestKeepBeginsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, hook := test.NewNullLogger()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		begun := time.Now()
		runs := 0
		background.Keep(ctx, log, func() {
			if runs++; runs < 3 {
				panic("odd task")
			}
		})
		require.Equal(t, 3, runs)
		require.Equal(t, 2*background.RestartPause, time.Since(begun))
		require.Len(t, hook.AllEntries(), 2)
		for _, e := range hook.AllEntries() {
			require.Equal(t, "odd task", e.Message)
			require.Equal(t, "panic", e.Data["event"])
			require.Contains(t, e.Data["stack"], "background_test.go")
		}
		cancel()
		background.Keep(ctx, log, func() { panic("odd task") })
		require.Len(t, hook.AllEntries(), 3, "a task is not begun again after the end")
	})
}
