package gateway

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/process/roster"
)

var errTestRefused = errors.Mark(errors.Mark(errors.New("connection refused"), ErrRefused), ErrUnreachable)

// closeListener makes the engine that is used first refuse connections from now on. Its
// open connections stay.
func (x *silentEngines) closeListener() {
	closed := x.engine()
	x.w.mu.Lock()
	defer x.w.mu.Unlock()
	x.w.crashed[closed] = true
}

// refuseWhenClosed makes control calls to engines with a closed listener fail.
func (x *silentEngines) refuseWhenClosed() {
	isClosed := func(e roster.Endpoint) bool {
		x.w.mu.Lock()
		defer x.w.mu.Unlock()
		return x.w.crashed[e.ID]
	}
	report, move := x.w.Backend.Report, x.w.Backend.Move
	x.w.Backend.Report = func(ctx context.Context, e roster.Endpoint) (Report, error) {
		if isClosed(e) {
			return Report{}, errTestRefused
		}
		return report(ctx, e)
	}
	x.w.Backend.Move = func(ctx context.Context, m Move) (Moved, error) {
		if isClosed(m.From) {
			return Moved{}, errTestRefused
		}
		return move(ctx, m)
	}
}

// Guards against a request that goes on at another engine while the first one, which accepts
// no further connections and finishes its streams, works on it: a pause of the stream and a
// refused connection do not show that the engine's process has ended.
func TestClosedListenerEndsNoStream(t *testing.T) {
	const closed = 50 * time.Millisecond // when the listener closes
	for name, leave := range map[string]func(w *testGateway, id string){
		"leaving":                  func(w *testGateway, _ string) { w.announceLeave(roster.FromList) },
		"not listed":               func(w *testGateway, id string) { w.Roster.Remove(id) },
		"listed":                   func(*testGateway, string) {},
		"listed, cold when silent": func(w *testGateway, _ string) { w.makeCold() },
	} {
		for _, path := range []string{"/guide/1", "/short/1", "/guide/no-copy"} {
			for _, at := range []time.Duration{60 * time.Millisecond, 350 * time.Millisecond} {
				for _, pause := range []time.Duration{1200 * time.Millisecond, 1500 * time.Millisecond, 2500 * time.Millisecond, 5 * time.Second} {
					t.Run(fmt.Sprintf("%s, %s, %v after %v", name, path, pause, at), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) {
							w := newTestGateway(t)
							w.Tables.Current().Services[0].Engine.Backups = path != "/guide/no-copy"
							w.refreshEnginePools()
							x := &silentEngines{w: w, silentFrom: time.Now().Add(at), silentUntil: time.Now().Add(at + pause), delay: 30 * time.Millisecond}
							x.install()
							x.refuseWhenClosed()
							time.AfterFunc(closed, func() {
								leave(w, x.engine())
								x.closeListener()
							})
							rec, err := w.request(path)
							require.NoError(t, err)
							require.Equal(t, strings.Fields("1 2 3 4 5 6 7 8 9 10"), eventIDs(rec.Body.String()))
							time.Sleep(10 * time.Second)
							require.Len(t, x.started, 1, "engines that ran the request")
							require.Zero(t, x.overlap)
						})
					})
				}
			}
		}
	}
}
