package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
)

// Guards against a part of the entry, such as the membership, that ends without a word
// because of a panic, which then ends the entry's planned stop too.
func TestPanickingTaskGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, hook := test.NewNullLogger()
		e := &Entry{Log: log}
		var cancel context.CancelFunc
		e.background, cancel = context.WithCancel(t.Context())
		runs := 0
		e.task("odd", func(ctx context.Context) error {
			if runs++; runs == 1 {
				panic("odd task")
			}
			<-ctx.Done()
			return nil
		})
		e.spawn(func() { panic("odd work") })
		time.Sleep(time.Minute)
		synctest.Wait()
		require.Equal(t, 2, runs)
		require.Len(t, hook.AllEntries(), 2)
		cancel()
		require.NotPanics(t, e.wg.Wait)
	})
}
