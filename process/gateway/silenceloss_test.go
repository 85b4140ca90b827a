package gateway

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/internal/sleep"
	"github.com/eelgrassdock/eelgrassdock/request/refusal"
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

// Guards against repeatable requests that are ended at a silent replica to be repeated,
// though the retry budget allows that to one of them only.
func TestSilentReplicaKeepsRequestsBeyondTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway(t)
		w.Settings.Retry.Slack, w.Settings.Retry.Ratio = 1, 1e-6
		w.Tables.Current().Routes[3].Aim = 300 * time.Millisecond
		var mu sync.Mutex
		sent := map[string]int{}
		w.Backend.Send = func(ctx context.Context, c Call) (*Answer, error) {
			mu.Lock()
			sent[c.ID]++
			first := sent[c.ID] == 1
			mu.Unlock()
			if first && !sleep.For(ctx, 1200*time.Millisecond) {
				return nil, refusal.FromCallError(ctx.Err(), true)
			}
			return plainAnswer(http.StatusOK, "done"), nil
		}
		var wg sync.WaitGroup
		for n := range 8 {
			wg.Go(func() {
				_, err := w.requestWith(t.Context(), &Request{
					ID: fmt.Sprint("q", n), Method: http.MethodGet, Host: "h", Path: "/read/1", Target: "/read/1", Header: http.Header{},
					Key: "key", Arrived: time.Now(),
				})
				assert.NoError(t, err, "request %d", n)
			})
		}
		wg.Wait()
		repeats := 0
		for _, n := range sent {
			repeats += n - 1
		}
		require.Equal(t, 1, repeats)
	})
}

// Guards against runs that leave a silent engine to be repeated, though the retry budget
// allows that to one of them only.
func TestSilentEngineKeepsRunsBeyondTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway(t)
		w.Settings.Retry.Slack, w.Settings.Retry.Ratio = 1, 1e-6
		w.Tables.Current().Services[0].Engine.Tokens = 1e6 // no run waits for memory
		from := time.Now().Add(350 * time.Millisecond)
		x := &silentEngines{w: w, silentFrom: from, silentUntil: from.Add(6 * time.Second), ids: []string{"e0", "e1", "e2"}}
		x.install()
		var wg sync.WaitGroup
		for n := range 12 {
			wg.Go(func() {
				rec, err := w.requestWith(t.Context(), &Request{
					ID: fmt.Sprint("q", n), Method: http.MethodPost, Host: "h", Path: "/short/1", Target: "/short/1", Header: http.Header{},
					Key: "key", Arrived: time.Now(), Prompt: 1000, Max: 400,
				})
				assert.NoError(t, err, "request %d", n)
				assert.Len(t, eventIDs(rec.Body.String()), scriptEvents, "request %d", n)
			})
		}
		wg.Wait()
		require.Len(t, x.started, 13, "engines that ran a request")
	})
}

// Guards against a run that leaves a silent engine although no other one accepts a
// request now: the silent one may answer sooner.
func TestRunDoesNotLeaveForEnginesThatPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestGateway(t)
		from := time.Now().Add(350 * time.Millisecond)
		x := &silentEngines{w: w, silentFrom: from, silentUntil: from.Add(6 * time.Second)}
		x.install()
		go func() {
			time.Sleep(300 * time.Millisecond)
			for _, e := range w.Roster.List(engineService) {
				if e.ID != x.engine() {
					w.limits.Pause(w.limitedEndpoint(e), time.Now().Add(time.Minute), time.Now())
				}
			}
		}()
		rec, err := w.request("/short/1")
		require.NoError(t, err)
		require.Len(t, eventIDs(rec.Body.String()), scriptEvents)
		require.Len(t, x.started, 1, "engines that ran the request")
	})
}
