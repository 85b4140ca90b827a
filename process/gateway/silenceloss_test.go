package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an engine being counted as lost, after one probe without an answer, for a
// time in which it sent no event but was not silent: it computed the prompt. The request
// then ran at a second engine beside the first one.
func TestSlowEngineIsNotLost(t *testing.T) {
	for name, test := range map[string]struct {
		aim  time.Duration
		from time.Duration // begin of the silence, which lasts a second
	}{
		"probes were answered before": {time.Second, 7 * time.Second},
		"no probe was sent before":    {6 * time.Second, 5500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestGateway(t)
				w.Tables.Current().Routes[1].Aim = test.aim
				from := time.Now().Add(test.from)
				x := &silentEngines{w: w, silentFrom: from, silentUntil: from.Add(time.Second), delay: 7500 * time.Millisecond}
				x.install()
				rec, err := w.request("/short/1")
				require.NoError(t, err)
				require.Len(t, eventIDs(rec.Body.String()), scriptEvents)
				require.Len(t, x.started, 1, "engines that ran the request")
			})
		})
	}
}
