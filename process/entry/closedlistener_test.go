package entry_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/internal/system"
	"github.com/eelgrassdock/eelgrassdock/process/entry"
	"github.com/eelgrassdock/eelgrassdock/standin"
	"github.com/eelgrassdock/eelgrassdock/standin/model"
)

// Guards against a generation that is given up, or begun anew at another engine, while its
// engine, which accepts no further connections and pauses for longer than the stall time, has
// an open connection and goes on.
func TestClosedListenerEndsNoGeneration(t *testing.T) {
	const (
		stall = 400 * time.Millisecond
		pause = 4 * stall
		text  = "length=30 of a prompt"
	)
	setup := func(t *testing.T) (s *system.System, closeListener func()) {
		var closed atomic.Value // address that refuses connections
		closed.Store("")
		s = start(t, &system.System{
			Entries: 1, Engines: 2, Config: model.Config{Base: 20 * time.Millisecond, Memory: 100_000},
			Prepare: func(_ int, e *entry.Entry) {
				e.Stall = stall
				e.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
					if addr == closed.Load() {
						return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
					}
					return (&net.Dialer{}).DialContext(ctx, network, addr)
				}
			},
		})
		return s, func() {
			for _, b := range s.Endpoints {
				if b.Engine == nil {
					continue
				}
				fault := standin.EngineFaults{}
				if begun, _ := b.Engine.Counts(); begun > 0 {
					closed.Store(b.Addr)
					fault.Stall = true
					time.AfterFunc(pause, func() { b.Engine.Break(standin.EngineFaults{}) })
				}
				b.Engine.Break(fault)
			}
		}
	}
	t.Run("after the first token", func(t *testing.T) {
		t.Parallel()
		s, closeListener := setup(t)
		readWhole(t, newClient(t, s), guidePrompt(text), 5, closeListener)
		require.Equal(t, 1, generations(s))
	})
	t.Run("before the first token", func(t *testing.T) {
		t.Parallel()
		s, closeListener := setup(t)
		for _, b := range s.Endpoints {
			if b.Engine != nil {
				b.Engine.Break(standin.EngineFaults{Stall: true})
			}
		}
		answered := make(chan struct{})
		go func() {
			defer close(answered)
			status, _, body := post(t, s.Addrs()[0], http.MethodPost, "/v1/completions",
				fmt.Sprintf(`{"model":"guide","prompt":%q}`, text), "X-Deadline", time.Now().Add(requestTimeout).Format(time.RFC3339Nano))
			if status != http.StatusOK {
				t.Errorf("completion: status %d: %s", status, body)
			}
		}()
		require.Eventually(t, func() bool { return generations(s) == 1 }, requestTimeout, time.Millisecond)
		closeListener()
		<-answered
		require.Equal(t, 1, generations(s))
	})
}
