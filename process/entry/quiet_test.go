package entry_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"github.com/eelgrassdock/eelgrassdock/client"
	"github.com/eelgrassdock/eelgrassdock/internal/system"
	"github.com/eelgrassdock/eelgrassdock/process/entry"
	"github.com/eelgrassdock/eelgrassdock/standin/model"
)

// TestSilentEntries guards against clients that report an error, lose or repeat tokens or
// run an order twice because all entries fall silent for a while, again and again.
func TestSilentEntries(t *testing.T) {
	for _, pause := range []time.Duration{300 * time.Millisecond, 1200 * time.Millisecond, 3 * time.Second} {
		for _, full := range []bool{false, true} {
			t.Run(fmt.Sprint(pause, " full ", full), func(t *testing.T) {
				t.Parallel()
				p := &pausable{full: full}
				s := start(t, &system.System{
					Entries: 2, Engines: 1, PlainReplicas: 1, Config: model.Config{Base: 20 * time.Millisecond, Memory: 100_000},
				})
				h := &http.Client{Transport: &http.Transport{DialContext: p.dial}}
				t.Cleanup(h.CloseIdleConnections)
				var wg conc.WaitGroup
				ended := make(chan struct{})
				defer wg.Wait()
				for i := range 4 {
					wg.Go(func() {
						c := &client.Client{Entries: s.Addrs(), Key: "key-riga", Account: "riga", Caller: uuid.NewString(), HTTP: h}
						for n := 0; ; n++ {
							select {
							case <-ended:
								return
							default:
							}
							readWhole(t, c, guidePrompt(fmt.Sprintf("length=%d of person %d %d", 20+40*i, i, n)), -1, nil)
							body := fmt.Sprintf("body-%d-%d", i, n)
							_, err := c.Call(context.Background(), orderCall([]string{"", "own-" + body}[i%2], body))
							require.NoError(t, err)
							requireConsistent(t, s, body, err)
						}
					})
				}
				time.Sleep(300 * time.Millisecond)
				for range 3 {
					p.pause(pause)
					time.Sleep(700 * time.Millisecond)
				}
				close(ended)
			})
		}
	}
}

// TestSilentPeers guards against calls that are refused because the entry that owns the
// shard of their key falls silent for a while, again and again.
func TestSilentPeers(t *testing.T) {
	for _, pause := range []time.Duration{300 * time.Millisecond, 1200 * time.Millisecond, 3 * time.Second} {
		t.Run(fmt.Sprint(pause), func(t *testing.T) {
			t.Parallel()
			p := &pausable{}
			s := start(t, &system.System{Entries: 3, PlainReplicas: 1, Prepare: func(_ int, e *entry.Entry) {
				e.SetPeerDial(func(ctx context.Context, addr string) (net.Conn, error) { return p.dial(ctx, "tcp", addr) })
			}})
			warm := newClient(t, s)
			for i := range 32 { // until all shards have owners
				_, err := warm.Call(context.Background(), orderCall(fmt.Sprint("warm-", i), fmt.Sprint("warm-", i)))
				require.NoError(t, err)
			}
			var wg conc.WaitGroup
			ended := make(chan struct{})
			defer wg.Wait()
			for i := range 6 {
				wg.Go(func() {
					for n := 0; ; n++ {
						select {
						case <-ended:
							return
						default:
						}
						body := fmt.Sprintf("body-%d-%d", i, n)
						status, _, text := post(t, s.Addrs()[i%3], http.MethodPost, orders, body, "Idempotency-Key", "own-"+body)
						if status != http.StatusOK {
							t.Errorf("status %d: %s", status, text)
						}
						time.Sleep(50 * time.Millisecond)
					}
				})
			}
			time.Sleep(300 * time.Millisecond)
			for range 3 {
				p.pause(pause)
				time.Sleep(700 * time.Millisecond)
			}
			close(ended)
		})
	}
}

// TestCancelInSilence guards against a generation that goes on without a reader because
// its engine was silent when it was to be canceled.
func TestCancelInSilence(t *testing.T) {
	t.Parallel()
	p := &pausable{full: true}
	s := start(t, &system.System{
		Entries: 1, Engines: 1, Config: model.Config{Base: 12 * time.Millisecond, Memory: 100_000},
		Prepare: func(_ int, e *entry.Entry) { e.Dial = p.dial },
	})
	for token, err := range newClient(t, s).Complete(context.Background(), guidePrompt("length=5000 ")) { // takes a minute
		require.NoError(t, err)
		if token.N == 5 {
			break
		}
	}
	time.Sleep(4500 * time.Millisecond) // the generation is to be canceled 5 s after the hang-up
	p.pause(3 * time.Second)
	require.Eventually(t, func() bool {
		_, canceled := s.Endpoints[0].Engine.Counts()
		return canceled == 1
	}, 20*time.Second, 50*time.Millisecond)
}

// TestManyCallsInSilence guards against calls that are refused because attempts that
// reached no replica have used up the retry budget.
func TestManyCallsInSilence(t *testing.T) {
	t.Parallel()
	p := &pausable{full: true}
	s := start(t, &system.System{Entries: 1, Engines: 1, PlainReplicas: 1, Prepare: func(_ int, e *entry.Entry) { e.Dial = p.dial }})
	streamOnce(t, s, "length=3 first")
	_, err := newClient(t, s).Call(context.Background(), orderCall("", "first"))
	require.NoError(t, err)
	var wg conc.WaitGroup
	defer wg.Wait()
	for i := range 200 {
		wg.Go(func() {
			time.Sleep(50 * time.Millisecond) // into the silence
			if i%2 == 0 {
				streamOnce(t, s, fmt.Sprint("length=3 of person ", i))
				return
			}
			body := fmt.Sprint("body-", i)
			status, _, text := post(t, s.Addrs()[0], http.MethodPost, orders, body, "Idempotency-Key", s.Nodes()[0].Entry.ID()+"."+uuid.Must(uuid.NewV7()).String())
			if status != http.StatusOK || runs(s, body) != 1 {
				t.Errorf("order: status %d: %s; ran %d times", status, text, runs(s, body))
			}
		})
	}
	p.pause(3 * time.Second)
}

// TestStopInSilence guards against requests that are cut or refused because their entry
// stops gracefully while the engine is silent.
func TestStopInSilence(t *testing.T) {
	t.Parallel()
	p := &pausable{}
	s := start(t, &system.System{
		Entries: 1, Engines: 1, Config: model.Config{Base: 20 * time.Millisecond, Memory: 100_000},
		Prepare: func(_ int, e *entry.Entry) { e.Dial = p.dial },
	})
	var wg conc.WaitGroup
	wg.Go(func() { streamOnce(t, s, "length=100 in flight") }) // takes 2 s
	wg.Go(func() {
		time.Sleep(2 * time.Second) // after a poll has found the silence
		streamOnce(t, s, "length=5 that waits")
	})
	time.Sleep(500 * time.Millisecond)
	n := s.Nodes()[0]
	time.AfterFunc(1800*time.Millisecond, n.Stop)
	p.pause(3 * time.Second)
	wg.Wait()
	<-n.Done
	require.NoError(t, n.Err)
}
