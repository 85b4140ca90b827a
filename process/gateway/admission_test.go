package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/process/placement"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
)

// Guards against a request that waits at an engine, or here, until it is worthless, and
// against one that is refused before it can be known that it will be.
func TestOverloadIsRefusedSoon(t *testing.T) {
	for name, c := range map[string]struct {
		work   placement.Work
		served bool
	}{
		"memory":  {work: placement.Work{Runs: 9, Tokens: 29_900}},
		"prompts": {work: placement.Work{Runs: 2, Tokens: 6000, Sent: 200_000}},
		"room":    {work: placement.Work{Runs: 2, Tokens: 6000}, served: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newLeavingGateway(t)
				w.Settings.Admission = true
				w.serve()
				p := w.enginePool(engineService, w.Tables.Current().Service(engineService).Engine)
				for _, e := range w.Roster.List(engineService) {
					c.work.Endpoint = e.ID
					p.sched.SetOthers(c.work, time.Now())
				}
				begun := time.Now()
				_, err := w.ask("/guide/1", 39*time.Second)
				if c.served {
					require.NoError(t, err)
					return
				}
				require.LessOrEqual(t, time.Since(begun), 150*time.Millisecond, "an eighth of the latency target, and an interval of offers")
				f := w.refusalOf(err)
				require.Equal(t, refusal.Overload, f.Reason)
				require.Equal(t, refusal.NotRun, f.Outcome)
				require.True(t, f.RetryAt.After(time.Now()))
				require.True(t, f.RetryAt.Before(time.Now().Add(13*time.Second)))
				w.cancel()
			})
		})
	}
}
